package assigner

import "rosemarywick.example/rosemarywick/internal/ownership/lease"

// SetOmit lets the assigner ignore a rule.
func (a *Assigner) SetOmit(rule lease.Rule) {
	a.omit = rule
}
