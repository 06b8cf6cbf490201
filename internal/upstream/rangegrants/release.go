package rangegrants

import (
	"context"
	"sync"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
)

// releaseKey identifies the release of a range by one former owner. The fence is that of the new assignment.
type releaseKey struct {
	keys   fleet.KeyRange
	fence  ranges.Fence
	former ranges.Owner
}

// releaseState is the progress of a release. Its fields are guarded by the term's mu.
type releaseState struct {
	// done is set when the former owner owns no key of the range any more.
	done bool
	// handover is the state that the former owner returned for the next owner.
	handover string
}

// startRelease starts the release of a range by a former owner unless it was started before. The caller holds mu.
func (t *term) startRelease(ctx context.Context, assignment ranges.Assignment, former ranges.FormerOwner) {
	key := releaseKey{keys: assignment.Range, fence: assignment.Fence, former: former.Owner}
	if t.releases[key] != nil {
		return
	}
	t.releases[key] = &releaseState{}
	t.tasks.Go(func() { t.runRelease(ctx, key, assignment.Owner) })
}

// runRelease asks the former owner to release the range until it has done so, its process has ended, or all its grants have
// expired.
func (t *term) runRelease(ctx context.Context, key releaseKey, nextOwner ranges.Owner) {
	if key.former == (ranges.Owner{}) {
		t.releaseEverywhere(ctx, key, nextOwner)
		return
	}
	if handover, why, ended := t.awaitRelease(ctx, key); ended {
		t.finishRelease(key, nextOwner, handover, why)
	}
}

// releaseEverywhere asks all servers but the next owner to release a range whose former owner is not known.
func (t *term) releaseEverywhere(ctx context.Context, key releaseKey, nextOwner ranges.Owner) {
	var servers sync.WaitGroup
	for _, server := range t.Registry.Servers(t.Service) {
		if !server.SameProcess(nextOwner) {
			servers.Go(func() {
				_, _, _ = t.awaitRelease(ctx, releaseKey{keys: key.keys, fence: key.fence, former: server.Owner})
			})
		}
	}
	servers.Wait()
	if ctx.Err() == nil {
		t.finishRelease(key, nextOwner, "", "no server owns it")
	}
}

// awaitRelease asks a server to release a range until it has done so, its process has ended, or all its grants have expired. It
// returns the handover, and which of these it was, or false if ctx has ended before.
func (t *term) awaitRelease(ctx context.Context, key releaseKey) (handover, why string, ended bool) {
	takenCount := 0
	for ctx.Err() == nil {
		timeLeft := t.grantTimeLeft(key)
		if timeLeft < 0 {
			return "", "its grants have expired", true
		}
		callCtx, cancel := context.WithTimeout(ctx, min(releaseTimeout, timeLeft+time.Millisecond))
		response := t.Client.Release(callCtx, key.former, key.keys, key.fence)
		cancel()
		switch response := response.(type) {
		case Accepted:
			return response.Handover, "it released the range", true
		case AddressTaken:
			if takenCount++; takenCount > 1 {
				return "", "another server has its address", true
			}
		case Unavailable, NoResponse, Superseded:
			takenCount = 0
		}
		if timer.Wait(ctx, t.Clock, min(confirmDelay, max(t.grantTimeLeft(key), 0)+time.Millisecond)) != nil {
			return "", "", false
		}
	}
	return "", "", false
}

// grantTimeLeft returns how long grants of the range to the former owner may still be valid. It is negative once all have
// expired.
func (t *term) grantTimeLeft(key releaseKey) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.grantExpiryUptime(key.former, key.keys) - t.Uptime.Uptime()
}

// finishRelease records that the former owner owns no key of the range any more, and wakes the task of the next owner.
func (t *term) finishRelease(key releaseKey, nextOwner ranges.Owner, handover, why string) {
	t.Log.Info().Str("service", string(t.Service)).Stringer("range", key.keys).Uint64("fence", uint64(key.fence)).
		Str("former", string(key.former.ID)).Str("owner", string(nextOwner.ID)).Str("why", why).Msg("range is free")
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.releases[key]
	state.done, state.handover = true, handover
	if task := t.serverTasks[nextOwner]; task != nil {
		task.wakeUp()
	}
}

// released reports whether a former owner has released a range or is known to own no key of it any more. It returns false while
// the release has not been started, however long ago the last grant was sent: a renewal may be in flight.
func (t *term) released(assignment ranges.Assignment, former ranges.FormerOwner) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.releases[releaseKey{keys: assignment.Range, fence: assignment.Fence, former: former.Owner}]
	return state != nil && state.done
}

// processEnded reports whether the process of a server is known to have ended.
func (t *term) processEnded(owner ranges.Owner) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.down[owner]
}

// handover returns the state that a former owner left for the next one, or "" if there is none.
func (t *term) handover(assignment ranges.Assignment) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, former := range assignment.FormerOwners {
		state := t.releases[releaseKey{keys: assignment.Range, fence: assignment.Fence, former: former.Owner}]
		if state != nil && state.handover != "" {
			return state.handover
		}
	}
	return ""
}
