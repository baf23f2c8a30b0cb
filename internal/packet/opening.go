package packet

import "time"

const (
	// handshakeLimit is the time after which an opening that was not completed is
	// forgotten. A client gives up 1.4 s after its first packet.
	handshakeLimit = 2 * time.Second
	// answerTime is the time by which the client has the answer of a live target: several round
	// trips, and a quarter of the time after which it repeats a packet first.
	answerTime = 50 * time.Millisecond
)

// openingIntervals are the times from an opening packet and from each of its copies until the
// client sends the next copy or, after the last one, gives up.
var openingIntervals = [...]time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// superseded reports whether the client of an opening packet has sent a copy since, or has given
// up, while the host was paused and the fabric may have chosen another one.
func (k *Packet) superseded() bool {
	return k.AfterPause && k.Waited >= openingIntervals[min(int(k.Acknowledgement), len(openingIntervals)-1)]
}

// sinceFirst returns the time from a flow's first opening packet to a copy.
func (k *Packet) sinceFirst() (d time.Duration) {
	for _, interval := range openingIntervals[:min(int(k.Acknowledgement), len(openingIntervals)-1)] {
		d += interval
	}
	return d
}

// open decides on the opening packet of a flow or a copy of it.
func (p *Plane) open(now time.Duration, k *Packet) Decision {
	route := p.view.routes[k.Flow.Service]
	if route == nil {
		return Decision{Action: Refuse, Reason: ReasonNoRoute}
	}
	if k.superseded() {
		return Decision{Action: Drop, Reason: ReasonLate}
	}
	if f := p.flows[k.Flow]; f != nil && f.syn == k.Sequence && f.state != flowClosed {
		return p.openAgain(now, k, route, f)
	}
	target, reason := p.place(now, route, nil, nil)
	if target == nil {
		return Decision{Action: Refuse, Reason: reason}
	}
	f := p.flows[k.Flow]
	if f != nil {
		p.release(f)
	} else {
		f = &flowRecord{}
		p.flows[k.Flow] = f
	}
	*f = flowRecord{
		target: target, life: target.life, syn: k.Sequence, copies: k.Acknowledgement, next: k.Sequence + 1,
		active: true, requested: now, seen: now, idle: route.IdleTimeout, began: k.arrived(now) - k.sinceFirst(), placed: now, known: now,
		cost: p.costOf(k.Flow.Service),
	}
	f.weight = f.cost.flowWeight()
	target.opened(now, f.weight)
	if k.Acknowledgement > 0 {
		p.tellOpening(k.Flow, f)
	}
	return forwardOpening(now, target, reason)
}

// NoteDelay notes that the host was held up between its decision on a packet of a flow and the time
// at which the packet was sent: what the client repeated meanwhile says nothing of the target.
func (p *Plane) NoteDelay(flow Flow, decided, sent time.Duration) {
	if sent-decided < answerTime {
		return
	}
	f := p.flows[flow]
	if f == nil {
		return
	}
	f.held = sent
	if f.placed == decided {
		f.placed = sent
	}
}

// openAgain decides on a copy of the opening packet of a flow that the host knows.
func (p *Plane) openAgain(now time.Duration, k *Packet, route *Route, f *flowRecord) Decision {
	f.seen = now
	if p.evacuated(f.target) {
		return p.openElsewhere(now, k, route, f)
	}
	// A copy that arrived before the target had time to answer was sent because the opening
	// waited here, not because the target is silent.
	if f.state == flowOpen || k.Acknowledgement <= f.copies || k.arrived(now)-f.placed < answerTime {
		return forwardOpening(now, f.target, ReasonCopy)
	}
	// The client waited in vain for an answer of the target. If others got one meanwhile,
	// it was lost on its way, and the target answers the copy as well. One that answers
	// neither is full: it takes no new flow.
	lives := f.copies == 0 && f.life == f.target.life && f.target.State != Gone && f.target.answeredSince(f.placed, now) && f.target.admits(now)
	f.copies = k.Acknowledgement
	if f.life == f.target.life {
		f.target.repeat(now, f)
		f.target.unanswered = true
		p.reconsider(now, f.target)
		p.suspect(now, f.target, f.placed, false)
	}
	if lives {
		return forwardOpening(now, f.target, ReasonCopy)
	}
	next, _ := p.place(now, route, f.target, f.previous)
	if next == nil || next == f.target {
		return forwardOpening(now, f.target, ReasonCopy)
	}
	previous := f.target
	p.move(now, f, next)
	f.previous, f.placed = previous, now
	p.tellOpening(k.Flow, f)
	return forwardOpening(now, next, ReasonPlacedAgain)
}
