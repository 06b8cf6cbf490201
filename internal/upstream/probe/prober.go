// Package probe checks the health of upstreams over HTTP. Only a few daemons probe, since a probe costs an upstream about 5 ms;
// routing relies on the outcomes of requests instead.
package probe

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// HealthPath is the URL path of the health endpoint of upstreams.
const HealthPath = "/health"

const (
	// DefaultInterval is the time between two probes of an upstream.
	DefaultInterval = 500 * time.Millisecond
	// probeTimeout bounds one probe. An upstream that takes longer would be of no use to callers either.
	probeTimeout = 250 * time.Millisecond
	// failureThreshold is the number of consecutive failures after which an upstream counts as dead, so that a lost packet
	// does not move partitions.
	failureThreshold = 3
)

// Prober probes upstreams periodically and tracks which ones are alive. Set the exported fields before Run.
type Prober struct {
	Timer timer.Clock
	// Interval is the time between two probes of an upstream; zero means DefaultInterval.
	Interval time.Duration
	// Transport carries the probes; nil means the default of net/http.
	Transport http.RoundTripper

	mu sync.Mutex
	// targets is guarded by mu.
	targets map[fleet.UpstreamID]*target
	// ctx is guarded by mu and nil unless Run is running.
	ctx   context.Context
	tasks sync.WaitGroup
}

// target is a probed upstream. Its fields are guarded by Prober.mu.
type target struct {
	upstream            fleet.Upstream
	consecutiveFailures int
	cancel              context.CancelFunc
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	p.mu.Lock()
	p.ctx = ctx
	for _, t := range p.targets {
		p.startProbing(t)
	}
	p.mu.Unlock()
	<-ctx.Done()
	p.mu.Lock()
	p.ctx = nil
	p.mu.Unlock()
	p.tasks.Wait()
	return nil
}

// SetUpstreams sets the upstreams to probe. A new one counts as alive until its probes fail.
func (p *Prober) SetUpstreams(upstreams []fleet.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.targets
	p.targets = make(map[fleet.UpstreamID]*target, len(upstreams))
	for _, upstream := range upstreams {
		t := before[upstream.ID]
		if t == nil || t.upstream.Address != upstream.Address {
			t = &target{upstream: upstream}
			p.startProbing(t)
		} else {
			delete(before, upstream.ID)
		}
		p.targets[upstream.ID] = t
	}
	for _, t := range before {
		if t.cancel != nil {
			t.cancel()
		}
	}
}

// startProbing starts the goroutine of an upstream if Run is running. The caller holds mu.
func (p *Prober) startProbing(t *target) {
	if p.ctx == nil {
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	t.cancel = cancel
	p.tasks.Go(func() { p.probeLoop(ctx, t) })
}

// Alive returns the upstreams with fewer than failureThreshold consecutive failures.
func (p *Prober) Alive() []fleet.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	var alive []fleet.Upstream
	for _, t := range p.targets {
		if t.consecutiveFailures < failureThreshold {
			alive = append(alive, t.upstream)
		}
	}
	return alive
}

// probeLoop probes one upstream periodically until ctx ends.
func (p *Prober) probeLoop(ctx context.Context, t *target) {
	interval := p.Interval
	if interval <= 0 {
		interval = DefaultInterval
	}
	ticks := p.Timer.Every(interval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			p.recordResult(t, Healthy(ctx, p.Transport, t.upstream.Address))
		case <-ctx.Done():
			return
		}
	}
}

// recordResult counts consecutive failures.
func (p *Prober) recordResult(t *target, healthy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if healthy {
		t.consecutiveFailures = 0
	} else {
		t.consecutiveFailures++
	}
}

// Healthy probes the upstream at address once and reports whether it responded with status 200 within probeTimeout. A nil
// transport means the default of net/http.
func Healthy(ctx context.Context, transport http.RoundTripper, address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+HealthPath, nil)
	if err != nil {
		return false
	}
	client := http.Client{Transport: transport}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
