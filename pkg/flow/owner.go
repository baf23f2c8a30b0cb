package flow

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// rankedHost is a live host with the hash of its identifier.
type rankedHost struct {
	host Host
	hash uint64
}

// before reports whether host a precedes host b in the owner order of a
// target. Equal scores are ordered by identifier.
func before(a, b *rankedHost, scoreA, scoreB uint64) bool {
	return scoreA > scoreB || scoreA == scoreB && a.host.ID < b.host.ID
}

func ownerScore(target TargetID, hostHash uint64) uint64 {
	return mix(hostHash, uint64(target)+1)
}

// OwnerOrder returns the hosts in the order in which they own a target: first
// the hosts of the target's data centre, then all others, both by rendezvous
// hash. The first is the owner, the second the backup.
func OwnerOrder(target TargetID, dataCentre string, hosts []Host) []Host {
	type scored struct {
		rankedHost
		score uint64
	}
	list := make([]scored, len(hosts))
	for i, h := range hosts {
		hash := xxh3.HashString(h.ID)
		list[i] = scored{rankedHost{h, hash}, ownerScore(target, hash)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		local, otherLocal := a.host.DataCentre == dataCentre, b.host.DataCentre == dataCentre
		switch {
		case local != otherLocal && local:
			return -1
		case local != otherLocal:
			return 1
		default:
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.host.ID, b.host.ID))
		}
	})
	order := make([]Host, len(list))
	for i, s := range list {
		order[i] = s.host
	}
	return order
}

// fleet groups the live hosts so that the owner and the backup of a target
// are found in its data centre without scoring the other hosts.
type fleet struct {
	input        []Host
	hosts        []Host // sorted
	ranked       []rankedHost
	byDataCentre map[string][]rankedHost
}

func newFleet(hosts []Host) *fleet {
	f := &fleet{input: slices.Clone(hosts), hosts: slices.Clone(hosts), byDataCentre: make(map[string][]rankedHost)}
	slices.SortFunc(f.hosts, func(a, b Host) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	f.hosts = slices.CompactFunc(f.hosts, func(a, b Host) bool { return a.ID == b.ID })
	for _, h := range f.hosts {
		r := rankedHost{h, xxh3.HashString(h.ID)}
		f.ranked = append(f.ranked, r)
		f.byDataCentre[h.DataCentre] = append(f.byDataCentre[h.DataCentre], r)
	}
	return f
}

// owners returns the first two hosts of the target's owner order; empty
// strings if there are fewer.
func (f *fleet) owners(target TargetID, dataCentre string) (owner, backup string) {
	local := f.byDataCentre[dataCentre]
	owner, backup = firstTwo(target, local, "")
	if backup != "" {
		return owner, backup
	}
	others, otherBackup := firstTwo(target, f.ranked, owner)
	if owner == "" {
		return others, otherBackup
	}
	return owner, others
}

// firstTwo returns the first two hosts in the owner order of a target without
// the excluded host.
func firstTwo(target TargetID, hosts []rankedHost, excluded string) (first, second string) {
	var one, two *rankedHost
	var scoreOne, scoreTwo uint64
	for i := range hosts {
		h := &hosts[i]
		if h.host.ID == excluded {
			continue
		}
		score := ownerScore(target, h.hash)
		switch {
		case one == nil || before(h, one, score, scoreOne):
			two, scoreTwo = one, scoreOne
			one, scoreOne = h, score
		case two == nil || before(h, two, score, scoreTwo):
			two, scoreTwo = h, score
		}
	}
	if one != nil {
		first = one.host.ID
	}
	if two != nil {
		second = two.host.ID
	}
	return first, second
}
