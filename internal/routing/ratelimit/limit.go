package ratelimit

import "time"

// Reason tells why an upstream takes a limited number of requests.
type Reason string

const (
	// Stated means that the upstream names the limit in its responses, for as long as it does.
	Stated Reason = "stated"
	// Cold means that the upstream has started recently, and takes few requests for some seconds.
	Cold Reason = "cold"
)

var reasons = [...]Reason{Stated, Cold}

// burst returns the time for which an unused rate is kept.
func (r Reason) burst() time.Duration {
	if r == Cold {
		return coldBurstTime
	}
	return burstTime
}

// Limit is a number of requests a second that an upstream takes from all daemons together, with what counts as obeying it.
type Limit struct {
	Reason    Reason
	PerSecond float64
	Allowance Allowance
}

// Rate is the rate at which requests are admitted to an upstream, so that its limit is obeyed.
type Rate struct {
	Reason    Reason
	PerSecond float64
}

// Rate returns the rate at which requests may be admitted.
func (l Limit) Rate() Rate {
	if l.Reason == Cold {
		return Rate{Reason: Cold, PerSecond: l.Allowance.strictRate(l.PerSecond)}
	}
	return Rate{Reason: l.Reason, PerSecond: l.Allowance.Rate(l.PerSecond)}
}

// Lower returns the limit with the lower rate.
func (l Limit) Lower(other Limit) Limit {
	if other.Rate().PerSecond < l.Rate().PerSecond {
		return other
	}
	return l
}

const (
	// arrivalSpread is by how much the times from the decision about a request to its arrival differ: the response of the keeper
	// takes at most 100 ms, or it is dropped, and the rest is for the processing and the connection to the upstream.
	arrivalSpread = 200 * time.Millisecond
	// maxKeepers is the number of limiters that may admit requests to one upstream within the same window, while daemons have
	// different lists of relays.
	maxKeepers = 2
)

// strictRate returns a rate for a limit that must hold in every window, because an upstream that gets more fails. maxKeepers
// limiters at this rate, each with its burst and one request, and the shares of all daemons that cannot ask any of them, stay
// within the allowance, although requests may arrive closer together than they were sent.
func (a Allowance) strictRate(limit float64) float64 {
	budget := a.Factor*limit*a.Window.Seconds() + a.Extra
	return max(0, budget-maxKeepers) / (maxKeepers*(a.Window+coldBurstTime+arrivalSpread).Seconds() + shareUse*a.Window.Seconds())
}
