package entry

import (
	"rosemarywick.example/rosemarywick/internal/caller/budget"
	"rosemarywick.example/rosemarywick/internal/observe/metrics"
)

// heldCounts shows a budget to the metrics.
type heldCounts struct{ *budget.Budget }

var _ metrics.HeldCounts = heldCounts{}

// Purposes implements metrics.HeldCounts.
func (heldCounts) Purposes() []string {
	var names []string
	for _, purpose := range budget.Purposes {
		names = append(names, string(purpose))
	}
	return names
}

// HeldFor implements metrics.HeldCounts.
func (h heldCounts) HeldFor(purpose string) int64 { return h.Held(budget.Purpose(purpose)) }

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
	d.observer.metrics.ExposeHeld(heldCounts{Budget: result})
	return result
}
