package node

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"oriolevalve/internal/catalog"
	"oriolevalve/internal/gossip"
	"oriolevalve/internal/logs"
	"oriolevalve/internal/packet"

	"go.uber.org/zap"
)

const (
	// contestedQueue bounds the flows that wait for the other goroutine; the oldest give way.
	contestedQueue = 4096
	// contestedMessages bounds the messages between two looks at what is due.
	contestedMessages = 8
	// toldAllAgain is the time after which a host that still asks is told all again.
	toldAllAgain = time.Second
	// askContested is the time for which a host asks others for all contested flows.
	askContested = time.Second
)

// contestedExchange passes contested flows between the goroutine of packets and that of the control
// state.
type contestedExchange struct {
	mutex       sync.Mutex
	seen, heard []packet.ContestedFlow
	// left is the number of flows that found no room; unread is set while heard is not empty.
	left   int
	unread atomic.Bool
}

func (e *contestedExchange) add(queue *[]packet.ContestedFlow, flows ...packet.ContestedFlow) {
	*queue = append(*queue, flows...)
	if over := len(*queue) - contestedQueue; over > 0 {
		e.left += over
		*queue = (*queue)[over:]
	}
}

// putSeen passes flows that this host saw to the control goroutine.
func (e *contestedExchange) putSeen(flows []packet.ContestedFlow) {
	if len(flows) == 0 {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.add(&e.seen, flows...)
}

// takeSeen returns the flows that this host saw, and the number of those that found no room in
// either direction.
func (e *contestedExchange) takeSeen() (flows []packet.ContestedFlow, left int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	flows, left = e.seen, e.left
	e.seen, e.left = nil, 0
	return flows, left
}

// putHeard passes a flow that another host told of to the goroutine of packets.
func (e *contestedExchange) putHeard(c packet.ContestedFlow) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.add(&e.heard, c)
	e.unread.Store(true)
}

// takeHeard returns the flows that other hosts told of.
func (e *contestedExchange) takeHeard() []packet.ContestedFlow {
	if !e.unread.Load() {
		return nil
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	flows := e.heard
	e.heard = nil
	e.unread.Store(false)
	return flows
}

// takeContested takes the contested flows that this host saw into the messages to others.
func (c *control) takeContested(now time.Duration) {
	flows, left := c.node.contested.takeSeen()
	for _, f := range flows {
		c.contested.Add(f, true, now)
	}
	c.node.metrics.contestedLeftOut.Add(float64(left + c.contested.TakeLeftOut()))
}

// tellContested sends messages while contested flows wait for them. It reports whether it sent any.
func (c *control) tellContested(now time.Duration) bool {
	c.takeContested(now)
	told := false
	for range contestedMessages {
		if !c.contested.Urgent() {
			break
		}
		c.speak()
		told = true
	}
	return told
}

// wantContested asks others for all contested flows, since news may have been lost.
func (c *control) wantContested(now time.Duration) { c.wantsContested = now + askContested }

// tellAllContested tells a host that asks of all contested flows. One that starts may take packets
// of them as soon as it is ready; it does not ask if it is of an earlier build.
func (c *control) tellAllContested(m *gossip.Message, now time.Duration) {
	maps.DeleteFunc(c.toldAll, func(_ string, at time.Duration) bool { return now-at > toldAllAgain })
	if _, told := c.toldAll[m.From.ID]; told || m.States[catalog.Targets].Valid && !m.WantsContested {
		return
	}
	c.toldAll[m.From.ID] = now
	for _, part := range c.contested.All(now) {
		answer := c.message(now, nil)
		answer.Answer, answer.Contested = true, part
		c.tell(answer, m.From.Address)
	}
}

// hearContested takes over what another host says of contested flows.
func (c *control) hearContested(m *gossip.Message, now time.Duration) {
	for i := range m.Contested {
		f := m.Contested[i].Flow(now)
		if !c.contested.Add(f, false, now) {
			continue
		}
		c.node.log.Info(logs.FlowContested, zap.Stringer("client", f.Flow.Client), zap.Stringer("service", f.Flow.Service),
			zap.Uint64("target_key", uint64(f.Target)), zap.String("source", m.From.ID), zap.Duration("age", now-f.Opened))
		c.node.contested.putHeard(f)
	}
}
