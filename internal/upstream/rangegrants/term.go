package rangegrants

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// term is one daemon's time as assigner.
type term struct {
	*Assigner
	lease *lease
	// began is the uptime at the start of the term, from which the holds of the assigner before are bounded.
	began time.Duration
	// wake makes the planning look again, and settled makes it do so a little later.
	wake, settled chan struct{}
	// tasks counts the goroutines of servers, releases and probes.
	tasks sync.WaitGroup
	// version and shifted belong to the planning goroutine.
	version table.Version
	shifted time.Duration

	mu sync.Mutex
	// table is guarded by mu: the table as it was last written.
	table *ranges.Table
	// pending is guarded by mu: the table that is being written, whose outcome is not known yet.
	pending *ranges.Table
	// servers is guarded by mu and holds the task of each owner.
	servers map[ranges.Owner]*server
	// releases is guarded by mu and holds the releases that were begun.
	releases map[releaseKey]*release
	// down is guarded by mu: servers that were absent or silent and have not answered a probe since, and whether their
	// process has certainly ended. Nothing is granted to them.
	down map[ranges.Owner]bool
}

func newTerm(a *Assigner, held *lease) *term {
	return &term{
		Assigner: a, lease: held, began: a.Uptime.Uptime(), wake: make(chan struct{}, 1), settled: make(chan struct{}, 1),
		servers: make(map[ranges.Owner]*server), releases: make(map[releaseKey]*release),
		down: make(map[ranges.Owner]bool),
	}
}

// begin reads the table and writes it back under a new term number, so that a write of the assigner before that is still
// under way cannot take effect any more. It returns false if the lease was lost meanwhile.
func (t *term) begin(ctx context.Context) bool {
	for t.valid() && ctx.Err() == nil {
		current, version, err := t.read(ctx)
		if err == nil {
			next := current.Clone()
			next.Term++
			t.table, t.version = current, version
			if t.write(ctx, next) {
				return true
			}
			continue
		}
		t.Log.Warn().Err(err).Msg("table of the ranges cannot be read")
		if timer.Wait(ctx, t.Clock, retryPause) != nil {
			return false
		}
	}
	return false
}

// read returns the stored table, which is empty at first.
func (t *term) read(ctx context.Context) (*ranges.Table, table.Version, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := t.Store.Read(call, TableRow(t.Service))
	if err != nil {
		return nil, 0, errors.Wrap(err, "rangegrants: read table")
	}
	if len(rows) == 0 {
		return &ranges.Table{}, 0, nil
	}
	current, err := ranges.Parse(rows[0].Value)
	return current, rows[0].Version, errors.Wrap(err, "rangegrants: read table")
}

// write puts a table in place of the present one. Until the outcome is certain, nothing is renewed that the new table
// gives to another server. It returns false if another daemon wrote instead or the term ended.
func (t *term) write(ctx context.Context, next *ranges.Table) bool {
	t.mu.Lock()
	t.pending = next
	t.mu.Unlock()
	content := next.Encode()
	for ctx.Err() == nil && t.valid() {
		version, err := t.commit(ctx, content)
		if errors.Is(err, table.ErrConflict) {
			version, err = t.settleConflict(ctx, content)
		}
		if err == nil {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.table, t.version, t.pending = next, version, nil
			return true
		}
		if errors.Is(err, table.ErrConflict) {
			return false
		}
		t.Log.Warn().Err(err).Str("service", string(t.Service)).Msg("table of the ranges was not written; trying again")
		if timer.Wait(ctx, t.Clock, retryPause) != nil {
			return false
		}
	}
	return false
}

func (t *term) commit(ctx context.Context, content []byte) (table.Version, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := t.Store.CommitVersion(call, table.Change{
		Name: TableRow(t.Service), Expected: t.version, Write: true, Value: content,
	})
	return version, errors.Wrap(err, "rangegrants: write table")
}

// settleConflict looks whether the conflict comes from this daemon's own write, whose first answer was lost.
func (t *term) settleConflict(ctx context.Context, content []byte) (table.Version, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := t.Store.Read(call, TableRow(t.Service))
	if err != nil {
		return 0, errors.Wrap(err, "rangegrants: read table after a conflict")
	}
	if len(rows) == 1 && bytes.Equal(rows[0].Value, content) {
		return rows[0].Version, nil
	}
	return 0, errors.Wrap(table.ErrConflict, "rangegrants: another daemon wrote the table")
}

// run plans until the term ends.
func (t *term) run(ctx context.Context) {
	tick := t.Clock.Every(planEvery)
	defer tick.Stop()
	if len(t.table.Assignments) == 0 && !t.gather(ctx) {
		return
	}
	observed := AggregateLoad{Load: &ranges.Load{}}
	for ctx.Err() == nil {
		changed := t.Registry.Changed()
		if !t.plan(ctx, observed) {
			return
		}
		select {
		case <-changed:
		case <-t.wake:
		case <-t.settled:
			// Moves that end together are written together, since every daemon reads each table.
			_ = timer.Wait(ctx, t.Clock, settlePause)
		case <-tick.C:
			observed = t.LoadSource.Collect(ctx, t.Service)
		case <-ctx.Done():
		}
	}
}

// gather waits until the servers are known.
func (t *term) gather(ctx context.Context) bool {
	for {
		changed := t.Registry.Changed()
		quiet := t.Clock.After(gatherTime)
		select {
		case <-changed:
		case <-quiet.C:
			if len(t.Registry.Servers(t.Service)) > 0 {
				return true
			}
		case <-ctx.Done():
			quiet.Stop()
			return false
		}
		quiet.Stop()
	}
}

// plan writes the next table if it differs, and starts what follows from it. It returns false if the term is over.
func (t *term) plan(ctx context.Context, observed AggregateLoad) bool {
	uptime := t.Uptime.Uptime()
	shift := uptime-t.shifted >= shiftEvery
	planner := &ranges.Planner{
		Servers: t.available(observed.Stats), Load: observed.Load, Rebalance: shift, Now: t.Store.Reading().Earliest(uptime),
		GrantsExpireAt: t.freeAt, Released: t.released, Ended: t.ended, Granted: t.granted, Refused: t.refused,
	}
	next, changed := planner.Next(t.table)
	if observed.Daemons > 0 && observed.Daemons != next.Daemons {
		next.Daemons, changed = observed.Daemons, true
	}
	if changed {
		t.report(next)
		if next.Fence != t.table.Fence {
			t.shifted = uptime
		}
		if !t.write(ctx, next) {
			return false
		}
	}
	t.start(ctx)
	return true
}

// available returns the servers that may hold ranges. The capacity of a server follows from its slots and its pace.
func (t *term) available(pace map[fleet.UpstreamID]ServerStats) []ranges.Server {
	mean, known := 0.0, 0
	for _, one := range pace {
		mean += one.MeanDuration.Seconds()
		known++
	}
	mean /= float64(max(1, known))
	var result []ranges.Server
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, one := range t.Registry.Servers(t.Service) {
		if _, down := t.down[one.Owner]; down || one.Leaving {
			continue
		}
		slots := float64(max(1, one.Slots))
		capacity := slots
		if took := pace[one.ID].MeanDuration; took > 0 {
			capacity *= min(max(mean/took.Seconds(), slowest), fastest)
		}
		result = append(result, ranges.Server{Owner: one.Owner, Capacity: capacity, Utilization: pace[one.ID].Concurrency / slots})
	}
	return result
}

// slowest and fastest bound how far the pace of a server changes its part of the keys.
const (
	slowest = 0.4
	fastest = 2
)

// freeAt bounds the holds of a former owner for the assigners that follow.
func (t *term) freeAt(ranges.Owner) time.Duration {
	return t.Store.Reading().Latest(t.Uptime.Uptime()) + orderTimeout + freeAfter(t.OutageGrantDuration)
}

// report logs what changes hands.
func (t *term) report(next *ranges.Table) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, one := range next.Assignments {
		if before := t.table.Locate(one.Range.First); before == nil || !before.Owner.SameProcess(one.Owner) {
			event := t.Log.Info().Str("service", string(t.Service)).Stringer("range", one.Range).
				Str("owner", string(one.Owner.ID)).Uint64("fence", uint64(one.Fence)).Int("formers", len(one.FormerOwners))
			if before != nil {
				_, down := t.down[before.Owner]
				event = event.Str("before", string(before.Owner.ID)).Bool("down", down)
			}
			event.Msg("range gets another owner")
		}
	}
}

// start runs the tasks that the table asks for.
func (t *term) start(ctx context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, one := range t.table.Assignments {
		for _, former := range one.FormerOwners {
			t.release(ctx, one, former)
		}
		if one.Owner.ID != "" {
			t.serverOf(ctx, one.Owner).poke()
		}
	}
}

// pokeServers makes every server's task look at its grants.
func (t *term) pokeServers() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, one := range t.servers {
		one.poke()
	}
}

// poke wakes the planning.
func (t *term) poke() { notify(t.wake) }

// settle wakes the planning for the end of a move.
func (t *term) settle() { notify(t.settled) }

// notify wakes the reader of a channel with room for one notice, unless a notice waits there.
func notify(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// orders returns the holdings that a server is to have.
func (t *term) orders(owner ranges.Owner) []ranges.Assignment {
	t.mu.Lock()
	defer t.mu.Unlock()
	var result []ranges.Assignment
	for _, one := range t.table.Assignments {
		if one.Owner.SameProcess(owner) {
			result = append(result, one)
		}
	}
	return result
}

// current reports whether a holding may be granted now: the server is not down, the table still says so, no former owner
// holds anything, and no table that may be in force already says otherwise. The caller holds mu.
func (t *term) current(owner ranges.Owner, one ranges.Assignment) bool {
	if _, down := t.down[owner]; down {
		return false
	}
	now := t.table.Locate(one.Range.First)
	return now != nil && now.Range == one.Range && now.Fence == one.Fence && now.Owner.SameProcess(owner) && t.free(*now) && t.stays(*now)
}

// free reports whether no former owner holds anything of a holding. The caller holds mu.
func (t *term) free(one ranges.Assignment) bool {
	return !slices.ContainsFunc(one.FormerOwners, func(former ranges.FormerOwner) bool {
		begun := t.releases[releaseKey{keys: one.Range, fence: one.Fence, former: former.Owner}]
		return begun == nil || !begun.done
	})
}

// stays reports whether the table that is being written leaves the whole holding to its owner. The caller holds mu.
func (t *term) stays(one ranges.Assignment) bool {
	if t.pending == nil {
		return true
	}
	return !slices.ContainsFunc(t.pending.Assignments, func(next ranges.Assignment) bool {
		return next.Range.Overlaps(one.Range) && !next.Owner.SameProcess(one.Owner)
	})
}
