package entry

import (
	"rosemarywick.example/rosemarywick/internal/caller/budget"
)

// newHeldBudget returns the budget of what is held for callers, and connects its metrics and log lines.
func (d *Daemon) newHeldBudget() *budget.Budget {
	result := &budget.Budget{Limits: budget.LimitsFor(d.Limits.Memory, d.Limits.MaxDescriptors), Clock: d.Timer}
	result.OnClosed = func(purpose budget.Purpose, held int64) {
		if !d.observer.logLimiter.AllowN(d.Timer.Now(), 1) {
			d.observer.metrics.ObserveOmittedLogLine()
			return
		}
		d.Log.Warn().Str("purpose", string(purpose)).Int64("held", held).
			Msg("connection of a caller closed: room is short, and it made no progress")
	}
	d.observer.metrics.ExposeHeld(result)
	return result
}
