package warmup_test

import (
	"testing"
	"time"

	"oriolevalve/internal/catalog"
	"oriolevalve/internal/golden"
	"oriolevalve/internal/packet"
	"oriolevalve/internal/warmup"

	"github.com/stretchr/testify/require"
)

// Guards against an allowance that is more than half of the bound, or more than the target bears
// while others are warm.
func TestAllowance(t *testing.T) {
	b := warmup.Bound{Overshoot: 1.5, Slack: 5}
	for rate, want := range map[float64]packet.WarmUpAllowance{
		0: {Sole: 2}, 0.5: {Sole: 2}, 3: {Shared: 3, Sole: 4}, 10: {Shared: 10, Sole: 10}, 40: {Shared: 32, Sole: 32},
		1e9: {Shared: 32767, Sole: 32767},
	} {
		require.Equal(t, want, b.Allowance(rate), rate)
	}
	require.Equal(t, packet.WarmUpAllowance{}, warmup.Bound{}.Allowance(0))
}

// Guards against calls to the store for warm-ups whose capacity nobody needs or can use, and
// against a service that is refused although its cold targets bear some flows.
func TestWantedWarmUps(t *testing.T) {
	golden.Run(t, "testdata/wanted/*/input.json", func(t *testing.T, input []byte) string {
		var s struct {
			Slack   float64 `json:"slack"`
			Targets []struct {
				Name    string  `json:"name"`
				Service string  `json:"service"`
				Rate    float64 `json:"rate"`
				End     int64   `json:"end_ms"`
				Unborn  bool    `json:"unborn"`
			} `json:"targets"`
		}
		golden.Decode(t, input, &s)
		var targets []warmup.Target
		for _, x := range s.Targets {
			target := warmup.Target{
				Life: warmup.Life{Target: x.Name, Born: 7}, Service: x.Service, Slots: 2, Rate: x.Rate, End: time.Duration(x.End) * time.Millisecond,
			}
			if x.Unborn {
				target.Born = 0
			}
			targets = append(targets, target)
		}
		out := ""
		for _, wanted := range (warmup.Bound{Overshoot: 1.5, Slack: s.Slack}).Wanted(targets, time.Second) {
			out += wanted.Name() + "\n"
		}
		return out
	})
}

// Guards against a claim in use that is removed with leftovers: only what is older than the
// longest warm-up is, and nothing after a restore of the store.
func TestLeftoversAreOld(t *testing.T) {
	var l warmup.Leftovers
	position := func(epoch, revision uint64) catalog.Position {
		return catalog.Position{Epoch: epoch, Revision: revision}
	}
	_, due := l.Due(time.Hour, position(1, 9))
	require.False(t, due, "no warm-up was seen")
	start := time.Hour
	l.Seen(start, position(1, 10))
	l.Seen(start+time.Second, position(1, 20))
	_, due = l.Due(start+2*warmup.Longest-1, position(1, 30))
	require.False(t, due)
	upTo, due := l.Due(start+2*warmup.Longest, position(1, 40))
	require.True(t, due)
	require.Equal(t, position(1, 10), upTo)
	// The claims of the warm-ups seen are older than this mark.
	upTo, due = l.Due(start+4*warmup.Longest, position(1, 50))
	require.True(t, due)
	require.Equal(t, position(1, 40), upTo)
	_, due = l.Due(start+9*warmup.Longest, position(1, 60))
	require.False(t, due)
	l.Seen(start+9*warmup.Longest, position(1, 60))
	_, due = l.Due(start+12*warmup.Longest, position(2, 5))
	require.False(t, due, "revisions of another epoch")
}

// Guards against calls without end for a warm-up while the store fails, and against a claim that is
// given up after a lost answer although it was made.
func TestClaimAfterFailures(t *testing.T) {
	life := warmup.Life{Target: "i-1", Born: 7}
	c, now := warmup.NewClaims(), time.Second
	c.Want(life, now+time.Minute)
	var operations []warmup.Operation
	for _, outcome := range []warmup.Outcome{warmup.Refused, warmup.Lost, warmup.Done} {
		now += time.Second
		call, due := c.Next(now)
		require.True(t, due)
		_, due = c.Next(now)
		require.False(t, due, "one call at a time")
		operations = append(operations, call.Operation)
		c.Done(call, outcome, now)
	}
	require.Equal(t, []warmup.Operation{warmup.Create, warmup.Create, warmup.Read}, operations)
	require.True(t, c.Holds(life))
	_, due := c.Next(now + 58*time.Second)
	require.True(t, due, "removed after the warm-up")
	require.False(t, c.Holds(life))

	c = warmup.NewClaims()
	c.Want(life, now+time.Minute)
	calls := 0
	for range 50 {
		now += time.Second
		if call, due := c.Next(now); due {
			calls++
			c.Done(call, warmup.Refused, now)
		}
	}
	require.Equal(t, 4, calls)
}
