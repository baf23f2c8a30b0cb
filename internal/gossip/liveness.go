package gossip

import (
	"encoding/binary"
	"time"

	"github.com/zeebo/xxh3"
)

// A liveness digest tells of many hosts in few bytes when each was last heard. Its
// entries are the low 32 bits of the hash of a host's ID, big-endian, and an age. Who
// does not know a host by its ID leaves its entry out.
const (
	// digestHosts is the number of hosts in a digest. With two messages in 250 ms half of
	// 300 hosts were heard of in the last second, and nearly all in 5 s.
	digestHosts = 48
	// digestEntry is the number of bytes of an entry, digestUnit the unit of its age.
	digestEntry = 5
	digestUnit  = 50 * time.Millisecond
	// limitPerHost is the part of the limit on silence that each host of a large fleet
	// adds: the more hosts, the rarer the news of each.
	limitPerHost = 20 * time.Millisecond
	// returnMargin is the time after a host said that it leaves from which being heard
	// means that it has started again. It covers messages on their way.
	returnMargin = 500 * time.Millisecond
	// introducedHosts is the number of hosts that are named to one that knows less than a
	// part of this one's: a message of 1.2 KB.
	introducedHosts = 24
	introducePart   = 2
	// wantedHosts is the number of unknown hosts of a digest that are asked for at a time.
	wantedHosts = 16
)

func digestKey(id string) uint32 { return uint32(xxh3.HashString(id)) }

// aliveLimit returns the time after which a host that nobody heard of is not counted as
// alive; several rounds, since each round reaches only a few hosts.
func (m *Membership) aliveLimit() time.Duration {
	return max(leastAliveLimit, time.Duration(len(m.list))*limitPerHost)
}

// Digest returns the liveness of the hosts that were heard last: what others lack most.
func (m *Membership) Digest(now time.Duration) []byte {
	var counts [256]int
	for _, o := range m.list {
		if m.alive(o, now) {
			counts[o.digestAge(now)]++
		}
	}
	oldest, sum := 0, counts[0]
	for oldest < len(counts)-1 && sum < digestHosts {
		oldest++
		sum += counts[oldest]
	}
	digest := make([]byte, 0, min(digestHosts, sum)*digestEntry)
	for i, offset := 0, m.random.IntN(max(1, len(m.list))); i < len(m.list) && len(digest) < cap(digest); i++ {
		o := m.list[(offset+i)%len(m.list)]
		if age := o.digestAge(now); int(age) <= oldest && m.alive(o, now) {
			digest = append(binary.BigEndian.AppendUint32(digest, o.digestKey), age)
		}
	}
	return digest
}

// digestAge returns the time since a member was heard in digestUnit, rounded up.
func (o *member) digestAge(now time.Duration) byte {
	return byte(max(0, min(255, (now-o.heard+digestUnit-1)/digestUnit)))
}

// ReplyContents returns what a message calls for beside the states of collections: hosts to name
// to its sender, and the keys of hosts in its digest that this one does not know.
func (m *Membership) ReplyContents(k *Message, now time.Duration) (contacts []Contact, wanted []uint32) {
	if !k.Answer && !k.Leaving && k.LiveHostCount < m.LiveHostCount(now)/introducePart {
		contacts = m.introductions(k.From.ID, now)
	}
	for _, key := range k.WantedKeys[:min(wantedHosts, len(k.WantedKeys))] {
		if o := m.byDigest[key]; o != nil && m.alive(o, now) {
			contacts = append(contacts, o.contact(now))
		}
	}
	for digest := k.Digest; len(digest) >= digestEntry && len(wanted) < wantedHosts; digest = digest[digestEntry:] {
		key := binary.BigEndian.Uint32(digest)
		if m.byDigest[key] == nil && key != digestKey(m.self.ID) {
			wanted = append(wanted, key)
		}
	}
	return contacts, wanted
}

// introductions returns live hosts for one that knows few. A host that starts is known to
// the seeds only, and would hear of others as rarely as the seeds speak to it.
func (m *Membership) introductions(id string, now time.Duration) []Contact {
	list := make([]Contact, 0, introducedHosts)
	offset := m.random.IntN(max(1, len(m.list)))
	for i := range m.list {
		o := m.list[(offset+i)%len(m.list)]
		if o.ID == id || !m.alive(o, now) {
			continue
		}
		if list = append(list, o.contact(now)); len(list) == introducedHosts {
			break
		}
	}
	return list
}

// LiveHostCount returns the number of live hosts, this one included, as of a moment ago.
func (m *Membership) LiveHostCount(now time.Duration) int {
	if m.known == 0 || now-m.counted >= Interval/2 {
		m.known, m.counted = m.LivePeerCount(now)+1, now
	}
	return m.known
}

func (o *member) contact(now time.Duration) Contact {
	return Contact{Host: o.Host, Age: (now - o.heard).Milliseconds()}
}

// hearDigest notes the entries of a digest. Bytes that are no whole entry are left out.
func (m *Membership) hearDigest(digest []byte, now time.Duration) {
	for ; len(digest) >= digestEntry; digest = digest[digestEntry:] {
		if o := m.byDigest[binary.BigEndian.Uint32(digest)]; o != nil {
			o.hearAgain(now - time.Duration(digest[digestEntry-1])*digestUnit)
		}
	}
}

// hearAgain notes that somebody heard the host at a time.
func (o *member) hearAgain(heard time.Duration) {
	if o.leaving && heard <= o.left+returnMargin {
		return
	}
	o.leaving, o.heard = false, max(o.heard, heard)
}
