package router

import (
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/routing/balance"
)

// UpstreamView is what this daemon observes of one upstream.
type UpstreamView struct {
	balance.View

	// Queued counts the requests that wait in this daemon, for this server or, for a service without keys, for any upstream
	// of the service.
	Queued int
	// Limit is the number of requests that this daemon may have in flight at the upstream.
	Limit int
}

// Upstreams returns what this daemon observes of the upstreams of a service; it is empty for an unknown service.
func (r *Router) Upstreams(name fleet.ServiceName) map[fleet.UpstreamID]UpstreamView {
	service := r.service(name)
	if service == nil {
		return nil
	}
	views := make(map[fleet.UpstreamID]UpstreamView, len(service.upstreams))
	for id, view := range service.pool.Views(r.Clock.Now()) {
		one := service.upstreams[id]
		if one == nil {
			continue
		}
		queue := service.queue
		if one.queue != nil {
			queue = one.queue
		}
		queued, limit := queue.view(id)
		views[id] = UpstreamView{View: view, Queued: queued, Limit: limit}
	}
	return views
}

// view returns the number of waiting requests and the limit of an upstream.
func (q *waitQueue) view(id fleet.UpstreamID) (queued, limit int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.gate.QueueLength(), q.gate.ConcurrencyLimit(id, q.clock.Now())
}

// Rejoined takes in that an upstream which was leaving takes work again.
func (r *Router) MarkRejoined(name fleet.ServiceName, id fleet.UpstreamID) {
	if service := r.service(name); service != nil {
		service.pool.MarkRejoined(r.Clock.Now(), id)
	}
}
