package packet

import (
	"math/rand/v2"
	"time"
)

const (
	// scanLimit is the number of targets of a group that a placement compares.
	// Beyond it a random part is compared, which bounds the time of a new flow.
	scanLimit = 32
	// spillStart is the use of the local targets' slots at which new flows start
	// to go to other data centres, spillFull that at which all flows choose freely:
	// from there on requests wait for a slot longer than the way takes.
	spillStart = 1.0
	spillFull  = 2.0
	// useWeight is the weight of a new sample in the mean use. With a sample each
	// 250 ms the mean follows a crowd within a second.
	useWeight = 0.25
)

// service groups the targets that take new flows of a service. Flows stay in
// the host's data centre while its targets have slots to spare: what a partition
// cuts off is then not in use, and no byte travels without need.
type service struct {
	local, remote []*targetRecord
	// response is the mean response time of the targets that have one.
	response time.Duration
	// use is the mean number of requests in progress at the local targets, by the
	// host's own count and the number of hosts, for each of their slots.
	use float64
}

func (s *service) clear() { s.local, s.remote = s.local[:0], s.remote[:0] }

func (s *service) empty() bool { return len(s.local)+len(s.remote) == 0 }

func (s *service) add(t *targetRecord) {
	if t.local {
		s.local = append(s.local, t)
		return
	}
	s.remote = append(s.remote, t)
}

// measure renews the mean values. The hosts of a data centre get like shares of
// its flows.
func (s *service) measure(hosts int) {
	var sum time.Duration
	count, active, slots := 0, 0, 0
	for _, t := range s.local {
		active += t.active
		slots += t.Slots
	}
	for _, group := range [][]*targetRecord{s.local, s.remote} {
		for _, t := range group {
			if t.response > 0 {
				sum += t.response
				count++
			}
		}
	}
	s.response = 0
	if count > 0 {
		s.response = sum / time.Duration(count)
	}
	if slots > 0 {
		s.use += useWeight * (float64(active*hosts)/float64(slots) - s.use)
	}
}

// place returns a target for a new flow that is neither of the excluded ones,
// or nil if there is none. Silent targets come last.
func (s *service) place(now time.Duration, random *rand.Rand, excluded, alsoExcluded *targetRecord) *targetRecord {
	local := s.least(now, random, s.local, excluded, alsoExcluded)
	remote := s.least(now, random, s.remote, excluded, alsoExcluded)
	switch {
	case local.target == nil:
		return remote.target
	case remote.target == nil:
		return local.target
	case local.silent != remote.silent:
		if local.silent {
			return remote.target
		}
		return local.target
	}
	// The own count alone is a lower bound that shows a crowd at once.
	spill := (max(s.use, local.use) - spillStart) / (spillFull - spillStart)
	if random.Float64() < spill && remote.load < local.load {
		return remote.target
	}
	return local.target
}

// candidate is the best target of a group.
type candidate struct {
	target *targetRecord
	load   float64
	silent bool
	// use is the number of the host's requests in progress for each slot of the
	// group.
	use float64
}

func (s *service) least(
	now time.Duration, random *rand.Rand, group []*targetRecord, excluded, alsoExcluded *targetRecord,
) candidate {
	var best candidate
	if len(group) == 0 {
		return best
	}
	active, slots := 0, 0
	offset := random.IntN(len(group))
	for i := range min(len(group), scanLimit) {
		t := group[(offset+i)%len(group)]
		active += t.active
		slots += t.Slots
		if t == excluded || t == alsoExcluded {
			continue
		}
		load, silent := t.load(now, s.response), t.silent(now)
		if best.target == nil || best.silent && !silent || best.silent == silent && load < best.load {
			best = candidate{target: t, load: load, silent: silent}
		}
	}
	best.use = float64(active) / float64(slots)
	return best
}
