package peer

import (
	"math"
	"slices"
)

func (m *Membership) startProbe(to Member, tentative bool) {
	p := &probe{target: to.ID, started: m.now, tentative: tentative}
	m.probes = append(m.probes, p)
	m.sendPing(to, p, 0)
}

func (m *Membership) addCall(c *call) uint64 {
	m.sequence++
	c.sequence, c.started = m.sequence, m.now
	m.calls[c.sequence] = c
	m.order = append(m.order, c)
	if c.probe != nil {
		c.probe.open++
	}
	return c.sequence
}

func (m *Membership) sendPing(to Member, p *probe, token uint64) {
	message, taken := m.message(to.ID)
	// Only a member that was heard before is asked for the whole view, since
	// candidates often do not answer.
	if m.wantAll && p != nil && !p.tentative {
		m.wantAll = false
		p.wantAll = true
		message.WantAll = true
		m.scheduleSync()
	}
	sequence := m.addCall(&call{probe: p, token: token, target: to.ID, news: taken})
	m.actions = append(m.actions, SendPing{To: to, Sequence: sequence, Message: message})
}

// message selects the news for a member. One that this host holds for suspect
// or dead is only told so, in order to refute it; other news would probably be
// lost.
func (m *Membership) message(to string) (Message, []*news) {
	message := Message{Sender: m.self}
	e := m.members[to]
	if e == nil {
		return message, nil
	}
	if e.member.State == Suspect || e.member.State == Dead {
		message.Updates = []Update{memberUpdate(e.member)}
		return message, nil
	}
	// After the loss of a data centre the news of each member would take
	// minutes to spread, so messages grow with the news that waits.
	limit := max(m.updateLimit, min(m.queue.pressing/m.updateLimit, burstUpdates))
	taken := m.queue.take(limit, m.transmissions)
	for _, n := range taken {
		message.Updates = append(message.Updates, n.update)
	}
	return message, taken
}

// transmissions is how often one host sends an update: three times the
// logarithm of the members, and six times more unless it is only a load. At 8
// members three transmissions by each host left somebody uninformed in 26% of
// 1,000 updates, nine in none (BenchmarkReach).
func (m *Membership) transmissions(u urgency) int {
	count := 3 * int(math.Ceil(math.Log10(float64(len(m.ring)+2))))
	if u == background {
		return count
	}
	return count + 6
}

// advanceProbes asks other members to ping those that have not answered in
// time, and doubts those that have not answered by the end of the interval.
func (m *Membership) advanceProbes() {
	for _, p := range slices.Clone(m.probes) {
		if !p.done && !p.indirect && m.now.Sub(p.started) >= m.pingTimeout {
			m.pingIndirectly(p)
		}
	}
	m.probes = slices.DeleteFunc(m.probes, func(p *probe) bool {
		if !p.done && m.now.Sub(p.started) < m.pingInterval {
			return false
		}
		m.endProbe(p)
		return true
	})
	// An answer may still arrive after the probe ended. It counts until the
	// suspect time has passed.
	expired := 0
	for expired < len(m.order) && m.now.Sub(m.order[expired].started) >= m.suspectTime {
		c := m.order[expired]
		if m.calls[c.sequence] != nil {
			m.queue.returned(c.news)
		}
		delete(m.calls, c.sequence)
		m.order[expired] = nil
		expired++
	}
	m.order = m.order[expired:]
}

// endProbe takes note that nobody reached the target of a probe.
func (m *Membership) endProbe(p *probe) {
	if p.done {
		return
	}
	p.done = true
	m.wantAll = m.wantAll || p.wantAll
	if !p.tentative {
		m.probeFailed(p)
	}
}

// pingIndirectly asks other members to ping the target and pings it once more:
// at 20% loss of messages one lost answer must not raise a suspicion.
func (m *Membership) pingIndirectly(p *probe) {
	p.indirect = true
	e := m.members[p.target]
	if p.tentative || e == nil {
		if p.open == 0 {
			m.endProbe(p)
		}
		return
	}
	for _, id := range m.helpers(p.target) {
		message, taken := m.message(id)
		sequence := m.addCall(&call{probe: p, target: p.target, news: taken})
		m.actions = append(m.actions, SendPingRequest{
			To: m.members[id].member, Sequence: sequence,
			Request: PingRequest{Target: e.member, Message: message},
		})
	}
	m.sendPing(e.member, p, 0)
}

// helpers picks random members that can ping the target.
func (m *Membership) helpers(target string) []string {
	var picked []string
	// Tries are bounded, since most members may be in doubt during a cut.
	for range 4 * m.indirectPings {
		if len(picked) == m.indirectPings || len(m.ring) < 2 {
			break
		}
		id := m.ring[m.random.IntN(len(m.ring))]
		if id != target && m.members[id].doubt == nil && !slices.Contains(picked, id) {
			picked = append(picked, id)
		}
	}
	return picked
}

func (m *Membership) pingFailed(sequence uint64) {
	c := m.calls[sequence]
	if c == nil {
		return
	}
	delete(m.calls, sequence)
	m.queue.returned(c.news)
	if c.token != 0 {
		m.actions = append(m.actions, SendAck{Token: c.token, Failed: true})
	}
	p := c.probe
	if p == nil || p.done {
		return
	}
	p.open--
	if p.open > 0 {
		return
	}
	if !p.indirect {
		m.pingIndirectly(p)
		return
	}
	// Refused connections tell early that a process has ended.
	m.endProbe(p)
}

func (m *Membership) ackReceived(e AckReceived) {
	c := m.calls[e.Sequence]
	if c == nil {
		// A late answer is still news about the fleet.
		m.apply(e.Message)
		return
	}
	delete(m.calls, e.Sequence)
	if c.token != 0 {
		m.actions = append(m.actions, SendAck{Token: c.token, Message: e.Message})
	}
	// Another host may have taken over the address of the target. The identifier
	// of a seed is not known.
	if c.probe != nil && (e.Message.Sender.ID == c.target || c.probe.tentative) {
		c.probe.done = true
		m.synchronized = m.synchronized || e.Message.All
		m.confirmed, m.heard = m.now, true
	}
	incarnation := m.self.Incarnation
	m.apply(e.Message)
	if sender := m.members[e.Message.Sender.ID]; !m.synchronized && m.wantAll && sender != nil {
		// A view of a part of the fleet would make this host take ownership from
		// the wrong hosts, so it asks the first one that answers for all.
		m.startProbe(sender.member, false)
	}
	// A host that learns of its own death tells the sender at once.
	if sender := m.members[e.Message.Sender.ID]; m.self.Incarnation != incarnation && sender != nil {
		m.startProbe(sender.member, false)
	}
}

func (m *Membership) pingReceived(e PingReceived) {
	m.apply(e.Message)
	answer, _ := m.message(e.Message.Sender.ID)
	if e.Message.WantAll {
		answer.All = true
		answer.Updates = append(answer.Updates, m.view()...)
	}
	m.actions = append(m.actions, SendAck{Token: e.Token, Message: answer})
}

func (m *Membership) pingRequestReceived(e PingRequestReceived) {
	m.apply(e.Request.Message)
	target := e.Request.Target
	m.applyMember(target)
	if known := m.members[target.ID]; known != nil {
		target = known.member
	}
	if target.ID == m.self.ID || target.Address == "" {
		m.actions = append(m.actions, SendAck{Token: e.Token, Failed: true})
		return
	}
	m.sendPing(target, nil, e.Token)
}
