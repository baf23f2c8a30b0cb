package host

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"oriolevalve/internal/target"
	"oriolevalve/pkg/flow"
)

const (
	// maximumHops is the number of hosts that a request may pass.
	maximumHops = 4
	// maximumReroutes limits how often the entry host routes a request again
	// that provably did not run. With waits doubling from firstReroute it covers
	// the 4 s that a new owner of a silent host's targets takes.
	maximumReroutes = 6
	firstReroute    = 100 * time.Millisecond
	// claimTime is how long a previous owner respects the claim of a new one
	// against its own view. Membership agrees well within it.
	claimTime = 5 * time.Second
	// entryStripes is the number of separately locked parts of the table of
	// open requests.
	entryStripes = 64
)

// Traffic routes requests between callers, hosts and the owners of targets. It
// performs no I/O and reads no clock. It is safe for concurrent use: each owner
// has its own lock, and views are immutable.
type Traffic struct {
	self    string
	lastID  atomic.Uint64
	view    atomic.Pointer[View]
	entries [entryStripes]entryStripe

	mutex  sync.RWMutex
	shards map[flow.TargetID]*shard

	randomMutex sync.Mutex
	random      *rand.Rand
}

type entryStripe struct {
	mutex sync.Mutex
	open  map[uint64]*entry
}

// entry is a request that has no reply yet at this host.
type entry struct {
	// original is the request as the caller sent it; nil if it came from
	// another host.
	original *target.Request
	// current is the request as the owner or the next host gets it.
	current  *target.Request
	shard    flow.TargetID
	reroutes int
	forwards []forwarded
}

// forwarded is a first message that an owner of this host placed elsewhere.
type forwarded struct {
	shard, target flow.TargetID
	key           flow.Key
}

// shard is the owner machine of one target with its lock.
type shard struct {
	id     flow.TargetID
	mutex  sync.Mutex
	owner  *target.Owner
	owned  bool
	backup string
	// previous is the host from which this one took over.
	previous string
	claimAt  time.Time
	// claimedBy is the host that said it is the owner now.
	claimedBy    string
	claimedUntil time.Time
}

// NewTraffic returns the traffic side of a host without a view: it refuses
// everything until SetView.
func NewTraffic(self string, seed uint64) *Traffic {
	t := &Traffic{
		self:   self,
		shards: make(map[flow.TargetID]*shard),
		random: rand.New(rand.NewPCG(seed, 1)),
	}
	for i := range t.entries {
		t.entries[i].open = make(map[uint64]*entry)
	}
	return t
}

// View returns the view in force; nil before the first SetView.
func (t *Traffic) View() *View { return t.view.Load() }

// NewID returns a handle for a request.
func (t *Traffic) NewID() uint64 { return t.lastID.Add(1) }

// Arrive takes a request from a caller at this host.
func (t *Traffic) Arrive(now time.Time, id uint64, r target.Request) []Action {
	r.AcceptedAt = now
	t.put(id, &entry{original: &r})
	return t.route(now, id, r)
}

// Retry routes a request again after a Wait.
func (t *Traffic) Retry(now time.Time, id uint64) []Action {
	e := t.get(id)
	if e == nil {
		return nil
	}
	return t.route(now, id, *e.original)
}

// route steers a request of a caller.
func (t *Traffic) route(now time.Time, id uint64, r target.Request) []Action {
	v := t.view.Load()
	if v == nil {
		return t.finish(now, id, notRun(target.ReasonPermitExpired))
	}
	r.Revision = v.snapshot.Revision()
	if !r.HasSession && !r.Idempotent {
		// A repeat must reach the owner that knows the identity. The request
		// is therefore a session of one message, named by the identity.
		r.HasSession, r.First, r.SessionEnd = true, true, true
		r.Key = flow.KeyOfSession(r.Service, r.Identity)
	}
	if !r.HasSession {
		return t.routeAnywhere(now, id, &r, v)
	}
	if reason := steer(v, &r, now); reason != target.ReasonNone {
		return t.finish(now, id, notRun(reason))
	}
	return t.deliver(now, id, &r, v)
}

// routeAnywhere picks the target of an idempotent request without a session.
func (t *Traffic) routeAnywhere(now time.Time, id uint64, r *target.Request, v *View) []Action {
	if !now.Before(v.snapshot.PermitUntil()) {
		return t.finish(now, id, notRun(target.ReasonPermitExpired))
	}
	t.randomMutex.Lock()
	first, second := t.random.Uint64(), t.random.Uint64()
	t.randomMutex.Unlock()
	r.Target = flow.PickOfTwo(first, second, v.snapshot.Loads(r.Service))
	r.First, r.Placed = true, true
	if r.Target == 0 {
		return t.finish(now, id, notRun(target.ReasonNoTarget))
	}
	return t.deliver(now, id, r, v)
}

// steer sets the table target and the base target of a request of a session.
func steer(v *View, r *target.Request, now time.Time) target.Reason {
	d := v.snapshot.Steer(r.Service, r.Key, r.First, now)
	if d.Kind == flow.Refuse {
		return target.Reason(d.Reason)
	}
	r.Target, r.BaseTarget, r.PreviousTarget = d.Target, 0, d.Previous
	if d.Moved {
		r.BaseTarget = d.Base
	}
	return target.ReasonNone
}

// deliver hands a steered request to the owner of its target, here or at
// another host.
func (t *Traffic) deliver(now time.Time, id uint64, r *target.Request, v *View) []Action {
	owner := v.snapshot.Owner(r.Target)
	if s := t.shard(r.Target); s != nil {
		s.mutex.Lock()
		claimed := s.claimedBy
		serving := s.owned
		s.mutex.Unlock()
		if serving {
			return t.enter(now, id, r, s)
		}
		if claimed != "" && owner == t.self {
			owner = claimed
		}
	}
	switch {
	case owner == "" || owner == t.self:
		return t.finish(now, id, notRun(target.ReasonNotOwner))
	case r.Hops >= maximumHops:
		return t.finish(now, id, notRun(target.ReasonNotOwner))
	}
	relayed := *r
	relayed.Hops++
	t.update(id, func(e *entry) { e.current, e.shard = &relayed, 0 })
	return []Action{Relay{ID: id, Host: owner, Request: &relayed}}
}

// enter gives a request to an owner of this host. Without a permit another
// host may own the target and have opened sessions that this one does not know.
func (t *Traffic) enter(now time.Time, id uint64, r *target.Request, s *shard) []Action {
	if !now.Before(t.view.Load().snapshot.PermitUntil()) {
		return t.finish(now, id, notRun(target.ReasonPermitExpired))
	}
	t.update(id, func(e *entry) { e.current, e.shard = r, s.id })
	return t.run(now, s, target.RequestArrived{ID: id, Request: r})
}

// ArriveFromPeer takes a request that another host relayed.
func (t *Traffic) ArriveFromPeer(now time.Time, id uint64, r target.Request) []Action {
	t.put(id, &entry{})
	v := t.view.Load()
	if v == nil || r.First && !now.Before(v.snapshot.PermitUntil()) {
		return t.finish(now, id, notRun(target.ReasonPermitExpired))
	}
	if !r.Placed && v.snapshot.Revision() > r.Revision {
		// The sender lags behind this host's configuration.
		r.Revision = v.snapshot.Revision()
		if reason := steer(v, &r, now); reason != target.ReasonNone {
			return t.finish(now, id, notRun(reason))
		}
	}
	return t.deliver(now, id, &r, v)
}

// RelayFinished reports the reply of another host.
func (t *Traffic) RelayFinished(now time.Time, id uint64, reply target.Reply) []Action {
	return t.finish(now, id, reply)
}

// AttemptFinished reports the result of a Dispatch.
func (t *Traffic) AttemptFinished(
	now time.Time, id uint64, to flow.TargetID, reply target.Reply, load target.LoadReport,
) []Action {
	if s := t.shard(to); s != nil {
		return t.run(now, s, target.AttemptFinished{ID: id, Reply: reply, Load: load})
	}
	return t.finish(now, id, reply)
}

// CallerGone reports that nobody waits for the request any longer.
func (t *Traffic) CallerGone(now time.Time, id uint64) []Action {
	e := t.get(id)
	if e == nil {
		return nil
	}
	if s := t.shard(e.shard); s != nil {
		return t.run(now, s, target.CallerGone{ID: id})
	}
	if e.original != nil && e.current == nil {
		return t.finish(now, id, notRun(target.ReasonCallerGone))
	}
	return nil
}

// ConsultAnswered reports the reply to a Consult.
func (t *Traffic) ConsultAnswered(now time.Time, c Consult, reply target.ConsultReply, failed bool) []Action {
	s := t.shard(c.Asking)
	if s == nil {
		return nil
	}
	return t.run(now, s, target.ConsultAnswered{ID: c.ID, Reply: reply, Failed: failed})
}

// Consult answers the owner of another host.
func (t *Traffic) Consult(now time.Time, r target.ConsultRequest) (target.ConsultReply, []Action) {
	s := t.shard(r.Target)
	if s == nil {
		return target.ConsultReply{}, nil
	}
	s.mutex.Lock()
	reply, actions := s.owner.HandleConsult(now, r)
	if r.Claim && r.From != t.self {
		s.claimedBy, s.claimedUntil = r.From, now.Add(claimTime)
		s.owned = false
	}
	s.mutex.Unlock()
	return reply, t.translate(now, s, actions)
}

// HandoverReceived takes records from another host. A host that is not yet the
// owner in its own view keeps them for the time when it is.
func (t *Traffic) HandoverReceived(now time.Time, h target.Handover) []Action {
	s := t.shard(h.Target)
	if s == nil {
		v := t.view.Load()
		if v == nil {
			return nil
		}
		if s = t.addShard(now, h.Target, v); s == nil {
			return nil
		}
	}
	return t.run(now, s, target.HandoverReceived{Handover: h})
}

// ProbeFinished reports the result of a Probe.
func (t *Traffic) ProbeFinished(now time.Time, id flow.TargetID, ok bool, load target.LoadReport) []Action {
	s := t.shard(id)
	if s == nil {
		return nil
	}
	return t.run(now, s, target.ProbeFinished{OK: ok, Load: load})
}

// run passes an event to an owner and translates its actions.
func (t *Traffic) run(now time.Time, s *shard, event target.Event) []Action {
	s.mutex.Lock()
	actions := s.owner.Handle(now, event)
	s.mutex.Unlock()
	return t.translate(now, s, actions)
}

// translate turns the actions of an owner into those of the host.
func (t *Traffic) translate(now time.Time, s *shard, actions []target.Action) []Action {
	s.mutex.Lock()
	owned, backup := s.owned, s.backup
	s.mutex.Unlock()
	var out []Action
	for _, a := range actions {
		switch a := a.(type) {
		case target.Dispatch:
			out = append(out, t.dispatch(now, s, a)...)
		case target.Forward:
			out = append(out, t.forward(now, s, a)...)
		case target.Finish:
			out = append(out, t.finish(now, a.ID, a.Reply)...)
		case target.Cancel:
			out = append(out, Cancel{ID: a.ID})
		case target.Consult:
			out = append(out, t.consult(now, s, a)...)
		case target.SendHandover:
			out = append(out, t.handOver(a)...)
		case target.CopyExceptions:
			if owned && backup != "" {
				out = append(out, SendHandover{To: backup, Handover: a.Handover})
			}
		case target.Probe:
			if owned {
				out = append(out, Probe{Target: a.Target})
			}
		case target.PublishStatus:
			if owned {
				out = append(out, Publish{Status: a.Status})
			}
		}
	}
	return out
}

// dispatch lets a request leave for its target. Without a permit another host
// may have taken over, so a non-idempotent request does not leave.
func (t *Traffic) dispatch(now time.Time, s *shard, a target.Dispatch) []Action {
	e := t.get(a.ID)
	var r *target.Request
	if e != nil {
		r = e.current
	}
	v := t.view.Load()
	if r == nil || !r.Idempotent && !now.Before(v.snapshot.PermitUntil()) {
		return t.run(now, s, target.AttemptFinished{ID: a.ID, Reply: notRun(target.ReasonPermitExpired)})
	}
	return []Action{Dispatch{ID: a.ID, Target: s.id, Request: r, NotAfter: a.NotAfter}}
}

// forward sends a request on to the owner of the target that was chosen.
func (t *Traffic) forward(now time.Time, s *shard, a target.Forward) []Action {
	r := *a.Request
	if r.First && a.Target != s.id {
		t.update(a.ID, func(e *entry) {
			e.forwards = append(e.forwards, forwarded{shard: s.id, target: a.Target, key: r.Key})
		})
	}
	return t.deliver(now, a.ID, &r, t.view.Load())
}

func (t *Traffic) consult(now time.Time, s *shard, a target.Consult) []Action {
	c := Consult{ID: a.ID, Asking: s.id, Host: a.Host, Request: a.Request}
	c.Request.From = t.self
	if c.Host == "" {
		c.Host = t.view.Load().snapshot.Owner(a.Request.Target)
	}
	if c.Host == "" {
		return t.ConsultAnswered(now, c, target.ConsultReply{}, true)
	}
	if c.Host == t.self {
		reply, actions := t.Consult(now, c.Request)
		return append(actions, t.ConsultAnswered(now, c, reply, false)...)
	}
	return []Action{c}
}

// finish ends a request, or routes it again if it provably did not run
// because the views of hosts differed.
func (t *Traffic) finish(now time.Time, id uint64, reply target.Reply) []Action {
	e := t.get(id)
	if e == nil {
		return nil
	}
	var out []Action
	for _, f := range e.forwards {
		if s := t.shard(f.shard); s != nil {
			out = append(out, t.run(now, s, target.ForwardFinished{Key: f.key, Target: f.target, Reply: reply})...)
		}
	}
	if wait := e.rerouteAfter(now, reply); wait > 0 {
		t.update(id, func(e *entry) { e.reroutes, e.current, e.shard, e.forwards = e.reroutes+1, nil, 0, nil })
		return append(out, Wait{ID: id, After: wait})
	}
	t.remove(id)
	if e.original != nil && reply.Outcome == target.OutcomeNotRun {
		reply = e.original.Refusal(reply.Reason)
	}
	return append(out, Finish{ID: id, Reply: reply})
}

// rerouteAfter returns the time after which the request is routed again; zero
// if the reply stands.
func (e *entry) rerouteAfter(now time.Time, reply target.Reply) time.Duration {
	if e.original == nil || reply.Outcome != target.OutcomeNotRun || e.reroutes >= maximumReroutes {
		return 0
	}
	switch reply.Reason {
	case target.ReasonNotOwner, target.ReasonOwnerUnreachable, target.ReasonStopping,
		target.ReasonPlacementRefused, target.ReasonPermitExpired:
	default:
		return 0
	}
	wait := firstReroute << e.reroutes
	if !e.original.NotAfter.IsZero() && now.Add(wait).After(e.original.NotAfter) {
		return 0
	}
	return wait
}

func notRun(reason target.Reason) target.Reply {
	return target.Reply{Outcome: target.OutcomeNotRun, Reason: reason}
}

func (t *Traffic) shard(id flow.TargetID) *shard {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	return t.shards[id]
}

func (t *Traffic) stripe(id uint64) *entryStripe { return &t.entries[id%entryStripes] }

func (t *Traffic) put(id uint64, e *entry) {
	s := t.stripe(id)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.open[id] = e
}

// get returns a copy of the entry; nil if the request is finished.
func (t *Traffic) get(id uint64) *entry {
	s := t.stripe(id)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	e := s.open[id]
	if e == nil {
		return nil
	}
	c := *e
	return &c
}

func (t *Traffic) update(id uint64, change func(*entry)) {
	s := t.stripe(id)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if e := s.open[id]; e != nil {
		change(e)
	}
}

func (t *Traffic) remove(id uint64) {
	s := t.stripe(id)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.open, id)
}

// Open returns the number of requests without a reply.
func (t *Traffic) Open() int {
	count := 0
	for i := range t.entries {
		s := &t.entries[i]
		s.mutex.Lock()
		count += len(s.open)
		s.mutex.Unlock()
	}
	return count
}
