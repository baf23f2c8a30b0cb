package target

import (
	"math/rand/v2"
	"time"

	"oriolevalve/internal/configuration"
	"oriolevalve/pkg/flow"
)

const (
	// tickInterval is the longest time between two ticks.
	tickInterval = 500 * time.Millisecond
	// statusInterval limits how often a status is published. At 24 bytes per
	// status it keeps a target below 50 bytes/s of gossip payload.
	statusInterval = 500 * time.Millisecond
	// copyInterval is the age that an exception may reach before it is copied
	// to the backup.
	copyInterval = 500 * time.Millisecond
	// probeInterval is the time between two health probes.
	probeInterval = time.Second
	// identityTime is how long identities are kept. A repeat that a host
	// accepted within RepeatWindow may be held up there for MaxRequestTime
	// more, for example by a pause of that host.
	identityTime = RepeatWindow + MaxRequestTime
	// Does not compile if a service may set an idle timeout below identityTime.
	_ = uint64(configuration.MinIdleTimeout - identityTime)
	// defaultKeptBytes bounds the kept answers of one target. With 10 targets
	// per host it stays within half of the 64 MB that a host may use.
	defaultKeptBytes = 3 << 20
)

// Owner decides what happens to the requests of one target. It is not safe for
// concurrent use: the host guards it with a lock.
type Owner struct {
	self      flow.TargetID
	target    configuration.Target
	policy    configuration.Policy
	placement PlacementFunction
	random    *rand.Rand
	keptLimit int

	now     time.Time
	start   time.Time
	actions []Action

	records    recordMap
	sessions   int
	pending    map[uint64]*pending
	identities recordMap
	running    map[flow.Key]*pending
	// yieldedTo names the hosts to which identities were yielded.
	yieldedTo map[flow.Key]yield
	// term identifies this ownership.
	term        uint64
	answers     map[flow.Key]*Reply
	answerOrder []flow.Key
	keptBytes   int
	// forwards counts the forwarded first messages without a reply, by key.
	forwards map[flow.Key]int
	// changed lists the exceptions that the backup does not have.
	changed []flow.Record

	queue       []*pending
	queued      map[string]int
	retries     []*pending
	inFlight    int
	limit       float64
	serviceTime float64
	budget      float64
	// shedUntil is the time until which nothing is sent after shed load.
	shedUntil time.Time
	shedWait  time.Duration

	loads     []Load
	selfLoad  int
	opinion   opinion
	report    LoadReport
	probing   bool
	nextProbe time.Time

	revision      uint64
	tableRevision uint64
	tableMovedAt  time.Time

	takenOverAt time.Time
	// handedOverBy is the host that completed a handover before this one became
	// the owner.
	handedOverBy string
	// handedTo is the host to which this one handed over last.
	handedTo           string
	handedOverAt       time.Time
	handedOverSessions bool
	previous           string
	complete           bool
	sessionsKnown      bool
	// claimed is set once the previous owner starts no further request.
	claimed  bool
	foreign  bool
	stopping bool
	lost     bool

	status     flow.TargetStatus
	statusAt   time.Time
	nextCopy   time.Time
	nextExpire time.Time
}

// Option changes a default of NewOwner.
type Option func(*Owner)

// WithPlacement sets the function that places new sessions.
func WithPlacement(placement PlacementFunction) Option {
	return func(o *Owner) { o.placement = placement }
}

// WithSeed sets the seed of the retry jitter.
func WithSeed(seed uint64) Option {
	return func(o *Owner) { o.random = rand.New(rand.NewPCG(seed, 0)) }
}

// WithAnswerCacheBytes bounds the bytes of the answers that are kept for repeats.
func WithAnswerCacheBytes(limit int) Option { return func(o *Owner) { o.keptLimit = limit } }

// WithHost sets the identifier that the owner's messages and statuses carry.
func WithHost(host string) Option { return func(o *Owner) { o.status.Owner = host } }

// NewOwner returns the owner of a target. Without a TakeoverStarted event it
// behaves as after a takeover without a handover at its first event.
func NewOwner(target configuration.Target, policy configuration.Policy, options ...Option) *Owner {
	o := &Owner{
		self:      target.ID,
		target:    target,
		policy:    policy,
		placement: flow.PlaceSession,
		random:    rand.New(rand.NewPCG(uint64(target.ID), 0)),
		keptLimit: defaultKeptBytes,
		pending:   make(map[uint64]*pending),
		running:   make(map[flow.Key]*pending),
		answers:   make(map[flow.Key]*Reply),
		forwards:  make(map[flow.Key]int),
		queued:    make(map[string]int),
		yieldedTo: make(map[flow.Key]yield),
		limit:     float64(target.Slots),
		budget:    initialBudget,
		selfLoad:  -1,
	}
	for _, option := range options {
		option(o)
	}
	return o
}

// Handle takes an event and returns the actions that the host performs, in
// order. Times must not decrease.
func (o *Owner) Handle(now time.Time, event Event) []Action {
	o.advance(now)
	switch e := event.(type) {
	case RequestArrived:
		o.arrive(e.ID, e.Request)
	case AttemptFinished:
		o.attemptFinished(e)
	case ForwardFinished:
		o.forwardFinished(e)
	case CallerGone:
		o.callerGone(e.ID)
	case ConsultAnswered:
		o.consultAnswered(e)
	case LoadsChanged:
		o.loadsChanged(e.Loads)
	case PolicyChanged:
		o.policyChanged(e)
	case TableChanged:
		if e.Revision >= o.tableRevision {
			o.tableRevision, o.tableMovedAt = e.Revision, e.ReplacedAt
		}
		o.revision = max(o.revision, e.Revision)
	case HandoverReceived:
		o.handoverReceived(e.Handover)
	case TakeoverStarted:
		o.takeoverStarted(e)
	case HandoverRequested:
		o.handoverRequested(e.To)
	case ProbeFinished:
		o.probeFinished(e)
	case BackupChanged:
		o.copyAll()
	case Stopping:
		o.stopping = true
	case Tick:
		o.tick()
	}
	return o.take()
}

// take returns the actions of this call. The slice passes to the host, which
// performs them after it has released its lock.
func (o *Owner) take() []Action {
	actions := o.actions
	o.actions = nil
	return actions
}

func (o *Owner) advance(now time.Time) {
	if o.start.IsZero() {
		o.start = now
		o.takenOverAt = now
		o.nextProbe = now
		o.nextCopy = now.Add(copyInterval)
		o.nextExpire = now
	}
	if now.After(o.now) {
		o.now = now
	}
}

func (o *Owner) emit(a Action) { o.actions = append(o.actions, a) }

// stamp returns the time as records hold it.
func (o *Owner) stamp() uint32 { return uint32(o.now.Sub(o.start) / (100 * time.Millisecond)) }

func stampSpan(d time.Duration) uint32 { return uint32(d / (100 * time.Millisecond)) }

// Sessions returns the number of open sessions at the target.
func (o *Owner) Sessions() int { return o.sessions }

// Exceptions returns the number of records of flows at other targets.
func (o *Owner) Exceptions() int { return o.records.count - o.sessions }

// InProgress returns the number of attempts that the target may be running.
func (o *Owner) InProgress() int { return o.inFlight }

// Queued returns the number of requests that wait for a slot.
func (o *Owner) Queued() int { return len(o.queue) }

// TakeoverComplete reports whether the owner has the records of the previous one.
func (o *Owner) TakeoverComplete() bool { return o.complete }

// Idle reports whether no request is open, so that the host may discard the
// owner after a handover.
func (o *Owner) Idle() bool { return len(o.pending) == 0 }

// Healthy reports the owner's opinion about the target.
func (o *Owner) Healthy() bool { return !o.opinion.ejected }

// SessionsKnown reports whether Sessions counts every open session. After a
// takeover without a complete handover this takes the idle timeout, since each
// live session is seen by then.
func (o *Owner) SessionsKnown(now time.Time) bool {
	return o.sessionsKnown || (o.previous == "" || o.claimed) && !o.start.IsZero() &&
		now.Sub(o.takenOverAt) >= o.policy.IdleTimeout.Std()
}

func (o *Owner) policyChanged(e PolicyChanged) {
	if e.Target.ID != o.self {
		return
	}
	if e.Target.Slots != o.target.Slots {
		// Growth takes effect at once; the limit is found again from there.
		o.limit = float64(e.Target.Slots)
	}
	o.target, o.policy = e.Target, e.Policy
	o.revision = max(o.revision, e.Revision)
	if e.Target.State == configuration.TargetDraining {
		o.placeAgain()
	}
	o.pump()
}

func (o *Owner) loadsChanged(loads []Load) {
	o.loads, o.selfLoad = loads, -1
	for i := range loads {
		if loads[i].Target == o.self {
			o.selfLoad = i
		}
	}
	o.returnBelowFloor()
}

func (o *Owner) tick() {
	o.expireQueue()
	o.startRetries()
	if o.opinion.ejected && !o.now.Before(o.opinion.ejectedUntil) {
		o.opinion.admit(o.now)
	}
	o.returnBelowFloor()
	o.pump()
	o.expireRecords()
	if o.lost {
		return
	}
	o.endTakeover()
	if !o.probing && !o.now.Before(o.nextProbe) {
		o.probing = true
		o.nextProbe = o.now.Add(probeInterval)
		o.emit(Probe{Target: o.self})
	}
	if !o.now.Before(o.nextCopy) {
		o.nextCopy = o.now.Add(copyInterval)
		o.copyChanged()
	}
	o.publish()
}

// expireRecords visits enough shards that each is seen at least 8 times per
// idle timeout.
func (o *Owner) expireRecords() {
	interval := o.policy.IdleTimeout.Std() / (8 * recordShards)
	interval = min(max(interval, tickInterval/recordShards), time.Second)
	now := o.stamp()
	for i := 0; i < recordShards && !o.now.Before(o.nextExpire); i++ {
		o.nextExpire = o.nextExpire.Add(interval)
		o.records.expire(func(_ flow.Key, r record) bool {
			ended := o.expired(r)
			if ended && r.value == uint32(o.self) {
				o.sessions--
			}
			return ended
		})
		o.identities.expire(func(key flow.Key, r record) bool {
			if r.value == identityRunning || now-r.at() < stampSpan(identityTime) {
				return false
			}
			o.dropAnswer(key)
			delete(o.yieldedTo, key)
			return true
		})
	}
	if o.nextExpire.Before(o.now) {
		o.nextExpire = o.now
	}
}

// publish emits the status when it changed: at once if the health or the relay
// flag did, else at most every statusInterval.
func (o *Owner) publish() {
	next := o.status
	next.Target = o.self
	next.Healthy = !o.opinion.ejected
	next.Relay = o.Exceptions() > 0
	next.Partial = !o.SessionsKnown(o.now)
	next.Sessions = uint32(o.sessions)
	next.InProgress = uint32(o.inFlight)
	next.Queued = uint32(len(o.queue) + len(o.retries))
	urgent := next.Healthy != o.status.Healthy || next.Relay != o.status.Relay || o.statusAt.IsZero()
	if next == o.status || !urgent && o.now.Sub(o.statusAt) < statusInterval {
		return
	}
	next.Version++
	o.status, o.statusAt = next, o.now
	o.emit(PublishStatus{Status: next})
}
