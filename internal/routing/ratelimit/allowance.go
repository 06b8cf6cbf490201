package ratelimit

import "time"

// Allowance is what a deployment accepts as obeying the limit that an upstream names: within any Window, the upstream gets at
// most Factor times its limit and Extra requests.
type Allowance struct {
	// Factor is at least 1.
	Factor float64
	Extra  float64
	Window time.Duration
}

// allowanceUse is the part of an allowance that is used. Requests may arrive closer together than they were sent.
const allowanceUse = 0.9

// shareUse is the part of the rate that daemons use together while each has to keep to its own share: the limiter that decided
// for all may still admit requests of those that reach it.
const shareUse = 0.5

// Share returns the part of a rate that one of several daemons may use for itself.
func Share(rate Rate, daemons int) Rate {
	rate.PerSecond = shareUse * rate.PerSecond / float64(max(1, daemons))
	return rate
}

// Rate returns the rate at which requests may be admitted to an upstream that takes limit requests a second.
func (a Allowance) Rate(limit float64) float64 {
	if a.Window <= 0 {
		return limit
	}
	budget := a.Factor*limit*a.Window.Seconds() + a.Extra
	return max(0, allowanceUse*budget-1) / (a.Window + burstTime).Seconds()
}
