package gossip

import (
	"net/netip"
	"time"

	"oriolevalve/internal/packet"
)

const (
	// contestedPerMessage bounds the contested flows of a message at 40 bytes each: with the rest
	// of a message they fit one frame of a network.
	contestedPerMessage = 24
	// contestedRounds is the number of messages to each data centre in which a host tells a
	// flow with all others: after that nearly all hosts know it. Then there is one flow in each
	// message.
	contestedRounds = 8
	// contestedAccepted bounds those that are read of a message.
	contestedAccepted = 64
	// contestedRemembered bounds those that are told to others: a few thousand new flows a second,
	// of which one in ten is contested, for ten seconds. The oldest that were told give way.
	contestedRemembered = 4096
)

// ContestedFlow is a contested flow on the wire. A host of a build that knows no flows without a
// target takes such a one for one of a target that has ended, and follows the tag.
type ContestedFlow struct {
	Client  netip.AddrPort `cbor:"1,keyasint"`
	Service netip.AddrPort `cbor:"2,keyasint"`
	// Target is the key of the target, Sequence that of the client's first packet after the
	// handshake. Without a target, Sequence is that of the opening packet.
	Target   uint64 `cbor:"3,keyasint"`
	Sequence uint32 `cbor:"4,keyasint"`
	// Age is the time in milliseconds since the flow opened or, without a target, since its opening
	// packet.
	Age int64 `cbor:"5,keyasint"`
}

// valid reports whether the values can be those of a flow.
func (c *ContestedFlow) valid() bool {
	return c.Client.Addr().Is4() && c.Service.Addr().Is4() && c.Age >= 0 && c.Age <= ageLimit.Milliseconds()
}

// Flow returns the flow that was told at a time.
func (c *ContestedFlow) Flow(now time.Duration) packet.ContestedFlow {
	return packet.ContestedFlow{
		Flow: packet.Flow{Client: c.Client, Service: c.Service}, Target: packet.TargetKey(c.Target), Sequence: c.Sequence,
		Opened: now - time.Duration(c.Age)*time.Millisecond,
	}
}

// contestedEntry is a flow that the host tells others.
type contestedEntry struct {
	packet.ContestedFlow
	// own is set if the host saw the flow itself.
	own bool
	// told is the number of messages that named the flow.
	told int
	// superseded is set once something else is known of the flow.
	superseded bool
}

func (e *contestedEntry) wire(now time.Duration) ContestedFlow {
	return ContestedFlow{
		Client: e.Flow.Client, Service: e.Flow.Service, Target: uint64(e.Target), Sequence: e.Sequence,
		Age: max(now-e.Opened, 0).Milliseconds(),
	}
}

// ContestedFlows are the flows of which hosts tell each other. They spread like other news: a
// message names those first that were told least.
type ContestedFlows struct {
	span  time.Duration
	flows map[packet.Flow]*contestedEntry
	// untold holds those that no message named yet, spreading those that few did, and spread the
	// others, each in the order of their news or of their last message.
	untold, spreading, spread []*contestedEntry
	// ownUntold is the number of own flows among untold, leftOut that of flows that gave way before
	// a message named them.
	ownUntold, leftOut int
}

// NewContestedFlows returns a list of flows that are told for a time, so that hosts which start
// meanwhile hear of them as well.
func NewContestedFlows(span time.Duration) *ContestedFlows {
	return &ContestedFlows{span: span, flows: map[packet.Flow]*contestedEntry{}}
}

// Add notes a flow and reports whether it is new here and still worth telling. Own flows are those
// that this host saw.
func (s *ContestedFlows) Add(c packet.ContestedFlow, own bool, now time.Duration) bool {
	if now-c.Opened > s.span {
		return false
	}
	if known := s.flows[c.Flow]; known != nil {
		if !c.Supersedes(&known.ContestedFlow) {
			return false
		}
		known.superseded = true
	}
	e := &contestedEntry{ContestedFlow: c, own: own}
	s.flows[c.Flow] = e
	s.addUntold(e)
	for len(s.flows) > contestedRemembered {
		s.forgetOldest()
	}
	return true
}

func (s *ContestedFlows) addUntold(e *contestedEntry) {
	s.untold = append(s.untold, e)
	if e.own {
		s.ownUntold++
	}
}

// take takes the first flow off a list.
func (s *ContestedFlows) take(list *[]*contestedEntry) *contestedEntry {
	e := (*list)[0]
	*list = (*list)[1:]
	if list == &s.untold && e.own {
		s.ownUntold--
	}
	return e
}

// forgetOldest forgets the oldest of the flows that were told most.
func (s *ContestedFlows) forgetOldest() {
	for _, list := range []*[]*contestedEntry{&s.spread, &s.spreading, &s.untold} {
		for len(*list) > 0 {
			e := s.take(list)
			if e.superseded {
				continue
			}
			if list == &s.untold {
				s.leftOut++
			}
			delete(s.flows, e.Flow)
			return
		}
	}
}

// TakeLeftOut returns the number of flows since the last call that were told to nobody.
func (s *ContestedFlows) TakeLeftOut() int {
	left := s.leftOut
	s.leftOut = 0
	return left
}

// Urgent reports whether the next message has to be sent at once: flows that this host saw are
// in none, or more flows than one takes.
func (s *ContestedFlows) Urgent() bool { return s.ownUntold > 0 || len(s.untold) > contestedPerMessage }

// Next returns the flows for a message.
func (s *ContestedFlows) Next(now time.Duration) []ContestedFlow {
	var list []ContestedFlow
	var named []*contestedEntry
	for _, source := range []*[]*contestedEntry{&s.untold, &s.spreading, &s.spread} {
		for len(*source) > 0 && len(list) < contestedPerMessage && (source != &s.spread || len(list) == 0) {
			e := s.take(source)
			switch {
			case e.superseded:
				continue
			case now-e.Opened > s.span:
				delete(s.flows, e.Flow)
				continue
			}
			if source == &s.spreading && e.told >= contestedRounds {
				s.spread = append(s.spread, e)
				continue
			}
			e.told++
			list = append(list, e.wire(now))
			named = append(named, e)
		}
	}
	for _, e := range named {
		if e.told < contestedRounds {
			s.spreading = append(s.spreading, e)
		} else {
			s.spread = append(s.spread, e)
		}
	}
	return list
}

// TellOwnAgain makes the next messages name the flows that this host saw, as if no message had.
func (s *ContestedFlows) TellOwnAgain() {
	for _, list := range []*[]*contestedEntry{&s.spreading, &s.spread} {
		rest := (*list)[:0]
		for _, e := range *list {
			if e.own {
				e.told = 0
				s.addUntold(e)
			} else {
				rest = append(rest, e)
			}
		}
		*list = rest
	}
}

// All returns all flows in parts for messages, for a host that may lack any.
func (s *ContestedFlows) All(now time.Duration) [][]ContestedFlow {
	var parts [][]ContestedFlow
	var part []ContestedFlow
	for _, e := range s.flows {
		if now-e.Opened > s.span {
			continue
		}
		if part = append(part, e.wire(now)); len(part) == contestedPerMessage {
			parts, part = append(parts, part), nil
		}
	}
	if len(part) > 0 {
		parts = append(parts, part)
	}
	return parts
}
