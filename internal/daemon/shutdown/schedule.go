// Package shutdown decides how the time of a graceful stop is divided.
package shutdown

import "time"

// Bounds are what the environment of a daemon demands of a stop.
type Bounds struct {
	// Timeout is the time from the request to stop to the end of the process.
	Timeout time.Duration
	// BalancerGrace is how long the load balancer may take to notice that the daemon is not ready.
	BalancerGrace time.Duration
	// CompleteFrom is the time from the request to stop after which a request that arrives and is passed on must not be broken
	// off. Zero means that there is no such time.
	CompleteFrom time.Duration
}

// Schedule holds the steps of a stop as times after the request to stop. None of them is later than the next, and the last is
// within Bounds.Timeout.
type Schedule struct {
	// Accept is until when requests are accepted. It is before Bounds.CompleteFrom.
	Accept time.Duration
	// End is when the requests that are left are ended, so that their callers get an answer.
	End time.Duration
	// Close is when the connections of callers are closed.
	Close time.Duration
}

const (
	// completeFraction keeps Schedule.Accept before Bounds.CompleteFrom, which counts from the moment at which the request to
	// stop was sent. The rest is for a process that gets it late because it has to wait for the processor.
	completeFraction = 0.9
	// endFraction and closeFraction leave the rest of Bounds.Timeout for responses on their way and for the end of the process.
	endFraction   = 0.92
	closeFraction = 0.95
)

// NewSchedule returns the schedule of a stop. If the bounds contradict each other, fewer requests are accepted than the balancer
// may still send.
func NewSchedule(bounds Bounds) Schedule {
	result := Schedule{End: scaled(bounds.Timeout, endFraction), Close: scaled(bounds.Timeout, closeFraction)}
	result.Accept = min(bounds.BalancerGrace, result.End)
	if bounds.CompleteFrom > 0 {
		result.Accept = min(result.Accept, scaled(bounds.CompleteFrom, completeFraction))
	}
	return result
}

func scaled(duration time.Duration, factor float64) time.Duration {
	return time.Duration(float64(duration) * factor)
}
