package target

import (
	"time"

	"oriolevalve/pkg/flow"
)

// doubtful reports whether an earlier attempt of the request may have run under
// an owner whose identities this one does not have.
func (o *Owner) doubtful(p *pending) bool {
	return p.tracked && !surelyFirst(p.request, o.takenOverAt) && p.freedBy&freeByPrevious == 0 && o.inTakeover(p.request)
}

// askPrevious consults the previous owner about a doubtful request, or ends it
// if there is nobody to ask.
func (o *Owner) askPrevious(p *pending) {
	if o.previous == "" || p.askedPrevious {
		o.finishUnknown(p, ReasonTakeover)
		return
	}
	p.askedPrevious = true
	o.consult(p, o.previous, o.self)
}

// earlier returns the target whose owner knows more about a session that was
// opened before the table moved: the previous target of the bucket, whose owner
// was the flow owner until then, or from there the base target.
func (o *Owner) earlier(r *Request) flow.TargetID {
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

// surelyFirst reports whether the caller states that this is the first attempt
// and no repeat of it can have run before the given time. A repeat may overtake
// an attempt that is held up at a host, so the attempt must be accepted later.
func surelyFirst(r *Request, since time.Time) bool {
	return r.HasAttempt && r.Attempt == 0 && r.AcceptedAt.After(since)
}

// inTakeover reports whether an earlier attempt of the request may have run
// under an owner whose identities are lost.
func (o *Owner) inTakeover(r *Request) bool {
	if o.complete {
		return false
	}
	accepted := r.AcceptedAt
	if accepted.IsZero() || accepted.After(o.now) {
		accepted = o.now
	}
	return accepted.Sub(o.takenOverAt) < RepeatWindow
}

// earlierAttempt returns a target at which the first attempt of this first
// message may have run, before the table moved.
func (o *Owner) earlierAttempt(p *pending) (flow.TargetID, uint32) {
	r := p.request
	if r.Idempotent || surelyFirst(r, o.tableMovedAt.Add(adoptionTime)) {
		return 0, 0
	}
	// A sender with a higher revision knows of a move that this host has not
	// adopted yet.
	if !o.tableMovedAt.IsZero() && r.Revision <= o.revision && o.now.Sub(o.tableMovedAt) >= identityTime {
		return 0, 0
	}
	switch {
	case r.PreviousTarget != 0 && r.PreviousTarget != o.self && r.PreviousTarget != r.BaseTarget && p.freedBy&freeByEarlier == 0:
		return r.PreviousTarget, freeByEarlier
	case r.BaseTarget != 0 && r.BaseTarget != o.self && p.freedBy&freeByBase == 0:
		return r.BaseTarget, freeByBase
	default:
		return 0, 0
	}
}

func (o *Owner) consult(p *pending, host string, target flow.TargetID) {
	p.state = stateConsulting
	o.pending[p.id] = p
	request := ConsultRequest{From: o.status.Owner, Term: o.term, Claim: host != "", Target: target, Key: p.request.Key}
	if p.request.HasAttempt && p.request.Attempt == 0 {
		request.FirstAccepted = p.request.AcceptedAt
	}
	if p.tracked {
		// Repeats that arrive during the consult join this request.
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
	by := freeByPrevious
	if p.asked != 0 {
		by = p.askedAs
	}
	o.release(p)
	if p.inherited {
		o.setIdentity(p.identity, identityInherited)
	}
	waiters := p.waiters
	p.waiters = nil
	switch r := e.Reply; {
	case p.gone:
		if !p.inherited && !e.Failed && r.Authoritative && !r.KnownIdentity && !r.KnownSession && r.Exception == 0 {
			o.free(p, by)
		}
	case p.asked != 0:
		o.earlierAnswered(p, e, by)
	default:
		o.previousAnswered(p, e)
	}
	// The waiters join their leader again or follow it.
	for _, w := range waiters {
		o.forget(w)
		w.leader = nil
		o.route(w)
	}
}

func (o *Owner) previousAnswered(p *pending, e ConsultAnswered) {
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
				exception := record{value: uint32(e.Reply.Exception), seen: o.stamp()}
				if e.Reply.Assumed {
					exception.seen |= recordAssumed
				}
				o.setRecord(p.request.Key, exception)
			} else if e.Reply.KnownSession {
				o.setRecord(p.request.Key, record{value: uint32(o.self), seen: o.stamp()})
			}
		}
	}
	if e.Reply.Authoritative {
		o.free(p, freeByPrevious)
	}
	o.route(p)
}

func (o *Owner) earlierAnswered(p *pending, e ConsultAnswered, by uint32) {
	switch {
	case e.Failed:
		o.finishUnknown(p, ReasonOwnerUnreachable)
	case e.Reply.KnownSession && p.request.HasSession:
		open := record{value: uint32(p.asked), seen: o.stamp() | recordTentative}
		o.setRecord(p.request.Key, open)
		o.forwardRecorded(p, open)
	case e.Reply.Exception == o.self:
		// The asked owner has placed the session here, and its own message may
		// be on the way.
		placed := *p.request
		placed.Placed = true
		p.request = &placed
		o.free(p, by)
		o.route(p)
	case e.Reply.Exception != 0:
		o.forwardAs(p, p.asked, true)
	case e.Reply.KnownIdentity:
		// The session is not open there, but the outcome may be known. If it is
		// forgotten in between, a marked repeat is not run.
		marked := *p.request
		marked.Attempt, marked.FirstAttemptAt = max(marked.Attempt, 1), time.Time{}
		p.request = &marked
		o.forward(p, p.asked)
	case !e.Reply.Authoritative:
		// The asked owner has handed over to a host that is not known here yet.
		// This attempt did not run, and a marked one says what came before it.
		if p.request.HasAttempt {
			o.finish(p, p.request.Refusal(ReasonTakeover))
			return
		}
		o.finishUnknown(p, ReasonTakeover)
	default:
		o.free(p, by)
		o.route(p)
	}
}

// vouchesForFirst reports whether no attempt of the request can have run here
// before the takeover: its first attempt was accepted later, and the previous
// owner starts nothing any longer.
func (o *Owner) vouchesForFirst(request ConsultRequest) bool {
	return !o.lost && (o.previous == "" || o.claimed) &&
		!request.FirstAccepted.IsZero() && request.FirstAccepted.After(o.takenOverAt)
}

// HandleConsult answers another owner. An identity that is not known here is
// remembered as yielded: the asking owner may run it from now on, so that a
// delayed attempt which arrives here later must not run. A claim ends the
// ownership like HandoverRequested, whose actions are returned.
func (o *Owner) HandleConsult(now time.Time, request ConsultRequest) (ConsultReply, []Action) {
	o.advance(now)
	if request.Claim && request.Target == o.self && request.From != o.status.Owner {
		if o.lost && request.Key == (flow.Key{}) && request.Identity == "" && request.From != "" {
			// The claim asks for records that were sent too early or got lost.
			o.sendHandover(request.From)
		}
		o.handoverRequested(request.From)
	}
	reply := ConsultReply{Authoritative: o.vouchesTo(request.From) || o.vouchesForFirst(request)}
	if session, known := o.records.get(request.Key); known && !o.expired(session) {
		if session.value == uint32(o.self) {
			reply.KnownSession = true
		} else {
			reply.Exception = flow.TargetID(session.value)
			reply.Assumed = session.seen&recordAssumed != 0
		}
	}
	if len(request.Identity) == len(flow.Key{}) {
		key := flow.Key([]byte(request.Identity))
		identity, seen := o.identities.get(key)
		// The owner that asked before asks again after a refusal. It would know
		// the identity itself if it had run.
		again := identity.value == identityYielded && o.yieldedTo[key] == yield{request.From, request.Term}
		reply.KnownIdentity = seen && identity.value&identityFree == 0 && !again
		// An owner that handed over to another host can't vouch, so the asking owner
		// does not run the request. The new owner must not take it for run.
		unanswerable := o.lost && !reply.Authoritative && !request.Claim
		if !reply.KnownIdentity && !unanswerable {
			o.setIdentity(key, identityYielded)
			o.yieldedTo[key] = yield{request.From, request.Term}
		}
	}
	return reply, o.take()
}

// joinSettleTime is how long after its join a target gets no new session of a
// moved bucket. All reachable hosts have the change in force by then.
const joinSettleTime = 3 * time.Second

// unsettled reports whether a new session belongs to the previous target of its
// bucket, because this target has just joined: hosts that do not know the join
// yet look for the session there.
func (o *Owner) unsettled(r *Request) bool {
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
