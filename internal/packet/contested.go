package packet

import "time"

// contestedLimit bounds the contested flows that a host remembers; the oldest give way.
const contestedLimit = 4096

// ContestedFlow is a flow whose opening was sent to more than one target, or maybe through more
// than one host. All of these targets may have answered: their tags, which the client returns, then
// lead to targets that do not hold the flow. The host that sees the flow open tells the others where
// it is.
type ContestedFlow struct {
	Flow Flow
	// Target is the one at which the flow is open; zero while only its opening is known.
	Target TargetKey
	// Sequence is the one of the client's first packet after the handshake or, without a target,
	// the one before it, of the opening packet.
	Sequence uint32
	// Opened is the time at which the flow opened or, without a target, of its opening packet.
	Opened time.Duration
}

// opens reports whether c says where a flow opened of which only the opening is known.
func (c *ContestedFlow) opens(known *ContestedFlow) bool {
	return c.Target != 0 && known.Target == 0 && c.Sequence == known.Sequence+1
}

// Supersedes reports whether what c says takes the place of what is known of a flow. Of several
// hosts that took a flow's first packet the first one is right: a repeat of it may have another tag.
func (c *ContestedFlow) Supersedes(known *ContestedFlow) bool {
	switch {
	case c.opens(known):
		return true
	case known.opens(c):
		return false
	case c.Sequence == known.Sequence:
		return c.Target != known.Target && c.Opened < known.Opened
	default:
		return c.Opened > known.Opened
	}
}

// contestedFlows are the contested flows that a host knows.
type contestedFlows struct {
	flows map[Flow]ContestedFlow
	// order holds them in the order of their news, with what was superseded since.
	order []ContestedFlow
	// untold holds what other hosts are to be told.
	untold []ContestedFlow
}

// add notes a flow and reports whether that is news.
func (s *contestedFlows) add(c *ContestedFlow) bool {
	if known, found := s.flows[c.Flow]; found && !c.Supersedes(&known) {
		return false
	}
	s.flows[c.Flow] = *c
	s.order = append(s.order, *c)
	for len(s.flows) > contestedLimit {
		s.forgetFirst()
	}
	return true
}

func (s *contestedFlows) forgetFirst() {
	if first := &s.order[0]; s.flows[first.Flow] == *first {
		delete(s.flows, first.Flow)
	}
	s.order = s.order[1:]
}

// WithFlowLifetime sets the time for which a flow may be open.
func WithFlowLifetime(d time.Duration) PlaneOption { return func(p *Plane) { p.flowLifetime = d } }

// ContestedFlows returns what other hosts are to be told of contested flows since the last call.
func (p *Plane) ContestedFlows() []ContestedFlow {
	list := p.contested.untold
	p.contested.untold = nil
	return list
}

// AddContestedFlow notes what another host says of a contested flow.
func (p *Plane) AddContestedFlow(c ContestedFlow) {
	if !p.contested.add(&c) || c.Target != 0 {
		return
	}
	// The flow may have opened through this host before the news arrived.
	if f := p.flows[c.Flow]; f != nil && f.state == flowOpen && f.syn == c.Sequence {
		p.tellOpenFlow(c.Flow, f)
	}
}

// tellOpening tells other hosts of an opening that went to several targets or through several
// hosts: one of them may be the one that sees the flow open.
func (p *Plane) tellOpening(flow Flow, f *flowRecord) {
	f.contested = true
	p.tellContested(&ContestedFlow{Flow: flow, Sequence: f.syn, Opened: f.began})
}

// tellOpenFlow tells other hosts at which target a flow is open. The caller saw its first packet.
func (p *Plane) tellOpenFlow(flow Flow, f *flowRecord) {
	p.tellContested(&ContestedFlow{Flow: flow, Target: f.target.Key, Sequence: f.syn + 1, Opened: max(f.known, f.began)})
}

func (p *Plane) tellContested(c *ContestedFlow) {
	if p.contested.add(c) {
		p.contested.untold = append(p.contested.untold, *c)
	}
}

// contestedTarget returns the target at which the contested flow of a packet is open; nil if
// that is not known. A packet far from the flow's is of a later one.
func (p *Plane) contestedTarget(k *Packet) *targetRecord {
	c, found := p.contested.flows[k.Flow]
	if !found {
		return nil
	}
	if distance := int32(k.Sequence - c.Sequence); distance > sequenceWindow || distance < -sequenceWindow {
		return nil
	}
	if t := p.targets[c.Target]; t != nil && t.entry != nil {
		return t
	}
	return nil
}

// opensElsewhere reports whether a packet is the first one of a flow whose contested opening
// another host took.
func (p *Plane) opensElsewhere(k *Packet) bool {
	c, found := p.contested.flows[k.Flow]
	return found && c.Target == 0 && c.Sequence+1 == k.Sequence
}

// forgetContested forgets flows that are older than any open flow. A target repeats its answer to
// an opening for 9.4 s, and its tag may be the client's until the flow's next request.
func (p *Plane) forgetContested(now time.Duration) {
	for len(p.contested.order) > 0 && now-p.contested.order[0].Opened > p.flowLifetime {
		p.contested.forgetFirst()
	}
}
