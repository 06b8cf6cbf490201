package rangegrants

import (
	"context"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
)

// releaseKey names the release of a range by one former owner.
type releaseKey struct {
	keys   fleet.KeyRange
	fence  ranges.Fence
	former ranges.Owner
}

// release is the task that takes a range from a former owner. Its fields are guarded by the term's mu.
type release struct {
	// done is set when the former owner holds nothing of the range any more.
	done     bool
	handover string
}

// release starts the release of a range by a former owner, unless it was started before. The caller holds mu.
func (t *term) release(ctx context.Context, one ranges.Assignment, former ranges.FormerOwner) {
	key := releaseKey{keys: one.Range, fence: one.Fence, former: former.Owner}
	if t.releases[key] != nil {
		return
	}
	t.releases[key] = &release{}
	t.tasks.Go(func() { t.runRelease(ctx, key, one.Owner) })
}

// runRelease asks the former owner until it has released the range, is gone, or all its holds have run out.
func (t *term) runRelease(ctx context.Context, key releaseKey, next ranges.Owner) {
	absent := 0
	for ctx.Err() == nil {
		left := t.holdsLeft(key)
		if left < 0 {
			t.finish(key, next, "", "its holds have run out")
			return
		}
		call, cancel := context.WithTimeout(ctx, min(releaseTimeout, left+time.Millisecond))
		answer := t.Client.Release(call, key.former, key.keys, key.fence)
		cancel()
		switch answer := answer.(type) {
		case Accepted:
			t.finish(key, next, answer.Handover, "it released the range")
			return
		case ProcessGone:
			if absent++; absent > 1 {
				t.finish(key, next, "", "its process has ended")
				return
			}
		case NoResponse, Superseded:
			absent = 0
		}
		if timer.Wait(ctx, t.Clock, min(absentAgain, max(t.holdsLeft(key), 0)+time.Millisecond)) != nil {
			return
		}
	}
}

// holdsLeft returns how long the former owner may still hold keys of the range; it is negative when it holds none.
func (t *term) holdsLeft(key releaseKey) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heldUntil(key.former, key.keys) - t.Uptime.Uptime()
}

// finish notes that the former owner holds nothing of the range, and has the next one granted it.
func (t *term) finish(key releaseKey, next ranges.Owner, handover, why string) {
	t.Log.Info().Str("service", string(t.Service)).Stringer("range", key.keys).Uint64("fence", uint64(key.fence)).
		Str("former", string(key.former.ID)).Str("owner", string(next.ID)).Str("why", why).Msg("range is free")
	t.mu.Lock()
	defer t.mu.Unlock()
	done := t.releases[key]
	done.done, done.handover = true, handover
	if server := t.servers[next]; server != nil {
		server.poke()
	}
}

// released reports whether a former owner has released a range or is known to hold nothing of it any more. A release that has
// not begun says nothing, however long ago the last grant was: a renewal may be under way.
func (t *term) released(one ranges.Assignment, former ranges.FormerOwner) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	begun := t.releases[releaseKey{keys: one.Range, fence: one.Fence, former: former.Owner}]
	return begun != nil && begun.done
}

// ended reports whether the process of a server has certainly ended.
func (t *term) ended(owner ranges.Owner) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.down[owner]
}

// handover returns what the former owners left for the next one.
func (t *term) handover(one ranges.Assignment) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, former := range one.FormerOwners {
		begun := t.releases[releaseKey{keys: one.Range, fence: one.Fence, former: former.Owner}]
		if begun != nil && begun.handover != "" {
			return begun.handover
		}
	}
	return ""
}
