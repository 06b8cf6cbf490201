package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Uptime is a clock that counts also while the machine is suspended. The monotonic part of time.Time stands still then, so
// that an authority measured by it would outlive its lease.
type UptimeClock interface {
	// Uptime returns the time since a fixed moment.
	Uptime() time.Duration
}

var (
	_ UptimeClock = System{}
	_ UptimeClock = (*Manual)(nil)
)

// Uptime returns the time since the machine was started, suspensions included. Where the machine has no such clock, it
// returns the time of day, which counts on too.
func (System) Uptime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(now.Nano())
}

// Uptime returns the time of the manual clock.
func (m *Manual) Uptime() time.Duration {
	return time.Duration(m.Now().UnixNano())
}
