package entry

import (
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/routing/admission"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
)

// observeConnections counts changes in how connections to upstreams are used and logs them. An upstream that stays full is logged
// once.
func (o *observer) observeConnections(service fleet.ServiceName, upstream fleet.UpstreamID, event forward.Event) {
	log := o.log.With().Str("service", string(service)).Str("upstream", string(upstream)).Logger()
	switch event := event.(type) {
	case forward.UpstreamFull:
		o.metrics.ObserveReset(service)
		if event.First {
			log.Info().Dur("hold", event.Hold).Msg("upstream resets new connections; none is opened for a time")
		}
	case forward.UpstreamAccepts:
		log.Info().Dur("after", event.After).Msg("upstream accepts new connections again")
	case forward.ReuseShortened:
		o.metrics.ObserveIdleReset(service)
		if o.logLimiter.AllowN(o.now(), 1) {
			log.Info().Dur("idle", event.IdleAge).Dur("limit", event.Limit).Bool("idempotent", event.Idempotent).
				Msg("upstream reset a connection that was idle; connections of the service are reused for less time")
		}
	}
}

// observeAdmission counts what the queues of servers notice, and logs when requests are held back.
func (o *observer) observeAdmission(service fleet.ServiceName, server fleet.UpstreamID, event admission.Event) {
	switch event := event.(type) {
	case admission.ServerHeld:
		o.metrics.ObserveHold(service)
		if o.logLimiter.AllowN(o.now(), 1) {
			o.log.Info().Str("service", string(service)).Str("upstream", string(server)).Dur("hold", event.For).
				Msg("server is full; requests are held back for a time")
		}
	case admission.ReturnedEarly:
		o.metrics.ObserveEarlyReturn(service)
	}
}
