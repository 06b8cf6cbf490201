package gossip

import (
	"context"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/peer/membership"
)

// act runs the actions of the membership. The caller holds mu.
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

func (r *Runner) publishMemberLocked(record membership.Record) {
	item, err := encodeMember(record)
	if err != nil {
		r.Log.Error().Err(err).Msg("member record not published")
		return
	}
	if r.state.Publish(item) {
		r.itemChangedLocked(item)
	}
}

// readList reads the host list at intervals.
func (r *Runner) pollHostList(ctx context.Context) {
	for ctx.Err() == nil {
		pause := r.HostListInterval
		if r.shouldReadHostList() {
			entries, err := r.HostList.Hosts(ctx)
			if err != nil {
				r.Log.Warn().Err(err).Msg("host list not read")
				pause = min(pause, time.Second)
			} else {
				r.mu.Lock()
				r.View.UpdateHostList(r.Clock.Now(), entries)
				r.mu.Unlock()
				r.choosePeers()
			}
		}
		if timer.Wait(ctx, r.Clock, pause) != nil {
			return
		}
	}
}

// needsList reports whether this daemon is to read the host list: it is one of the readers, or it has no peers.
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
