package rangegrants

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
)

// maxGrantLifetime returns the longest time for which a server may consider a grant of the duration valid.
func maxGrantLifetime(duration time.Duration) time.Duration {
	return time.Duration(float64(duration)/(1-maxClockDrift)) + time.Millisecond
}

// inheritedExpiry returns the uptime at which every grant that earlier assigners sent has expired. One that was lost may have
// sent grants until its lease expired, which was before now.
func (a *Assigner) inheritedExpiry(acquired *heldLease) time.Duration {
	now := a.Uptime.Uptime()
	expiry := now + requestTimeout + maxGrantLifetime(a.OutageGrantDuration)
	if acquired.grantsExpireAt > 0 {
		expiry = min(expiry, now+acquired.grantsExpireAt-a.Store.Reading().Earliest(now))
	}
	return expiry
}

// allGrantsExpireAt returns the time of the store's clock at which every grant that this assigner or earlier ones sent has
// expired. It is called when no more grants are sent.
func (t *term) allGrantsExpireAt() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	expiry := t.inheritedExpiry
	for _, task := range t.serverTasks {
		for _, state := range task.grants {
			expiry = max(expiry, state.expiryUptime)
		}
	}
	now := t.Uptime.Uptime()
	return t.Store.Reading().Latest(now) + expiry - now
}

// grantExpiryUptime returns the uptime at which all grants of any key of the range to a server have expired. It includes grants
// that were sent to another process with the same ID and address, since the present process may have accepted them. The caller
// holds mu.
func (t *term) grantExpiryUptime(owner ranges.Owner, keys fleet.KeyRange) time.Duration {
	expiryUptime := t.inheritedExpiry
	for _, task := range t.serverTasks {
		if task.owner.ID != owner.ID || task.owner.Address != owner.Address {
			continue
		}
		for key, state := range task.grants {
			if key.keys.Overlaps(keys) {
				expiryUptime = max(expiryUptime, state.expiryUptime)
			}
		}
	}
	return expiryUptime
}

// grantsExpireAt returns the time of the store's clock at which every grant to a server has expired. Later assigners read it in
// the table, as the bound for a former owner. A server that is down is sent no more grants, so that those sent bound the time;
// any other one may be sent grants until the table is written.
func (t *term) grantsExpireAt(owner ranges.Owner) time.Duration {
	now := t.Uptime.Uptime()
	expiry := now + requestTimeout + maxGrantLifetime(t.OutageGrantDuration)
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, down := t.down[owner]; down {
		expiry = min(expiry, max(now, t.grantExpiryUptime(owner, fleet.KeyRange{Last: fleet.MaxNumericKey})))
	}
	return t.Store.Reading().Latest(now) + expiry - now
}
