package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// UptimeClock is a clock that continues while the machine is suspended. The monotonic reading of time.Time stops then, so
// that a lease measured with it would appear valid after it has expired.
type UptimeClock interface {
	// Uptime returns the time since a fixed moment.
	Uptime() time.Duration
}

var (
	_ UptimeClock = System{}
	_ UptimeClock = (*Manual)(nil)
)

// Uptime returns the time since the machine was started, including the time that it was suspended. If the machine has no
// such clock, it returns the time of day, which continues during a suspension too.
func (System) Uptime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(now.Nano())
}

// Uptime returns the time of the manual clock since the Unix epoch.
func (m *Manual) Uptime() time.Duration {
	return time.Duration(m.Now().UnixNano())
}
