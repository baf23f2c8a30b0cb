package peer

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"oriolevalve/pkg/flow"
)

// entry is what this host knows about another member.
type entry struct {
	member Member
	// heard is the time of the last message or ack of the member itself.
	heard time.Time
	// changed is the time of the last change of state.
	changed time.Time
	// doubt is set while the member failed a ping and was not yet refuted: a
	// suspect member, or a leaving one that no longer answers.
	doubt *doubt
}

// doubt is the way of a member from a failed ping to death.
type doubt struct {
	since time.Time
	until time.Time
	// detector is set if this host itself got no answer from the member. Only
	// a detector declares a member dead.
	detector  bool
	nextProbe time.Time
}

// probe is one round of pings to a member.
type probe struct {
	target   string
	started  time.Time
	indirect bool
	done     bool
	// tentative probes go to members that are dead or have never answered. A
	// failure says nothing new.
	tentative bool
	// open counts the calls that may still be answered.
	open int
	// wantAll is set if the ping asks for the whole view.
	wantAll bool
}

// call is an outstanding SendPing or SendPingRequest.
type call struct {
	sequence uint64
	started  time.Time
	probe    *probe
	// token answers the ping request for which the call was made.
	token uint64
	// target is the member that was asked to answer.
	target string
	// news is what the message carried.
	news []*news
}

// Membership is the SWIM state machine of one host. It is not safe for
// concurrent use, and its result depends only on the options and events.
type Membership struct {
	timings
	self    Member
	random  *rand.Rand
	members map[string]*entry
	// ring is the order of pings, shuffled after each pass. It holds the
	// members that are not dead.
	ring []string
	next int
	// dead and doubted list members in the order of their change.
	dead    []string
	doubted []string
	// candidates were named by settings or the host list and have not yet
	// answered.
	candidates []Member
	asked      map[string]bool
	listed     map[string]bool

	sequence uint64
	calls    map[uint64]*call
	// order lists the calls by start.
	order  []*call
	probes []*probe

	queue    *queue
	statuses map[flow.TargetID]flow.TargetStatus
	own      map[flow.TargetID]*publication
	ownOrder []flow.TargetID

	started       bool
	synchronized  bool
	askedAt       time.Time
	lastTick      time.Time
	nextPing      time.Time
	nextReconnect time.Time
	nextSync      time.Time
	syncWait      time.Duration
	wantAll       bool
	announced     uint64
	announcedAt   time.Time
	confirmed     time.Time
	// heard is set after an ack since the host started or resumed.
	heard bool

	now            time.Time
	actions        []Action
	membersChanged bool
	changed        []flow.TargetStatus
}

// publication is a status that this host owns.
type publication struct {
	sent flow.TargetStatus
	at   time.Time
	// waiting is set while a newer status than sent is known.
	waiting bool
}

// burstUpdates is the highest number of updates in a message while more than
// eight messages' worth of urgent news waits. The news of a member takes about
// 20 bytes, so a burst sends 5 KB/s.
const burstUpdates = 64

// firstSyncWait is half of the time from the first exchange of the whole view
// to the second.
const firstSyncWait = time.Second

// NewMembership returns the state machine of the given host.
func NewMembership(self Member, options ...Option) *Membership {
	m := &Membership{
		timings: defaults(), self: self, members: map[string]*entry{}, calls: map[uint64]*call{},
		asked: map[string]bool{}, listed: map[string]bool{}, queue: newQueue(),
		statuses: map[flow.TargetID]flow.TargetStatus{}, own: map[flow.TargetID]*publication{},
	}
	for _, option := range options {
		option(&m.timings)
	}
	m.random = rand.New(rand.NewPCG(m.seed, m.seed^0x9e3779b97f4a7c15))
	m.addCandidates(m.seeds)
	return m
}

// Handle applies an event that happens now and returns what is to be done.
// Times must not decrease.
func (m *Membership) Handle(now time.Time, event Event) []Action {
	m.now, m.actions, m.membersChanged, m.changed = now, nil, false, nil
	if !m.started {
		m.start()
	}
	_, resumed := event.(Resumed)
	// Messages that waited during a pause may be handled before the first tick
	// after it, so the gap is checked for every event.
	if resumed || now.Sub(m.lastTick) > m.pauseGap {
		m.resume()
	}
	switch e := event.(type) {
	case Tick:
		m.tick()
	case PingReceived:
		m.pingReceived(e)
	case PingRequestReceived:
		m.pingRequestReceived(e)
	case AckReceived:
		m.ackReceived(e)
	case PingFailed:
		m.pingFailed(e.Sequence)
	case HostListReceived:
		m.hostListReceived(e.Hosts)
	case PublishStatus:
		m.publishStatus(e.Status)
	case RevisionAdopted:
		m.self.Revision = max(m.self.Revision, e.Revision)
	case Leave:
		m.leave()
	}
	if m.membersChanged {
		m.actions = append(m.actions, MembersChanged{})
	}
	if len(m.changed) > 0 {
		m.actions = append(m.actions, StatusChanged{Statuses: m.changed})
	}
	return m.actions
}

func (m *Membership) start() {
	m.started = true
	m.lastTick = m.now
	m.askedAt = m.now
	m.nextPing = m.now
	m.nextReconnect = m.now.Add(m.reconnect)
	m.nextSync = m.now
	m.syncWait = firstSyncWait
	m.wantAll = true
	m.queue.add(memberUpdate(m.self), normal)
}

// resume drops everything that was concluded from silence, since this host
// itself was the silent one.
func (m *Membership) resume() {
	m.lastTick = m.now
	m.askedAt = m.now
	m.nextPing = m.now
	m.synchronized = false
	m.heard = false
	m.syncWait = firstSyncWait
	m.wantAll = true
	clear(m.asked)
	clear(m.calls)
	m.order, m.probes = nil, nil
	for _, id := range m.doubted {
		d := m.members[id].doubt
		*d = doubt{since: m.now, until: m.now.Add(m.heardSuspectTime())}
	}
	for range min(3, len(m.ring)) {
		m.pingNext()
	}
}

// heardSuspectTime is how long a host that only heard of a suspicion waits
// before it pings the suspect itself. It leaves 2 s beyond the suspect time for
// the refutation or the news of death to arrive.
func (m *Membership) heardSuspectTime() time.Duration { return 2 * m.suspectTime }

func (m *Membership) tick() {
	m.lastTick = m.now
	m.advanceProbes()
	m.advanceDoubts()
	for !m.now.Before(m.nextPing) {
		m.nextPing = m.nextPing.Add(m.pingInterval)
		if m.now.Sub(m.nextPing) > m.pingInterval {
			m.nextPing = m.now.Add(m.pingInterval)
		}
		m.pingNext()
		if !m.synchronized {
			m.askCandidates()
		}
	}
	if !m.now.Before(m.nextReconnect) {
		m.nextReconnect = m.now.Add(m.reconnect)
		m.addCandidates(m.seeds)
		m.reconnectOne()
		m.forgetDead()
	}
	if !m.now.Before(m.nextSync) {
		m.wantAll = true
		m.scheduleSync()
	}
	m.publishWaiting()
	if !m.synchronized && m.askedAll() {
		m.synchronized = true
	}
}

// scheduleSync spaces the exchanges of the whole view so that they cost a fixed
// number of bytes a second. 64 and 32 bytes are the sizes of a member and of a
// status. After a start or a pause the exchanges come sooner, since hosts that
// start together know little when they are first asked.
func (m *Membership) scheduleSync() {
	size := float64(64*len(m.members) + 32*len(m.statuses))
	wait := max(m.syncMinimum, time.Duration(size/m.syncRate*float64(time.Second)))
	if m.syncWait < m.syncMinimum {
		m.syncWait *= 2
		wait = m.syncWait
	}
	wait += time.Duration(m.random.Int64N(int64(wait)/4 + 1))
	m.nextSync = m.now.Add(wait)
}

func (m *Membership) askedAll() bool {
	if m.now.Sub(m.askedAt) < m.pingInterval || m.heard {
		return false
	}
	for _, p := range m.probes {
		if !p.done {
			return false
		}
	}
	for _, c := range m.candidates {
		if !m.asked[c.ID] {
			return false
		}
	}
	return true
}

// askCandidates pings several members at once, since a starting host waits
// for the first answer.
func (m *Membership) askCandidates() {
	sent := 0
	for _, c := range m.candidates {
		if sent == m.startingPings {
			return
		}
		if !m.asked[c.ID] {
			m.asked[c.ID] = true
			m.startProbe(c, true)
			sent++
		}
	}
}

// pingNext pings the next member of the ring.
func (m *Membership) pingNext() {
	for range len(m.ring) {
		if m.next >= len(m.ring) {
			m.next = 0
			m.random.Shuffle(len(m.ring), func(i, j int) { m.ring[i], m.ring[j] = m.ring[j], m.ring[i] })
		}
		e := m.members[m.ring[m.next]]
		m.next++
		// A detector pings a doubted member in every interval anyway.
		if e.doubt == nil || !e.doubt.detector {
			m.startProbe(e.member, false)
			return
		}
	}
}

// reconnectOne pings a member that is dead or has never answered. Without it
// two groups of hosts that were cut off would never find each other again.
func (m *Membership) reconnectOne() {
	count := len(m.dead) + len(m.candidates)
	if count == 0 {
		return
	}
	i := m.random.IntN(count)
	if i < len(m.dead) {
		m.startProbe(m.members[m.dead[i]].member, true)
		return
	}
	m.startProbe(m.candidates[i-len(m.dead)], true)
}

func (m *Membership) forgetDead() {
	m.dead = slices.DeleteFunc(m.dead, func(id string) bool {
		e := m.members[id]
		if m.listed[id] || m.now.Sub(e.changed) < m.forget {
			return false
		}
		delete(m.members, id)
		m.membersChanged = true
		return true
	})
}

// view returns everything that this host knows, in a fixed order.
func (m *Membership) view() []Update {
	updates := make([]Update, 0, len(m.members)+len(m.statuses))
	for _, member := range m.Members() {
		if member.ID != m.self.ID {
			member.Revision = 0
			updates = append(updates, Update{Member: &member})
		}
	}
	for _, s := range m.Statuses() {
		status := s.TargetStatus
		updates = append(updates, Update{Status: &status})
	}
	return updates
}

func (m *Membership) hostListReceived(hosts []Member) {
	clear(m.listed)
	for _, h := range hosts {
		m.listed[h.ID] = true
	}
	m.candidates = nil
	m.addCandidates(m.seeds)
	m.addCandidates(hosts)
}

// addCandidates adds hosts to ping. They become members once they answer, so
// that a lagging list brings no dead host back. A seed without identifier is
// known by its address.
func (m *Membership) addCandidates(hosts []Member) {
	known := map[string]bool{m.self.ID: true, m.self.Address: true}
	for _, c := range m.candidates {
		known[c.ID], known[c.Address] = true, true
	}
	for id, e := range m.members {
		known[id] = true
		known[e.member.Address] = known[e.member.Address] || e.member.State != Dead
	}
	for _, h := range hosts {
		if h.ID == "" {
			h.ID = h.Address
		}
		if h.Address == "" || known[h.ID] || known[h.Address] {
			continue
		}
		known[h.ID], known[h.Address] = true, true
		m.candidates = append(m.candidates, Member{ID: h.ID, DataCentre: h.DataCentre, Address: h.Address})
	}
}

func (m *Membership) leave() {
	if m.self.State == Leaving {
		return
	}
	m.self.State = Leaving
	m.self.Incarnation++
	m.membersChanged = true
	m.queue.add(memberUpdate(m.self), urgent)
	// The sender of a message is news itself, so extra pings spread it faster.
	for range min(3, len(m.ring)) {
		m.pingNext()
	}
}

// Self returns this host as other hosts see it.
func (m *Membership) Self() Member { return m.self }

// Members returns all known members with this host, sorted by identifier.
func (m *Membership) Members() []Member {
	members := make([]Member, 0, len(m.members)+1)
	members = append(members, m.self)
	for _, e := range m.members {
		members = append(members, e.member)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return members
}

// Hosts returns the hosts that can own targets: members that are alive or
// suspect, and this host unless it leaves. They are sorted by identifier.
func (m *Membership) Hosts() []flow.Host {
	hosts := make([]flow.Host, 0, len(m.members)+1)
	for _, member := range m.Members() {
		if member.State == Alive || member.State == Suspect {
			hosts = append(hosts, flow.Host{ID: member.ID, DataCentre: member.DataCentre})
		}
	}
	return hosts
}

// Backlog returns the number of updates that wait to be sent along.
func (m *Membership) Backlog() int { return len(m.queue.current) }

// Synchronized reports whether this host has got the whole view of a peer, or
// no answer from any of them, since it started or resumed.
func (m *Membership) Synchronized() bool { return m.synchronized }

// Confirmed returns the time of the last ack to a ping that was sent since
// this host started or resumed. The zero time means none. An ack to an earlier
// ping may have waited during a pause and says nothing about the present.
func (m *Membership) Confirmed() time.Time { return m.confirmed }

func memberUpdate(member Member) Update {
	member.Revision = 0
	// Only hosts that know the member need the news of its silence, and they
	// know its address.
	if member.State == Suspect || member.State == Dead {
		member.Address, member.DataCentre = "", ""
	}
	return Update{Member: &member}
}
