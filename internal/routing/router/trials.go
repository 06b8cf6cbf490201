package router

import (
	"context"
	"sync"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/routing/ratelimit"
	"rosemarywick.example/rosemarywick/internal/upstream/notices"
)

const (
	// trialTick is how often RunTrials looks for due trials. It is shorter than the least time between two trials of an upstream.
	trialTick = 250 * time.Millisecond
	// trialTimeout bounds a trial. Upstreams answer health probes at once.
	trialTimeout = 500 * time.Millisecond
)

// RunTrials tries the unreachable upstreams of services whose cold upstreams are limited with health probes, until ctx ends. A
// request of a caller would reach an upstream that has just started, of which this daemon does not know yet that it is cold.
func (r *Router) RunTrials(ctx context.Context) error {
	if r.Probe == nil || r.ColdAllowance == (ratelimit.Allowance{}) {
		<-ctx.Done()
		return nil
	}
	var trials sync.WaitGroup
	defer trials.Wait()
	tick := r.Clock.Every(trialTick)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-r.trialWake():
		case <-ctx.Done():
			return nil
		}
		for _, service := range r.coldLimitedServices() {
			// A server that is no longer probed, because it has answered otherwise or started again, must not be held back.
			service.breaker.retainUnreachable(service.pool.IsSuspect)
			for _, id := range service.pool.DueTrials(r.Clock.Now()) {
				if upstream := service.upstreams[id]; upstream != nil {
					trials.Go(func() { r.tryUpstream(ctx, service, upstream.Upstream) })
				}
			}
		}
		if r.Notices != nil {
			r.Notices.Cold() // logs those that have become warm
		}
	}
}

// coldLimitedServices returns the services whose cold upstreams are limited.
func (r *Router) coldLimitedServices() []*serviceState {
	r.mu.Lock()
	defer r.mu.Unlock()
	var result []*serviceState
	for _, service := range r.services {
		if service.coldLimited {
			result = append(result, service)
		}
	}
	return result
}

// tryUpstream probes an upstream and records that it has answered.
func (r *Router) tryUpstream(ctx context.Context, service *serviceState, upstream document.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	sentAt := r.Clock.Now()
	if !r.Probe(ctx, upstream) {
		return
	}
	source := notices.Source{ID: upstream.ID, Incarnation: upstream.Incarnation}
	r.Notices.Record(notices.Exchange{Source: source, SentAt: sentAt})
	service.pool.Answered(r.Clock.Now(), upstream.ID)
	service.breaker.markReachable(upstream.ID)
}

// trialWake returns a channel that is sent to when an upstream has become unreachable.
func (r *Router) trialWake() chan struct{} {
	r.trialOnce.Do(func() { r.trialSignal = make(chan struct{}, 1) })
	return r.trialSignal
}

// wakeTrials makes RunTrials look for due trials now.
func (r *Router) wakeTrials() {
	select {
	case r.trialWake() <- struct{}{}:
	default: // it is about to look
	}
}
