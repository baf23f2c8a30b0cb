package clock_test

import (
	"testing"
	"time"

	"oriolevalve/internal/clock"

	"github.com/stretchr/testify/require"
)

// machine has a monotonic clock and one that counts suspensions too.
type machine struct {
	steady    time.Time
	suspended time.Duration
	reads     int
}

func (m *machine) now() time.Time { return m.steady }

func (m *machine) sinceBoot() time.Duration {
	m.reads++
	return time.Hour + time.Duration(m.steady.UnixNano()) + m.suspended
}

// Guards against a lease or an age that a suspension of the machine does not shorten:
// the monotonic clock does not count it.
func TestBootCountsSuspensions(t *testing.T) {
	m := &machine{steady: time.Unix(1000, 0)}
	c := clock.NewBootTime(clock.WithTimeSources(m.now, m.sinceBoot))
	before := c.Now()
	require.Equal(t, m.steady, before)
	m.steady, m.suspended = m.steady.Add(2*time.Second), 5*time.Second
	require.Equal(t, 7*time.Second, c.Now().Sub(before))
	m.steady = m.steady.Add(time.Second)
	require.Equal(t, 8*time.Second, c.Now().Sub(before))
}

// Guards against a system call for each packet, and against a suspension that is seen
// later than the resolution says.
func TestBootReadsWithinItsResolution(t *testing.T) {
	m := &machine{steady: time.Unix(1000, 0)}
	const resolution = 50 * time.Millisecond
	c := clock.NewBootTime(clock.WithTimeSources(m.now, m.sinceBoot), clock.WithResolution(resolution))
	before := c.Now()
	m.reads = 0
	for range 1000 {
		m.steady = m.steady.Add(time.Millisecond)
		c.Now()
	}
	require.Equal(t, int(time.Second/resolution), m.reads)
	m.suspended = 5 * time.Second
	m.steady = m.steady.Add(resolution)
	require.Equal(t, 6*time.Second+resolution, c.Now().Sub(before))
}

// Guards against a test clock whose timers count a suspension, which those of the
// system do not.
func TestFakeTellsSuspensionsApart(t *testing.T) {
	f := clock.NewFake(time.Unix(0, 0))
	timer := f.After(time.Second)
	f.Suspend(time.Minute)
	require.Equal(t, time.Unix(60, 0), f.Now())
	require.Empty(t, timer)
	f.Advance(time.Second)
	require.Len(t, timer, 1)
}

// Guards against a clock of the machine that goes back or stands still.
func TestBootFollowsTheMachine(t *testing.T) {
	c := clock.NewBootTime()
	before := c.Now()
	<-c.After(time.Millisecond)
	require.GreaterOrEqual(t, c.Now().Sub(before), time.Millisecond)
}
