package relay

import "time"

// silenceMemory is how long a silence counts after contact was regained. The changes that were missed arrive within that time.
const silenceMemory = 2 * time.Second

// contact is what a node knows of its contact to the store, directly or through a relay.
type contact struct {
	// at is the time of the latest contact, or zero before the first.
	at time.Time
	// silence is the longest time without contact that ended within silenceMemory before the latest contact, and endedAt its end.
	silence time.Duration
	endedAt time.Time
}

// note records contact.
func (c *contact) note(now time.Time) {
	gap := now.Sub(c.at)
	if !c.at.IsZero() && (gap > c.silence || now.Sub(c.endedAt) > silenceMemory) {
		c.silence, c.endedAt = gap, now
	}
	c.at = now
}

// Silence returns for how long this daemon is or shortly before was without contact to the store, directly or through a relay.
// The changes that it receives now may have been written that long ago. It is zero in undisturbed operation.
func (n *Node) Silence() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.contact.at.IsZero() {
		return 0
	}
	now := n.Clock.Now()
	silence := now.Sub(n.contact.at)
	if now.Sub(n.contact.endedAt) <= silenceMemory {
		silence = max(silence, n.contact.silence)
	}
	if silence <= n.schedule.contact {
		return 0
	}
	return silence
}
