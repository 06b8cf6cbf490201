package rangegrants

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// term is the state of this daemon's work as assigner, from its election until the loss of the lease.
type term struct {
	*Assigner
	lease *heldLease
	// era is the store's era at the start of the term. The term ends with it.
	era table.Era
	// inheritedExpiry is the uptime at which every grant that earlier assigners sent has expired.
	inheritedExpiry time.Duration
	// replan makes the planner run at once. moveEnded makes it run after moveBatchDelay.
	replan, moveEnded chan struct{}
	// tasks counts the goroutines of servers, releases and probes.
	tasks sync.WaitGroup
	// tableVersion, lastMove and lastLeavingStep, which are uptimes, are used only by the goroutine that plans.
	tableVersion              table.Version
	lastMove, lastLeavingStep time.Duration
	// collected is set from a collection of the load until the next plan that may move keys by it. Only the goroutine that plans
	// uses it.
	collected bool
	// paces is the speed of the servers. Only the goroutine that plans uses it.
	paces ranges.Paces

	mu sync.Mutex
	// table is guarded by mu: the table as last written.
	table *ranges.Table
	// lateEntries contains the entries of earlier starts that were logged. Only the goroutine that plans uses it.
	lateEntries map[ranges.Owner]bool
	// pending is guarded by mu: the table that is being written and whose outcome is not known yet, or nil.
	pending *ranges.Table
	// serverTasks is guarded by mu and contains a task for each owner so far.
	serverTasks map[ranges.Owner]*serverTask
	// releases is guarded by mu and contains the releases that were started.
	releases map[releaseKey]*releaseState
	// down is guarded by mu. Its keys are the servers that have failed and have not responded to a probe since; the value is
	// set if the process is known to have ended. Nothing is granted to them. Only the goroutine that plans deletes keys, so that
	// no grant is sent between its decision and the write of the table.
	down map[ranges.Owner]bool
	// back is guarded by mu and contains the servers in down that have responded to a probe since the last plan.
	back map[ranges.Owner]bool
}

func newTerm(a *Assigner, acquired *heldLease) *term {
	return &term{
		Assigner: a, lease: acquired, era: a.Store.Reading().Era, inheritedExpiry: a.inheritedExpiry(acquired),
		replan: make(chan struct{}, 1), moveEnded: make(chan struct{}, 1),
		serverTasks: make(map[ranges.Owner]*serverTask), releases: make(map[releaseKey]*releaseState),
		down: make(map[ranges.Owner]bool), back: make(map[ranges.Owner]bool),
		lateEntries: make(map[ranges.Owner]bool),
	}
}

// writeTable replaces the stored table. Until the outcome is known, no range is renewed that the new table assigns to another
// server. It returns false if another daemon wrote the table or the term ended.
func (t *term) writeTable(ctx context.Context, next *ranges.Table) bool {
	t.mu.Lock()
	t.pending = next
	t.mu.Unlock()
	content := next.Encode()
	for ctx.Err() == nil && t.leaseValid() {
		version, err := t.commitTable(ctx, content)
		if errors.Is(err, table.ErrConflict) {
			version, err = t.resolveConflict(ctx, content)
		}
		if err == nil {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.table, t.tableVersion, t.pending = next, version, nil
			return true
		}
		if errors.Is(err, table.ErrConflict) {
			return false
		}
		t.Log.Warn().Err(err).Str("service", string(t.Service)).Msg("write table of the ranges: retrying")
		if timer.Wait(ctx, t.Clock, storeRetryDelay) != nil {
			return false
		}
	}
	return false
}

// commitTable writes the encoded table once and returns its new version.
func (t *term) commitTable(ctx context.Context, content []byte) (table.Version, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := t.Store.CommitVersion(callCtx, table.Change{
		Name: TableRow(t.Service), Expected: t.tableVersion, Write: true, Value: content,
	})
	return version, errors.Wrap(err, "rangegrants: write table")
}

// resolveConflict checks whether a conflict was caused by this daemon's own write, whose first response was lost. If so, it
// returns the version of the table, and otherwise ErrConflict.
func (t *term) resolveConflict(ctx context.Context, content []byte) (table.Version, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := t.Store.Read(callCtx, TableRow(t.Service))
	if err != nil {
		return 0, errors.Wrap(err, "rangegrants: read table after a conflict")
	}
	if len(rows) == 1 && bytes.Equal(rows[0].Value, content) {
		return rows[0].Version, nil
	}
	return 0, errors.Wrap(table.ErrConflict, "rangegrants: another daemon wrote the table")
}

// run plans whenever servers, grants or the load change, until the term ends.
func (t *term) run(ctx context.Context) {
	tick := t.Clock.Every(loadInterval)
	defer tick.Stop()
	if len(t.table.Assignments) == 0 && !t.waitForServers(ctx) {
		return
	}
	load := AggregateLoad{Load: &ranges.Load{}}
	for ctx.Err() == nil {
		registryChanged := t.Registry.Changed()
		if !t.plan(ctx, load) {
			return
		}
		select {
		case <-registryChanged:
		case <-t.replan:
		case <-t.moveEnded:
			// Moves that end at about the same time are written together, since every daemon reads each version of the table.
			_ = timer.Wait(ctx, t.Clock, moveBatchDelay)
		case <-tick.C:
			load = t.LoadSource.Collect(ctx, t.Service)
			t.measurePaces(load.Stats)
			t.collected = true
		case <-ctx.Done():
		}
	}
}

// waitForServers waits until the registry lists servers and has not changed for registryQuietPeriod. It returns false if ctx
// ends first.
func (t *term) waitForServers(ctx context.Context) bool {
	for {
		changed := t.Registry.Changed()
		quiet := t.Clock.After(registryQuietPeriod)
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

// plan computes and writes the next table if it differs, and then starts the releases and grants that the table requires. It
// returns false if the term is over.
func (t *term) plan(ctx context.Context, load AggregateLoad) bool {
	t.readmitServers()
	now := t.Uptime.Uptime()
	// A move by a load that was used before would only delay that by the next collection.
	rebalance := t.collected && now-t.lastMove >= minRebalanceInterval
	t.collected = t.collected && !rebalance
	planner := &ranges.Planner{
		Servers: t.availableServers(load.Stats), Load: load.Load, Rebalance: rebalance, Now: t.Store.Reading().Earliest(now),
		GrantsExpireAt: t.grantsExpireAt, Released: t.released, Ended: t.processEnded, Granted: t.granted, Refused: t.refused,
		Unreachable: t.isDown, Leaving: t.leavingServers(),
	}
	next, changed := planner.Next(t.table)
	t.reportPlan(planner)
	if daemonsChanged(next.Daemons, load.Daemons) {
		next.Daemons, changed = load.Daemons, true
	}
	if changed {
		t.logOwnerChanges(next)
		t.logLeavingStep(planner.Leaving, now)
		if next.Fence != t.table.Fence {
			t.lastMove = now
		}
		if !t.writeTable(ctx, next) {
			return false
		}
	}
	t.startTasks(ctx)
	return true
}

// daemonsChanged reports whether the number of daemons is to be written. The limits that daemons share are divided by it, so a
// higher one is written at once. A lower one is written only if it is significantly lower, since each write is read by all.
func daemonsChanged(written, counted int) bool {
	return counted > written || counted > 0 && float64(counted) < 0.9*float64(written)
}

// logOwnerChanges logs each range to which the next table assigns another owner.
func (t *term) logOwnerChanges(next *ranges.Table) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, assignment := range next.Assignments {
		if before := t.table.Locate(assignment.Range.First); before == nil || !before.Owner.SameProcess(assignment.Owner) {
			event := t.Log.Info().Str("service", string(t.Service)).Stringer("range", assignment.Range).
				Str("owner", string(assignment.Owner.ID)).Uint64("fence", uint64(assignment.Fence)).
				Int("formers", len(assignment.FormerOwners))
			if before != nil {
				_, down := t.down[before.Owner]
				event = event.Str("before", string(before.Owner.ID)).Bool("down", down)
			}
			event.Msg("range gets another owner")
		}
	}
}

// startTasks starts the releases and server tasks that the table requires, and wakes the server tasks.
func (t *term) startTasks(ctx context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, assignment := range t.table.Assignments {
		for _, former := range assignment.FormerOwners {
			t.startRelease(ctx, assignment, former)
		}
		if assignment.Owner.ID != "" {
			t.serverTaskOf(ctx, assignment.Owner).wakeUp()
		}
	}
}

// wakeServerTasks makes every server task check its assignments now.
func (t *term) wakeServerTasks() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, task := range t.serverTasks {
		task.wakeUp()
	}
}

// requestReplan makes the planner run at once.
func (t *term) requestReplan() { notify(t.replan) }

// notifyMoveEnded makes the planner run after moveBatchDelay, to remove the former owners of a range that was granted.
func (t *term) notifyMoveEnded() { notify(t.moveEnded) }

// notify sends to a channel of capacity 1 without blocking. A notification that is already queued suffices.
func notify(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// assignmentsOf returns the ranges that the table assigns to a server.
func (t *term) assignmentsOf(owner ranges.Owner) []ranges.Assignment {
	t.mu.Lock()
	defer t.mu.Unlock()
	var result []ranges.Assignment
	for _, assignment := range t.table.Assignments {
		if assignment.Owner.SameProcess(owner) {
			result = append(result, assignment)
		}
	}
	return result
}

// mayGrant reports whether an assignment may be granted now: the server is not down, the table still contains the assignment,
// all former owners are done, the pending table, which may be in force already, does not assign any of its keys to another
// server, and it is no new grant to a server that leaves. The caller holds mu.
func (t *term) mayGrant(owner ranges.Owner, assignment ranges.Assignment) bool {
	if _, down := t.down[owner]; down {
		return false
	}
	current := t.table.Locate(assignment.Range.First)
	return current != nil && current.Range == assignment.Range && current.Fence == assignment.Fence &&
		current.Owner.SameProcess(owner) && t.formerOwnersDone(*current) && t.keptByPendingTable(*current) &&
		t.mayBeFirstGrant(*current)
}

// formerOwnersDone reports whether no former owner of an assignment owns any of its keys. The caller holds mu.
func (t *term) formerOwnersDone(assignment ranges.Assignment) bool {
	return !slices.ContainsFunc(assignment.FormerOwners, func(former ranges.FormerOwner) bool {
		state := t.releases[releaseKey{keys: assignment.Range, fence: assignment.Fence, former: former.Owner}]
		return state == nil || !state.done
	})
}

// keptByPendingTable reports whether the table that is being written, if any, leaves all keys of an assignment to its owner. The
// caller holds mu.
func (t *term) keptByPendingTable(assignment ranges.Assignment) bool {
	if t.pending == nil {
		return true
	}
	return !slices.ContainsFunc(t.pending.Assignments, func(next ranges.Assignment) bool {
		return next.Range.Overlaps(assignment.Range) && !next.Owner.SameProcess(assignment.Owner)
	})
}
