package gossip

import (
	"cmp"
	"slices"
	"time"
)

const (
	// suspectsPerMessage bounds the suspected targets of a message, at 16 bytes each, and
	// suspectsOfManyHosts in a fleet of manyHosts or more, where other news leaves less room in
	// the 5 KB/s that a host may spend on control.
	suspectsPerMessage  = 8
	suspectsOfManyHosts = 3
	manyHosts           = 500
	// suspectRounds is the number of messages to each data centre in which a host tells of a
	// target: with all others that is enough for nearly all hosts.
	suspectRounds = 3
	// suspectsAccepted bounds those that are read of a message, suspectsRemembered those that
	// are told to others: a quarter of the targets of a large data centre.
	suspectsAccepted   = 32
	suspectsRemembered = 512
	// suspectSpan is the time for which a failed question speaks against a target.
	suspectSpan = 2 * time.Second
	// suspectRenewal is the least time between two questions of which a later one is told
	// anew.
	suspectRenewal = 500 * time.Millisecond
)

// SuspectedTarget is a target of which a host asked in vain whether it lives.
type SuspectedTarget struct {
	// Target is the key of the target, Age the time in milliseconds since the question.
	Target uint64 `cbor:"1,keyasint"`
	Age    int64  `cbor:"2,keyasint"`
}

// valid reports whether the values can be those of a host.
func (s *SuspectedTarget) valid() bool {
	return s.Target != 0 && s.Age >= 0 && s.Age <= suspectSpan.Milliseconds()
}

type suspectEntry struct {
	target uint64
	asked  time.Duration
	// told is the number of messages that named the target.
	told int
}

// SuspectedTargets are the targets of which hosts tell each other that they may be dead. Nobody
// believes it without a question of its own, so what is wrong ends with its age.
type SuspectedTargets struct {
	list []suspectEntry
	// cleared holds the targets that this host found alive later than others did not.
	cleared map[uint64]time.Duration
}

// Add notes that a question to a target failed that a host began at a time, and reports whether
// that is news.
func (s *SuspectedTargets) Add(target uint64, asked, now time.Duration) bool {
	cleared, found := s.cleared[target]
	if now-asked > suspectSpan || found && asked <= cleared {
		return false
	}
	for i := range s.list {
		old := &s.list[i]
		if old.target != target {
			continue
		}
		if asked-old.asked < suspectRenewal {
			return false
		}
		*old = suspectEntry{target: target, asked: asked}
		return true
	}
	if len(s.list) >= suspectsRemembered {
		return false
	}
	s.list = append(s.list, suspectEntry{target: target, asked: asked})
	return true
}

// Clear notes that a target answered a question that this host began at a time. What others
// found earlier is told no more.
func (s *SuspectedTargets) Clear(target uint64, asked time.Duration) {
	listed := slices.ContainsFunc(s.list, func(e suspectEntry) bool { return e.target == target })
	if !listed {
		return
	}
	if s.cleared == nil {
		s.cleared = map[uint64]time.Duration{}
	}
	s.cleared[target] = asked
	s.list = slices.DeleteFunc(s.list, func(e suspectEntry) bool { return e.target == target && e.asked <= asked })
}

// Urgent reports whether a host that knows of a number of live hosts tells of something new at
// once, instead of with its next message.
func (s *SuspectedTargets) Urgent(hosts int) bool { return hosts < manyHosts }

// Next returns the targets for a message of a host that knows of a number of live hosts: first
// those that were told least.
func (s *SuspectedTargets) Next(now time.Duration, hosts int) []SuspectedTarget {
	if len(s.list) == 0 {
		// What was cleared before can come again only with an age beyond the span.
		for target, asked := range s.cleared {
			if now-asked > suspectSpan {
				delete(s.cleared, target)
			}
		}
		return nil
	}
	s.list = slices.DeleteFunc(s.list, func(e suspectEntry) bool { return now-e.asked > suspectSpan })
	slices.SortStableFunc(s.list, func(a, b suspectEntry) int { return cmp.Compare(a.told, b.told) })
	limit := suspectsPerMessage
	if hosts >= manyHosts {
		limit = suspectsOfManyHosts
	}
	var suspects []SuspectedTarget
	for i := range min(len(s.list), limit) {
		e := &s.list[i]
		if e.told >= suspectRounds {
			break
		}
		e.told++
		suspects = append(suspects, SuspectedTarget{Target: e.target, Age: max(0, now-e.asked).Milliseconds()})
	}
	return suspects
}
