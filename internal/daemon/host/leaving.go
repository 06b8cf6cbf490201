package host

import (
	"context"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/routing/balance"
	"rosemarywick.example/rosemarywick/internal/upstream/probe"
)

// returnInterval is how often upstreams that said that they are leaving are asked whether they are back.
const rejoinProbeInterval = time.Second

// returns asks the health endpoint of upstreams that said that they are leaving, so that they get no request before they
// take work again. It runs until ctx ends.
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

func (r *requestPath) probeLeavingOnce(ctx context.Context) {
	doc := r.configuration.Current()
	if doc == nil {
		return
	}
	for i := range doc.Services {
		service := &doc.Services[i]
		views := r.router.Upstreams(service.Name)
		for _, one := range service.Upstreams {
			if one.Drained || views[one.ID].Health != balance.Draining {
				continue
			}
			if probe.Healthy(ctx, nil, one.Address) {
				r.markRejoined(service.Name, one.ID)
			}
		}
	}
}

func (r *requestPath) markRejoined(service fleet.ServiceName, id fleet.UpstreamID) {
	r.log.Info().Str("service", string(service)).Str("upstream", string(id)).Msg("upstream takes work again")
	r.router.MarkRejoined(service, id)
}
