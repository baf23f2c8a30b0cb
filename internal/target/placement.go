package target

import "time"

// WarmUpShare returns the share of new sessions that a joined target receives:
// 10% at first, rising linearly to 100% over the warm-up time. One minus the share is
// the Decline of the target's Load.
func WarmUpShare(joinedAt time.Time, warmUp time.Duration, now time.Time) float64 {
	age := now.Sub(joinedAt)
	if warmUp <= 0 || age >= warmUp {
		return 1
	}
	if age < 0 {
		age = 0
	}
	return 0.1 + 0.9*float64(age)/float64(warmUp)
}
