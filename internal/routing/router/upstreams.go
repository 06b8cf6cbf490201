package router

import (
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/routing/balance"
)

// UpstreamView is what this daemon observes about one upstream.
type UpstreamView struct {
	balance.View

	// Queued is the number of requests that wait in this daemon: for this server if the service is keyed, otherwise for any
	// upstream of the service.
	Queued int
	// Limit is the number of requests that this daemon may have in flight at the upstream.
	Limit int
}

// Upstreams returns what this daemon observes about each upstream of a service. It is empty for an unknown service.
func (r *Router) Upstreams(name fleet.ServiceName) map[fleet.UpstreamID]UpstreamView {
	service := r.currentService(name)
	if service == nil {
		return nil
	}
	views := make(map[fleet.UpstreamID]UpstreamView, len(service.upstreams))
	for id, view := range service.pool.Views(r.Clock.Now()) {
		upstream := service.upstreams[id]
		if upstream == nil {
			continue
		}
		queue := service.queue
		if upstream.queue != nil {
			queue = upstream.queue
		}
		queued, limit := queue.stats(id)
		views[id] = UpstreamView{View: view, Queued: queued, Limit: limit}
	}
	return views
}

// stats returns the number of waiting requests and the concurrency limit of an upstream.
func (q *admissionQueue) stats(id fleet.UpstreamID) (queued, limit int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.controller.QueueLength(), q.controller.ConcurrencyLimit(id, q.clock.Now())
}

// MarkRejoined records that an upstream which was leaving accepts work again.
func (r *Router) MarkRejoined(name fleet.ServiceName, id fleet.UpstreamID) {
	if service := r.currentService(name); service != nil {
		service.pool.MarkRejoined(r.Clock.Now(), id)
	}
}
