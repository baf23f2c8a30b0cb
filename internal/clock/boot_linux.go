package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the start of the machine, suspensions included.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every kernel that Go supports has this clock.
		panic(err)
	}
	return time.Duration(t.Nano())
}
