package gossip

import (
	"encoding/binary"
	"math"
)

const (
	// SpeedFactsPerMessage bounds the facts of a message: 70 bytes in messages to one host of the
	// own data centre four times a second are 0.3 KB/s.
	SpeedFactsPerMessage = 10
	// SpeedFactHosts is the number of hosts beyond which none are told: a host with 3,700 targets
	// in its data centre would hear of each of them once in 90 s.
	SpeedFactHosts = 500
	// speedFactSize is the number of bytes of a fact, speedFactsAccepted bounds those that are
	// read of a message.
	speedFactSize      = 7
	speedFactsAccepted = 16
	// slownessSteps and weightSteps are the steps of one in which slowness and weight travel.
	slownessSteps = 48
	weightSteps   = 4
)

// SpeedFact is what a host itself saw of a target's speed.
type SpeedFact struct {
	// Tag names the target, Life is from the time of its start.
	Tag  uint32
	Life uint8
	// Slowness is the mean logarithm of the time of its requests against that of the same at
	// other targets, Weight the number of them, which fades.
	Slowness, Weight float64
}

// EncodeSpeedFacts returns the bytes of facts in a message.
func EncodeSpeedFacts(facts []SpeedFact) []byte {
	var data []byte
	for _, f := range facts {
		data = binary.BigEndian.AppendUint32(data, f.Tag)
		slowness := math.Round(min(max(f.Slowness*slownessSteps, math.MinInt8), math.MaxInt8))
		weight := math.Round(min(max(f.Weight*weightSteps, 0), math.MaxUint8))
		data = append(data, f.Life, uint8(int8(slowness)), uint8(weight))
	}
	return data
}

// DecodeSpeedFacts reads the facts of a message. What follows the last whole one, or is more
// than a host would tell, is left out.
func DecodeSpeedFacts(data []byte) []SpeedFact {
	var facts []SpeedFact
	for len(data) >= speedFactSize && len(facts) < speedFactsAccepted {
		facts = append(facts, SpeedFact{
			Tag: binary.BigEndian.Uint32(data), Life: data[4],
			Slowness: float64(int8(data[5])) / slownessSteps, Weight: float64(data[6]) / weightSteps,
		})
		data = data[speedFactSize:]
	}
	return facts
}
