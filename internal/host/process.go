package host

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"oriolevalve/internal/clock"
	"oriolevalve/internal/configuration"
	"oriolevalve/internal/logs"
	"oriolevalve/internal/metrics"
	"oriolevalve/internal/peer"
	"oriolevalve/internal/platform"
	"oriolevalve/internal/settings"
	"oriolevalve/internal/target"
	"oriolevalve/pkg/flow"
)

const (
	// eventBuffer holds events for the control goroutine. A full buffer makes
	// the senders wait.
	eventBuffer = 1024
	// handoverTries and handoverPause cover a short silence of the receiver. What
	// does not arrive is claimed by the new owner.
	handoverTries = 3
	handoverPause = 200 * time.Millisecond
	// controlCallTimeout limits a call about ownership or configuration.
	controlCallTimeout = 2 * time.Second
	// platformTimeout limits one read of the platform.
	platformTimeout = 2 * time.Second
	// metricsInterval is the time between two updates of the gauges.
	metricsInterval = time.Second
)

// Peers calls other hosts.
type Peers interface {
	Relay(ctx context.Context, address string, request target.Request) (target.Reply, error)
	Handover(ctx context.Context, address string, handover target.Handover) error
	Consult(ctx context.Context, address string, request target.ConsultRequest) (target.ConsultReply, error)
	ConfigurationGet(ctx context.Context, address string, known uint64) (payload []byte, revision uint64, err error)
	// Forget closes the connections to a host that is no longer a member.
	Forget(address string)
}

// Gossip carries the messages of the membership.
type Gossip interface {
	Do(ctx context.Context, action peer.Action)
}

// Process connects the decisions of one host with the network. One goroutine
// runs Control; the goroutines of requests run Traffic.
type Process struct {
	settings settings.Host
	clock    clock.Clock
	log      *zap.Logger
	metrics  *metrics.Host
	platform platform.Client
	peers    Peers
	gossip   Gossip
	targets  *targetPool
	registry *prometheus.Registry
	// calls collect the calls to the platform.
	calls []prometheus.Collector

	control *Control
	traffic *Traffic
	events  chan ControlEvent
	// network carries the events of the membership protocol.
	network chan peer.Event

	status     atomic.Pointer[status]
	state      atomic.Pointer[configuration.State]
	replies    replyTable
	cancels    sync.Map
	background sync.WaitGroup
	stopWatch  context.CancelFunc
	// platformOK is false after a failed read of the platform.
	platformOK atomic.Bool
	nextPoll   time.Time
	nextGauges time.Time
	// nextPublish is when the picture of the control state is renewed.
	nextPublish time.Time
	handovers   *handoverQueue
	// ownerLog and drains belong to the control goroutine.
	ownerLog     ownerLog
	drains       drains
	droppedLines *logs.Dropped
	random       *rand.Rand
}

// status is what other goroutines may know about the control state.
type status struct {
	members   []peer.Member
	addresses map[string]string
	statuses  []peer.Status
	permitted bool
	view      bool
}

// replyTable hands replies to the goroutines that wait for them.
type replyTable struct {
	mutex   sync.Mutex
	waiting map[uint64]chan target.Reply
}

func (t *replyTable) add(id uint64) chan target.Reply {
	c := make(chan target.Reply, 1)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.waiting == nil {
		t.waiting = make(map[uint64]chan target.Reply)
	}
	t.waiting[id] = c
	return c
}

func (t *replyTable) deliver(id uint64, reply target.Reply) {
	t.mutex.Lock()
	c := t.waiting[id]
	delete(t.waiting, id)
	t.mutex.Unlock()
	if c != nil {
		c <- reply
	}
}

// loop runs the control state until the context ends.
func (p *Process) loop(ctx context.Context) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-p.network:
			p.handle(ctx, PeerEvent{Event: e})
		case e := <-p.events:
			p.handle(ctx, e)
		case <-ticker.C:
			// The control state notices a pause before the owners go on.
			p.handle(ctx, ControlTick{})
			p.perform(ctx, p.traffic.Tick(p.clock.Now()))
			p.countDrains()
			p.poll(ctx)
		}
	}
}

// post passes an event to the control goroutine.
func (p *Process) post(ctx context.Context, e ControlEvent) {
	select {
	case p.events <- e:
	case <-ctx.Done():
	}
}

func (p *Process) handle(ctx context.Context, e ControlEvent) {
	now := p.clock.Now()
	actions := p.control.Handle(now, e)
	p.publishIfDue(now, actions)
	for _, a := range actions {
		p.performControl(ctx, a)
	}
}

// publishIfDue renews the picture of the control state with a new view, which
// needs the addresses of its hosts, and otherwise at the interval of the view:
// sorting 11,000 statuses at each event took 16% of a core.
func (p *Process) publishIfDue(now time.Time, actions []ControlAction) {
	renewed := slices.ContainsFunc(actions, func(a ControlAction) bool {
		_, ok := a.(SetView)
		return ok
	})
	if renewed || !now.Before(p.nextPublish) {
		p.nextPublish = now.Add(p.control.renewalInterval())
		p.publish()
	}
}

// publish gives other goroutines an immutable picture of the control state.
func (p *Process) publish() {
	s := &status{
		members: p.control.Members(), addresses: map[string]string{}, statuses: p.control.Statuses(),
		permitted: p.control.Permitted(p.clock.Now()), view: p.control.View() != nil,
	}
	for _, m := range s.members {
		s.addresses[m.ID] = m.Address
	}
	before := p.status.Swap(s)
	if before != nil && before.permitted != s.permitted {
		if s.permitted {
			p.log.Info(logs.PermitRegained)
		} else {
			p.log.Warn(logs.PermitExpired)
		}
	}
	p.logMembers(before, s)
}

func (p *Process) logMembers(before, after *status) {
	states := map[string]peer.State{}
	if before != nil {
		for _, m := range before.members {
			states[m.ID] = m.State
		}
	}
	if before != nil {
		for id, address := range before.addresses {
			if _, member := after.addresses[id]; !member {
				p.peers.Forget(address)
			}
		}
	}
	for _, m := range after.members {
		old, known := states[m.ID]
		if known && old == m.State || m.ID == p.settings.HostID {
			continue
		}
		event := map[peer.State]string{
			peer.Alive: logs.PeerJoined, peer.Suspect: logs.PeerSuspect,
			peer.Leaving: logs.PeerLeaving, peer.Dead: logs.PeerDead,
		}[m.State]
		p.log.Info(event, zap.String("peer", m.ID), zap.String("data_centre", m.DataCentre))
	}
}

func (p *Process) performControl(ctx context.Context, a ControlAction) {
	switch a := a.(type) {
	case SendToPeer:
		p.gossip.Do(ctx, a.Action)
	case FetchFromPeer:
		p.start(func() { p.fetch(ctx, a) })
	case ReadFromPlatform:
		p.start(func() { p.read(ctx, a.Key) })
	case SetView:
		p.perform(ctx, p.traffic.SetView(p.clock.Now(), a.View))
		// A drained target may leave before the next tick.
		p.countDrains()
	case SetPermit:
		p.traffic.SetPermit(a.Until)
	case Relinquish:
		p.perform(ctx, p.traffic.Relinquish(p.clock.Now()))
	case Watch:
		p.watch(ctx, a.On)
	case Adopted:
		p.state.Store(a.State)
		p.metrics.RevisionAdopted(a.State.Revision())
		p.metrics.ObjectsDecodable()
		p.log.Info(logs.RevisionAdopted, zap.Uint64("revision", a.State.Revision()))
	case Alarm:
		p.metrics.ObjectUndecodable()
		p.log.Error(logs.ObjectUndecodable, zap.String("reason", a.Reason))
	}
}

// start runs a function in the background. A stopping process waits for it.
func (p *Process) start(run func()) {
	p.background.Add(1)
	go func() {
		defer p.background.Done()
		run()
	}()
}

func (p *Process) fetch(ctx context.Context, a FetchFromPeer) {
	ctx, cancel := context.WithTimeout(ctx, controlCallTimeout)
	defer cancel()
	e := configuration.SyncEvent{Kind: configuration.SyncPeerFailed, Peer: a.Peer.ID}
	payload, _, err := p.peers.ConfigurationGet(ctx, a.Peer.Address, a.Known)
	if err == nil {
		if err = json.Unmarshal(payload, &e.Delta); err == nil {
			e.Kind = configuration.SyncDelta
		}
	}
	if err != nil {
		p.log.Warn(logs.PeerUnreachable, zap.String("peer", a.Peer.ID), zap.Error(err))
	}
	p.post(ctx, ConfigurationEvent{Event: e})
}

func (p *Process) read(ctx context.Context, key string) {
	limited, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	e := configuration.SyncEvent{Kind: configuration.SyncObject, Key: key}
	object, err := p.platform.Get(limited, key)
	p.platformAnswered(err)
	if err != nil && platform.KindOf(err) != platform.KindNotFound {
		e.Kind = configuration.SyncPlatformFailed
	}
	e.Value = object.Value
	p.post(ctx, ConfigurationEvent{Event: e})
}

// platformAnswered notes whether the platform can be reached.
func (p *Process) platformAnswered(err error) {
	reachable := err == nil || platform.KindOf(err) == platform.KindNotFound
	if p.platformOK.Swap(reachable) == reachable {
		return
	}
	if reachable {
		p.log.Info(logs.PlatformReachable)
	} else {
		p.log.Warn(logs.PlatformUnreachable, zap.Error(err))
	}
}

// watch starts or ends the watch of the platform's head.
func (p *Process) watch(ctx context.Context, on bool) {
	if p.stopWatch != nil {
		p.stopWatch()
		p.stopWatch = nil
	}
	if !on {
		return
	}
	ctx, p.stopWatch = context.WithCancel(ctx)
	p.start(func() {
		platform.Follow(ctx, p.platform, p.clock, configuration.HeadKey, 0, func(o platform.Object) {
			p.platformAnswered(nil)
			p.post(ctx, ConfigurationEvent{Event: configuration.SyncEvent{
				Kind: configuration.SyncObject, Key: configuration.HeadKey, Value: o.Value,
			}})
		}, func(err error) {
			p.platformAnswered(err)
			p.log.Warn(logs.WatchReplaced, zap.Error(err))
		})
	})
}

// poll reads the platform's head and host list as the safety net of watch and
// gossip, and updates the gauges.
func (p *Process) poll(ctx context.Context) {
	now := p.clock.Now()
	if !now.Before(p.nextGauges) {
		p.nextGauges = now.Add(metricsInterval)
		p.updateGauges(now)
	}
	if now.Before(p.nextPoll) {
		return
	}
	interval := p.settings.PlatformPoll.Std()
	// Jitter of a half spreads the reads of hosts that started together.
	p.nextPoll = now.Add(interval*3/4 + time.Duration(p.random.Int64N(int64(interval)/2+1)))
	p.closeOldTargets()
	p.start(func() { p.read(ctx, configuration.HeadKey) })
	p.start(func() { p.readHostList(ctx) })
}

// closeOldTargets closes the connections to targets that the configuration no
// longer has. It runs with the poll, so that requests which were in progress at
// a removal have ended by then.
func (p *Process) closeOldTargets() {
	addresses := make(map[string]bool)
	for _, s := range p.state.Load().Configuration().Services {
		for _, t := range s.Targets {
			addresses[t.Address] = true
		}
	}
	p.targets.keep(addresses)
}

func (p *Process) readHostList(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	list, err := p.platform.HostList(limited)
	p.platformAnswered(err)
	if err != nil {
		return
	}
	var members []peer.Member
	for _, h := range list {
		members = append(members, peer.Member{ID: h.ID, DataCentre: h.DataCentre, Address: h.Address})
	}
	select {
	case p.network <- peer.HostListReceived{Hosts: members}:
	case <-ctx.Done():
	}
}

func (p *Process) countDrains() {
	v := p.traffic.View()
	if v == nil {
		return
	}
	started, finished := p.drains.update(p.traffic.Owned(p.clock.Now()), func(id flow.TargetID) bool {
		t, _, known := v.Target(id)
		return known && t.State == configuration.TargetDraining
	})
	for range started {
		p.metrics.DrainStarted()
	}
	for range finished {
		p.metrics.DrainFinished()
	}
}

func (p *Process) updateGauges(now time.Time) {
	counts := map[string]int{}
	for _, m := range p.status.Load().members {
		if m.ID != p.settings.HostID {
			counts[m.State.String()]++
		}
	}
	p.metrics.SetPeers(counts)
	p.metrics.SetPermit(p.status.Load().permitted)
	owned, ejected, sessions, exceptions, copies := 0, 0, 0, 0, 0
	owners := p.traffic.Owned(now)
	p.ownerLog.update(p.log, owners)
	for _, o := range owners {
		if !o.Owned {
			copies += o.Exceptions
			continue
		}
		owned++
		sessions += o.Sessions
		exceptions += o.Exceptions
		if !o.Healthy {
			ejected++
		}
	}
	p.metrics.SetTargets(owned, ejected)
	p.metrics.SetFlowsOpen(metrics.PlaneRequest, sessions)
	p.metrics.SetExceptionRecords(metrics.RecordsOwned, exceptions)
	p.metrics.SetExceptionRecords(metrics.RecordsBackup, copies)
	p.metrics.SetRequestsInProgress(p.traffic.Open())
}

// Route implements the router of the callers' server.
func (p *Process) Route(ctx context.Context, r target.Request) target.Reply {
	id := p.traffic.NewID()
	reply := p.replies.add(id)
	p.perform(context.WithoutCancel(ctx), p.traffic.Arrive(p.clock.Now(), id, r))
	answer := p.await(ctx, id, reply)
	if r.First && answer.Outcome == target.OutcomeAnswered {
		p.metrics.AddFlowsNew(metrics.PlaneRequest, 1)
	}
	return answer
}

// await waits for the reply even after the caller has gone, because the
// request still counts as in progress.
func (p *Process) await(ctx context.Context, id uint64, reply <-chan target.Reply) target.Reply {
	select {
	case r := <-reply:
		return r
	case <-ctx.Done():
	}
	p.perform(context.WithoutCancel(ctx), p.traffic.CallerGone(p.clock.Now(), id))
	return <-reply
}

// Relay implements peer.Handler.
func (p *Process) Relay(ctx context.Context, r target.Request) target.Reply {
	id := p.traffic.NewID()
	reply := p.replies.add(id)
	p.perform(context.WithoutCancel(ctx), p.traffic.ArriveFromPeer(p.clock.Now(), id, r))
	return p.await(ctx, id, reply)
}

// Handover implements peer.Handler.
func (p *Process) Handover(h target.Handover) error {
	if p.traffic.View() == nil {
		return errors.New("this host has no configuration yet")
	}
	if h.Complete && !h.Copy {
		p.log.Info(logs.HandoverReceived, zap.String("peer", h.From), zap.Uint32("target", uint32(h.Target)))
	}
	p.perform(context.Background(), p.traffic.HandoverReceived(p.clock.Now(), h))
	return nil
}

// Consult implements peer.Handler.
func (p *Process) Consult(r target.ConsultRequest) target.ConsultReply {
	reply, actions := p.traffic.Consult(p.clock.Now(), r)
	p.perform(context.Background(), actions)
	return reply
}

// ConfigurationGet implements peer.Handler.
func (p *Process) ConfigurationGet(known uint64) ([]byte, uint64, error) {
	state := p.state.Load()
	delta, err := state.Delta(known)
	if err != nil {
		return nil, 0, err
	}
	payload, err := json.Marshal(delta)
	return payload, state.Revision(), errors.Wrap(err, "encoding the configuration")
}
