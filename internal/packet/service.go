package packet

import (
	"math/rand/v2"
	"time"
)

const (
	// scanLimit is the number of targets of a group that a placement looks at. Of a larger
	// group it looks at a random part, which bounds the time of a new flow.
	scanLimit = 32
	// leastCompared is the number of targets of which the least loaded one takes a flow,
	// however many hosts share them.
	leastCompared = 3
	// unevenCompared is the same where targets are known to differ in speed: of four one is
	// mostly among the faster ones.
	unevenCompared = 4
	// spillStart is the use of the slots of the targets at one distance at which new
	// flows start to go further, spillFull that at which all flows choose freely:
	// from there on requests wait for a slot longer than the way takes.
	spillStart = 1.0
	spillFull  = 2.0
	// useSpan is the time over which the use is averaged: several requests, so that
	// chance does not count as a crowd.
	useSpan = 300 * time.Millisecond
	// recentSpan is the time over which a target's new flows are counted.
	recentSpan = time.Second
	// recentBound is the number of recent flows, as a multiple of the mean of the
	// group, beyond which a target takes none: one that rejects requests at once
	// looks idle and would draw all of them. recentFree flows are always allowed.
	recentBound = 1.5
	recentFree  = 4.0
	// overBound is a load that exceeds that of any target under the bound.
	overBound = 1e9
)

// service groups the targets that take new flows of a service. Flows stay in
// the host's data centre while its targets have slots to spare, and then in its
// region: what a partition cuts off is then not in use, and no byte travels without
// need.
type service struct {
	groups [distanceCount]group
	lapsed []*targetRecord
	// evacuated is the number of targets that are left out because their data centres are
	// evacuated.
	evacuated int
	// cold is the number of accepting targets in a guarded warm-up, warm that of the others.
	cold, warm int
	// response is the mean response time of the targets that have one.
	response time.Duration
	measured time.Duration
	// spread is the standard deviation of the learned speeds of the targets, as logarithms;
	// zero while they count as alike.
	spread float64
}

// group is the targets of a service at one distance.
type group struct {
	targets []*targetRecord
	// use is the mean number of requests in progress at the targets, by the host's
	// own count and the number of hosts, for each of their slots.
	use float64
	// usual is the mean of the use over some seconds.
	usual float64
	// hosts is the number of hosts that share the targets.
	hosts int
}

func (s *service) clear() {
	for i := range s.groups {
		s.groups[i].targets = s.groups[i].targets[:0]
	}
	s.lapsed = s.lapsed[:0]
	s.evacuated, s.cold, s.warm = 0, 0, 0
}

func (s *service) empty() bool {
	count := len(s.lapsed) + s.evacuated + s.cold
	for i := range s.groups {
		count += len(s.groups[i].targets)
	}
	return count == 0
}

func (s *service) add(t *targetRecord) {
	if t.State == Lapsed {
		s.lapsed = append(s.lapsed, t)
		return
	}
	g := &s.groups[t.distance]
	g.targets = append(g.targets, t)
}

// measure renews the mean response time.
func (s *service) measure(hosts [distanceCount]int) {
	var sum time.Duration
	count := 0
	for i := range s.groups {
		s.groups[i].hosts = hosts[i]
		for _, t := range s.groups[i].targets {
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
}

// share returns the part of a mean over a span that the time since the last
// sample makes up.
func share(elapsed, span time.Duration) float64 { return min(1, float64(elapsed)/float64(span)) }

// place returns a target for a new flow that is neither of the excluded ones,
// or nil if there is none. Silent targets come last.
func (s *service) place(now time.Duration, random *rand.Rand, excluded, alsoExcluded *targetRecord) *targetRecord {
	var best [distanceCount]candidate
	for i := range s.groups {
		g := &s.groups[i]
		best[i] = s.least(now, random, g.targets, s.compared(g), excluded, alsoExcluded)
		// Hosts at the same distance get like shares of the flows.
		g.use += share(now-s.measured, useSpan) * (best[i].use*float64(g.hosts) - g.use)
	}
	s.measured = now
	chosen := best[Far]
	for i := int(Near); i >= int(Local); i-- {
		chosen = s.groups[i].nearer(best[i], chosen, random)
	}
	if chosen.target == nil {
		return s.least(now, random, s.lapsed, scanLimit, excluded, alsoExcluded).target
	}
	return chosen.target
}

// fullyUsed reports whether the slots of the targets at every distance are in use to a bound.
func (s *service) fullyUsed(bound float64) bool {
	for i := range s.groups {
		if g := &s.groups[i]; len(g.targets) > 0 && g.use < bound {
			return false
		}
	}
	return true
}

// compared returns the number of targets that do not seem dead of which a placement
// takes the least loaded. If many hosts share the targets, each knows little of their
// load, and all would take the same one: a new target, which no host has a flow at.
func (s *service) compared(g *group) int {
	least := leastCompared
	if s.spread > 0 {
		least = unevenCompared
	}
	return max(least, scanLimit/max(1, g.hosts))
}

// nearer chooses between the best target of a group and that of the groups behind it.
func (g *group) nearer(own, further candidate, random *rand.Rand) candidate {
	switch {
	case own.target == nil:
		return further
	case further.target == nil:
		return own
	case own.silent != further.silent:
		if own.silent {
			return further
		}
		return own
	}
	// The own count alone is a lower bound that shows a crowd at once.
	spill := (max(g.use, own.use) - spillStart) / (spillFull - spillStart)
	if random.Float64() < spill && further.plain < own.plain {
		return further
	}
	return own
}

// candidate is the best target of a group.
type candidate struct {
	target *targetRecord
	load   float64
	silent bool
	// plain is the least load of the compared targets without their learned speeds: a faster
	// target elsewhere is no reason to leave the data centre, where a cut would break the flow.
	plain float64
	// use is the number of the host's requests in progress for each slot of the
	// group.
	use float64
}

func (s *service) least(
	now time.Duration, random *rand.Rand, group []*targetRecord, limit int, excluded, alsoExcluded *targetRecord,
) candidate {
	var best candidate
	if len(group) == 0 {
		return best
	}
	active, slots, recent, admitted := 0, 0, 0.0, 0
	offset, count := random.IntN(len(group)), min(len(group), scanLimit)
	for i := range count {
		t := group[(offset+i)%len(group)]
		if !t.admitted() {
			continue
		}
		active += t.active
		slots += t.Slots
		recent += t.recentFlows(now)
		admitted++
	}
	if admitted == 0 {
		return best
	}
	bound := recentFree + recentBound*recent/float64(admitted)
	for i, answering := 0, 0; i < count && answering < limit; i++ {
		t := group[(offset+i)%len(group)]
		if t == excluded || t == alsoExcluded || !t.admitted() || !t.admits(now) {
			continue
		}
		load, silent := t.load(now, s.response), t.avoided(now)
		if !silent {
			answering++
		}
		plain := load
		if t.speed.loadFactor > 0 {
			plain /= t.speed.loadFactor
		}
		if t.recent > bound {
			load += overBound
			plain += overBound
		}
		if best.target != nil && best.silent == silent {
			plain = min(plain, best.plain)
		}
		if best.target == nil || best.silent && !silent || best.silent == silent && load < best.load {
			best = candidate{target: t, load: load, silent: silent}
		}
		if best.silent == silent {
			best.plain = plain
		}
	}
	best.use = float64(active) / float64(slots)
	return best
}
