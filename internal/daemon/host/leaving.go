package host

import (
	"context"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/routing/balance"
	"rosemarywick.example/rosemarywick/internal/upstream/probe"
)

// rejoinProbeInterval is how often upstreams that reported that they are leaving are probed.
const rejoinProbeInterval = time.Second

// probeLeaving probes the health endpoint of upstreams that reported that they are leaving, until ctx ends. Such an upstream
// gets no requests until a probe succeeds.
func (r *requestPath) probeLeaving(ctx context.Context) error {
	ticks := r.timer.Every(rejoinProbeInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			r.probeLeavingOnce(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// probeLeavingOnce probes each leaving upstream once and routes requests to those that are healthy.
func (r *requestPath) probeLeavingOnce(ctx context.Context) {
	doc := r.configuration.Current()
	if doc == nil {
		return
	}
	for i := range doc.Services {
		service := &doc.Services[i]
		views := r.router.Upstreams(service.Name)
		for _, upstream := range service.Upstreams {
			if upstream.Drained || views[upstream.ID].Health != balance.Draining {
				continue
			}
			if probe.Healthy(ctx, nil, upstream.Address) {
				r.markRejoined(service.Name, upstream.ID)
			}
		}
	}
}

// markRejoined lets the router send requests to an upstream again.
func (r *requestPath) markRejoined(service fleet.ServiceName, id fleet.UpstreamID) {
	r.log.Info().Str("service", string(service)).Str("upstream", string(id)).
		Msg("leaving upstream is healthy again: routing requests to it")
	r.router.MarkRejoined(service, id)
}
