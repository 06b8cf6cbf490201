package rangegrants

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// leaseRecord is the stored value of the lease's row.
type leaseRecord struct {
	// Holder is the Daemon name of the assigner. It is empty after the lease was released.
	Holder string `json:"holder"`
	// ExpiresAt is the time of the store's clock from which another daemon may acquire the lease.
	ExpiresAt time.Duration `json:"until"`
	// GrantsExpireAt is the time of the store's clock at which every grant of the last term and of those before it has expired.
	// It is set when the lease is released, and zero while it is held: a holder that is lost may have sent any grants until then.
	GrantsExpireAt time.Duration `json:"grants-until,omitempty"`
	// Era is the store's era in which the lease was written. A lease that is stored in a later era came back from a copy, and
	// says nothing of who holds it.
	Era table.Era `json:"era,omitempty"`
}

// heldLease is this daemon's lease on the role of assigner.
type heldLease struct {
	mu sync.Mutex
	// expiresAt is guarded by mu and is a time of the store's clock.
	expiresAt time.Duration
	// renewedAt is guarded by mu. It is the uptime at which the last successful renewal was sent.
	renewedAt time.Duration
	// version is that of the lease's row. Only the goroutine that renews the lease uses it.
	version table.Version
	// grantsExpireAt is the time of the store's clock at which all grants of earlier terms have expired, or zero if it is not
	// known. It does not change.
	grantsExpireAt time.Duration
	// uninterrupted is set if no other daemon can have held the lease since this daemon's last term. It does not change.
	uninterrupted bool
}

// acquireLease waits until the lease is free and acquires it. It returns nil when ctx ends.
func (a *Assigner) acquireLease(ctx context.Context) *heldLease {
	for {
		lease, timeLeft := a.tryAcquireLease(ctx)
		if lease != nil {
			return lease
		}
		// Nothing is polled before the lease can expire. After that, the candidates poll at random times, so that the load on
		// the store does not grow with their number.
		pause := timeLeft + time.Duration(rand.Float64()*float64(max(1, a.Candidates()))*float64(meanLeasePollInterval))
		if timer.Wait(ctx, a.Clock, pause) != nil {
			return nil
		}
	}
}

// tryAcquireLease acquires the lease if it is free. Otherwise it returns nil and the time until the lease can expire, which is
// zero if the store does not respond.
func (a *Assigner) tryAcquireLease(ctx context.Context) (*heldLease, time.Duration) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := a.Store.Read(callCtx, a.leaseRow())
	if err != nil {
		a.Log.Debug().Err(err).Msg("read lease of the assigner: retrying")
		return nil, 0
	}
	var current leaseRecord
	var version table.Version
	if len(rows) > 0 {
		version = rows[0].Version
		if err := json.Unmarshal(rows[0].Value, &current); err != nil {
			a.Log.Warn().Err(err).Msg("lease of the assigner is malformed and is treated as expired")
		}
	}
	if left := a.leaseTimeLeft(current); left > 0 {
		return nil, left
	}
	lease := &heldLease{version: version, uninterrupted: a.Store.Reading().Latest(a.Uptime.Uptime()) < a.heldUntil}
	if current.Era == a.Store.Reading().Era {
		lease.grantsExpireAt = current.GrantsExpireAt
	}
	if a.writeLease(callCtx, lease) != nil {
		return nil, 0
	}
	return lease, 0
}

// leaseTimeLeft returns how long another daemon may hold the lease. It is not positive if the lease is free.
func (a *Assigner) leaseTimeLeft(current leaseRecord) time.Duration {
	reading, now := a.Store.Reading(), a.Uptime.Uptime()
	if a.era != reading.Era {
		a.era, a.eraSeenAt, a.eras = reading.Era, now, a.eras+1
	}
	if current.Era == reading.Era {
		if a.holderEnded(current.Holder) {
			return 0
		}
		return current.ExpiresAt - reading.Earliest(now) + 1
	}
	// The lease that was in force when the store went away may be lost. Its holder renewed it before this era began.
	if reading.Latest(now) < a.heldUntil || a.FirstStart && a.eras == 1 {
		return 0
	}
	return a.eraSeenAt + a.LeaseDuration - now
}

// holderEnded reports whether the process that holds the lease is known to have ended its term: the lease was released, or the
// holder is an earlier process on this host or this process, which is not in a term now.
func (a *Assigner) holderEnded(holder string) bool {
	holderHost, _, _ := strings.Cut(holder, "/")
	ownHost, _, _ := strings.Cut(a.Daemon, "/")
	return holder == "" || holderHost == ownHost
}

// writeLease writes the lease with a new expiry. The lease stays as it was if the write fails or its outcome is unknown.
func (a *Assigner) writeLease(ctx context.Context, lease *heldLease) error {
	sentAt := a.Uptime.Uptime()
	expiresAt := a.Store.Reading().Latest(sentAt) + a.LeaseDuration
	era := a.Store.Reading().Era
	value, err := json.Marshal(leaseRecord{Holder: a.Daemon, ExpiresAt: expiresAt, Era: era})
	if err != nil {
		return errors.Wrap(err, "rangegrants: encode lease")
	}
	version, err := a.Store.CommitVersion(ctx, table.Change{Name: a.leaseRow(), Expected: lease.version, Write: true, Value: value})
	if err != nil {
		return errors.Wrap(err, "rangegrants: write lease")
	}
	lease.mu.Lock()
	defer lease.mu.Unlock()
	lease.version, lease.expiresAt, lease.renewedAt = version, expiresAt, sentAt
	return nil
}

// leaseValid reports whether the lease is certain not to have expired.
func (t *term) leaseValid() bool {
	t.lease.mu.Lock()
	defer t.lease.mu.Unlock()
	return t.Store.Reading().Latest(t.Uptime.Uptime()) < t.lease.expiresAt
}

// renewalOverdue reports whether renewals of the lease have failed recently.
func (t *term) renewalOverdue() bool {
	t.lease.mu.Lock()
	defer t.lease.mu.Unlock()
	return t.Uptime.Uptime()-t.lease.renewedAt > t.LeaseDuration*2/renewalsPerLease
}

// keepLease renews the lease until it is lost or ctx ends.
func (t *term) keepLease(ctx context.Context) {
	for t.leaseValid() {
		if timer.Wait(ctx, t.Clock, t.LeaseDuration/renewalsPerLease) != nil {
			return
		}
		if !t.renewLease(ctx) {
			t.Log.Warn().Str("service", string(t.Service)).Msg("another daemon has acquired the lease of the assigner")
			return
		}
	}
	t.Log.Warn().Str("service", string(t.Service)).Msg("lease of the assigner has expired without renewal")
}

// renewLease renews the lease once, and returns false if another daemon holds it.
func (t *term) renewLease(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, t.LeaseDuration/renewalsPerLease)
	defer cancel()
	err := t.writeLease(callCtx, t.lease)
	if err == nil || ctx.Err() != nil {
		return true
	}
	t.Log.Warn().Err(err).Str("service", string(t.Service)).Msg("lease of the assigner was not renewed")
	if t.renewalOverdue() {
		t.wakeServerTasks()
	}
	if errors.Is(err, table.ErrUnavailable) {
		return true
	}
	return t.stillHolder(ctx)
}

// stillHolder reads the lease after a renewal whose outcome is unknown, and returns false if another daemon holds it.
func (t *term) stillHolder(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, t.LeaseDuration/renewalsPerLease)
	defer cancel()
	rows, err := t.Store.Read(callCtx, t.leaseRow())
	if err != nil {
		return true // the next renewal finds out; until then leaseValid bounds the term
	}
	if t.Store.Reading().Era != t.era {
		t.Log.Warn().Str("service", string(t.Service)).Uint32("era", uint32(t.Store.Reading().Era)).
			Msg("store came back from an older copy; the assigner starts anew")
		return false
	}
	if len(rows) == 0 {
		return true
	}
	var current leaseRecord
	if json.Unmarshal(rows[0].Value, &current) != nil || current.Holder != t.Daemon {
		return false
	}
	t.lease.version = rows[0].Version
	return true
}

// releaseLease gives up the lease, so that another daemon can acquire it without waiting for its expiry.
func (t *term) releaseLease(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(leaseRecord{Era: t.era, GrantsExpireAt: t.allGrantsExpireAt()})
	if err == nil {
		err = t.Store.Commit(callCtx, table.Change{Name: t.leaseRow(), Expected: t.lease.version, Write: true, Value: value})
	}
	if err != nil {
		t.Log.Warn().Err(err).Msg("lease of the assigner was not released and will expire")
	}
}
