package assigner

import "rosemarywick.example/rosemarywick/internal/ownership/lease"

// SetOmit disables a rule of the protocol.
func (a *Assigner) SetOmit(rule lease.Rule) {
	a.omit = rule
}
