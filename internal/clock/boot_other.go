//go:build !linux

package clock

import "time"

var processStart = time.Now()

// sinceBoot returns the time since the start of the process, without suspensions.
func sinceBoot() time.Duration { return time.Since(processStart) }
