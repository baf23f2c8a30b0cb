package gossip_test

import (
	"bytes"
	"testing"

	"oriolevalve/internal/gossip"

	"github.com/stretchr/testify/require"
)

// Guards against facts that change on their way beyond their steps, that take more than their
// share of a message, or that a message brings without a bound.
func TestSpeedFactsOnTheWire(t *testing.T) {
	var facts []gossip.SpeedFact
	for i := range gossip.SpeedFactsPerMessage {
		facts = append(facts, gossip.SpeedFact{Tag: uint32(i) << 24, Life: uint8(i), Slowness: float64(i)/4 - 1, Weight: float64(i)})
	}
	m := gossip.Message{Speeds: gossip.EncodeSpeedFacts(facts)}
	empty, err := (&gossip.Message{}).Encode()
	require.NoError(t, err)
	data, err := m.Encode()
	require.NoError(t, err)
	require.LessOrEqual(t, len(data)-len(empty), 75)
	got, err := gossip.DecodeMessage(data)
	require.NoError(t, err)
	require.Equal(t, facts, gossip.DecodeSpeedFacts(got.Speeds))
	require.Equal(t, facts[:1], gossip.DecodeSpeedFacts(m.Speeds[:13]))
	require.Len(t, gossip.DecodeSpeedFacts(bytes.Repeat([]byte{1}, 70_000)), 16)
	extreme := gossip.DecodeSpeedFacts(gossip.EncodeSpeedFacts([]gossip.SpeedFact{{Slowness: -90, Weight: 900}}))
	require.InDelta(t, -2.67, extreme[0].Slowness, 0.01)
	require.InDelta(t, 63.75, extreme[0].Weight, 0.01)
}
