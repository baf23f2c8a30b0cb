package peer

import (
	"slices"
	"time"

	"oriolevalve/pkg/flow"
)

// apply takes over the news of a message.
func (m *Membership) apply(message Message) {
	sender := message.Sender
	if sender.ID == "" || sender.ID == m.self.ID {
		return
	}
	// A ping proves that its sender is there, whatever it says of itself.
	if sender.State != Leaving {
		sender.State = Alive
	}
	if m.applyMember(sender) {
		m.spread(sender.ID)
	}
	if e := m.members[sender.ID]; e != nil {
		e.heard = m.now
		e.member.Revision = max(e.member.Revision, sender.Revision)
		m.revisionSeen(e.member)
	}
	for _, update := range message.Updates {
		switch {
		case update.Member != nil:
			if m.applyMember(*update.Member) && !message.All {
				m.spread(update.Member.ID)
			}
		case update.Status != nil:
			m.applyStatus(*update.Status, !message.All)
		}
	}
}

func (m *Membership) revisionSeen(from Member) {
	if from.Revision <= m.self.Revision {
		return
	}
	// The announcement is repeated, since a fetch may fail.
	if from.Revision > m.announced || m.now.Sub(m.announcedAt) >= time.Second {
		m.announced, m.announcedAt = from.Revision, m.now
		m.actions = append(m.actions, RevisionAvailable{From: from, Revision: from.Revision})
	}
}

// spread queues the current state of a member for other hosts.
func (m *Membership) spread(id string) {
	if e := m.members[id]; e != nil {
		u := normal
		if e.member.State == Leaving || e.member.State == Dead {
			u = urgent
		}
		m.queue.add(memberUpdate(e.member), u)
	}
}

// applyMember takes over a statement about a member and reports whether it was
// new.
func (m *Membership) applyMember(statement Member) bool {
	if statement.ID == m.self.ID {
		m.refute(statement)
		return false
	}
	if statement.ID == "" || statement.State > Dead || statement.Incarnation > maxIncarnation {
		return false
	}
	statement.Revision = 0
	e := m.members[statement.ID]
	if e == nil {
		// Nothing is lost with a dead member, and one without an address cannot
		// be pinged.
		if statement.State == Dead || statement.Address == "" {
			return false
		}
		e = &entry{changed: m.now}
		m.members[statement.ID] = e
		m.candidates = slices.DeleteFunc(m.candidates, func(c Member) bool { return c.ID == statement.ID })
		m.join(statement.ID)
	} else if !statement.supersedes(e.member) {
		return false
	}
	m.setState(e, statement)
	return true
}

// maxIncarnation leaves room for refutations. Higher values are invalid.
const maxIncarnation = 1 << 62

// refute answers a false statement about this host with a higher incarnation.
// A statement of a higher incarnation stems from an earlier process with the
// same identifier.
func (m *Membership) refute(statement Member) {
	if statement.Incarnation > maxIncarnation || statement.Incarnation < m.self.Incarnation ||
		statement.Incarnation == m.self.Incarnation && statement.State <= m.self.State && statement.State != Suspect {
		return
	}
	m.self.Incarnation = statement.Incarnation + 1
	u := normal
	if m.self.State == Leaving {
		u = urgent
	}
	m.queue.add(memberUpdate(m.self), u)
}

// join inserts a member at a random place of the ring, so that hosts that join
// together are not pinged in the same order by all.
func (m *Membership) join(id string) {
	m.ring = append(m.ring, id)
	last := len(m.ring) - 1
	i := m.random.IntN(len(m.ring))
	m.ring[i], m.ring[last] = m.ring[last], m.ring[i]
}

func (m *Membership) setState(e *entry, statement Member) {
	old := e.member
	if statement.Address == "" {
		statement.Address = old.Address
	}
	if statement.DataCentre == "" {
		statement.DataCentre = old.DataCentre
	}
	statement.Revision = old.Revision
	e.member = statement
	e.changed = m.now
	if statement.Incarnation > old.Incarnation {
		// The member lived after the doubt began.
		m.clearDoubt(e)
	}
	if old.State == Dead && statement.State != Dead {
		m.dead = remove(m.dead, statement.ID)
		m.join(statement.ID)
		// Where one dead member is back others may be, after a cut.
		m.nextReconnect = m.now
	}
	switch statement.State {
	case Suspect:
		if e.doubt == nil {
			m.doubt(e, m.heardSuspectTime())
		}
	case Dead:
		m.clearDoubt(e)
		// A dead member may die again at a higher incarnation if the news of its
		// return was lost.
		if old.State != Dead {
			m.dead = append(m.dead, statement.ID)
			m.dropFromRing(statement.ID)
		}
	default:
		m.clearDoubt(e)
	}
	if old.ID == "" || old.State != statement.State || old.Address != statement.Address || old.DataCentre != statement.DataCentre {
		m.membersChanged = true
	}
}

func (m *Membership) dropFromRing(id string) {
	i := slices.Index(m.ring, id)
	m.ring = slices.Delete(m.ring, i, i+1)
	if i < m.next {
		m.next--
	}
}

func remove(list []string, id string) []string {
	if i := slices.Index(list, id); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

func (m *Membership) doubt(e *entry, wait time.Duration) {
	e.doubt = &doubt{since: m.now, until: m.now.Add(wait)}
	m.doubted = append(m.doubted, e.member.ID)
}

func (m *Membership) clearDoubt(e *entry) {
	if e.doubt != nil {
		e.doubt = nil
		m.doubted = remove(m.doubted, e.member.ID)
	}
}

// probeFailed makes this host a detector of the silence of a member.
func (m *Membership) probeFailed(p *probe) {
	e := m.members[p.target]
	if e == nil || e.member.State == Dead || e.heard.After(p.started) {
		return
	}
	if e.doubt != nil && e.doubt.detector {
		return
	}
	if e.member.State == Alive {
		statement := e.member
		statement.State = Suspect
		m.setState(e, statement)
		m.spread(statement.ID)
	}
	// A leaving member stays leaving, since it must not own targets again.
	if e.doubt == nil {
		m.doubt(e, m.suspectTime)
	}
	m.detect(e)
}

// detect starts the time in which this host itself pings a member in doubt.
func (m *Membership) detect(e *entry) {
	d := e.doubt
	d.detector = true
	d.since = m.now
	d.until = m.now.Add(m.suspectTime)
	d.nextProbe = m.now
}

// advanceDoubts pings members in doubt and declares those dead that stayed
// silent.
func (m *Membership) advanceDoubts() {
	for _, id := range slices.Clone(m.doubted) {
		e := m.members[id]
		d := e.doubt
		if !m.now.Before(d.until) {
			switch {
			case d.detector && !e.heard.After(d.since):
				statement := e.member
				statement.State = Dead
				m.setState(e, statement)
				m.spread(id)
				continue
			case d.detector && e.member.State == Leaving:
				m.clearDoubt(e)
				continue
			default:
				// The member answered since, but the refutation was lost; or
				// this host only heard of the suspicion and has not yet tried.
				m.detect(e)
			}
		}
		if d.detector && !m.now.Before(d.nextProbe) {
			d.nextProbe = d.nextProbe.Add(m.pingInterval)
			m.startProbe(e.member, false)
		}
	}
}

// Status is a target's status with the condition of its owner.
type Status struct {
	flow.TargetStatus
	// Stale is set if the owner is dead or unknown.
	Stale bool
}

// Statuses returns the newest status of each target, sorted by target.
func (m *Membership) Statuses() []Status {
	statuses := make([]Status, 0, len(m.statuses))
	for _, s := range m.statuses {
		e := m.members[s.Owner]
		stale := s.Owner != m.self.ID && (e == nil || e.member.State == Dead)
		statuses = append(statuses, Status{TargetStatus: s, Stale: stale})
	}
	slices.SortFunc(statuses, func(a, b Status) int { return int(int64(a.Target) - int64(b.Target)) })
	return statuses
}

func statusSupersedes(s, old flow.TargetStatus) bool {
	if s.Version != old.Version {
		return s.Version > old.Version
	}
	return s.Owner > old.Owner
}

// sameDuty reports whether two statuses differ in load alone.
func sameDuty(a, b flow.TargetStatus) bool {
	return a.Owner == b.Owner && a.Healthy == b.Healthy && a.Relay == b.Relay
}

func statusUrgency(s, old flow.TargetStatus, known bool) urgency {
	if known && sameDuty(s, old) {
		return background
	}
	return normal
}

func (m *Membership) applyStatus(s flow.TargetStatus, spread bool) {
	old, known := m.statuses[s.Target]
	if s.Target == 0 || known && !statusSupersedes(s, old) {
		return
	}
	m.statuses[s.Target] = s
	m.changed = append(m.changed, s)
	if spread {
		m.queue.add(Update{Status: &s}, statusUrgency(s, old, known))
	}
}

func (m *Membership) publishStatus(s flow.TargetStatus) {
	old, known := m.statuses[s.Target]
	if s.Target == 0 || s.Owner != m.self.ID || known && !statusSupersedes(s, old) {
		return
	}
	m.statuses[s.Target] = s
	m.changed = append(m.changed, s)
	p := m.own[s.Target]
	if p == nil {
		p = &publication{}
		m.own[s.Target] = p
		m.ownOrder = append(m.ownOrder, s.Target)
	}
	p.waiting = true
	if p.sent.Owner == "" || !sameDuty(s, p.sent) || old.Owner != s.Owner {
		m.publishNow(p, s, normal)
		return
	}
	m.publishIfDue(p, s)
}

func (m *Membership) publishNow(p *publication, s flow.TargetStatus, u urgency) {
	p.sent, p.at, p.waiting = s, m.now, false
	m.queue.add(Update{Status: &s}, u)
}

// publishIfDue publishes a changed load. A small change waits until all
// targets together would use half of the room for updates, and a material one
// half as long. Small fleets so see exact loads, while 11,000 targets cannot
// fill the messages with loads that are old before they have spread.
func (m *Membership) publishIfDue(p *publication, s flow.TargetStatus) {
	wait := m.refreshInterval()
	if material(s, p.sent) {
		wait /= 2
	}
	if m.now.Sub(p.at) >= max(wait, m.publish) {
		m.publishNow(p, s, background)
	}
}

// refreshInterval is the time between two publications of a target's load at
// which all known targets together use the refresh share of the updates that
// a host can send in pings and acks.
func (m *Membership) refreshInterval() time.Duration {
	perSecond := 2 / m.pingInterval.Seconds() * float64(m.updateLimit) * m.refreshShare
	seconds := float64(len(m.statuses)*m.transmissions(background)) / perSecond
	return time.Duration(seconds * float64(time.Second))
}

// material reports whether a load changed by more than a quarter, or by more
// than 2 if a quarter is less.
func material(s, sent flow.TargetStatus) bool {
	return materialCount(s.Sessions, sent.Sessions) || materialCount(s.InProgress, sent.InProgress) ||
		materialCount(s.Queued, sent.Queued)
}

func materialCount(now, sent uint32) bool {
	difference := max(now, sent) - min(now, sent)
	return difference > max(2, sent/4)
}

// publishWaiting publishes the loads that have waited long enough.
func (m *Membership) publishWaiting() {
	m.ownOrder = slices.DeleteFunc(m.ownOrder, func(target flow.TargetID) bool {
		p := m.own[target]
		s := m.statuses[target]
		if s.Owner != m.self.ID {
			// Another host owns the target now.
			delete(m.own, target)
			return true
		}
		if p.waiting {
			m.publishIfDue(p, s)
		}
		return false
	})
}
