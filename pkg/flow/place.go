package flow

import (
	"encoding/binary"
	"math"
	"math/bits"
)

// Load is the load of a target as its owner last reported it.
type Load struct {
	Target     TargetID
	Sessions   uint32
	InProgress uint32
	Queued     uint32
	Weight     uint32
	// Eligible is set if the target accepts new sessions.
	Eligible bool
	// Decline is the share of new sessions, from 0 to 1, that an eligible target
	// leaves to the others during its ramp-up.
	Decline float64
}

// A table target accepts sessions until it is this many below its limit.
// Without a headroom it exceeds the bound as soon as a session ends elsewhere.
// A service with few sessions gives only a part of the sessions that the bound
// allows above the mean: a whole one would turn most of its flows into
// exceptions (84% at 14 sessions per target and a bound of 1.05).
const (
	headroom     = 1
	headroomPart = 1.0 / 8
)

// PlaceSession returns the target of a new session whose table target is
// given. The session stays at the table target unless that target does not
// take it, or its sessions with the new one and the headroom would exceed
// bound times its share, by weight, of the sessions of all eligible targets.
// Then it goes to another target, which is drawn by the flow's key and is
// nearly always one of the least loaded. If no target is eligible, the result
// is the table target.
func PlaceSession(k Key, table TargetID, loads []Load, bound float64) TargetID {
	var sessions, weight uint64
	var current *Load
	for i := range loads {
		l := &loads[i]
		if !l.Eligible || l.Weight == 0 {
			continue
		}
		// A target in its ramp-up counts too. Without it the others would go on to
		// accept sessions up to a limit that ignores the new target.
		sessions += uint64(l.Sessions)
		weight += uint64(l.Weight)
		if l.Target == table {
			current = l
		}
	}
	if weight == 0 {
		return table
	}
	if current != nil && !current.declines(k) {
		mean := float64(sessions) * float64(current.Weight) / float64(weight)
		reserve := min(headroom, headroomPart*(bound-1)*mean)
		if float64(current.Sessions)+1+reserve <= bound*mean {
			return table
		}
	}
	if t := placeByDeficit(k, loads, false); t != 0 {
		return t
	}
	return placeByDeficit(k, loads, true)
}

// placeByDeficit returns an eligible target by weighted rendezvous hashing.
// The weight is the square of the sessions that a target has less than the
// most loaded one, for its weight. The square sends nearly all sessions to the
// least loaded target if it stands out, and spreads them if several are close,
// because the loads are old and other owners choose by them too. Targets that
// decline the session count only if all is set. The result is zero if none is
// left.
func placeByDeficit(k Key, loads []Load, all bool) TargetID {
	var most, weight, count float64
	for i := range loads {
		if loads[i].Eligible && loads[i].Weight > 0 {
			most = max(most, float64(loads[i].Sessions)/float64(loads[i].Weight))
			weight += float64(loads[i].Weight)
			count++
		}
	}
	var best TargetID
	var bestScore float64
	for i := range loads {
		l := &loads[i]
		if !l.Eligible || l.Weight == 0 || !all && l.declines(k) {
			continue
		}
		// One session for the mean weight is added, so that equal targets share the
		// sessions evenly.
		deficit := (most+count/weight)*float64(l.Weight) - float64(l.Sessions)
		// The smallest of exponential variables whose rates are the weights.
		uniform := (float64(rendezvousScore(k, l.Target)>>11) + 1) / (1 << 53)
		score := -math.Log(uniform) / (deficit * deficit)
		if best == 0 || score < bestScore || score == bestScore && l.Target < best {
			best, bestScore = l.Target, score
		}
	}
	return best
}

// declines reports whether the target leaves this flow to the others because
// of its ramp-up.
func (l *Load) declines(k Key) bool {
	if l.Decline <= 0 {
		return false
	}
	// Mixed again, so that the choice is independent of the rendezvous order.
	share := float64(mix(rendezvousScore(k, l.Target), 1)>>11) / (1 << 53)
	return share < l.Decline
}

// rendezvousScore ranks the targets for a flow; the highest comes first.
func rendezvousScore(k Key, target TargetID) uint64 {
	return mix(binary.BigEndian.Uint64(k[:8])^binary.BigEndian.Uint64(k[8:]), uint64(target)+1)
}

// PickOfTwo returns the less loaded of two different eligible targets, which
// two random numbers select: the one with fewer requests in progress and
// queued for its weight. It returns zero if no target is eligible.
func PickOfTwo(first, second uint64, loads []Load) TargetID {
	count := uint64(0)
	for i := range loads {
		if loads[i].Eligible && loads[i].Weight > 0 {
			count++
		}
	}
	switch count {
	case 0:
		return 0
	case 1:
		return eligibleAt(loads, 0).Target
	}
	i := first % count
	j := second % (count - 1)
	if j >= i {
		j++
	}
	a, b := eligibleAt(loads, i), eligibleAt(loads, j)
	if compareRatio(uint64(b.InProgress)+uint64(b.Queued), b.Weight, uint64(a.InProgress)+uint64(a.Queued), a.Weight) < 0 {
		return b.Target
	}
	return a.Target
}

// eligibleAt returns the eligible target with the given index among them.
func eligibleAt(loads []Load, index uint64) *Load {
	for i := range loads {
		if !loads[i].Eligible || loads[i].Weight == 0 {
			continue
		}
		if index == 0 {
			return &loads[i]
		}
		index--
	}
	return nil
}

// compareRatio compares a/weightA with b/weightB without rounding.
func compareRatio(a uint64, weightA uint32, b uint64, weightB uint32) int {
	highA, lowA := bits.Mul64(a, uint64(weightB))
	highB, lowB := bits.Mul64(b, uint64(weightA))
	switch {
	case highA < highB || highA == highB && lowA < lowB:
		return -1
	case highA == highB && lowA == lowB:
		return 0
	default:
		return 1
	}
}
