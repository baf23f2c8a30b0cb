// Package clock provides the time source that every component receives, so
// that tests and replays control time.
package clock

import (
	"sync"
	"time"
)

// Clock is a source of time. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the current time. Differences between two results follow a clock
	// that goes on while a process is paused. Only that of BootTime goes on while the
	// machine is suspended.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// System is the clock of the operating system, for dates and round trips.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// After implements Clock.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

type waiter struct {
	at      time.Time
	channel chan time.Time
}

// Fake is a clock that moves only when Advance is called.
type Fake struct {
	mutex   sync.Mutex
	now     time.Time
	waiters []waiter
}

// NewFake returns a fake clock that starts at the given time.
func NewFake(start time.Time) *Fake { return &Fake{now: start} }

// Now implements Clock.
func (f *Fake) Now() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.now
}

// After implements Clock.
func (f *Fake) After(d time.Duration) <-chan time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	c := make(chan time.Time, 1)
	if d <= 0 {
		c <- f.now
		return c
	}
	f.waiters = append(f.waiters, waiter{at: f.now.Add(d), channel: c})
	return c
}

// Advance moves the clock forward and fires the timers that became due.
func (f *Fake) Advance(d time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.now = f.now.Add(d)
	pending := f.waiters[:0]
	for _, w := range f.waiters {
		if w.at.After(f.now) {
			pending = append(pending, w)
			continue
		}
		w.channel <- f.now
	}
	f.waiters = pending
}

// Suspend moves the clock as a suspension of the machine does: timers do not count it.
func (f *Fake) Suspend(d time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.now = f.now.Add(d)
	for i := range f.waiters {
		f.waiters[i].at = f.waiters[i].at.Add(d)
	}
}

// AutoAdvance is a clock for tests whose timers fire at once. Each moves the time by
// its length.
type AutoAdvance struct {
	mutex sync.Mutex
	now   time.Time
}

// NewAutoAdvance returns a clock that starts at the given time.
func NewAutoAdvance(start time.Time) *AutoAdvance { return &AutoAdvance{now: start} }

// Now implements Clock.
func (c *AutoAdvance) Now() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.now
}

// After implements Clock.
func (c *AutoAdvance) After(d time.Duration) <-chan time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.now = c.now.Add(d)
	fired := make(chan time.Time, 1)
	fired <- c.now
	return fired
}
