package host

import (
	"slices"
	"time"

	"oriolevalve/internal/configuration"
	"oriolevalve/internal/peer"
	"oriolevalve/pkg/flow"
)

const (
	// TickInterval is the time between two ticks of the control state.
	TickInterval = 100 * time.Millisecond
	// permitTime is how long a permit lasts after a tick. It is shorter than the
	// 2 s after which other hosts take over from a silent one.
	permitTime = 1500 * time.Millisecond
	// permitRenewal is the time between two extensions of a permit.
	permitRenewal = 500 * time.Millisecond
	// takeoverTime is the shortest silence after which other hosts take over the
	// targets of this one: the suspicion time of the membership.
	takeoverTime = 2 * time.Second
	// aloneTime is how long a resumed host asks before it serves without a
	// confirmation, so that a host cut off from all others goes on.
	aloneTime = time.Second
	// startingPeers is the number of peers that a starting host asks for the
	// configuration. Those with the highest revisions are asked.
	startingPeers = 3
	// viewRenewal limits how often news about loads alone rebuild the view. The
	// rebuild takes 1.7 us for each target, so the interval grows with their
	// number: above 1,000 targets it takes 0.4% of a core.
	viewRenewal          = 500 * time.Millisecond
	viewRenewalPerTarget = 500 * time.Microsecond
)

// ControlEvent is an input of Control.
type ControlEvent interface{ controlEvent() }

// ControlTick passes time. It is due every TickInterval.
type ControlTick struct{}

// PeerEvent brings a message or a result of the membership protocol.
type PeerEvent struct{ Event peer.Event }

// ConfigurationEvent brings an answer of a peer or the platform about the
// configuration.
type ConfigurationEvent struct{ Event configuration.SyncEvent }

// StatusPublished brings the status of a target that this host owns.
type StatusPublished struct{ Status flow.TargetStatus }

// Leave starts the departure of the host from the fleet.
type Leave struct{}

func (ControlTick) controlEvent()        {}
func (PeerEvent) controlEvent()          {}
func (ConfigurationEvent) controlEvent() {}
func (StatusPublished) controlEvent()    {}
func (Leave) controlEvent()              {}

// ControlAction is an output of Control.
type ControlAction interface{ controlAction() }

// SendToPeer performs an action of the membership: SendPing, SendPingRequest
// or SendAck.
type SendToPeer struct{ Action peer.Action }

// FetchFromPeer asks a host for the configuration above a known revision.
type FetchFromPeer struct {
	Peer  peer.Member
	Known uint64
}

// ReadFromPlatform reads an object of the platform.
type ReadFromPlatform struct{ Key string }

// SetView puts a view in force for the traffic side.
type SetView struct{ View *View }

// SetPermit extends the permit of the view in force.
type SetPermit struct{ Until time.Time }

// Relinquish ends all ownership, because other hosts may have taken over during
// a pause. It comes before any new view.
type Relinquish struct{}

// Watch starts or ends the watch of the platform's head.
type Watch struct{ On bool }

// Adopted reports that a configuration is in force.
type Adopted struct{ State *configuration.State }

// Alarm reports that a newer configuration cannot be used.
type Alarm struct{ Reason string }

func (SendToPeer) controlAction()       {}
func (FetchFromPeer) controlAction()    {}
func (ReadFromPlatform) controlAction() {}
func (SetView) controlAction()          {}
func (SetPermit) controlAction()        {}
func (Relinquish) controlAction()       {}
func (Watch) controlAction()            {}
func (Adopted) controlAction()          {}
func (Alarm) controlAction()            {}

// Control is the control state of one host: membership, configuration, owner
// election and permit. It performs no I/O, and one goroutine drives it.
type Control struct {
	self       peer.Member
	membership *peer.Membership
	adoption   *configuration.Syncer

	view      *View
	hosts     []flow.Host
	settledAt time.Time
	viewAt    time.Time
	// staleLoads is set when statuses changed since the view was built.
	staleLoads bool
	// staleView is set when hosts, health or configuration changed.
	staleView bool

	lastTick    time.Time
	permitUntil time.Time
	permitAt    time.Time
	// unconfirmedSince is set while the host does not know whether its
	// configuration is current: after its start and after a pause.
	unconfirmedSince time.Time
	headReadAt       time.Time
	highestSeen      uint64
	asked            bool
	watching         bool
	leaving          bool

	now     time.Time
	actions []ControlAction
}

// NewControl returns the control state of a starting host.
func NewControl(self peer.Member, options ...peer.Option) *Control {
	return &Control{
		self:       self,
		membership: peer.NewMembership(self, options...),
		adoption:   configuration.NewSyncer(configuration.WithHost(self.ID)),
	}
}

// Handle processes an event and returns the actions to perform, in order.
func (c *Control) Handle(now time.Time, event ControlEvent) []ControlAction {
	c.now = now
	switch e := event.(type) {
	case ControlTick:
		c.tick()
	case PeerEvent:
		c.peer(e.Event)
	case ConfigurationEvent:
		c.configuration(e.Event)
	case StatusPublished:
		c.peer(peer.PublishStatus{Status: e.Status})
		c.staleLoads = true
	case Leave:
		c.leaving = true
		c.peer(peer.Leave{})
		c.staleView = true
	}
	c.renewView()
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *Control) emit(a ControlAction) { c.actions = append(c.actions, a) }

func (c *Control) tick() {
	if c.lastTick.IsZero() || c.now.Sub(c.lastTick) > permitTime {
		if c.now.Sub(c.lastTick) >= takeoverTime && !c.lastTick.IsZero() {
			c.emit(Relinquish{})
		}
		c.unconfirmedSince = c.now
	}
	c.lastTick = c.now
	c.peer(peer.Tick{})
	if !c.asked && c.membership.Synchronized() {
		c.asked = true
		c.configuration(configuration.SyncEvent{Kind: configuration.SyncStart, Peers: c.bestPeers()})
	}
	c.configuration(configuration.SyncEvent{Kind: configuration.SyncTick})
	c.renewPermit()
	c.chooseWatch()
}

// bestPeers returns the live hosts with the highest revisions.
func (c *Control) bestPeers() []string {
	members := c.livePeers()
	slices.SortStableFunc(members, func(a, b peer.Member) int {
		switch {
		case a.Revision > b.Revision:
			return -1
		case a.Revision < b.Revision:
			return 1
		}
		return 0
	})
	var ids []string
	for _, m := range members[:min(len(members), startingPeers)] {
		ids = append(ids, m.ID)
	}
	return ids
}

func (c *Control) livePeers() []peer.Member {
	var list []peer.Member
	for _, m := range c.membership.Members() {
		if m.ID != c.self.ID && m.State != peer.Dead {
			list = append(list, m)
		}
	}
	return list
}

func (c *Control) member(id string) (peer.Member, bool) {
	for _, m := range c.membership.Members() {
		if m.ID == id {
			return m, true
		}
	}
	return peer.Member{}, false
}

func (c *Control) peer(e peer.Event) {
	for _, a := range c.membership.Handle(c.now, e) {
		switch a := a.(type) {
		case peer.MembersChanged:
			c.membersChanged()
		case peer.StatusChanged:
			c.statusesChanged(a.Statuses)
		case peer.RevisionAvailable:
			c.highestSeen = max(c.highestSeen, a.Revision)
			c.configuration(configuration.SyncEvent{
				Kind: configuration.SyncPeerRevision, Peer: a.From.ID, Revision: a.Revision,
			})
		default:
			c.emit(SendToPeer{Action: a})
		}
	}
}

func (c *Control) membersChanged() {
	hosts := c.membership.Hosts()
	if slices.Equal(hosts, c.hosts) {
		return
	}
	c.hosts = hosts
	c.settledAt = c.now
	c.staleView = true
}

// statusesChanged renews the view at once if the health or the relay flag of a
// target changed, else with the next renewal.
func (c *Control) statusesChanged(statuses []flow.TargetStatus) {
	c.staleLoads = true
	if c.view == nil {
		return
	}
	for _, s := range statuses {
		old, known := c.view.snapshot.Target(s.Target)
		if known && (old.Status.Healthy != s.Healthy || old.Status.Relay != s.Relay) {
			c.staleView = true
		}
	}
}

func (c *Control) configuration(e configuration.SyncEvent) {
	e.Now = c.now
	if e.Kind == configuration.SyncObject && e.Key == configuration.HeadKey {
		c.headReadAt = c.now
	}
	for _, a := range c.adoption.Handle(e) {
		switch a.Kind {
		case configuration.SyncFetchPeer:
			m, known := c.member(a.Peer)
			if !known {
				c.configuration(configuration.SyncEvent{Kind: configuration.SyncPeerFailed, Peer: a.Peer})
				continue
			}
			c.emit(FetchFromPeer{Peer: m, Known: a.SinceRevision})
		case configuration.SyncReadObject:
			c.emit(ReadFromPlatform{Key: a.Key})
		case configuration.SyncAdopt:
			c.staleView = true
			c.emit(Adopted{State: a.State})
			c.peer(peer.RevisionAdopted{Revision: a.State.Revision()})
		case configuration.SyncAlarm:
			c.emit(Alarm{Reason: a.Reason})
		}
	}
}

// confirmed reports whether this host may take its configuration for current.
func (c *Control) confirmed() bool {
	if c.unconfirmedSince.IsZero() {
		return true
	}
	if !c.adoption.StartupDone() {
		return false
	}
	behind := c.highestSeen > c.adoption.State().Revision()
	heard := c.membership.Confirmed().After(c.unconfirmedSince) || c.headReadAt.After(c.unconfirmedSince)
	if heard && !behind {
		return true
	}
	return !heard && c.membership.Synchronized() && c.now.Sub(c.unconfirmedSince) >= aloneTime
}

func (c *Control) renewPermit() {
	if !c.confirmed() {
		return
	}
	if !c.unconfirmedSince.IsZero() {
		c.unconfirmedSince = time.Time{}
		c.staleView = true
	} else if c.now.Sub(c.permitAt) < permitRenewal {
		return
	}
	c.permitAt = c.now
	c.permitUntil = c.now.Add(permitTime)
	c.emit(SetPermit{Until: c.permitUntil})
}

// chooseWatch starts or ends the watch of the platform's head.
func (c *Control) chooseWatch() {
	on := !c.leaving && configuration.IsWatcher(flow.Host{ID: c.self.ID, DataCentre: c.self.DataCentre}, c.hosts)
	if on != c.watching {
		c.watching = on
		c.emit(Watch{On: on})
	}
}

// renewView builds a new view if something changed. Until the host has asked
// for the configuration there is none.
func (c *Control) renewView() {
	if !c.adoption.StartupDone() || c.permitUntil.IsZero() {
		return
	}
	expired := c.generationExpired()
	if !c.staleView && !expired && (!c.staleLoads || c.now.Sub(c.viewAt) < c.renewalInterval()) {
		return
	}
	statuses := make(map[flow.TargetID]flow.TargetStatus)
	for _, s := range c.membership.Statuses() {
		statuses[s.Target] = s.TargetStatus
	}
	var reachable []string
	for _, m := range c.livePeers() {
		reachable = append(reachable, m.ID)
	}
	c.view = newView(viewInput{
		self: c.self.ID, hosts: c.membership.Hosts(), reachable: reachable, settledAt: c.settledAt,
		configuration: c.adoption.State().Configuration(), statuses: statuses,
		permitUntil: c.permitUntil, now: c.now,
	}, c.view)
	c.viewAt, c.staleView, c.staleLoads = c.now, false, false
	c.emit(SetView{View: c.view})
}

// renewalInterval returns the least time between two renewals that only bring
// newer loads.
func (c *Control) renewalInterval() time.Duration {
	if c.view == nil {
		return viewRenewal
	}
	return max(viewRenewal, time.Duration(len(c.view.targets))*viewRenewalPerTarget)
}

// generationExpired reports whether a generation of the view has ended.
func (c *Control) generationExpired() bool {
	if c.view == nil {
		return true
	}
	for _, s := range c.view.services {
		for _, g := range s.LiveGenerations(c.viewAt) {
			if c.now.Sub(g.ReplacedAt) >= s.Policy.IdleTimeout.Std() {
				return true
			}
		}
	}
	return false
}

// View returns the newest view; nil before the host has asked for the
// configuration.
func (c *Control) View() *View { return c.view }

// State returns the configuration in force.
func (c *Control) State() *configuration.State { return c.adoption.State() }

// Members returns the members of the fleet as this host sees them.
func (c *Control) Members() []peer.Member { return c.membership.Members() }

// Statuses returns the newest status of each target.
func (c *Control) Statuses() []peer.Status { return c.membership.Statuses() }

// Permitted reports whether the host accepts new flows.
func (c *Control) Permitted(now time.Time) bool { return now.Before(c.permitUntil) }

// LeaveTime is how long a stopping host stays reachable after it has announced
// its departure, so that requests on their way to it are passed on.
const LeaveTime = 2 * time.Second
