package entry

import (
	"context"

	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
	"rosemarywick.example/rosemarywick/internal/routing/ratelimit"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
	"rosemarywick.example/rosemarywick/internal/upstream/notices"
	"rosemarywick.example/rosemarywick/internal/upstream/registry"
)

// noteCold records what an upstream's entry says about its cold time.
func (d *Daemon) noteCold(entry registry.Entry) {
	d.notices.Record(notices.Exchange{
		Source: notices.Source{ID: entry.ID, Incarnation: entry.Incarnation}, Revision: entry.Revision,
		Notices: []forward.Notice{forward.Cold{For: entry.ColdFor}},
	})
}

// assumeColdIn takes the upstreams of a failure domain as cold until they state otherwise, because they have had no requests.
func (d *Daemon) assumeColdIn(domain fleet.FailureDomain) {
	current := d.configuration.Current()
	if current == nil || d.Limits.ColdAllowance == (ratelimit.Allowance{}) {
		return
	}
	for i := range current.Services {
		service := &current.Services[i]
		for _, upstream := range service.Upstreams {
			if service.ColdRate > 0 && upstream.Locality.Domain == domain {
				d.notices.AssumeCold(notices.Source{ID: upstream.ID, Incarnation: upstream.Incarnation}, service.ColdStart)
			}
		}
	}
}

// probe sends a health probe to an upstream that could not be reached. The client of orders records what the response states.
func (d *Daemon) probe(ctx context.Context, upstream document.Upstream) bool {
	return d.ServerClient.Probe(ctx, ranges.Owner{ID: upstream.ID, Incarnation: upstream.Incarnation, Address: upstream.Address})
}

// coldRates returns the rates of the cold upstreams of a service.
func (d *Daemon) coldRates(name fleet.ServiceName) map[fleet.UpstreamID]float64 {
	current := d.configuration.Current()
	if current == nil || d.Limits.ColdAllowance == (ratelimit.Allowance{}) {
		return nil
	}
	service := current.FindService(name)
	if service == nil || service.ColdRate <= 0 {
		return nil
	}
	now, rates := d.Timer.Now(), make(map[fleet.UpstreamID]float64)
	limit := ratelimit.Limit{Reason: ratelimit.Cold, PerSecond: service.ColdRate, Allowance: d.Limits.ColdAllowance}
	for _, upstream := range service.Upstreams {
		source := notices.Source{ID: upstream.ID, Incarnation: upstream.Incarnation}
		if now.Before(d.notices.ColdUntilAssuming(source, service.ColdStart)) {
			rates[upstream.ID] = limit.Rate().PerSecond
		}
	}
	return rates
}
