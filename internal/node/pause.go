package node

import (
	"context"
	"sync"
	"time"
)

const (
	// pauseInterval is the time between two looks of the pause watch.
	pauseInterval = 50 * time.Millisecond
	// pauseLimit is the time without a look from which the process counts as paused: after it a
	// client sends the first copy of an opening. A quota of processor time takes 0.1 s away.
	pauseLimit = 200 * time.Millisecond
	// resumeSpan is the time after a pause in which inputs that came during it are still
	// read from buffers.
	resumeSpan = 200 * time.Millisecond
	// staleLimit is the length of a pause from which no new flow is placed for resumeSpan: the
	// targets of the view may have left, and news of them wait to be read.
	staleLimit = 1400 * time.Millisecond
)

// pauseWatch tells for how long an input may have waited because the process did not
// run. It is safe for concurrent use.
type pauseWatch struct {
	mutex sync.Mutex
	// looked is the time of the last look, paused the start of the last pause, resumed its end.
	looked, paused, resumed time.Duration
	// ended is the length of the last pause until it is reported.
	ended time.Duration
}

// run looks until the context ends.
func (w *pauseWatch) run(ctx context.Context, n *Node) {
	for {
		w.look(n.now())
		select {
		case <-ctx.Done():
			return
		case <-n.clock.After(pauseInterval):
		}
	}
}

// look notes that the process runs.
func (w *pauseWatch) look(now time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lookLocked(now)
}

func (w *pauseWatch) lookLocked(now time.Duration) {
	if gap := now - w.looked; gap > pauseLimit {
		// What came in a pause shortly before may still wait.
		if w.resumed == 0 || w.looked-w.resumed >= resumeSpan {
			w.paused = w.looked
		}
		w.resumed, w.ended = now, gap
	}
	w.looked = max(w.looked, now)
}

// last returns the start and the end of the last pause; zero if there was none.
func (w *pauseWatch) last(now time.Duration) (paused, resumed time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lookLocked(now)
	return w.paused, w.resumed
}

// takeEnded returns the length of the last pause once; zero if there was none since.
func (w *pauseWatch) takeEnded() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	ended := w.ended
	w.ended = 0
	return ended
}

// stale reports whether the process has just gone on after a pause in which the targets may have
// changed.
func (w *pauseWatch) stale(now time.Duration) bool {
	paused, resumed := w.last(now)
	return resumed > 0 && now-resumed < resumeSpan && resumed-paused > staleLimit
}

// delay returns the time that an input which was read at a time may have waited; zero if the
// process ran without pauses, or was paused only later.
func (w *pauseWatch) delay(now time.Duration) time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lookLocked(now)
	if w.resumed > 0 && now-w.resumed < resumeSpan {
		return max(now-w.paused, 0)
	}
	return 0
}
