package gossip

import (
	"context"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/peer/membership"
)

// act runs the actions of the membership. The caller holds mu.
func (r *Runner) act(actions []membership.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case membership.PublishSelf:
			r.publishMember(action.Record)
		case membership.PublishSuspicion:
			r.Log.Info().Str("peer", string(action.Record.Host.ID)).Msg("silent host suspected")
			r.publishMember(action.Record)
		}
	}
}

func (r *Runner) publishMember(record membership.Record) {
	item, err := encodeMember(record)
	if err != nil {
		r.Log.Error().Err(err).Msg("member record not published")
		return
	}
	if r.state.Publish(item) {
		r.changed(item)
	}
}

// readList reads the host list at intervals.
func (r *Runner) readList(ctx context.Context) {
	for ctx.Err() == nil {
		pause := r.HostListInterval
		if r.needsList() {
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
func (r *Runner) needsList() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.links) == 0 {
		return true
	}
	for _, reader := range r.View.TopRanked("host-list", listReaders) {
		if reader.ID == r.View.Self.ID {
			return true
		}
	}
	return false
}
