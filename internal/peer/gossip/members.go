package gossip

import (
	"context"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/peer/membership"
)

// handleActionsLocked publishes the records that the membership view asks for. The caller holds mu.
func (r *Runner) handleActionsLocked(actions []membership.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case membership.PublishSelf:
			r.publishMemberLocked(action.Record)
		case membership.PublishSuspicion:
			r.Log.Info().Str("peer", string(action.Record.Host.ID)).Msg("silent host suspected")
			r.publishMemberLocked(action.Record)
		}
	}
}

// publishMemberLocked publishes a member record as an item. The caller holds mu.
func (r *Runner) publishMemberLocked(record membership.Record) {
	item, err := encodeMember(record)
	if err != nil {
		r.Log.Error().Err(err).Msg("encode member record: not published")
		return
	}
	if r.state.Publish(item) {
		r.itemChangedLocked(item)
	}
}

// pollHostList reads the platform's host list at intervals until ctx ends.
func (r *Runner) pollHostList(ctx context.Context) {
	for ctx.Err() == nil {
		delay := r.HostListInterval
		if r.shouldReadHostList() {
			entries, err := r.HostList.Hosts(ctx)
			if err != nil {
				r.Log.Warn().Err(err).Msg("read host list: retrying")
				delay = min(delay, time.Second)
			} else {
				r.mu.Lock()
				r.View.UpdateHostList(r.Clock.Now(), entries)
				r.mu.Unlock()
				r.choosePeers()
			}
		}
		if timer.Wait(ctx, r.Clock, delay) != nil {
			return
		}
	}
}

// shouldReadHostList reports whether this daemon reads the host list: it has no peers, or it ranks among the
// hostListReaders daemons that read the list for the whole fleet.
func (r *Runner) shouldReadHostList() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.senders) == 0 {
		return true
	}
	for _, reader := range r.View.TopRanked("host-list", hostListReaders) {
		if reader.ID == r.View.Self.ID {
			return true
		}
	}
	return false
}
