// Package clock provides the clock for deadline checks that must account for
// pauses of the process.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an epoch that differs between VMs, as a Time without
// a monotonic reading.
type Clock func() time.Time

// Boot reads CLOCK_BOOTTIME. This clock is never set. Unlike the monotonic clock of
// Go's timers it advances while the VM is suspended. Both advance while only the
// process is stopped.
func Boot() time.Time {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return time.Now().Round(0)
	}
	return time.Unix(ts.Unix())
}
