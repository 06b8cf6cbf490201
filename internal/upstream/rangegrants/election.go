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

// leaseValue is the content of the lease's row.
type leaseValue struct {
	// Holder is the run of the daemon that acts as assigner; it is empty after a resignation.
	Holder string `json:"holder"`
	// Until is the time of the store's clock from which another daemon may take the lease.
	Until time.Duration `json:"until"`
}

// lease is the right to act as assigner.
type lease struct {
	mu sync.Mutex
	// until is guarded by mu and is a time of the store's clock.
	until time.Duration
	// renewed is guarded by mu; it is the uptime at which the last successful renewal was sent.
	renewed time.Duration
	// version belongs to the goroutine that renews the lease.
	version table.Version
}

// elect waits until the lease is free and takes it. It returns nil when ctx ends.
func (a *Assigner) elect(ctx context.Context) *lease {
	for {
		won, left := a.try(ctx)
		if won != nil {
			return won
		}
		// No daemon needs to look before the lease can end. After that, the looks of all are spread evenly.
		daemons := 1
		if known := a.KnownTable(); known != nil {
			daemons = max(1, known.Daemons)
		}
		pause := left + time.Duration(rand.Float64()*float64(daemons)*float64(pollEvery))
		if timer.Wait(ctx, a.Clock, pause) != nil {
			return nil
		}
	}
}

// try takes the lease if it is free, and otherwise returns how long it still runs.
func (a *Assigner) try(ctx context.Context) (*lease, time.Duration) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := a.Store.Read(call, a.leaseRow())
	if err != nil {
		a.Log.Debug().Err(err).Msg("lease of the assigner cannot be read")
		return nil, 0
	}
	var current leaseValue
	var version table.Version
	if len(rows) > 0 {
		version = rows[0].Version
		if err := json.Unmarshal(rows[0].Value, &current); err != nil {
			a.Log.Warn().Err(err).Msg("lease of the assigner is malformed and counts as ended")
		}
	}
	if left := current.Until - a.Store.Reading().Earliest(a.Uptime.Uptime()); left >= 0 && !a.ended(current.Holder) {
		return nil, left
	}
	taken := &lease{version: version}
	if a.extend(call, taken) != nil {
		return nil, 0
	}
	return taken, 0
}

// ended reports whether the run of a daemon that holds the lease has certainly ended: there is none, or it was an earlier
// run on this host, or it is this run after a term that it has left.
func (a *Assigner) ended(holder string) bool {
	host, _, _ := strings.Cut(holder, "/")
	own, _, _ := strings.Cut(a.Daemon, "/")
	return holder == "" || host == own
}

// extend writes the lease with a new end. An unknown outcome leaves the lease as it was.
func (a *Assigner) extend(ctx context.Context, held *lease) error {
	sent := a.Uptime.Uptime()
	until := a.Store.Reading().Latest(sent) + a.LeaseDuration
	value, err := json.Marshal(leaseValue{Holder: a.Daemon, Until: until})
	if err != nil {
		return errors.Wrap(err, "rangegrants: encode lease")
	}
	version, err := a.Store.CommitVersion(ctx, table.Change{Name: a.leaseRow(), Expected: held.version, Write: true, Value: value})
	if err != nil {
		return errors.Wrap(err, "rangegrants: write lease")
	}
	held.mu.Lock()
	defer held.mu.Unlock()
	held.version, held.until, held.renewed = version, until, sent
	return nil
}

// valid reports whether the lease certainly runs.
func (t *term) valid() bool {
	t.lease.mu.Lock()
	defer t.lease.mu.Unlock()
	return t.Store.Reading().Latest(t.Uptime.Uptime()) < t.lease.until
}

// shaky reports whether the lease could not be renewed lately.
func (t *term) shaky() bool {
	t.lease.mu.Lock()
	defer t.lease.mu.Unlock()
	return t.Uptime.Uptime()-t.lease.renewed > t.LeaseDuration*2/renewalsPerLease
}

// keepLease renews the lease until it is lost or ctx ends.
func (t *term) keepLease(ctx context.Context) {
	for t.valid() {
		if timer.Wait(ctx, t.Clock, t.LeaseDuration/renewalsPerLease) != nil {
			return
		}
		if !t.renewLease(ctx) {
			t.Log.Warn().Str("service", string(t.Service)).Msg("another daemon has taken the lease of the assigner")
			return
		}
	}
	t.Log.Warn().Str("service", string(t.Service)).Msg("lease of the assigner has ended without renewal")
}

// renewLease renews the lease once, and returns false if another daemon has it.
func (t *term) renewLease(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, t.LeaseDuration/renewalsPerLease)
	defer cancel()
	err := t.extend(call, t.lease)
	if err == nil || ctx.Err() != nil {
		return true
	}
	t.Log.Warn().Err(err).Str("service", string(t.Service)).Msg("lease of the assigner was not renewed")
	if t.shaky() {
		t.pokeServers()
	}
	if errors.Is(err, table.ErrUnavailable) {
		return true
	}
	return t.rereadLease(ctx)
}

// rereadLease finds out what became of a renewal without an answer, and returns false if another daemon has the lease.
func (t *term) rereadLease(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, t.LeaseDuration/renewalsPerLease)
	defer cancel()
	rows, err := t.Store.Read(call, t.leaseRow())
	if err != nil || len(rows) == 0 {
		return true // the next renewal shows it; valid() bounds what is done until then
	}
	var current leaseValue
	if json.Unmarshal(rows[0].Value, &current) != nil || current.Holder != t.Daemon {
		return false
	}
	t.lease.version = rows[0].Version
	return true
}

// resign gives the lease back, so that another daemon need not wait for its end.
func (t *term) resign(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(leaseValue{})
	if err == nil {
		err = t.Store.Commit(call, table.Change{Name: t.leaseRow(), Expected: t.lease.version, Write: true, Value: value})
	}
	if err != nil {
		t.Log.Warn().Err(err).Msg("lease of the assigner was not given back; it ends by itself")
	}
}
