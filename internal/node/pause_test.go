package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against inputs that waited while the process was paused and count as new, whatever the
// length of the pause, and against a busy process that drops its inputs.
func TestPauseWatch(t *testing.T) {
	for pause := pauseLimit + time.Millisecond; pause < 10*time.Second; pause *= 2 {
		var w pauseWatch
		last := time.Duration(0)
		for now := time.Duration(0); now < time.Second; now += tick {
			w.look(now)
			require.Zero(t, w.delay(now+tick))
			last = now + tick
		}
		require.Zero(t, w.takeEnded())
		resumed := last + pause
		require.Equal(t, pause, w.delay(resumed), "read before the first look")
		w.look(resumed)
		require.Equal(t, pause, w.takeEnded())
		require.Zero(t, w.takeEnded(), "reported once")
		require.Equal(t, pause+tick, w.delay(resumed+tick), "read soon after the first look")
		require.Zero(t, w.delay(resumed+resumeSpan))
		require.Zero(t, w.delay(last-tick), "read before the pause, and handled after it")
		require.Equal(t, pause > staleLimit, w.stale(resumed+tick))
		require.False(t, w.stale(resumed+resumeSpan))
		paused, ended := w.last(resumed + resumeSpan)
		require.Equal(t, [2]time.Duration{last, resumed}, [2]time.Duration{paused, ended})
	}
}

// Guards against pauses in series of which only the last one counts: what came in the first may
// still wait after the last.
func TestPausesInSeries(t *testing.T) {
	var w pauseWatch
	w.look(100 * time.Millisecond)
	w.look(time.Second)
	w.look(1050 * time.Millisecond)
	require.Equal(t, 1600*time.Millisecond, w.delay(1700*time.Millisecond))
	// In between the process ran for long enough to read what had come.
	w.look(1800 * time.Millisecond)
	w.look(1950 * time.Millisecond)
	require.Equal(t, 300*time.Millisecond, w.delay(2250*time.Millisecond))
}
