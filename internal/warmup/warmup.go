// Package warmup decides which host may send new flows to a target in its warm-up, and how many.
// All hosts together must not exceed what the target bears, and they never agree on anything. So a
// warm-up has one holder at most: the host that created its claim, an object of the platform's
// store. The package has no sockets and reads no clock.
package warmup

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"oriolevalve/internal/packet"
)

const (
	// Longest is the longest warm-up that is claimed: a claim that is twice as old is a leftover.
	Longest = time.Minute
	// LeastLeft is the time that a warm-up has to last for a claim to be worth its calls.
	LeastLeft = 500 * time.Millisecond
	// neededShare is the share of a service's slots at targets in their warm-up from which their
	// capacity counts: one data centre of two, or a fleet that starts. Below it the warm ones have room,
	// and each claim costs two calls.
	neededShare = 0.5
	// retryDelay is the pause after a call that failed; after attemptLimit calls the claim is given up.
	retryDelay   = 200 * time.Millisecond
	attemptLimit = 4
	// callLimit is the number of calls at a time.
	callLimit = 4
	// shares is the number of holders whose allowances the bound covers: a store that came back from
	// an older copy may have lost a claim and give it to a second host, and packets that were
	// delayed by a window arrive with those of the next one.
	shares = 2
)

// Bound is the most that a cold target may get in a second: Overshoot times its rate and Slack.
type Bound struct {
	Overshoot, Slack float64
}

// Allowance returns what the holder of a warm-up may send a target that bears so many new flows a
// second; zero stands for no figure as well as for none.
func (b Bound) Allowance(rate float64) packet.WarmUpAllowance {
	most := (b.Overshoot*rate + b.Slack) / shares
	return packet.WarmUpAllowance{Shared: int(min(rate, most, math.MaxInt16)), Sole: int(min(most, math.MaxInt16))}
}

// Life identifies a life of a target by its name and the time of its start in milliseconds.
type Life struct {
	Target string
	Born   int64
}

// Name returns the name of the claim on the life's warm-up.
func (l Life) Name() string { return l.Target + "." + strconv.FormatInt(l.Born, 10) }

// Target is a target that takes new flows.
type Target struct {
	Life
	Service, DataCentre string
	Slots               int
	// Rate is the number of new flows a second that it bears in its warm-up.
	Rate float64
	// End is the time at which its warm-up ends; zero if it is warm.
	End time.Duration
}

// Wanted returns the targets whose warm-up is worth a claim: those that the service needs, with an
// allowance that can be used.
func (b Bound) Wanted(targets []Target, now time.Duration) []Target {
	type counts struct{ cold, all int }
	slots := map[string]counts{}
	for i := range targets {
		t := &targets[i]
		s := slots[t.Service]
		s.all += t.Slots
		if t.End > now {
			s.cold += t.Slots
		}
		slots[t.Service] = s
	}
	var wanted []Target
	for _, t := range targets {
		s, allowance := slots[t.Service], b.Allowance(t.Rate)
		usable := allowance.Shared
		if s.cold == s.all {
			usable = allowance.Sole
		}
		// Without a time of birth, a claim would hold for the target's next life as well.
		if left := t.End - now; left >= LeastLeft && left <= Longest && t.Born != 0 && usable > 0 &&
			float64(s.cold) >= neededShare*float64(s.all) {
			wanted = append(wanted, t)
		}
	}
	slices.SortFunc(wanted, func(a, b Target) int { return cmp.Compare(a.Name(), b.Name()) })
	return wanted
}
