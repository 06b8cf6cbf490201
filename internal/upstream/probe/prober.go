// Package probe asks upstreams whether they are alive, by HTTP. Only a few daemons probe, since a probe costs an upstream
// about 5 ms; routing relies on what requests show instead.
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

// Path is the health endpoint of upstreams.
const HealthPath = "/health"

const (
	// DefaultInterval is the time between two probes of an upstream.
	DefaultInterval = 500 * time.Millisecond
	// timeout bounds one probe; an upstream that takes longer is of no use to callers either.
	probeTimeout = 250 * time.Millisecond
	// failures is the number of probes in a row that must fail, so that one lost packet does not move partitions.
	failureThreshold = 3
)

// Prober keeps account of which upstreams answer. The exported fields are set before Run.
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

// target is one upstream that is probed. Its fields are guarded by the prober's mutex.
type target struct {
	upstream            fleet.Upstream
	consecutiveFailures int
	cancel              context.CancelFunc
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	p.mu.Lock()
	p.ctx = ctx
	for _, one := range p.targets {
		p.startProbing(one)
	}
	p.mu.Unlock()
	<-ctx.Done()
	p.mu.Lock()
	p.ctx = nil
	p.mu.Unlock()
	p.tasks.Wait()
	return nil
}

// Set states which upstreams to probe. One that is new counts as alive until its probes fail.
func (p *Prober) SetUpstreams(upstreams []fleet.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.targets
	p.targets = make(map[fleet.UpstreamID]*target, len(upstreams))
	for _, upstream := range upstreams {
		one := before[upstream.ID]
		if one == nil || one.upstream.Address != upstream.Address {
			one = &target{upstream: upstream}
			p.startProbing(one)
		} else {
			delete(before, upstream.ID)
		}
		p.targets[upstream.ID] = one
	}
	for _, one := range before {
		if one.cancel != nil {
			one.cancel()
		}
	}
}

// start begins the goroutine of an upstream if Run is running. The caller holds mu.
func (p *Prober) startProbing(one *target) {
	if p.ctx == nil {
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	one.cancel = cancel
	p.tasks.Go(func() { p.probeLoop(ctx, one) })
}

// Alive returns the upstreams that answer.
func (p *Prober) Alive() []fleet.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	var alive []fleet.Upstream
	for _, one := range p.targets {
		if one.consecutiveFailures < failureThreshold {
			alive = append(alive, one.upstream)
		}
	}
	return alive
}

// probe asks one upstream at intervals until ctx ends.
func (p *Prober) probeLoop(ctx context.Context, one *target) {
	interval := p.Interval
	if interval <= 0 {
		interval = DefaultInterval
	}
	ticks := p.Timer.Every(interval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			p.recordResult(one, Healthy(ctx, p.Transport, one.upstream.Address))
		case <-ctx.Done():
			return
		}
	}
}

func (p *Prober) recordResult(one *target, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answered {
		one.consecutiveFailures = 0
	} else {
		one.consecutiveFailures++
	}
}

// Healthy reports whether the upstream at address answers in time that it takes work. A nil transport stands for the
// default of net/http.
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
