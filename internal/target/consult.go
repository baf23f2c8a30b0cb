package target

import (
	"time"

	"oriolevalve/pkg/flow"
)

// mayHaveRunBefore reports whether an earlier attempt of a non-idempotent request may
// have run under an owner whose identities this one does not have.
func (o *Owner) mayHaveRunBefore(p *pendingRequest) bool {
	return p.tracked && !provablyFirstAttempt(p.request, o.takenOverAt) && p.clearedBy&clearedByPreviousOwner == 0 && o.inTakeoverWindow(p.request)
}

// consultPreviousOwner consults the previous owner about a request that may have run
// before. It ends the request as unknown if there is no previous owner or the owner
// was already consulted.
func (o *Owner) consultPreviousOwner(p *pendingRequest) {
	if o.previousOwner == "" || p.consultedPreviousOwner {
		o.finishUnknown(p, ReasonTakeover)
		return
	}
	p.consultedPreviousOwner = true
	o.consult(p, o.previousOwner, o.self)
}

// earlierTarget returns the target whose owner may have the record of a session that
// was opened before the last table change; zero if there is none. It is the previous
// target of the bucket, whose owner was the flow owner until then. That owner in turn
// forwards to the base target.
func (o *Owner) earlierTarget(r *Request) flow.TargetID {
	switch {
	case r.Placed && !r.Assumed:
		return 0
	case r.PreviousTarget != 0 && r.PreviousTarget != o.self && !r.Placed:
		return r.PreviousTarget
	case r.BaseTarget != o.self:
		return r.BaseTarget
	default:
		return 0
	}
}

// provablyFirstAttempt reports whether no other attempt of the request can have run
// before the given time. The caller must have marked the attempt as the first one. A
// host must have accepted it after that time, since a repeat may overtake an attempt
// that is delayed at a host.
func provablyFirstAttempt(r *Request, since time.Time) bool {
	return r.HasAttempt && r.Attempt == 0 && r.AcceptedAt.After(since)
}

// inTakeoverWindow reports whether the request was accepted so soon after a takeover
// that an earlier attempt may have run under the previous owner, whose identities are
// lost.
func (o *Owner) inTakeoverWindow(r *Request) bool {
	if o.takeoverComplete {
		return false
	}
	accepted := r.AcceptedAt
	if accepted.IsZero() || accepted.After(o.now) {
		accepted = o.now
	}
	return accepted.Sub(o.takenOverAt) < RepeatWindow
}

// earlierAttemptTarget returns a target at which an earlier attempt of this first
// message may have run before the last table change, and the bit of clearedBy for its
// owner. It returns zeros if there is no such target, or all of them are cleared.
func (o *Owner) earlierAttemptTarget(p *pendingRequest) (flow.TargetID, uint32) {
	r := p.request
	if r.Idempotent || provablyFirstAttempt(r, o.tableChangedAt.Add(tableAdoptionTime)) {
		return 0, 0
	}
	// A sender with a higher revision may use a newer table, which this host has
	// not loaded yet.
	if !o.tableChangedAt.IsZero() && r.Revision <= o.revision && o.now.Sub(o.tableChangedAt) >= identityRetention {
		return 0, 0
	}
	switch {
	case r.PreviousTarget != 0 && r.PreviousTarget != o.self && r.PreviousTarget != r.BaseTarget && p.clearedBy&clearedByPreviousTarget == 0:
		return r.PreviousTarget, clearedByPreviousTarget
	case r.BaseTarget != 0 && r.BaseTarget != o.self && p.clearedBy&clearedByBaseTarget == 0:
		return r.BaseTarget, clearedByBaseTarget
	default:
		return 0, 0
	}
}

// consult asks the owner of a target about a request. If host is set, it is the
// previous owner of this target, and the consult is also a claim.
func (o *Owner) consult(p *pendingRequest, host string, target flow.TargetID) {
	p.state = stateConsulting
	o.pending[p.id] = p
	request := ConsultRequest{From: o.status.Owner, Term: o.term, Claim: host != "", Target: target, Key: p.request.Key}
	if p.request.HasAttempt && p.request.Attempt == 0 {
		request.FirstAccepted = p.request.AcceptedAt
	}
	if p.tracked {
		// A repeat that arrives during the consult joins this request.
		o.setIdentity(p.identity, identityRunning)
		o.running[p.identity] = p
		request.Identity = string(p.identity[:])
	}
	o.emit(Consult{ID: p.id, Host: host, Request: request})
}

func (o *Owner) consultAnswered(e ConsultAnswered) {
	if e.ID == 0 {
		o.claimAnswered(e.Failed)
		return
	}
	p := o.pending[e.ID]
	if p == nil || p.state != stateConsulting {
		return
	}
	clearedBit := clearedByPreviousOwner
	if p.consultedTarget != 0 {
		clearedBit = p.consultedTargetBit
	}
	o.resetForRouting(p)
	if p.inherited {
		o.setIdentity(p.identity, identityInherited)
	}
	waiters := p.waiters
	p.waiters = nil
	switch r := e.Reply; {
	case p.replied:
		if !p.inherited && !e.Failed && r.Authoritative && !r.KnownIdentity && !r.KnownSession && r.Exception == 0 {
			o.setCleared(p, clearedBit)
		}
	case p.consultedTarget != 0:
		o.earlierTargetAnswered(p, e, clearedBit)
	default:
		o.previousOwnerAnswered(p, e)
	}
	// Each waiter joins its leader again, or takes the same route as it.
	for _, w := range waiters {
		o.removePending(w)
		w.leader = nil
		o.route(w)
	}
}

// previousOwnerAnswered processes the reply of the previous owner of this target.
func (o *Owner) previousOwnerAnswered(p *pendingRequest, e ConsultAnswered) {
	o.claimAnswered(e.Failed)
	if e.Failed {
		o.route(p)
		return
	}
	if e.Reply.KnownIdentity {
		if p.tracked {
			o.setIdentity(p.identity, identityInherited)
		}
		o.finishUnknown(p, ReasonRepeatUnknown)
		return
	}
	if p.request.HasSession {
		if _, known := o.records.get(p.request.Key); !known {
			if e.Reply.Exception != 0 && e.Reply.Exception != o.self {
				exception := record{value: uint32(e.Reply.Exception), seenAndFlags: o.recordTime()}
				if e.Reply.Assumed {
					exception.seenAndFlags |= recordAssumed
				}
				o.setRecord(p.request.Key, exception)
			} else if e.Reply.KnownSession {
				o.setRecord(p.request.Key, record{value: uint32(o.self), seenAndFlags: o.recordTime()})
			}
		}
	}
	if e.Reply.Authoritative {
		o.setCleared(p, clearedByPreviousOwner)
	}
	o.route(p)
}

// earlierTargetAnswered processes the reply of the owner of p.consultedTarget, where an
// earlier attempt may have run.
func (o *Owner) earlierTargetAnswered(p *pendingRequest, e ConsultAnswered, clearedBit uint32) {
	switch {
	case e.Failed:
		o.finishUnknown(p, ReasonOwnerUnreachable)
	case e.Reply.KnownSession && p.request.HasSession:
		session := record{value: uint32(p.consultedTarget), seenAndFlags: o.recordTime() | recordTentative}
		o.setRecord(p.request.Key, session)
		o.forwardByRecord(p, session)
	case e.Reply.Exception == o.self:
		// The consulted owner has placed the session at this target. The message
		// that it forwarded may still be in transit.
		placed := *p.request
		placed.Placed = true
		p.request = &placed
		o.setCleared(p, clearedBit)
		o.route(p)
	case e.Reply.Exception != 0:
		o.forwardTo(p, p.consultedTarget, true)
	case e.Reply.KnownIdentity:
		// The session is not open there, but the owner may have the outcome. If
		// the identity expires in the meantime, an attempt number above zero keeps
		// the request from running.
		repeat := *p.request
		repeat.Attempt, repeat.FirstAttemptAt = max(repeat.Attempt, 1), time.Time{}
		p.request = &repeat
		o.forward(p, p.consultedTarget)
	case !e.Reply.Authoritative:
		// The consulted owner has handed over to a host that is not known here
		// yet. This attempt did not run. If the caller sent its number, the reply
		// can also account for earlier attempts.
		if p.request.HasAttempt {
			o.finish(p, p.request.Refusal(ReasonTakeover))
			return
		}
		o.finishUnknown(p, ReasonTakeover)
	default:
		o.setCleared(p, clearedBit)
		o.route(p)
	}
}

// authoritativeForFirst reports whether no attempt of the request can have run here
// before the takeover: its first attempt was accepted later, and the previous owner
// starts no further request.
func (o *Owner) authoritativeForFirst(request ConsultRequest) bool {
	return !o.ownershipLost && (o.previousOwner == "" || o.claimed) &&
		!request.FirstAccepted.IsZero() && request.FirstAccepted.After(o.takenOverAt)
}

// HandleConsult returns the reply to a consult of another owner. An identity that this
// owner does not have is granted to the asking owner, which may run the request from
// then on. A delayed attempt that arrives here later must not run. A claim ends the
// ownership like HandoverRequested, and the actions of the handover are returned.
func (o *Owner) HandleConsult(now time.Time, request ConsultRequest) (ConsultReply, []Action) {
	o.advanceClock(now)
	if request.Claim && request.Target == o.self && request.From != o.status.Owner {
		if o.ownershipLost && request.Key == (flow.Key{}) && request.Identity == "" && request.From != "" {
			// The new owner requests the records again, because they were lost
			// or arrived before it was ready.
			o.sendHandover(request.From)
		}
		o.handoverRequested(request.From)
	}
	reply := ConsultReply{Authoritative: o.authoritativeFor(request.From) || o.authoritativeForFirst(request)}
	if session, known := o.records.get(request.Key); known && !o.expired(session) {
		if session.value == uint32(o.self) {
			reply.KnownSession = true
		} else {
			reply.Exception = flow.TargetID(session.value)
			reply.Assumed = session.seenAndFlags&recordAssumed != 0
		}
	}
	if len(request.Identity) == len(flow.Key{}) {
		key := flow.Key([]byte(request.Identity))
		identity, seen := o.identities.get(key)
		// The same owner may consult again after it refused the request. If the
		// request had run there, that owner would have the identity.
		sameGrantee := identity.value == identityGranted && o.grantedTo[key] == grantee{request.From, request.Term}
		reply.KnownIdentity = seen && identity.value&identityCleared == 0 && !sameGrantee
		// After a handover to another host this owner is not authoritative, so the
		// asking owner does not run the request. Granting the identity would make
		// the new owner treat the request as run.
		unanswerable := o.ownershipLost && !reply.Authoritative && !request.Claim
		if !reply.KnownIdentity && !unanswerable {
			o.setIdentity(key, identityGranted)
			o.grantedTo[key] = grantee{request.From, request.Term}
		}
	}
	return reply, o.takeActions()
}

// joinSettleTime is how long after its join a target gets no new session of a moved
// bucket. By then all reachable hosts have applied the change.
const joinSettleTime = 3 * time.Second

// belongsToPreviousTarget reports whether a new session is placed at the previous
// target of its bucket, because this target has just joined. Hosts that have not yet
// received the join route the session's messages there.
func (o *Owner) belongsToPreviousTarget(r *Request) bool {
	if r.PreviousTarget == 0 || r.PreviousTarget == o.self || o.now.Sub(o.target.JoinedAt) >= joinSettleTime {
		return false
	}
	for i := range o.loads {
		if o.loads[i].Target == r.PreviousTarget {
			return o.loads[i].Eligible
		}
	}
	return false
}
