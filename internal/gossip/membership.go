// Package gossip is the protocol with which hosts tell each other who is alive
// and how far each one's catalog goes. Messages are small datagrams; what a
// host lacks it fetches from the sender. Membership and Message have no sockets
// and read no clock.
package gossip

import (
	"math/rand/v2"
	"slices"
	"time"

	"oriolevalve/internal/catalog"

	"github.com/zeebo/xxh3"
)

const (
	// Interval is the time between two messages of a host. News reaches 91 hosts in four
	// rounds and 1,100 in six, and messages of 250 bytes with their answers stay under the 5 KB/s
	// that a host may spend on control.
	Interval = 250 * time.Millisecond
	// leastAliveLimit is the limit on silence of a live host in a small fleet.
	leastAliveLimit = 2500 * time.Millisecond
	// forgetLimit is the time after which a silent host is no longer contacted. It
	// exceeds the partitions that a fleet sees in a day without a new start.
	forgetLimit = 2 * time.Minute
	// contacts is the number of hosts that a message names beside those that
	// watch; digests tell of the others.
	contacts = 1
	// directLimit is the number of other hosts, of the fleet or else of the own data centre, up to
	// which news that can't wait go to all of them.
	directLimit = 16
)

// Host is a host as others reach it.
type Host struct {
	ID         string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	// Address is an IP address; the ports are the same on all hosts.
	Address string `cbor:"3,keyasint"`
}

// Contact is a host with the time in milliseconds since somebody heard of it.
type Contact struct {
	Host
	Age int64 `cbor:"4,keyasint"`
}

// NeedsAnswer reports whether a message calls for an answer with the state of a
// collection: the sender knows less, or its knowledge is older by more than an
// interval. Answers spread news in half the rounds. A host without the collection
// answers if it is about to have it.
func NeedsAnswer(m *Message, own, other catalog.State, promised bool) bool {
	if m.Answer {
		return false
	}
	if !own.Valid {
		return promised && !other.Valid
	}
	return !other.Valid || own.Epoch > other.Epoch ||
		own.Position().Compare(other.Position()) > 0 && own.Checksum != other.Checksum ||
		other.Age-own.Age > Interval.Milliseconds()
}

// Message is what a host tells another one. Its fields have numbers on the wire; a
// host ignores those that it does not know, so versions can run side by side.
type Message struct {
	From Host `cbor:"1,keyasint"`
	// Leaving is set if the sender is stopping.
	Leaving  bool      `cbor:"2,keyasint,omitempty"`
	States   States    `cbor:"3,keyasint"`
	Contacts []Contact `cbor:"4,keyasint,omitempty"`
	// Answer is set on the answer to a message, which gets no answer itself.
	Answer bool `cbor:"5,keyasint,omitempty"`
	// ListProgress tells of each collection that the sender does not have how much of it
	// it has read from the store: one more than the number of objects, or zero if it
	// reads none. RelayedProgress tells the same of a host that the sender heard of.
	ListProgress    Progress `cbor:"6,keyasint,omitempty"`
	RelayedProgress Progress `cbor:"7,keyasint,omitempty"`
	// Digest tells when hosts were last heard; see Membership.Digest.
	Digest []byte `cbor:"8,keyasint,omitempty"`
	// LiveHostCount is the number of live hosts that the sender knows, itself included.
	LiveHostCount int `cbor:"9,keyasint,omitempty"`
	// WantedKeys holds the keys of hosts in a digest that the sender does not know.
	WantedKeys []uint32 `cbor:"10,keyasint,omitempty"`
	// WantsContested is set if the sender may have missed contested flows.
	WantsContested bool `cbor:"14,keyasint,omitempty"`
	// Contested holds flows whose tags mislead hosts that did not see them open.
	Contested []ContestedFlow `cbor:"11,keyasint,omitempty"`
	// Suspects holds targets of which a host asked in vain whether they live.
	Suspects []SuspectedTarget `cbor:"12,keyasint,omitempty"`
	// Speeds tells what the sender itself saw of the speeds of targets; see EncodeSpeedFacts.
	Speeds []byte `cbor:"13,keyasint,omitempty"`
}

type member struct {
	Host
	heard time.Duration
	// leaving is set if the host said at the time left that it stops.
	leaving bool
	left    time.Duration
	rank    uint64
	// digestKey names the host in digests.
	digestKey uint32
	// lacking is set for a collection that the host did not have by its last message.
	lacking [catalog.KindCount]bool
	// reported is set if the host was alive at the last call of Changed.
	reported bool
}

// Membership is what a host knows of the others.
type Membership struct {
	self    Host
	seeds   []string
	members map[string]*member
	// byDigest holds the members by their keys in digests.
	byDigest map[uint32]*member
	// list holds the members in a fixed order, for draws that depend on the seed
	// only.
	list   []*member
	random *rand.Rand
	// known caches the result of LiveHostCount; counted is the time of the count.
	known   int
	counted time.Duration
}

// NewMembership returns the membership of a host that knows only the addresses
// of seeds.
func NewMembership(self Host, seeds []string, random *rand.Rand) *Membership {
	return &Membership{
		self: self, seeds: seeds, members: map[string]*member{}, byDigest: map[uint32]*member{}, random: random,
	}
}

// Receive notes a message.
func (m *Membership) Receive(k *Message, now time.Duration) {
	m.hear(k.From, now, k.Leaving)
	if o := m.members[k.From.ID]; o != nil {
		for kind := range o.lacking {
			o.lacking[kind] = k.States.Lacks(catalog.Kind(kind))
		}
	}
	for _, c := range k.Contacts {
		heard := now - time.Duration(max(0, c.Age))*time.Millisecond
		switch old := m.members[c.ID]; {
		case old == nil:
			m.hear(c.Host, heard, false)
		case old.Address == c.Address:
			old.hearAgain(heard)
		}
	}
	m.hearDigest(k.Digest, now)
}

func (m *Membership) hear(h Host, heard time.Duration, leaving bool) {
	if h.ID == "" || h.ID == m.self.ID || h.Address == "" {
		return
	}
	o := m.members[h.ID]
	if o == nil {
		o = &member{rank: xxh3.HashString(h.ID), digestKey: digestKey(h.ID)}
		m.members[h.ID] = o
		m.byDigest[o.digestKey] = o
		m.list = append(m.list, o)
	}
	if o.Host != h {
		// The host was replaced: what was heard of the old one says nothing.
		o.heard = heard
	}
	o.Host, o.heard, o.leaving = h, max(heard, o.heard), leaving
	if leaving {
		o.left = heard
	}
}

// LivePeerCount returns the number of other hosts that are alive.
func (m *Membership) LivePeerCount(now time.Duration) int {
	count := 0
	for _, o := range m.list {
		if m.alive(o, now) {
			count++
		}
	}
	return count
}

// TakeHostsLacking returns the addresses of live hosts that lack a collection as far as
// this one knows. Each is returned once until its next message.
func (m *Membership) TakeHostsLacking(kind catalog.Kind, now time.Duration) []string {
	var list []string
	for _, o := range m.list {
		if o.lacking[kind] && m.alive(o, now) {
			o.lacking[kind] = false
			list = append(list, o.Address)
		}
	}
	return list
}

// Changed returns the hosts that came and those that went since the last call.
func (m *Membership) Changed(now time.Duration) (joined, lost []Host) {
	for _, o := range m.list {
		switch alive := m.alive(o, now); {
		case alive && !o.reported:
			joined = append(joined, o.Host)
		case !alive && o.reported:
			lost = append(lost, o.Host)
		default:
			continue
		}
		o.reported = !o.reported
	}
	return joined, lost
}

// Isolated reports whether the host knows others, of which none is alive for it:
// more likely it is cut off than all of them are down.
func (m *Membership) Isolated(now time.Duration) bool {
	return len(m.list) > 0 && m.LivePeerCount(now) == 0
}

// HostsByDataCentre returns the numbers of live hosts, with this one, by data centre.
func (m *Membership) HostsByDataCentre(now time.Duration) map[string]int {
	hosts := map[string]int{m.self.DataCentre: 1}
	for _, o := range m.list {
		if m.alive(o, now) {
			hosts[o.DataCentre]++
		}
	}
	return hosts
}

// alive reports whether a member counts as alive.
func (m *Membership) alive(o *member, now time.Duration) bool {
	return !o.leaving && now-o.heard <= m.aliveLimit()
}

// ShouldAbandonList reports whether this host leaves reading the store to the sender of a
// message: hosts that start before the seeds all read, and the seeds are enough,
// which everybody knows.
func (m *Membership) ShouldAbandonList(k *Message) bool {
	return slices.Contains(m.seeds, k.From.Address) && !m.IsSeed()
}

// IsSeed reports whether this host is a seed of others.
func (m *Membership) IsSeed() bool { return slices.Contains(m.seeds, m.self.Address) }

// Rank returns the host's place among the live hosts. A data centre that is cut
// off has ranks of its own. The order differs by collection, so that no host
// does all the work.
func (m *Membership) Rank(kind catalog.Kind, now time.Duration) int {
	own, place := order(xxh3.HashString(m.self.ID), kind), 0
	for _, o := range m.list {
		if m.alive(o, now) && order(o.rank, kind) < own {
			place++
		}
	}
	return place
}

// First reports whether this host is the first one for a name among the live hosts of a data
// centre, or among all if none of those is alive. The order differs by name. Hosts that disagree on
// who is alive may all be the first.
func (m *Membership) First(name, dataCentre string, now time.Duration) bool {
	own, first := xxh3.HashStringSeed(name, xxh3.HashString(m.self.ID)), true
	for _, o := range m.list {
		if !m.alive(o, now) {
			continue
		}
		here, ownHere := o.DataCentre == dataCentre, m.self.DataCentre == dataCentre
		if here && !ownHere {
			return false
		}
		if here == ownHere && xxh3.HashStringSeed(name, o.rank) < own {
			first = false
		}
	}
	return first
}

func order(hash uint64, kind catalog.Kind) uint64 {
	if kind == catalog.Targets {
		return ^hash
	}
	return hash
}

// Shares reports whether the host at an address is in the own data centre.
func (m *Membership) Shares(address string) bool {
	return slices.ContainsFunc(m.list, func(o *member) bool {
		return o.Address == address && o.DataCentre == m.self.DataCentre
	})
}

// Partners returns the addresses for the next message: a live host of the own
// data centre, one of another, and now and then a seed or a silent host, which
// joins the parts of a fleet again after a partition. A host that knows no live
// one speaks to all seeds.
func (m *Membership) Partners(now time.Duration) []string {
	m.list = slices.DeleteFunc(m.list, func(o *member) bool {
		forgotten := now-o.heard > forgetLimit
		if forgotten {
			delete(m.members, o.ID)
			delete(m.byDigest, o.digestKey)
		}
		return forgotten
	})
	var local, remote, silent []string
	for _, o := range m.list {
		switch {
		case !m.alive(o, now):
			silent = append(silent, o.Address)
		case o.DataCentre == m.self.DataCentre:
			local = append(local, o.Address)
		default:
			remote = append(remote, o.Address)
		}
	}
	var partners []string
	for _, group := range [][]string{local, remote} {
		partners = append(partners, m.draw(group)...)
	}
	others := slices.DeleteFunc(slices.Concat(m.seeds, silent), func(a string) bool {
		return a == m.self.Address || slices.Contains(local, a) || slices.Contains(remote, a)
	})
	switch {
	case len(partners) == 0:
		partners = append(partners, others...)
	case len(partners) < 2 || m.random.IntN(4) == 0:
		partners = append(partners, m.draw(others)...)
	}
	return partners
}

// Direct returns the addresses of the live hosts that are told at once what can't wait: all, or
// those of the own data centre, or none if these are many.
func (m *Membership) Direct(now time.Duration) []string {
	var all, local []string
	for _, o := range m.list {
		if !m.alive(o, now) {
			continue
		}
		all = append(all, o.Address)
		if o.DataCentre == m.self.DataCentre {
			local = append(local, o.Address)
		}
	}
	for _, list := range [][]string{all, local} {
		if len(list) <= directLimit {
			return list
		}
	}
	return nil
}

func (m *Membership) draw(group []string) []string {
	if len(group) == 0 {
		return nil
	}
	i := m.random.IntN(len(group))
	return group[i : i+1]
}

// Contacts returns live hosts for a message: for each collection the first in
// its order, so that all hosts agree on who watches, and some others.
func (m *Membership) Contacts(now time.Duration) []Contact {
	var list []Contact
	var first [catalog.KindCount]*member
	for _, o := range m.list {
		if !m.alive(o, now) {
			continue
		}
		for i := range first {
			if kind := catalog.Kind(i); first[i] == nil || order(o.rank, kind) < order(first[i].rank, kind) {
				first[i] = o
			}
		}
	}
	named := make([]*member, 0, len(first)+contacts)
	add := func(o *member) {
		if o != nil && m.alive(o, now) && !slices.Contains(named, o) {
			named = append(named, o)
			list = append(list, o.contact(now))
		}
	}
	for _, o := range first {
		add(o)
	}
	for range min(contacts, len(m.list)) {
		add(m.list[m.random.IntN(len(m.list))])
	}
	return list
}
