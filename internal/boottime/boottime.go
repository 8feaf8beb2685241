// Package boottime reads a clock that also runs while the machine is suspended. The monotonic
// clock of the standard library stands still meanwhile.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started, suspensions included.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every supported kernel has this clock
	}
	return time.Duration(t.Nano())
}
