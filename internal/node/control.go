package node

import (
	"context"
	"net"
	"net/netip"
	"time"

	"oriolevalve/internal/catalog"
	"oriolevalve/internal/gossip"
	"oriolevalve/internal/logs"
	"oriolevalve/internal/settings"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// tick is the time between two looks at what is due.
	tick = 100 * time.Millisecond
	// reportInterval is the time between two lines about hosts that came and went:
	// one line for the loss of a rack, and few for a start of the fleet.
	reportInterval = time.Second
	// namedHosts is the number of hosts that such a line names each way.
	namedHosts = 20
	// taskLimit is the number of events that wait for the control goroutine.
	// Gossip beyond it is dropped, since it is repeated.
	taskLimit = 256
	// peerWait is the time for which a starting host waits for the catalog of
	// another host before it asks the store. A fetch takes 25 ms on 0.09 of a core.
	peerWait = 40 * time.Millisecond
	// firstStartWait is the same for hosts that are no seeds when the whole fleet starts
	// for the first time, before anybody calls.
	firstStartWait = 2 * time.Second
)

// control keeps what the host knows. All its state belongs to one goroutine;
// others pass it tasks.
type control struct {
	node *Node
	// settings are those in force.
	settings settings.Node
	socket   *net.UDPConn
	// self and port are how other hosts reach this one.
	self    gossip.Host
	port    uint16
	tasks   chan func()
	store   Store
	catalog *catalog.Catalog
	// regions are those of data centres, if there is more than one region.
	regions map[string]string
	members *gossip.Membership
	askers  [catalog.KindCount]*catalog.Poller
	sources [catalog.KindCount]*gossip.Sources
	server  *gossip.Server
	leaving bool
	context context.Context
	// spoken is the time of the last message, reported that of the last look at hosts
	// that came and went.
	spoken, reported time.Duration
	// shown is what the published view was made of.
	shown viewBasis
	// reachable is the last outcome of a call to the store.
	reachable, called bool
	// epochChanged is set for a collection of which another host has a later epoch: all of
	// its objects are fetched.
	epochChanged [catalog.KindCount]bool
	// contested holds the flows of which the host tells others, toldAll the times at which hosts
	// that asked for it were told all of them. Until wantsContested this host asks.
	contested      *gossip.ContestedFlows
	toldAll        map[string]time.Duration
	wantsContested time.Duration
	// suspects holds the targets of which the host tells others.
	suspects gossip.SuspectedTargets
	// suspectsHeard is set if another host told of such a target since the last message.
	suspectsHeard bool
	// warmUps is nil if the settings set no bound on the new flows of cold targets.
	warmUps *warmUps
}

// newControl returns the control state of a node that runs until the context ends.
func newControl(ctx context.Context, n *Node, socket *net.UDPConn) *control {
	local := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	c := &control{
		node: n, settings: n.settings, socket: socket, port: local.Port(), context: ctx,
		self:  gossip.Host{ID: n.settings.HostID, DataCentre: n.settings.DataCentre, Address: local.Addr().String()},
		tasks: make(chan func(), taskLimit), contested: gossip.NewContestedFlows(n.settings.FlowLifetime.Std()),
		toldAll: map[string]time.Duration{},
	}
	c.regions = regions(n.settings.DataCentres)
	c.store = n.newStore(c.malformed)
	c.server = gossip.NewServer(c, n.clock)
	c.forgetHosts()
	first := peerWait
	if n.settings.FirstStart && !c.members.IsSeed() {
		first = firstStartWait
	}
	c.forgetCollections(first)
	return c
}

// forgetHosts drops what the host knows of others but for the seeds of its settings.
func (c *control) forgetHosts() {
	seeds := make([]string, 0, len(c.settings.Seeds))
	for _, seed := range c.settings.Seeds {
		// The settings were checked.
		seeds = append(seeds, netip.MustParseAddrPort(seed).Addr().String())
	}
	c.members = gossip.NewMembership(c.self, seeds, c.node.random())
}

// forgetCollections drops the configuration and the targets. It makes no call to the
// store before the given time. The published view stays.
func (c *control) forgetCollections(first time.Duration) {
	c.warmUps, c.shown = c.newWarmUps(), viewBasis{}
	c.catalog = catalog.New(
		catalog.WithRetention(c.settings.FlowLifetime.Std()), catalog.WithConfirmationTimeout(c.settings.TargetsAge.Std()),
	)
	for i := range c.askers {
		c.askers[i] = catalog.NewPoller(catalog.Kind(i), c.bound(catalog.Kind(i)), first)
		c.sources[i] = gossip.NewSources(c.node.random())
	}
}

// bound returns the bound on the age of a collection.
func (c *control) bound(kind catalog.Kind) time.Duration {
	switch kind {
	case catalog.Targets:
		return c.settings.TargetsAge.Std()
	case catalog.Evacuations:
		return c.settings.EvacuationAge.Std()
	default:
		return c.settings.ConfigurationAge.Std()
	}
}

// follows reports whether the settings ask for a collection.
func (c *control) follows(kind catalog.Kind) bool {
	return kind != catalog.Evacuations || c.settings.EvacuationAge > 0
}

// run handles tasks until the context ends.
func (c *control) run() {
	c.protect(func() {
		c.node.pauses.look(c.node.now())
		c.ask()
		c.speak()
	})
	timer := c.node.clock.After(peerWait)
	for {
		select {
		case <-c.context.Done():
			return
		case task := <-c.tasks:
			c.protect(task)
		case <-c.node.reload:
			c.protect(c.reload)
		case <-timer:
			timer = c.node.clock.After(tick)
			c.protect(c.look)
		}
	}
}

// look does what is due by time.
func (c *control) look() {
	c.node.pauses.look(c.node.now())
	if paused := c.node.pauses.takeEnded(); paused > 0 {
		c.wantContested(c.node.now())
		c.node.log.Warn(logs.ProcessPaused, zap.Duration("for", paused))
	}
	c.ask()
	c.fetchDue()
	c.show()
	c.claimWarmUps(c.node.now())
	if c.node.now()-c.reported >= reportInterval {
		c.reportHosts()
	}
	told := c.tellContested(c.node.now())
	if c.tellSuspects(c.node.now()) || !told && c.node.now()-c.spoken >= gossip.Interval {
		c.speak()
	}
}

// protect runs a task. What the host knows may be half changed after an unexpected
// error, so it learns all of it anew.
func (c *control) protect(task func()) {
	defer c.node.recovered(partControl, func() {
		c.forgetHosts()
		c.forgetCollections(c.node.now())
	})
	task()
}

// serve answers the questions of other hosts until the listener is closed.
func (c *control) serve(l net.Listener) error {
	guard := socketGuard{node: c.node, part: partChanges}
	return c.server.Serve(l, guard.ended)
}

// do passes a task to the control goroutine.
func (c *control) do(task func()) {
	select {
	case c.tasks <- task:
	case <-c.context.Done():
	}
}

// leave tells other hosts that this one stops.
func (c *control) leave() {
	c.do(func() {
		c.leaving = true
		c.noteReady(c.node.now())
		// Flows that opened through this host go on through others.
		c.contested.TellOwnAgain()
		c.speak()
	})
}

// ask makes the calls to the store that are due.
func (c *control) ask() {
	now := c.node.now()
	for kind := range catalog.KindCount {
		if !c.follows(kind) {
			continue
		}
		if call, due := c.askers[kind].Next(c.catalog, c.rank(kind, now), c.sources[kind].Expecting(now), now); due {
			go c.call(call, now)
		}
	}
}

// rank returns the host's place in the order of those that watch. A host that
// leaves gives up its place, because the others already count it out.
func (c *control) rank(kind catalog.Kind, now time.Duration) int {
	rank := c.members.Rank(kind, now)
	if c.leaving {
		rank++
	}
	return rank
}

func (c *control) call(call catalog.Call, started time.Duration) {
	ctx, cancel := context.WithTimeout(c.context, call.Timeout())
	defer cancel()
	var batch catalog.Batch
	err := errors.New("the call ended unexpectedly")
	func() {
		defer c.node.recovered(partStore, nil)
		batch, err = c.store.Read(ctx, call)
	}()
	c.do(func() { c.answered(call, started, batch, err) })
}

func (c *control) answered(call catalog.Call, started time.Duration, batch catalog.Batch, err error) {
	now := c.node.now()
	rank, outcome := c.rank(call.Kind, now), catalog.Answered
	c.node.log.Debug(logs.StoreAsked, zap.Stringer("collection", call.Kind), zap.Bool("list", call.List), zap.Duration("wait", call.Wait),
		zap.Int("rank", rank), zap.Duration("after", now-started), zap.Int("objects", len(batch.Objects)), logs.Cause(err))
	switch {
	case errors.Is(err, catalog.ErrHistoryGone):
		outcome = catalog.HistoryGone
	case err != nil:
		outcome = catalog.Failed
	case !call.List && batch.Epoch != call.Epoch:
		// The store has given the revision out again: changes before it may be missing.
		outcome = catalog.HistoryGone
	}
	c.node.metrics.called(call.Kind, outcome)
	var complete time.Duration
	taken := false
	if outcome == catalog.Answered {
		// An answer that waited through a pause holds from its arrival.
		batch, complete, taken = c.askers[call.Kind].AddAnswer(call, batch, started, now-c.node.pauses.delay(now))
	}
	c.noteStore(call, outcome, now-started, err)
	c.askers[call.Kind].Done(outcome, rank, now)
	if taken {
		c.merge(call.Kind, batch, complete, "store")
	}
	c.ask()
}

// noteStore logs a change between success and failure of calls.
func (c *control) noteStore(call catalog.Call, outcome catalog.Outcome, after time.Duration, err error) {
	reachable := outcome != catalog.Failed
	if c.called && reachable == c.reachable {
		return
	}
	c.called, c.reachable = true, reachable
	if reachable {
		c.node.log.Info(logs.StoreReachable, zap.Stringer("collection", call.Kind), zap.Duration("after", after))
		return
	}
	c.node.log.Warn(logs.StoreUnreachable, zap.Stringer("collection", call.Kind), zap.Duration("after", after), logs.Cause(err))
}

func (c *control) malformed(kind catalog.Kind, name string, revision uint64, reason error) {
	c.node.log.Warn(logs.ObjectMalformed, zap.Stringer("collection", kind), logs.Text("name", name),
		zap.Uint64("revision", revision), logs.Cause(reason))
}

// merge adds what the store or another host said, and passes news on at once.
func (c *control) merge(kind catalog.Kind, batch catalog.Batch, complete time.Duration, source string) {
	now := c.node.now()
	known := c.catalog.State(kind, now)
	switch result := c.catalog.Merge(kind, batch, complete, now); {
	case result.LeftOut():
		c.noteLeftOut(kind, batch, result, source)
		return
	case result == catalog.Unchanged:
		return
	case result == catalog.Restored:
		c.epochChanged[kind] = false
		c.noteRestored(kind, known, source)
	}
	if !known.Valid {
		// Hosts that started earlier wait for it.
		c.server.SetReady(kind)
		c.tell(c.message(now, nil), c.members.TakeHostsLacking(kind, now)...)
	}
	configuration := c.catalog.Configuration()
	if configuration != nil {
		c.node.metrics.version.Store(configuration.Version)
	}
	c.show()
	c.speak()
	fields := []zap.Field{
		zap.String("source", source), zap.Uint64("revision", batch.Revision), zap.Int("objects", len(batch.Objects)),
		zap.Duration("age", now-complete), zap.Uint64("epoch", batch.Epoch),
	}
	switch {
	case kind == catalog.Targets:
		c.node.log.Info(logs.TargetsChanged, fields...)
		c.logTargets(c.catalog.Applied(kind))
	case kind == catalog.Configurations && configuration != nil:
		c.node.log.Info(logs.ConfigurationAdopted, append(fields, zap.Uint64("version", configuration.Version),
			zap.Bool("held", c.catalog.State(kind, now).Held > 0))...)
	}
}

// noteRestored logs that the objects of a store that came back from an older copy took the
// place of those that the host had.
func (c *control) noteRestored(kind catalog.Kind, known catalog.State, source string) {
	now := c.node.now()
	state := c.catalog.State(kind, now)
	c.node.log.Warn(logs.StoreRestored, zap.Stringer("collection", kind), zap.String("source", source),
		zap.Uint64("epoch", state.Epoch), zap.Uint64("revision", state.Revision),
		zap.Uint64("known_epoch", known.Epoch), zap.Uint64("known_revision", known.Revision),
		zap.Int("changes", len(c.catalog.Applied(kind))), zap.Uint64("held_version", state.Held),
		zap.Int("withdrawn_targets", c.catalog.Departures(now).Withdrawn))
}

// noteLeftOut logs an answer that the catalog did not take.
func (c *control) noteLeftOut(kind catalog.Kind, batch catalog.Batch, reason catalog.MergeResult, source string) {
	c.node.metrics.leftOut[kind][reason].Inc()
	known := c.catalog.State(kind, c.node.now())
	fields := []zap.Field{
		zap.Stringer("collection", kind), zap.String("source", source), zap.Stringer("reason", reason),
		zap.Bool("whole", batch.Whole), zap.Uint64("epoch", batch.Epoch), zap.Uint64("since", batch.Since),
		zap.Uint64("revision", batch.Revision), zap.Int("objects", len(batch.Objects)),
		zap.Uint64("known_epoch", known.Epoch), zap.Uint64("known_revision", known.Revision),
	}
	for i := range batch.Objects {
		if configuration := batch.Objects[i].Configuration; configuration != nil {
			fields = append(fields, zap.Uint64("version", configuration.Version))
		}
	}
	c.node.log.Info(logs.AnswerLeftOut, fields...)
}

// namedTargets is the number of targets of one change that get a line each.
const namedTargets = 50

func (c *control) logTargets(changes []catalog.Object) {
	for i := range min(len(changes), namedTargets) {
		o := &changes[i]
		switch {
		case o.Deleted:
			c.node.log.Info(logs.TargetRemoved, logs.Text("target", o.Name), zap.Uint64("revision", o.Revision))
		case o.Target != nil:
			c.node.log.Info(logs.TargetListed, logs.Text("target", o.Name), zap.Uint64("revision", o.Revision),
				logs.Text("service", o.Target.Service), zap.Stringer("address", o.Target.Address), zap.Bool("draining", o.Target.Draining),
				zap.Int64("warmup_ms", o.Target.Warmup))
		default:
			c.node.log.Warn(logs.TargetUnreadable, logs.Text("target", o.Name), zap.Uint64("revision", o.Revision))
		}
	}
}

// noteReady asks the fabric for packets, or to send them to other hosts while
// this one is cut off from them and what it knows is old.
func (c *control) noteReady(now time.Duration) {
	old, oldest := false, time.Duration(0)
	for kind := range catalog.KindCount {
		if !c.follows(kind) {
			continue
		}
		age, _ := c.catalog.Age(kind, now)
		old, oldest = old || age > c.bound(kind), max(oldest, age)
	}
	isolated := c.members.Isolated(now)
	ready := !c.leaving && (!isolated || !old)
	if c.node.ready.Swap(ready) == ready {
		return
	}
	event := logs.NodeReady
	if !ready {
		event = logs.NodeNotReady
	}
	c.node.log.Info(event, zap.Uint64("configuration", c.node.metrics.version.Load()), zap.Duration("age", oldest),
		zap.Bool("isolated", isolated), zap.Bool("leaving", c.leaving), zap.Int("alive", c.members.LivePeerCount(now)))
}

// reload reads the settings again. The bounds on ages and the wait of a stop hold
// at once; names, addresses and the log level are those of the start.
func (c *control) reload() {
	s, err := c.node.loadAgain()
	if err != nil {
		c.node.log.Warn(logs.SettingsRefused, logs.Cause(err))
		return
	}
	c.settings.ConfigurationAge, c.settings.TargetsAge, c.settings.StopWait = s.ConfigurationAge, s.TargetsAge, s.StopWait
	c.settings.EvacuationAge = s.EvacuationAge
	for kind, a := range c.askers {
		a.SetBound(c.bound(catalog.Kind(kind)))
	}
	c.node.stopWait.Store(int64(s.StopWait.Std()))
	c.node.log.Info(logs.SettingsReloaded, zap.Any("settings", s))
}
