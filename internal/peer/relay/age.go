package relay

import "time"

// Age returns how long ago the tables whose changes must take effect in time were last known to be those of the store, or zero
// before the first time. The others are read less often, so that they would hide the age of these. For a daemon that follows a
// relay, the relay has told how old its own tables are.
func (n *Node) Age() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.confirmedAt.IsZero() {
		return 0
	}
	return n.Clock.Now().Sub(n.confirmedAt)
}

// GreatestAge returns the greatest age that the tables have had.
func (n *Node) GreatestAge() time.Duration {
	age := n.Age()
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(age, n.greatestAge)
}

// confirm records that the tables are those that the store had at a time, or does nothing if that is zero.
func (n *Node) confirm(confirmed time.Time) {
	n.mu.Lock()
	if !confirmed.After(n.confirmedAt) {
		n.mu.Unlock()
		return
	}
	var age time.Duration
	if !n.confirmedAt.IsZero() {
		age = n.Clock.Now().Sub(n.confirmedAt)
	}
	n.confirmedAt, n.greatestAge = confirmed, max(n.greatestAge, age)
	n.mu.Unlock()
	if n.applyLimit > 0 && age > n.applyLimit {
		n.Log.Warn().Dur("age", age).Dur("limit", n.applyLimit).Msg("tables of the store are up to date again")
	}
}
