package node

import (
	"sync"
	"time"

	"oriolevalve/internal/gossip"
	"oriolevalve/internal/logs"
	"oriolevalve/internal/packet"

	"go.uber.org/zap"
)

// speedQueue bounds the facts that wait for the packet goroutine: those of five seconds.
const speedQueue = 256

// speedExchange passes facts about the speeds of targets between the goroutine of packets and
// that of the control state.
type speedExchange struct {
	mutex sync.Mutex
	// seen are those for the next message, heard those of other hosts.
	seen, heard []packet.SpeedFact
}

// replaceSeen sets what the next message tells.
func (e *speedExchange) replaceSeen(p *packet.Plane, now time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.seen) == 0 {
		e.seen = p.SpeedFacts(now, e.seen, gossip.SpeedFactsPerMessage)
	}
}

// takeSeen returns what the next message tells.
func (e *speedExchange) takeSeen() []packet.SpeedFact {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	facts := e.seen
	e.seen = nil
	return facts
}

func (e *speedExchange) putHeard(facts []gossip.SpeedFact) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, f := range facts[:min(len(facts), speedQueue-len(e.heard))] {
		e.heard = append(e.heard, packet.SpeedFact(f))
	}
}

func (e *speedExchange) takeHeard() []packet.SpeedFact {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	facts := e.heard
	e.heard = nil
	return facts
}

// speedFacts returns what a message to a host of the own data centre tells, in a fleet of so many
// hosts.
func (c *control) speedFacts(hosts int) []byte {
	facts := c.node.speeds.takeSeen()
	if hosts > gossip.SpeedFactHosts {
		return nil
	}
	list := make([]gossip.SpeedFact, 0, len(facts))
	for _, f := range facts {
		list = append(list, gossip.SpeedFact(f))
	}
	c.node.metrics.speedsTold.Add(float64(len(list)))
	return gossip.EncodeSpeedFacts(list)
}

// hearSpeeds takes over what another host says of the speeds of targets.
func (c *control) hearSpeeds(m *gossip.Message) {
	if c.settings.LearnedCosts && len(m.Speeds) > 0 {
		c.node.speeds.putHeard(gossip.DecodeSpeedFacts(m.Speeds))
	}
}

// exchangeSpeeds takes in what other hosts saw of targets and prepares what this one tells.
func (f *forwarder) exchangeSpeeds(now time.Duration) {
	n := f.node
	if !n.settings.LearnedCosts {
		return
	}
	heard := n.speeds.takeHeard()
	known := f.plane.HearSpeeds(now, heard)
	n.metrics.speedsKnown.Add(float64(known))
	n.metrics.speedsUnknown.Add(float64(len(heard) - known))
	n.speeds.replaceSeen(f.plane, now)
	for _, change := range f.plane.SpeedChanges() {
		n.log.Info(logs.TargetSpeeds, logs.Text("service", change.Service), zap.Bool("uneven", change.Spread > 0),
			zap.Float64("spread", change.Spread))
	}
	faster, slower := f.plane.UnevenTargets()
	n.metrics.uneven[0].Set(float64(faster))
	n.metrics.uneven[1].Set(float64(slower))
}
