package node

import (
	"net/netip"
	"slices"
	"time"

	"oriolevalve/internal/catalog"
	"oriolevalve/internal/gossip"
	"oriolevalve/internal/logs"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// reportHosts logs the hosts that came and went, some of them by name.
func (c *control) reportHosts() {
	now := c.node.now()
	c.reported = now
	joined, lost := c.members.Changed(now)
	if len(joined)+len(lost) == 0 {
		return
	}
	if len(joined) > c.members.LivePeerCount(now)/2 {
		// This host was cut off, or starts.
		c.wantContested(now)
	}
	c.node.log.Info(logs.PeersChanged, zap.Int("alive", c.members.LivePeerCount(now)),
		zap.Int("joined", len(joined)), zap.Strings("joined_hosts", hostNames(joined)),
		zap.Int("lost", len(lost)), zap.Strings("lost_hosts", hostNames(lost)))
}

func hostNames(list []gossip.Host) []string {
	names := make([]string, 0, min(len(list), namedHosts))
	for i := range cap(names) {
		names = append(names, list[i].ID)
	}
	return names
}

// speak sends a message to a few hosts.
func (c *control) speak() {
	now := c.node.now()
	c.spoken = now
	m := c.message(now, c.members.Contacts(now))
	m.WantsContested = now < c.wantsContested
	m.Digest, m.LiveHostCount = c.members.Digest(now), c.members.LiveHostCount(now)
	c.takeContested(now)
	partners := c.members.Partners(now)
	if c.contested.Urgent() {
		partners = appendMissing(partners, c.members.Direct(now))
	}
	m.Contested = c.contested.Next(now)
	c.tellSuspects(now)
	m.Suspects = c.suspects.Next(now, m.LiveHostCount)
	others := slices.DeleteFunc(slices.Clone(partners), c.members.Shares)
	c.tell(m, others...)
	if len(others) < len(partners) {
		m.Speeds = c.speedFacts(m.LiveHostCount)
		c.tell(m, slices.DeleteFunc(partners, func(a string) bool { return slices.Contains(others, a) })...)
	}
}

func appendMissing(list, more []string) []string {
	for _, address := range more {
		if !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list
}

func (c *control) message(now time.Duration, contacts []gossip.Contact) gossip.Message {
	m := gossip.Message{From: c.self, Leaving: c.leaving, Contacts: contacts}
	for kind := range m.States {
		if !c.follows(catalog.Kind(kind)) {
			continue
		}
		m.States[kind] = c.catalog.State(catalog.Kind(kind), now)
		if !m.States[kind].Valid {
			m.States[kind].Missing = catalog.Kind(kind) == catalog.Evacuations
			m.ListProgress[kind], m.RelayedProgress[kind] = c.askers[kind].ListProgress(), c.sources[kind].RelayedProgress(now)
		}
	}
	return m
}

// noteReading notes how far other hosts are with a list that this one lacks. Seeds read
// from the store whatever the others do.
func (c *control) noteReading(kind catalog.Kind, m *gossip.Message, now time.Duration) {
	if !c.members.IsSeed() {
		c.sources[kind].ReportProgress(max(m.ListProgress[kind], m.RelayedProgress[kind]), now)
	}
	if c.members.ShouldAbandonList(m) {
		c.askers[kind].AbandonList(m.ListProgress[kind])
	}
}

// tell sends a message to hosts.
func (c *control) tell(m gossip.Message, addresses ...string) {
	data, err := m.Encode()
	if err != nil {
		c.node.log.Error(logs.GossipMessageNotSent, logs.Cause(err))
		return
	}
	for _, address := range addresses {
		to, err := c.peer(address)
		if err == nil {
			err = send(c.socket, data, to)
		}
		if err != nil {
			c.node.log.Warn(logs.GossipMessageNotSent, zap.String("to", address), logs.Cause(err))
		}
	}
}

// peer returns where another host listens for gossip and questions.
func (c *control) peer(address string) (netip.AddrPort, error) {
	parsed, err := netip.ParseAddr(address)
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "address of a host")
	}
	return netip.AddrPortFrom(parsed, c.port), nil
}

// receive reads the messages of other hosts until the socket is closed.
func (c *control) receive() error {
	buffer := make([]byte, 64<<10)
	guard := socketGuard{node: c.node, part: partGossip}
	for {
		length, from, err := c.socket.ReadFromUDPAddrPort(buffer)
		if ended, err := guard.ended(err); ended {
			return err
		}
		if err != nil {
			continue
		}
		m, err := c.decode(buffer[:length])
		if err == nil {
			err = m.Check(from.Addr())
		}
		if err != nil {
			c.node.log.Warn(logs.GossipMessageRefused, zap.Stringer("from", from), logs.Cause(err))
			continue
		}
		heard := c.node.now()
		select {
		case c.tasks <- func() { c.hear(m, heard) }:
		default:
			c.node.metrics.gossipDropped.Inc()
		}
	}
}

func (c *control) decode(datagram []byte) (m *gossip.Message, err error) {
	err = errors.New("the message can't be decoded")
	defer c.node.recovered(partGossip, nil)
	return gossip.DecodeMessage(datagram)
}

// hear takes a message that was read at a time. The ages in it are those of its sending:
// one that may have waited through a pause tells what held when the pause began.
func (c *control) hear(m *gossip.Message, heard time.Duration) {
	now := c.node.now()
	heard -= c.node.pauses.delay(heard)
	c.members.Receive(m, heard)
	c.hearContested(m, heard)
	c.tellAllContested(m, now)
	c.hearSuspects(m, heard)
	c.hearSpeeds(m)
	behind := false
	for i := range m.States {
		kind, state := catalog.Kind(i), m.States[i]
		if !c.follows(kind) || !m.States.Follows(kind) {
			continue
		}
		complete := heard - time.Duration(state.Age)*time.Millisecond
		if c.catalog.Confirm(kind, state, complete, now) {
			c.epochChanged[kind] = c.epochChanged[kind] || state.Epoch > c.catalog.State(kind, now).Epoch
			c.sources[kind].AddSource(m.From.Address, now)
			continue
		}
		own := c.catalog.State(kind, now)
		if !own.Valid {
			c.noteReading(kind, m, now)
		}
		promised := c.askers[kind].ListProgress() > 0 || c.sources[kind].RelayedProgress(now) > 0
		behind = behind || gossip.NeedsAnswer(m, own, state, promised)
	}
	c.fetchDue()
	contacts, wanted := c.members.ReplyContents(m, now)
	if !behind && len(contacts)+len(wanted) == 0 {
		return
	}
	answer := c.message(now, contacts)
	answer.WantedKeys = wanted
	answer.Answer = true
	c.tell(answer, m.From.Address)
}
