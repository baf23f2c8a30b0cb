package target

import (
	"time"

	"oriolevalve/internal/configuration"
	"oriolevalve/pkg/flow"
)

// maximumHops ends the forwarding of a request between owners whose records
// contradict each other.
const maximumHops = 4

// adoptionTime is how long a reachable host may use the table before a move. It
// equals the quarantine of addresses.
const adoptionTime = 10 * time.Second

type pendingState uint8

const (
	stateConsulting pendingState = iota
	stateQueued
	stateDispatched
	stateWaitingForRetry
	stateJoined
)

// pending is a request between its arrival and its last action.
type pending struct {
	id      uint64
	request *Request
	state   pendingState
	// gone is set once the caller got its Finish; the attempt may go on.
	gone bool
	// cancelled is set after a Cancel, so that the result says nothing about
	// the target's health.
	cancelled bool
	// tracked is set for a non-idempotent request with an identity.
	tracked  bool
	identity flow.Key
	tries    uint8
	// askedPrevious is set after the consult of the previous owner.
	askedPrevious bool
	// asked is the target whose owner is asked about an earlier attempt, and
	// askedAs the bit of freedBy for its answer.
	asked   flow.TargetID
	askedAs uint32
	// freedBy says which owners do not know the identity.
	freedBy uint32
	// inherited is set if the identity was handed over during the consult.
	inherited    bool
	dispatchedAt time.Time
	retryAt      time.Time
	leader       *pending
	waiters      []*pending
}

func (p *pending) first() bool { return p.request.First || !p.request.HasSession }

func (o *Owner) arrive(id uint64, r *Request) {
	o.budget = min(o.budget+retryShare, budgetLimit)
	p := &pending{id: id, request: r}
	if !r.Idempotent && r.Identity != "" {
		p.tracked = true
		p.identity = identityKey(r)
	}
	o.route(p)
}

// route decides where a request is served. It runs again after a consult.
func (o *Owner) route(p *pending) {
	r := p.request
	if r.Target != o.self {
		o.refuse(p, ReasonNotOwner)
		return
	}
	var identity record
	var seen bool
	if p.tracked {
		identity, seen = o.identities.get(p.identity)
		if seen && identity.value&identityFree != 0 {
			seen = false
			p.freedBy = identity.value &^ identityFree
		}
		if seen && identity.value == identityYielded && r.Placed && !r.Assumed &&
			r.PlacedBy != "" && r.PlacedBy == o.yieldedTo[p.identity].host {
			// The owner that asked has placed the request here itself.
			seen = false
		}
		if seen && identity.value != identityYielded {
			// A repeat is settled where its first attempt was, whatever the
			// records say now.
			o.repeat(p, identity)
			return
		}
	}
	var session record
	var known bool
	if r.HasSession {
		session, known = o.records.get(r.Key)
		if known && o.expired(session) {
			o.removeRecord(r.Key, session)
			known = false
		}
	}
	elsewhere := known && session.value != uint32(o.self)
	if elsewhere && !r.Placed && p.first() && o.doubtful(p) {
		// The record may be older than the last placement of this session.
		o.askPrevious(p)
		return
	}
	if elsewhere && (!r.Placed || r.Assumed && r.Hops < maximumHops) {
		// This owner was the flow owner before and knows better than one that
		// only assumed the base target.
		o.forwardRecorded(p, session)
		return
	}
	if seen {
		o.finishUnknown(p, ReasonRepeatUnknown)
		return
	}
	if o.lost {
		o.refuse(p, ReasonNotOwner)
		return
	}
	if o.stopping {
		o.refuse(p, ReasonStopping)
		return
	}
	if !o.complete && o.previous != "" && !p.askedPrevious &&
		(r.HasSession && !known || p.tracked && p.freedBy&freeByPrevious == 0) {
		p.askedPrevious = true
		o.consult(p, o.previous, o.self)
		return
	}
	if to := o.earlier(r); to != 0 && !p.first() && !known {
		assumed := record{value: uint32(to), seen: o.stamp() | recordAssumed}
		o.setRecord(r.Key, assumed)
		o.forwardRecorded(p, assumed)
		return
	}
	if !r.Idempotent {
		if r.Attempt > 0 && (r.FirstAttemptAt.IsZero() || o.now.Sub(r.FirstAttemptAt) >= RepeatWindow) {
			o.finishUnknown(p, ReasonRepeatUnknown)
			return
		}
		if o.doubtful(p) {
			o.finishUnknown(p, ReasonTakeover)
			return
		}
	}
	if r.Placed {
		o.serve(p, session, known)
		return
	}
	if p.first() && !known {
		if to, by := o.earlierAttempt(p); to != 0 {
			p.asked, p.askedAs = to, by
			o.consult(p, "", to)
			return
		}
		o.place(p)
		return
	}
	o.serve(p, session, known)
}

// place chooses the target of a new session.
func (o *Owner) place(p *pending) {
	r := p.request
	if o.unsettled(r) {
		o.placeElsewhere(p, r.PreviousTarget)
		return
	}
	acceptable := o.target.State != configuration.TargetDraining && !o.opinion.ejected &&
		o.sessions < o.target.Connections
	wanted := acceptable && !o.foreign
	chosen := o.self
	if o.selfLoad >= 0 {
		l := &o.loads[o.selfLoad]
		l.Sessions, l.InProgress, l.Queued = uint32(o.sessions), uint32(o.inFlight), uint32(len(o.queue))
		l.Eligible = wanted
		l.Decline = 1 - WarmUpShare(o.target.JoinedAt, o.policy.WarmUp.Std(), o.now)
		chosen = o.placement(r.Key, o.self, o.loads, o.policy.BalanceBound)
	} else if !wanted && len(o.loads) > 0 {
		chosen = o.placement(r.Key, o.self, o.loads, o.policy.BalanceBound)
	}
	if chosen == 0 && acceptable {
		chosen = o.self
	}
	switch {
	case chosen == o.self && acceptable:
		o.serve(p, record{}, false)
	case chosen == 0 || chosen == o.self:
		o.refuse(p, o.refusalReason())
	default:
		o.placeElsewhere(p, chosen)
	}
}

func (o *Owner) refusalReason() Reason {
	switch {
	case o.opinion.ejected:
		return ReasonTargetDown
	case o.target.State != configuration.TargetDraining:
		return ReasonConnectionLimit
	default:
		return ReasonNoTarget
	}
}

func (o *Owner) placeElsewhere(p *pending, chosen flow.TargetID) {
	for i := range o.loads {
		if o.loads[i].Target == chosen {
			// Gossip brings the true count in up to two seconds. Until then
			// this keeps a burst from going to one target.
			o.loads[i].Sessions++
		}
	}
	if p.request.HasSession {
		r := record{value: uint32(chosen), seen: o.stamp() | recordTentative}
		o.setRecord(p.request.Key, r)
		o.forwardRecorded(p, r)
		return
	}
	o.forward(p, chosen)
}

func (o *Owner) forwardRecorded(p *pending, session record) {
	key := p.request.Key
	seen := o.stamp()
	if !p.first() {
		// A later message shows that the session is open.
		seen |= session.seen & recordFlags &^ recordTentative
	} else {
		if session.seen&recordTentative == 0 {
			// The record is as old as the last message of the open session. It
			// must only outlive this request.
			seen = max(session.at(), seen-min(seen, o.exceptionTime()-stampSpan(MaxRequestTime)))
		}
		seen |= session.seen & recordFlags
		o.forwards[key]++
	}
	o.records.put(key, record{value: session.value, seen: seen})
	o.forwardAs(p, flow.TargetID(session.value), session.seen&recordAssumed != 0)
}

func (o *Owner) forward(p *pending, to flow.TargetID) { o.forwardAs(p, to, false) }

func (o *Owner) forwardAs(p *pending, to flow.TargetID, assumed bool) {
	r := *p.request
	r.Target, r.Placed, r.PlacedBy, r.Assumed, r.PreviousTarget = to, true, o.status.Owner, assumed, 0
	if !assumed || to == r.BaseTarget {
		r.BaseTarget = 0
	}
	o.emit(Forward{ID: p.id, Target: to, Request: &r})
}

// forwardFinished drops the record of a session that provably was not opened,
// so that the caller's repeat is placed afresh.
func (o *Owner) forwardFinished(e ForwardFinished) {
	open := o.forwards[e.Key]
	if open <= 1 {
		delete(o.forwards, e.Key)
	} else {
		o.forwards[e.Key] = open - 1
	}
	session, known := o.records.get(e.Key)
	if !known || session.value != uint32(e.Target) || e.Target == o.self {
		return
	}
	if e.Reply.Outcome != OutcomeNotRun {
		o.records.put(e.Key, record{value: session.value, seen: o.stamp() | session.seen&recordAssumed})
		return
	}
	// While another first message is under way it may still open the session.
	if open > 1 {
		return
	}
	// The target may have identities of an earlier session of the same key,
	// which a repeat must find until they are forgotten.
	ended := e.Reply.Reason == ReasonPlacementRefused && o.stamp()-session.at() >= stampSpan(identityTime)
	if session.seen&recordTentative != 0 || ended {
		o.removeRecord(e.Key, session)
	}
}

// serve admits a request to this target.
func (o *Owner) serve(p *pending, session record, known bool) {
	known = known && session.value == uint32(o.self)
	if p.first() && !known {
		switch {
		case o.target.State == configuration.TargetDraining, o.opinion.ejected:
			o.refuse(p, ReasonPlacementRefused)
			return
		case o.sessions >= o.target.Connections:
			o.refuse(p, ReasonConnectionLimit)
			return
		}
	} else if o.opinion.down() {
		o.refuse(p, ReasonTargetDown)
		return
	}
	if reason := o.admit(p); reason != ReasonNone {
		o.refuse(p, reason)
		return
	}
	if p.request.HasSession {
		var flags uint32
		if p.first() && (!known || session.seen&recordTentative != 0) {
			flags = recordTentative
		}
		o.setRecord(p.request.Key, record{value: uint32(o.self), seen: o.stamp() | flags})
	}
	if p.tracked {
		o.setIdentity(p.identity, identityRunning)
		o.running[p.identity] = p
	}
	o.pending[p.id] = p
	if len(o.queue) == 0 && o.freeSlots() > 0 {
		o.dispatch(p)
		return
	}
	o.enqueue(p)
}

func (o *Owner) expired(r record) bool {
	limit := stampSpan(o.policy.IdleTimeout.Std())
	if r.value != uint32(o.self) {
		limit = o.exceptionTime()
	}
	return o.stamp()-r.at() >= limit
}

// exceptionTime returns the time, as records hold it, after which a silent
// exception ends. It outlives the identities, since a repeat must find the
// target that has the identity of its first attempt, by one request.
func (o *Owner) exceptionTime() uint32 {
	return stampSpan(max(o.policy.IdleTimeout.Std(), identityTime) + MaxRequestTime)
}

func (o *Owner) setRecord(key flow.Key, r record) {
	before, known := o.records.get(key)
	if known && before.value == uint32(o.self) {
		o.sessions--
	}
	if r.value == uint32(o.self) {
		o.sessions++
	} else if r.seen&recordAssumed == 0 && (!known || before.value != r.value || before.seen&recordAssumed != 0) {
		o.changed = append(o.changed, flow.Record{Key: key, Target: flow.TargetID(r.value)})
	}
	o.records.put(key, r)
}

func (o *Owner) removeRecord(key flow.Key, r record) {
	if r.value == uint32(o.self) {
		o.sessions--
	}
	o.records.remove(key)
}
