package target

import (
	"time"

	"oriolevalve/internal/configuration"
	"oriolevalve/pkg/flow"
)

// maximumHops ends a forwarding loop between owners whose records contradict
// each other.
const maximumHops = 4

// tableAdoptionTime is how long a reachable host may keep using the previous
// table after a change. It equals the quarantine of addresses.
const tableAdoptionTime = 10 * time.Second

type pendingState uint8

const (
	// stateConsulting waits for the reply to a Consult.
	stateConsulting pendingState = iota
	// stateQueued waits for a slot of the target.
	stateQueued
	// stateDispatched has an attempt in progress.
	stateDispatched
	stateWaitingForRetry
	// stateJoined waits for the result of an open request with the same
	// identity, the leader.
	stateJoined
)

// pendingRequest is a request from its arrival until its Finish or Forward. After
// an early Finish it stays until its attempt or consult ends.
type pendingRequest struct {
	id      uint64
	request *Request
	state   pendingState
	// replied is set if Finish was emitted while the attempt or the consult was
	// still in progress.
	replied bool
	// cancelled is set after a Cancel. The result of the attempt then does not
	// count for the target's health.
	cancelled bool
	// tracked is set for a non-idempotent request with an identity.
	tracked    bool
	identity   flow.Key
	retryCount uint8
	// consultedPreviousOwner is set once a consult was sent to the previous owner.
	consultedPreviousOwner bool
	// consultedTarget is the target whose owner was consulted about an earlier
	// attempt; zero if there is none.
	consultedTarget flow.TargetID
	// consultedTargetBit is the bit that a negative reply of that owner sets in
	// clearedBy.
	consultedTargetBit uint32
	// clearedBy has a bit for each consulted owner that does not have the
	// identity.
	clearedBy uint32
	// inherited is set if the identity was handed over during the consult.
	inherited    bool
	dispatchedAt time.Time
	retryAt      time.Time
	// leader is the open request that a request in stateJoined waits for.
	leader *pendingRequest
	// waiters are the requests that joined this one.
	waiters []*pendingRequest
}

// isFirst reports whether the request is the first one of its session. A request
// without a session always is.
func (p *pendingRequest) isFirst() bool { return p.request.First || !p.request.HasSession }

func (o *Owner) requestArrived(id uint64, r *Request) {
	o.retryBudget = min(o.retryBudget+retryBudgetPerRequest, maxRetryBudget)
	p := &pendingRequest{id: id, request: r}
	if !r.Idempotent && r.Identity != "" {
		p.tracked = true
		p.identity = identityKey(r)
	}
	o.route(p)
}

// route decides where a request is served. It runs again after a consult.
func (o *Owner) route(p *pendingRequest) {
	r := p.request
	if r.Target != o.self {
		o.refuse(p, ReasonNotOwner)
		return
	}
	var identity record
	var identityKnown bool
	if p.tracked {
		identity, identityKnown = o.identities.get(p.identity)
		if identityKnown && identity.value&identityCleared != 0 {
			identityKnown = false
			p.clearedBy = identity.value &^ identityCleared
		}
		if identityKnown && identity.value == identityGranted && r.Placed && !r.Assumed &&
			r.PlacedBy != "" && r.PlacedBy == o.grantedTo[p.identity].host {
			// The owner that the identity was granted to has placed the
			// request here.
			identityKnown = false
		}
		if identityKnown && identity.value != identityGranted {
			// This target had the first attempt, so it also answers the repeat.
			// The session record may name another target by now.
			o.handleRepeat(p, identity)
			return
		}
	}
	var session record
	var sessionKnown bool
	if r.HasSession {
		session, sessionKnown = o.records.get(r.Key)
		if sessionKnown && o.expired(session) {
			o.removeRecord(r.Key, session)
			sessionKnown = false
		}
	}
	elsewhere := sessionKnown && session.value != uint32(o.self)
	if elsewhere && !r.Placed && p.isFirst() && o.mayHaveRunBefore(p) {
		// The session may have been placed again after this record was made.
		o.consultPreviousOwner(p)
		return
	}
	if elsewhere && (!r.Placed || r.Assumed && r.Hops < maximumHops) {
		// The record takes precedence if the current flow owner only assumed the
		// base target. This owner was the flow owner earlier and has more accurate
		// information.
		o.forwardByRecord(p, session)
		return
	}
	if identityKnown {
		o.finishUnknown(p, ReasonRepeatUnknown)
		return
	}
	if o.ownershipLost {
		o.refuse(p, ReasonNotOwner)
		return
	}
	if o.stopping {
		o.refuse(p, ReasonStopping)
		return
	}
	if !o.takeoverComplete && o.previousOwner != "" && !p.consultedPreviousOwner &&
		(r.HasSession && !sessionKnown || p.tracked && p.clearedBy&clearedByPreviousOwner == 0) {
		p.consultedPreviousOwner = true
		o.consult(p, o.previousOwner, o.self)
		return
	}
	if to := o.earlierTarget(r); to != 0 && !p.isFirst() && !sessionKnown {
		assumed := record{value: uint32(to), seenAndFlags: o.recordTime() | recordAssumed}
		o.setRecord(r.Key, assumed)
		o.forwardByRecord(p, assumed)
		return
	}
	if !r.Idempotent {
		if r.Attempt > 0 && (r.FirstAttemptAt.IsZero() || o.now.Sub(r.FirstAttemptAt) >= RepeatWindow) {
			o.finishUnknown(p, ReasonRepeatUnknown)
			return
		}
		if o.mayHaveRunBefore(p) {
			o.finishUnknown(p, ReasonTakeover)
			return
		}
	}
	if r.Placed {
		o.serve(p, session, sessionKnown)
		return
	}
	if p.isFirst() && !sessionKnown {
		if to, clearedBit := o.earlierAttemptTarget(p); to != 0 {
			p.consultedTarget, p.consultedTargetBit = to, clearedBit
			o.consult(p, "", to)
			return
		}
		o.place(p)
		return
	}
	o.serve(p, session, sessionKnown)
}

// place chooses the target of a new session and serves or forwards the request.
func (o *Owner) place(p *pendingRequest) {
	r := p.request
	if o.belongsToPreviousTarget(r) {
		o.placeElsewhere(p, r.PreviousTarget)
		return
	}
	canServe := o.target.State != configuration.TargetDraining && !o.health.ejected &&
		o.sessions < o.target.Connections
	eligible := canServe && !o.remoteDataCentre
	chosen := o.self
	if o.selfLoadIndex >= 0 {
		own := &o.loads[o.selfLoadIndex]
		own.Sessions, own.InProgress, own.Queued = uint32(o.sessions), uint32(o.inFlight), uint32(len(o.queue))
		own.Eligible = eligible
		own.Decline = 1 - WarmUpShare(o.target.JoinedAt, o.policy.WarmUp.Std(), o.now)
		chosen = o.placement(r.Key, o.self, o.loads, o.policy.BalanceBound)
	} else if !eligible && len(o.loads) > 0 {
		chosen = o.placement(r.Key, o.self, o.loads, o.policy.BalanceBound)
	}
	if chosen == 0 && canServe {
		chosen = o.self
	}
	switch {
	case chosen == o.self && canServe:
		o.serve(p, record{}, false)
	case chosen == 0 || chosen == o.self:
		o.refuse(p, o.refusalReason())
	default:
		o.placeElsewhere(p, chosen)
	}
}

func (o *Owner) refusalReason() Reason {
	switch {
	case o.health.ejected:
		return ReasonTargetDown
	case o.target.State != configuration.TargetDraining:
		return ReasonConnectionLimit
	default:
		return ReasonNoTarget
	}
}

// placeElsewhere forwards a new session to another target and records it as
// tentative.
func (o *Owner) placeElsewhere(p *pendingRequest, chosen flow.TargetID) {
	for i := range o.loads {
		if o.loads[i].Target == chosen {
			// Gossip takes up to two seconds to update the count. Counting the
			// session now keeps a burst from going to one target.
			o.loads[i].Sessions++
		}
	}
	if p.request.HasSession {
		r := record{value: uint32(chosen), seenAndFlags: o.recordTime() | recordTentative}
		o.setRecord(p.request.Key, r)
		o.forwardByRecord(p, r)
		return
	}
	o.forward(p, chosen)
}

// forwardByRecord forwards a request to the target that its session record names
// and refreshes the record.
func (o *Owner) forwardByRecord(p *pendingRequest, session record) {
	key := p.request.Key
	seen := o.recordTime()
	if !p.isFirst() {
		// A message after the first one proves that the session is open.
		seen |= session.seenAndFlags & recordFlags &^ recordTentative
	} else {
		if session.seenAndFlags&recordTentative == 0 {
			// The record keeps the time of the last message of the open
			// session, but must not expire before this request ends.
			seen = max(session.lastSeen(), seen-min(seen, o.exceptionTimeout()-recordTimeUnits(MaxRequestTime)))
		}
		seen |= session.seenAndFlags & recordFlags
		o.openForwards[key]++
	}
	o.records.put(key, record{value: session.value, seenAndFlags: seen})
	o.forwardTo(p, flow.TargetID(session.value), session.seenAndFlags&recordAssumed != 0)
}

func (o *Owner) forward(p *pendingRequest, to flow.TargetID) { o.forwardTo(p, to, false) }

// forwardTo emits a Forward that marks the request as placed. If the base rule
// chose the target, the request is also marked as assumed.
func (o *Owner) forwardTo(p *pendingRequest, to flow.TargetID, assumed bool) {
	r := *p.request
	r.Target, r.Placed, r.PlacedBy, r.Assumed, r.PreviousTarget = to, true, o.status.Owner, assumed, 0
	if !assumed || to == r.BaseTarget {
		r.BaseTarget = 0
	}
	o.emit(Forward{ID: p.id, Target: to, Request: &r})
}

// forwardFinished removes the record of a session that provably was not opened,
// so that the caller's repeat is placed again.
func (o *Owner) forwardFinished(e ForwardFinished) {
	openForwards := o.openForwards[e.Key]
	if openForwards <= 1 {
		delete(o.openForwards, e.Key)
	} else {
		o.openForwards[e.Key] = openForwards - 1
	}
	session, known := o.records.get(e.Key)
	if !known || session.value != uint32(e.Target) || e.Target == o.self {
		return
	}
	if e.Reply.Outcome != OutcomeNotRun {
		o.records.put(e.Key, record{value: session.value, seenAndFlags: o.recordTime() | session.seenAndFlags&recordAssumed})
		return
	}
	// Another first message is in progress and may still open the session.
	if openForwards > 1 {
		return
	}
	// The target may hold identities of an earlier session with the same key.
	// Repeats must be routed to them until they expire.
	identitiesExpired := e.Reply.Reason == ReasonPlacementRefused && o.recordTime()-session.lastSeen() >= recordTimeUnits(identityRetention)
	if session.seenAndFlags&recordTentative != 0 || identitiesExpired {
		o.removeRecord(e.Key, session)
	}
}

// serve admits a request to this target or refuses it.
func (o *Owner) serve(p *pendingRequest, session record, known bool) {
	known = known && session.value == uint32(o.self)
	if p.isFirst() && !known {
		switch {
		case o.target.State == configuration.TargetDraining, o.health.ejected:
			o.refuse(p, ReasonPlacementRefused)
			return
		case o.sessions >= o.target.Connections:
			o.refuse(p, ReasonConnectionLimit)
			return
		}
	} else if o.health.refusesSessions() {
		o.refuse(p, ReasonTargetDown)
		return
	}
	if reason := o.admit(p); reason != ReasonNone {
		o.refuse(p, reason)
		return
	}
	if p.request.HasSession {
		var flags uint32
		if p.isFirst() && (!known || session.seenAndFlags&recordTentative != 0) {
			flags = recordTentative
		}
		o.setRecord(p.request.Key, record{value: uint32(o.self), seenAndFlags: o.recordTime() | flags})
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

// expired reports whether a session record has had no message for the idle
// timeout, or an exception record for the exception timeout.
func (o *Owner) expired(r record) bool {
	limit := recordTimeUnits(o.policy.IdleTimeout.Std())
	if r.value != uint32(o.self) {
		limit = o.exceptionTimeout()
	}
	return o.recordTime()-r.lastSeen() >= limit
}

// exceptionTimeout returns the time without messages after which an exception
// record expires, in the unit of records. It exceeds the retention of identities by
// MaxRequestTime, since a repeat must reach the target that has the identity of its
// first attempt.
func (o *Owner) exceptionTimeout() uint32 {
	return recordTimeUnits(max(o.policy.IdleTimeout.Std(), identityRetention) + MaxRequestTime)
}

// setRecord stores a record and updates the session count. A new exception record
// is also listed for the backup, unless the base rule made it.
func (o *Owner) setRecord(key flow.Key, r record) {
	before, known := o.records.get(key)
	if known && before.value == uint32(o.self) {
		o.sessions--
	}
	if r.value == uint32(o.self) {
		o.sessions++
	} else if r.seenAndFlags&recordAssumed == 0 && (!known || before.value != r.value || before.seenAndFlags&recordAssumed != 0) {
		o.uncopiedExceptions = append(o.uncopiedExceptions, flow.Record{Key: key, Target: flow.TargetID(r.value)})
	}
	o.records.put(key, r)
}

func (o *Owner) removeRecord(key flow.Key, r record) {
	if r.value == uint32(o.self) {
		o.sessions--
	}
	o.records.remove(key)
}
