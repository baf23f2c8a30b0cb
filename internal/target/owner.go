package target

import (
	"math/rand/v2"
	"time"

	"oriolevalve/internal/configuration"
	"oriolevalve/pkg/flow"
)

const (
	// maxTickInterval is the longest time between two ticks.
	maxTickInterval = 500 * time.Millisecond
	// statusInterval limits how often a status is published. At 24 bytes per
	// status it keeps a target below 50 bytes/s of gossip payload.
	statusInterval = 500 * time.Millisecond
	// copyInterval is the time between two copies of new exception records to the
	// backup. A crash of the owner may lose records younger than this.
	copyInterval = 500 * time.Millisecond
	// probeInterval is the time between two health probes.
	probeInterval = time.Second
	// identityRetention is how long identities are kept. A repeat that a host
	// accepted within RepeatWindow may be delayed there for up to MaxRequestTime,
	// for example by a pause of that host.
	identityRetention = RepeatWindow + MaxRequestTime
	// The conversion does not compile if a service may set an idle timeout below
	// identityRetention.
	_ = uint64(configuration.MinIdleTimeout - identityRetention)
	// defaultAnswerCacheBytes limits the cached answers of one target. With 10
	// targets per host they take at most half of the 64 MB that a host may use.
	defaultAnswerCacheBytes = 3 << 20
)

// Owner decides what happens to the requests of one target. It is not safe for
// concurrent use: the host guards it with a lock.
type Owner struct {
	self             flow.TargetID
	target           configuration.Target
	policy           configuration.Policy
	placement        PlacementFunction
	random           *rand.Rand
	answerCacheLimit int

	now time.Time
	// start is the time of the first event. Records count their time from it.
	start time.Time
	// actions are the actions of the current call.
	actions []Action

	// records are the session records: open sessions at this target, and
	// exception records of flows at other targets.
	records recordMap
	// sessions is the number of open sessions at this target.
	sessions int
	// pending are the open requests by ID.
	pending map[uint64]*pendingRequest
	// identities are the states of the identities of non-idempotent requests.
	identities recordMap
	// running are the open requests by identity.
	running map[flow.Key]*pendingRequest
	// grantedTo has the owner to which each identity in identityGranted was
	// granted.
	grantedTo map[flow.Key]grantee
	// term identifies this ownership: the time of the takeover in Unix
	// nanoseconds.
	term uint64
	// answers are the cached answers of non-idempotent requests by identity.
	answers map[flow.Key]*Reply
	// answersByAge lists the identities of the cached answers, oldest first.
	answersByAge     []flow.Key
	answerCacheBytes int
	// openForwards counts the forwarded first messages without a reply, by key.
	openForwards map[flow.Key]int
	// uncopiedExceptions are the exception records that were not yet copied to
	// the backup.
	uncopiedExceptions []flow.Record

	queue          []*pendingRequest
	queuedByCaller map[string]int
	retries        []*pendingRequest
	// inFlight is the number of dispatched attempts without a result.
	inFlight         int
	concurrencyLimit float64
	// meanServiceTime is the moving average of the run time of answered requests,
	// in nanoseconds; zero before the first answer.
	meanServiceTime float64
	// retryBudget is the number of retries that are currently allowed.
	retryBudget float64
	// shedBackoffUntil is the time before which no attempt starts, because the
	// target shed load.
	shedBackoffUntil time.Time
	shedBackoff      time.Duration

	loads         []Load
	selfLoadIndex int
	health        health
	loadReport    LoadReport
	probing       bool
	nextProbe     time.Time

	revision       uint64
	tableRevision  uint64
	tableChangedAt time.Time

	takenOverAt time.Time
	// handedOverBy is the host that completed a handover to this one before the
	// takeover started here; empty if there is none.
	handedOverBy string
	// handedOverTo is the host to which this one handed over last.
	handedOverTo string
	// handedOverAt is the time of the handover by handedOverBy.
	handedOverAt time.Time
	// handedOverSessionsKnown is the SessionsKnown field of that handover.
	handedOverSessionsKnown bool
	previousOwner           string
	// takeoverComplete is set once no request can have run under an earlier owner
	// without its identity being here or having expired.
	takeoverComplete bool
	sessionsKnown    bool
	// claimed is set once the previous owner has confirmed that it starts no
	// further request.
	claimed          bool
	remoteDataCentre bool
	stopping         bool
	// ownershipLost is set while another host owns the target.
	ownershipLost bool

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

// WithSeed sets the seed of the retry jitter. The default is the target's ID.
func WithSeed(seed uint64) Option {
	return func(o *Owner) { o.random = rand.New(rand.NewPCG(seed, 0)) }
}

// WithAnswerCacheBytes limits the total size of the answers that are cached for
// repeats. The default is 3 MiB.
func WithAnswerCacheBytes(limit int) Option { return func(o *Owner) { o.answerCacheLimit = limit } }

// WithHost sets the identifier of the owner's host, which it puts into its messages
// and statuses.
func WithHost(host string) Option { return func(o *Owner) { o.status.Owner = host } }

// NewOwner returns the owner of a target. If its first event is not TakeoverStarted,
// it assumes that it took over at that time without a handover.
func NewOwner(target configuration.Target, policy configuration.Policy, options ...Option) *Owner {
	o := &Owner{
		self:             target.ID,
		target:           target,
		policy:           policy,
		placement:        flow.PlaceSession,
		random:           rand.New(rand.NewPCG(uint64(target.ID), 0)),
		answerCacheLimit: defaultAnswerCacheBytes,
		pending:          make(map[uint64]*pendingRequest),
		running:          make(map[flow.Key]*pendingRequest),
		answers:          make(map[flow.Key]*Reply),
		openForwards:     make(map[flow.Key]int),
		queuedByCaller:   make(map[string]int),
		grantedTo:        make(map[flow.Key]grantee),
		concurrencyLimit: float64(target.Slots),
		retryBudget:      initialRetryBudget,
		selfLoadIndex:    -1,
	}
	for _, option := range options {
		option(o)
	}
	return o
}

// Handle processes an event and returns the actions that the host performs in this
// order. The times of successive calls must not decrease.
func (o *Owner) Handle(now time.Time, event Event) []Action {
	o.advanceClock(now)
	switch e := event.(type) {
	case RequestArrived:
		o.requestArrived(e.ID, e.Request)
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
			o.tableRevision, o.tableChangedAt = e.Revision, e.ReplacedAt
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
		o.copyAllExceptions()
	case Stopping:
		o.stopping = true
	case Tick:
		o.tick()
	}
	return o.takeActions()
}

// takeActions returns the actions of the current call and resets the list. The host
// keeps the slice and performs the actions after it has released its lock.
func (o *Owner) takeActions() []Action {
	actions := o.actions
	o.actions = nil
	return actions
}

func (o *Owner) advanceClock(now time.Time) {
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

// recordTime returns the current time in the unit of records: tenths of a second
// since the owner's start.
func (o *Owner) recordTime() uint32 { return uint32(o.now.Sub(o.start) / (100 * time.Millisecond)) }

// recordTimeUnits converts a duration to the unit of records.
func recordTimeUnits(d time.Duration) uint32 { return uint32(d / (100 * time.Millisecond)) }

// Sessions returns the number of open sessions at the target.
func (o *Owner) Sessions() int { return o.sessions }

// Exceptions returns the number of exception records: those of flows at other
// targets.
func (o *Owner) Exceptions() int { return o.records.count - o.sessions }

// InProgress returns the number of dispatched attempts without a result.
func (o *Owner) InProgress() int { return o.inFlight }

// Queued returns the number of requests that wait for a slot.
func (o *Owner) Queued() int { return len(o.queue) }

// TakeoverComplete reports whether the owner has all records of the previous one, or
// took over so long ago that the identities it lacks have expired.
func (o *Owner) TakeoverComplete() bool { return o.takeoverComplete }

// Idle reports whether no request is open, so that the host may discard the
// owner after a handover.
func (o *Owner) Idle() bool { return len(o.pending) == 0 }

// Healthy reports whether the target is not ejected.
func (o *Owner) Healthy() bool { return !o.health.ejected }

// SessionsKnown reports whether Sessions counts every open session. After a takeover
// without a complete handover it returns false for the idle timeout. Every session
// that is still open then has had a message since.
func (o *Owner) SessionsKnown(now time.Time) bool {
	return o.sessionsKnown || (o.previousOwner == "" || o.claimed) && !o.start.IsZero() &&
		now.Sub(o.takenOverAt) >= o.policy.IdleTimeout.Std()
}

func (o *Owner) policyChanged(e PolicyChanged) {
	if e.Target.ID != o.self {
		return
	}
	if e.Target.Slots != o.target.Slots {
		// The concurrency limit restarts at the new number of slots, so that
		// added slots are used at once.
		o.concurrencyLimit = float64(e.Target.Slots)
	}
	o.target, o.policy = e.Target, e.Policy
	o.revision = max(o.revision, e.Revision)
	if e.Target.State == configuration.TargetDraining {
		o.rerouteUnsent()
	}
	o.dispatchQueued()
}

func (o *Owner) loadsChanged(loads []Load) {
	o.loads, o.selfLoadIndex = loads, -1
	for i := range loads {
		if loads[i].Target == o.self {
			o.selfLoadIndex = i
		}
	}
	o.endEjectionBelowFloor()
}

func (o *Owner) tick() {
	o.expireQueue()
	o.startRetries()
	if o.health.ejected && !o.now.Before(o.health.ejectedUntil) {
		o.health.endEjection(o.now)
	}
	o.endEjectionBelowFloor()
	o.dispatchQueued()
	o.expireRecords()
	if o.ownershipLost {
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
		o.copyNewExceptions()
	}
	o.publish()
}

// expireRecords removes expired records, a few shards per call. The rate visits each
// shard at least 8 times per idle timeout.
func (o *Owner) expireRecords() {
	interval := o.policy.IdleTimeout.Std() / (8 * recordShards)
	interval = min(max(interval, maxTickInterval/recordShards), time.Second)
	now := o.recordTime()
	for i := 0; i < recordShards && !o.now.Before(o.nextExpire); i++ {
		o.nextExpire = o.nextExpire.Add(interval)
		o.records.expireShard(func(_ flow.Key, r record) bool {
			ended := o.expired(r)
			if ended && r.value == uint32(o.self) {
				o.sessions--
			}
			return ended
		})
		o.identities.expireShard(func(key flow.Key, r record) bool {
			if r.value == identityRunning || now-r.lastSeen() < recordTimeUnits(identityRetention) {
				return false
			}
			o.evictAnswer(key)
			delete(o.grantedTo, key)
			return true
		})
	}
	if o.nextExpire.Before(o.now) {
		o.nextExpire = o.now
	}
}

// publish emits the status if it has changed. A change of the health or the relay
// flag is published at once, other changes at most every statusInterval.
func (o *Owner) publish() {
	next := o.status
	next.Target = o.self
	next.Healthy = !o.health.ejected
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
