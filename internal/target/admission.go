package target

import (
	"slices"
	"time"
)

const (
	// retryBudgetPerRequest is the fraction of a retry that each request adds to
	// the retry budget.
	retryBudgetPerRequest = 0.1
	// initialRetryBudget allows all retries of one request after a start.
	initialRetryBudget = 2
	// maxRetryBudget limits the number of retries in a burst.
	maxRetryBudget = 10
	// maximumRetries is the largest number of retries of one request.
	maximumRetries = 2
	// retryBackoffBase is the upper bound of the random delay before the first
	// retry (full jitter). The bound doubles with each retry.
	retryBackoffBase = 50 * time.Millisecond
	// minShedBackoff is the time without new attempts after a target sheds load.
	// It doubles up to maxShedBackoff until the target answers a request. Without
	// it, a target whose slots all hang would get an attempt for each queued
	// request.
	minShedBackoff = 50 * time.Millisecond
	maxShedBackoff = time.Second
	// serviceTimeSmoothing is the weight of the newest sample in the moving
	// average of the service time.
	serviceTimeSmoothing = 0.1
	// minTimeoutAsFailure is the shortest run time at which a missed deadline
	// counts as a failure of the target. Below it, the caller's deadline may just
	// have been too short.
	minTimeoutAsFailure = time.Second
)

// freeSlots returns how many more attempts may start. The concurrency limit counts as
// at least one, so that a target that sheds all requests still gets new attempts.
func (o *Owner) freeSlots() int {
	if o.now.Before(o.shedBackoffUntil) {
		return 0
	}
	return min(max(int(o.concurrencyLimit), 1), o.target.Slots) - o.inFlight
}

// admit checks the deadline, the queue limit and the caller's fair share of the
// queue. It returns the reason to refuse the request, or ReasonNone.
func (o *Owner) admit(p *pendingRequest) Reason {
	r := p.request
	if !r.NotAfter.IsZero() && !o.now.Before(r.NotAfter) {
		return ReasonDeadline
	}
	if len(o.queue) == 0 && o.freeSlots() > 0 {
		return ReasonNone
	}
	if o.policy.QueueLimit <= 0 {
		return ReasonQueueFull
	}
	if !r.NotAfter.IsZero() && o.now.Add(o.expectedWait()).After(r.NotAfter) {
		return ReasonDeadline
	}
	if 2*len(o.queue) < o.policy.QueueLimit {
		return ReasonNone
	}
	callers := len(o.queuedByCaller)
	if o.queuedByCaller[r.Caller] == 0 {
		callers++
	}
	share := max(1, o.policy.QueueLimit/callers)
	if o.queuedByCaller[r.Caller] >= share {
		return ReasonQueueFull
	}
	if len(o.queue) >= o.policy.QueueLimit && !o.evict(share) {
		return ReasonQueueFull
	}
	return ReasonNone
}

// evict refuses the newest request of the caller with the most queued requests, if it
// has more than its fair share. It reports whether it has refused one. The refused
// request was not sent to the target.
func (o *Owner) evict(share int) bool {
	victim, most := -1, share
	for i, p := range o.queue {
		if n := o.queuedByCaller[p.request.Caller]; n > most || n == most && victim >= 0 &&
			o.queue[victim].request.Caller == p.request.Caller {
			victim, most = i, n
		}
	}
	if victim < 0 {
		return false
	}
	p := o.queue[victim]
	o.dequeue(victim)
	o.finishNotRun(p, Reply{Outcome: OutcomeNotRun, Reason: ReasonQueueFull})
	return true
}

// expectedWait estimates how long a new request would wait for a slot.
func (o *Owner) expectedWait() time.Duration {
	limit := max(1, min(int(o.concurrencyLimit), o.target.Slots))
	return time.Duration(o.meanServiceTime * float64(len(o.queue)+1) / float64(limit))
}

func (o *Owner) enqueue(p *pendingRequest) {
	p.state = stateQueued
	o.queue = append(o.queue, p)
	o.queuedByCaller[p.request.Caller]++
}

func (o *Owner) dequeue(i int) {
	caller := o.queue[i].request.Caller
	o.queue = slices.Delete(o.queue, i, i+1)
	if o.queuedByCaller[caller]--; o.queuedByCaller[caller] == 0 {
		delete(o.queuedByCaller, caller)
	}
}

func (o *Owner) dispatch(p *pendingRequest) {
	p.state = stateDispatched
	p.dispatchedAt = o.now
	o.inFlight++
	o.emit(Dispatch{ID: p.id, NotAfter: p.request.NotAfter})
}

// dispatchQueued dispatches queued requests while slots are free.
func (o *Owner) dispatchQueued() {
	for len(o.queue) > 0 && o.freeSlots() > 0 {
		p := o.queue[0]
		o.dequeue(0)
		if o.deadlinePassed(p) {
			o.expireRequest(p)
			continue
		}
		o.dispatch(p)
	}
}

func (o *Owner) deadlinePassed(p *pendingRequest) bool {
	return !p.request.NotAfter.IsZero() && !o.now.Before(p.request.NotAfter)
}

// expireRequest refuses a request whose deadline passed before it was sent. The first
// repeat that joined it is queued in its place.
func (o *Owner) expireRequest(p *pendingRequest) {
	if leader := o.promote(p); leader != nil {
		o.finish(p, Reply{Outcome: OutcomeNotRun, Reason: ReasonDeadline})
		o.enqueue(leader)
		return
	}
	o.finishNotRun(p, Reply{Outcome: OutcomeNotRun, Reason: ReasonDeadline})
}

func (o *Owner) expireQueue() {
	for i := 0; i < len(o.queue); {
		if p := o.queue[i]; o.deadlinePassed(p) {
			o.dequeue(i)
			o.expireRequest(p)
			continue
		}
		i++
	}
}

// flushQueue refuses all requests that wait for a slot or a retry.
func (o *Owner) flushQueue(reason Reason) {
	for len(o.queue) > 0 {
		p := o.queue[0]
		o.dequeue(0)
		o.finishNotRun(p, Reply{Outcome: OutcomeNotRun, Reason: reason})
	}
	waiting := o.retries
	o.retries = nil
	for _, p := range waiting {
		o.finishNotRun(p, Reply{Outcome: OutcomeNotRun, Reason: reason})
	}
}

// rerouteUnsent routes the unsent first messages again when the target no longer
// accepts new sessions.
func (o *Owner) rerouteUnsent() {
	var unsent []*pendingRequest
	for i := 0; i < len(o.queue); {
		if o.wouldOpenSession(o.queue[i]) {
			unsent = append(unsent, o.queue[i])
			o.dequeue(i)
			continue
		}
		i++
	}
	o.retries = slices.DeleteFunc(o.retries, func(p *pendingRequest) bool {
		if o.wouldOpenSession(p) {
			unsent = append(unsent, p)
			return true
		}
		return false
	})
	for _, p := range unsent {
		o.undoAdmission(p)
	}
	for _, p := range unsent {
		waiters := p.waiters
		p.waiters = nil
		o.removePending(p)
		o.route(p)
		for _, w := range waiters {
			o.removePending(w)
			w.leader = nil
			o.route(w)
		}
	}
}

// wouldOpenSession reports whether an unsent request would open its session at this
// target.
func (o *Owner) wouldOpenSession(p *pendingRequest) bool {
	if !p.request.HasSession {
		return true
	}
	session, known := o.records.get(p.request.Key)
	return p.isFirst() && (!known || session.value != uint32(o.self) || session.seenAndFlags&recordTentative != 0)
}

func (o *Owner) attemptFinished(e AttemptFinished) {
	p := o.pending[e.ID]
	if p == nil || p.state != stateDispatched {
		return
	}
	o.inFlight--
	if e.Load.Known {
		o.loadReport = e.Load
	}
	o.recordAttempt(p, e.Reply)
	switch e.Reply.Outcome {
	case OutcomeNotRun:
		o.retryOrFinish(p, e.Reply)
	default:
		o.recordOutcome(p, e.Reply)
		o.updateSession(p, e.Reply)
		o.finishAll(p, e.Reply)
	}
	o.dispatchQueued()
}

// recordAttempt updates the concurrency limit, the mean service time and the health
// with the result of an attempt.
func (o *Owner) recordAttempt(p *pendingRequest, reply Reply) {
	took := o.now.Sub(p.dispatchedAt)
	switch {
	case reply.Outcome == OutcomeAnswered:
		if o.meanServiceTime == 0 {
			o.meanServiceTime = float64(took)
		} else {
			o.meanServiceTime += serviceTimeSmoothing * (float64(took) - o.meanServiceTime)
		}
		o.concurrencyLimit = min(o.concurrencyLimit+1/max(o.concurrencyLimit, 1), float64(o.target.Slots))
		o.shedBackoff, o.shedBackoffUntil = 0, time.Time{}
		o.health.recordSuccess(o.now)
	case reply.Outcome == OutcomeNotRun && reply.Reason == ReasonShed:
		o.concurrencyLimit = max(1, o.concurrencyLimit/2)
		o.shedBackoff = min(max(2*o.shedBackoff, minShedBackoff), maxShedBackoff)
		o.shedBackoffUntil = o.now.Add(o.shedBackoff)
	case p.cancelled, reply.Reason == ReasonCallerGone:
	case reply.Outcome == OutcomeNotRun && reply.Reason != ReasonTargetDown:
		// The host did not send the request, so the target did not fail.
	case reply.Reason == ReasonDeadline && took < max(minTimeoutAsFailure, 2*time.Duration(o.meanServiceTime)):
		// The caller's deadline was too short to count as a failure of the target.
	default:
		o.recordFailure(true)
	}
}

// retryOrFinish schedules a retry of an attempt that provably did not run, or
// finishes the request if no retry is possible.
func (o *Owner) retryOrFinish(p *pendingRequest, reply Reply) {
	retryable := !p.cancelled
	switch reply.Reason {
	case ReasonDeadline, ReasonCallerGone, ReasonPermitExpired, ReasonTooLarge:
		// A retry by this owner would fail for the same reason.
		retryable = false
	}
	if p.replied {
		leader := o.promote(p)
		if leader == nil || !retryable {
			if leader != nil {
				p.waiters = append([]*pendingRequest{leader}, leader.waiters...)
			}
			o.finishNotRun(p, reply)
			return
		}
		o.removePending(p)
		leader.retryCount = p.retryCount
		p = leader
	}
	if !retryable || p.retryCount >= maximumRetries || o.retryBudget < 1 || o.health.refusesSessions() || o.ownershipLost {
		o.finishNotRun(p, reply)
		return
	}
	wait := time.Duration(o.random.Int64N(int64(retryBackoffBase << p.retryCount)))
	if !p.request.NotAfter.IsZero() && o.now.Add(wait).After(p.request.NotAfter) {
		o.finishNotRun(p, reply)
		return
	}
	o.retryBudget--
	p.retryCount++
	p.state = stateWaitingForRetry
	p.retryAt = o.now.Add(wait)
	o.retries = append(o.retries, p)
}

// startRetries moves the retries whose backoff has ended to the front of the queue.
func (o *Owner) startRetries() {
	var notDue []*pendingRequest
	for _, p := range o.retries {
		if p.retryAt.After(o.now) {
			notDue = append(notDue, p)
			continue
		}
		p.state = stateQueued
		o.queue = slices.Insert(o.queue, 0, p)
		o.queuedByCaller[p.request.Caller]++
	}
	o.retries = notDue
}

// updateSession refreshes the session record after an attempt that may have run, or
// removes it after the last message of the session.
func (o *Owner) updateSession(p *pendingRequest, reply Reply) {
	if !p.request.HasSession {
		return
	}
	session, known := o.records.get(p.request.Key)
	if !known || session.value != uint32(o.self) {
		return
	}
	if p.request.SessionEnd && reply.Outcome == OutcomeAnswered {
		o.removeRecord(p.request.Key, session)
		return
	}
	o.records.put(p.request.Key, record{value: session.value, seenAndFlags: o.recordTime()})
}

func (o *Owner) callerGone(id uint64) {
	p := o.pending[id]
	if p == nil || p.replied {
		return
	}
	reply := Reply{Outcome: OutcomeNotRun, Reason: ReasonCallerGone}
	switch p.state {
	case stateJoined:
		i := slices.Index(p.leader.waiters, p)
		p.leader.waiters = slices.Delete(p.leader.waiters, i, i+1)
		o.finish(p, Reply{Outcome: OutcomeUnknown, Reason: ReasonCallerGone})
	case stateConsulting:
		// The outcome is unknown, since an earlier attempt may have run elsewhere.
		p.replied = true
		o.emit(Finish{ID: id, Reply: Reply{Outcome: OutcomeUnknown, Reason: ReasonCallerGone}})
	case stateQueued:
		i := slices.Index(o.queue, p)
		leader := o.promote(p)
		if leader == nil {
			o.dequeue(i)
			o.finishNotRun(p, reply)
			return
		}
		o.dequeue(i)
		o.finish(p, reply)
		o.enqueue(leader)
	case stateWaitingForRetry:
		i := slices.Index(o.retries, p)
		leader := o.promote(p)
		if leader == nil {
			o.retries = slices.Delete(o.retries, i, i+1)
			o.finishNotRun(p, reply)
			return
		}
		leader.state, leader.retryAt, leader.retryCount = stateWaitingForRetry, p.retryAt, p.retryCount
		o.retries[i] = leader
		o.finish(p, reply)
	case stateDispatched:
		p.replied = true
		o.emit(Finish{ID: id, Reply: Reply{Outcome: OutcomeUnknown, Reason: ReasonCallerGone}})
		if p.request.Idempotent {
			p.cancelled = true
			o.emit(Cancel{ID: id})
		}
	}
}

// promote makes the first repeat that joined p the leader of the others. It returns
// the new leader, or nil if no repeat has joined.
func (o *Owner) promote(p *pendingRequest) *pendingRequest {
	if len(p.waiters) == 0 {
		return nil
	}
	leader := p.waiters[0]
	leader.waiters = p.waiters[1:]
	leader.leader = nil
	for _, w := range leader.waiters {
		w.leader = leader
	}
	p.waiters = nil
	o.running[leader.identity] = leader
	return leader
}

// removePending removes p from the open requests without a reply.
func (o *Owner) removePending(p *pendingRequest) { delete(o.pending, p.id) }

// resetForRouting removes p and its identity, so that it can be routed again.
func (o *Owner) resetForRouting(p *pendingRequest) {
	o.removePending(p)
	o.removeIdentity(p)
}

// finish replies to one request.
func (o *Owner) finish(p *pendingRequest, reply Reply) {
	o.removePending(p)
	if !p.replied {
		o.emit(Finish{ID: p.id, Reply: reply})
	}
}

// finishAll replies to a request and to the repeats that joined it.
func (o *Owner) finishAll(p *pendingRequest, reply Reply) {
	o.finish(p, reply)
	for _, w := range p.waiters {
		o.finish(w, reply)
	}
	p.waiters = nil
}

// finishNotRun replies to an admitted request that did not run and to its repeats.
// It removes the identity and the session that the request would have opened.
func (o *Owner) finishNotRun(p *pendingRequest, reply Reply) {
	o.removeIdentity(p)
	if p.request.HasSession && p.isFirst() {
		session, known := o.records.get(p.request.Key)
		if known && session.value == uint32(o.self) && session.seenAndFlags&recordTentative != 0 {
			o.removeRecord(p.request.Key, session)
		}
	}
	o.finishAll(p, reply)
}

// refuse replies to a request that was not admitted.
func (o *Owner) refuse(p *pendingRequest, reason Reason) {
	o.finish(p, Reply{Outcome: OutcomeNotRun, Reason: reason})
}

func (o *Owner) finishUnknown(p *pendingRequest, reason Reason) {
	o.finish(p, Reply{Outcome: OutcomeUnknown, Reason: reason})
}
