package clock

import (
	"sync"
	"time"
)

// BootTime is a clock for ages, leases and permissions: the difference between two results
// counts the time in which the machine was suspended, which the monotonic clock leaves
// out. Its date is that of the first reading and the time since then, so that it does
// not follow steps of the time of day.
type BootTime struct {
	steady     func() time.Time
	sinceBoot  func() time.Duration
	resolution time.Duration
	base       time.Time
	booted     time.Duration
	mutex      sync.Mutex
	// read is the monotonic time of the last reading of the boot-time clock, suspended
	// the time that it was ahead by.
	read      time.Time
	suspended time.Duration
}

// BootTimeOption sets an option of NewBootTime.
type BootTimeOption func(*BootTime)

// WithResolution sets the monotonic time for which a reading of the boot-time clock is
// used again: it takes a system call, the monotonic clock none. By default each result
// has a reading of its own.
func WithResolution(d time.Duration) BootTimeOption { return func(b *BootTime) { b.resolution = d } }

// WithTimeSources sets the sources of the monotonic time and of the time since the start
// of the machine.
func WithTimeSources(steady func() time.Time, sinceBoot func() time.Duration) BootTimeOption {
	return func(b *BootTime) { b.steady, b.sinceBoot = steady, sinceBoot }
}

// NewBootTime returns a clock that starts at the time of day.
func NewBootTime(options ...BootTimeOption) *BootTime {
	b := &BootTime{steady: time.Now, sinceBoot: sinceBoot}
	for _, o := range options {
		o(b)
	}
	b.base, b.booted = b.steady(), b.sinceBoot()
	b.read = b.base
	return b
}

// Now implements Clock.
func (b *BootTime) Now() time.Time {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.steady()
	if b.resolution == 0 || now.Sub(b.read) >= b.resolution {
		// Two clocks that are read in turn differ by less than a suspension lasts.
		b.suspended = max(b.suspended, b.sinceBoot()-b.booted-now.Sub(b.base))
		b.read = now
	}
	return b.base.Add(now.Sub(b.base) + b.suspended)
}

// After implements Clock. Its timers do not count the time of a suspension.
func (b *BootTime) After(d time.Duration) <-chan time.Time { return time.After(d) }
