// Package balance selects upstreams for the requests of a service without keys. Its estimates are based on what this daemon
// observes itself, because the load and health that upstreams report can be late or wrong.
package balance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Candidate is one upstream that may be selected.
type Candidate struct {
	ID       fleet.UpstreamID
	Locality fleet.Locality
	Drained  bool
	// Slots is the number of requests that the upstream runs at a time, or zero if it is not known.
	Slots int
}

// Observation is what the result of one request showed about its upstream. It is one of Responded, Rejected, Paused, Leaving,
// Unreachable and Abandoned.
type Observation interface {
	observation()
}

// Responded means that the upstream responded.
type Responded struct {
	Latency time.Duration
}

// Rejected means that the upstream stated that it did not run the request, or that it failed.
type Rejected struct{}

// Paused means that the upstream asked for a pause, which says nothing about its health.
type Paused struct{}

// Leaving means that the upstream stated that it is shutting down.
type Leaving struct{}

// Unreachable means that the connection failed.
type Unreachable struct{}

// Abandoned means that this daemon gave the attempt up before a response arrived.
type Abandoned struct{}

func (Responded) observation()   {}
func (Rejected) observation()    {}
func (Paused) observation()      {}
func (Leaving) observation()     {}
func (Unreachable) observation() {}
func (Abandoned) observation()   {}

// Load is the load that an upstream reports about itself.
type Load struct {
	// Running and Waiting are the numbers of requests from all daemons.
	Running, Waiting int
	// Slots is the number of requests that it runs at a time, or zero if it does not report that.
	Slots int
	// Pace is how long work takes there at the moment, relative to the usual time. Zero means that it is not known.
	Pace float64
}

const (
	// reportTTL is how long a reported load is used.
	reportTTL = 2 * time.Second
	// rampDuration is how long an upstream that was added or came back gets less than its share.
	rampDuration = 10 * time.Second
	// initialShare is the fraction of its share that such an upstream gets at first.
	initialShare = 0.1
	// latencyHalfLife is the time after which an observed latency has lost half of its weight.
	latencyHalfLife = 5 * time.Second
	// defaultLatency is assumed until any upstream has responded.
	defaultLatency = 20 * time.Millisecond
	// leavingDuration is how long an upstream that rejected a request because it is shutting down is excluded, unless it is
	// reported to be back. Upstreams must get no new work from 3 s after they start to leave, not even an occasional trial.
	leavingDuration = time.Minute
	// minTrialInterval and maxTrialInterval are the bounds of the exponential backoff between trials of a suspected
	// upstream.
	minTrialInterval = 500 * time.Millisecond
	maxTrialInterval = 8 * time.Second
	// An upstream counts as frozen if requests are in flight and no response has arrived for silenceFactor times its
	// latency, but at least for minSilence. Before its first response, the limit is defaultSilence.
	minSilence     = 250 * time.Millisecond
	defaultSilence = time.Second
	silenceFactor  = 8
	// latencyWeight is the divisor of the moving average of the latency. With 8, upstreams that were slow by chance were
	// avoided for some time.
	latencyWeight = 32
	// rejectionWeight multiplies the rejection rate in the score. It must outweigh the small number of requests in flight
	// at an upstream that rejects everything immediately.
	rejectionWeight = 10
	// rejectionRise and rejectionFall are the weights of a sample in the moving average of the rejection rate, for samples
	// above and below the current rate. An upstream that rejects everything is avoided after three requests; with 1/16 for
	// both it used up the retry budget first.
	rejectionRise = 0.25
	rejectionFall = 1.0 / 16
	// maxRejectionRate is the rejection rate above which an upstream counts as unhealthy.
	maxRejectionRate = 0.5
)

// Pool holds the estimates for the upstreams of one service. The exported fields must be set before SetCandidates.
type Pool struct {
	// Local is the locality of this daemon.
	Local fleet.Locality
	// Daemon identifies this daemon, so that daemons prefer different upstreams.
	Daemon fleet.HostID
	// RoundTrip returns the round-trip time between two localities. Nil assumes 6 ms between failure domains and 40 ms
	// between regions.
	RoundTrip func(from, to fleet.Locality) time.Duration
	// Random is the source of random choices. Nil selects the global source.
	Random *rand.Rand

	mu sync.Mutex
	// upstreams is guarded by mu and has the order of the candidates.
	upstreams []*upstreamEstimate
	// byID is guarded by mu and holds the same estimates.
	byID map[fleet.UpstreamID]*upstreamEstimate
	// probed is guarded by mu and set if suspected upstreams are tried by DueTrials instead of with requests.
	probed bool
	// fleetAt is guarded by mu: when the measurements of all daemons were last received.
	fleetAt time.Time
}

// upstreamEstimate is what the pool has observed about one upstream.
type upstreamEstimate struct {
	Candidate
	roundTrip time.Duration
	// rampSince is the time from which the share of the upstream rises.
	rampSince time.Time
	inFlight  int
	// latency is a moving average. It is zero before the first response.
	latency time.Duration
	// rejectionRate is the share of rejected requests as of rejectionRateAt.
	rejectionRate   float64
	rejectionRateAt time.Time
	// silentSince is the time since which requests are in flight without any response. It is zero if none are in flight.
	silentSince time.Time
	// suspect is set while the upstream counts as unreachable or frozen. It is cleared when the upstream responds or
	// rejects a request.
	suspect       bool
	nextTrial     time.Time
	trialInterval time.Duration
	// leavingUntil is the time until which the upstream gets no requests because it is shutting down.
	leavingUntil time.Time
	// lastResponse is the time of the last response or rejection.
	lastResponse time.Time
	reportedLoad Load
	reportedAt   time.Time
	fleet        fleetEstimate
	// rank is lower for upstreams that this daemon prefers.
	rank uint64
}

// SetCandidates replaces the candidates. Upstreams that remain keep their estimates. A new upstream gets a reduced share at
// first, unless it is in the first set of candidates.
func (p *Pool) SetCandidates(now time.Time, candidates []Candidate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	isFirstSet := p.byID == nil
	previous := p.byID
	p.byID = make(map[fleet.UpstreamID]*upstreamEstimate, len(candidates))
	p.upstreams = p.upstreams[:0:0]
	for _, candidate := range candidates {
		estimate := previous[candidate.ID]
		if estimate == nil {
			estimate = &upstreamEstimate{rampSince: now, rank: rendezvous(p.Daemon, candidate.ID)}
			if isFirstSet {
				estimate.rampSince = now.Add(-rampDuration)
			}
		} else if estimate.Drained && !candidate.Drained {
			estimate.rampSince = now
		}
		estimate.Candidate, estimate.roundTrip = candidate, p.roundTripTo(candidate.Locality)
		p.byID[candidate.ID] = estimate
		p.upstreams = append(p.upstreams, estimate)
	}
	p.upstreams = p.inOrderOfPreference(p.upstreams)
}

func (p *Pool) roundTripTo(to fleet.Locality) time.Duration {
	switch {
	case p.RoundTrip != nil:
		return p.RoundTrip(p.Local, to)
	case to.Region != p.Local.Region:
		return 40 * time.Millisecond
	case to.Domain != p.Local.Domain:
		return 6 * time.Millisecond
	}
	return 0
}

// RequestStarted counts a request that is sent to an upstream.
func (p *Pool) RequestStarted(now time.Time, id fleet.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	estimate := p.byID[id]
	if estimate == nil {
		return
	}
	if estimate.inFlight == 0 {
		estimate.silentSince = now
	}
	estimate.inFlight++
	estimate.fleet.sentSinceReport++
}

// RequestEnded updates the estimates after a request has ended.
func (p *Pool) RequestEnded(now time.Time, id fleet.UpstreamID, observation Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	estimate := p.byID[id]
	if estimate == nil {
		return
	}
	frozen := estimate.isFrozen(now)
	estimate.inFlight = max(0, estimate.inFlight-1)
	switch observation := observation.(type) {
	case Responded:
		estimate.markAlive(now)
		estimate.recordRejection(now, 0)
		if estimate.latency == 0 {
			estimate.latency = observation.Latency
		}
		estimate.latency += (observation.Latency - estimate.latency) / latencyWeight
	case Rejected:
		estimate.markAlive(now)
		estimate.recordRejection(now, 1)
	case Paused:
		estimate.markAlive(now)
	case Leaving:
		estimate.markAlive(now)
		estimate.leavingUntil = now.Add(leavingDuration)
	case Unreachable:
		estimate.markSuspect(now)
	case Abandoned:
		if frozen {
			estimate.markSuspect(now)
		}
	}
	if estimate.inFlight == 0 {
		estimate.silentSince = time.Time{}
	}
}

// RecordLoad records the load that an upstream reported at a time.
func (p *Pool) RecordLoad(at time.Time, id fleet.UpstreamID, load Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if estimate := p.byID[id]; estimate != nil && at.After(estimate.reportedAt) {
		estimate.reportedLoad, estimate.reportedAt = load, at
		estimate.fleet.sentSinceReport = 0
	}
}

// recordRejection updates the rejection rate by a sample: 1 for a rejected request, 0 for another one.
func (e *upstreamEstimate) recordRejection(now time.Time, sample float64) {
	rate, weight := e.currentRejectionRate(now), rejectionFall
	if sample > rate {
		weight = rejectionRise
	}
	e.rejectionRate, e.rejectionRateAt = rate+(sample-rate)*weight, now
}

// currentRejectionRate returns the rejection rate, which halves every second, so that an upstream that is avoided because
// of its rejections is tried again.
func (e *upstreamEstimate) currentRejectionRate(now time.Time) float64 {
	return e.rejectionRate * math.Exp2(-now.Sub(e.rejectionRateAt).Seconds())
}

// MarkLeaving excludes an upstream that is known to be shutting down until the given time.
func (p *Pool) MarkLeaving(until time.Time, id fleet.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if estimate := p.byID[id]; estimate != nil && until.After(estimate.leavingUntil) {
		estimate.leavingUntil = until
	}
}

// MarkRejoined records that an upstream which was leaving accepts work again. It gets a reduced share at first.
func (p *Pool) MarkRejoined(now time.Time, id fleet.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if estimate := p.byID[id]; estimate != nil {
		estimate.leavingUntil, estimate.rampSince = time.Time{}, now
	}
}

// markAlive records that the upstream responded to or rejected a request.
func (e *upstreamEstimate) markAlive(now time.Time) {
	if e.suspect {
		e.suspect, e.trialInterval = false, 0
		e.rampSince = now
	}
	e.silentSince, e.lastResponse = now, now
}

// markSuspect marks the upstream as suspect until it responds, and schedules its next trial.
func (e *upstreamEstimate) markSuspect(now time.Time) {
	if e.suspect && now.Before(e.nextTrial) {
		return
	}
	e.suspect = true
	e.trialInterval = min(max(2*e.trialInterval, minTrialInterval), maxTrialInterval)
	e.nextTrial = now.Add(e.trialInterval)
}

// isFrozen reports whether requests have been in flight for too long without any response.
func (e *upstreamEstimate) isFrozen(now time.Time) bool {
	if e.silentSince.IsZero() || e.inFlight == 0 && !e.suspect {
		return false
	}
	limit := defaultSilence
	if e.latency > 0 {
		limit = max(silenceFactor*e.latency, minSilence)
	}
	return now.Sub(e.silentSince) > limit
}

func (e *upstreamEstimate) isUnhealthy(now time.Time) bool {
	return e.suspect || e.currentRejectionRate(now) > maxRejectionRate || e.isFrozen(now)
}

// isLeaving reports whether the upstream is shutting down or was drained.
func (e *upstreamEstimate) isLeaving(now time.Time) bool {
	return e.Drained || now.Before(e.leavingUntil)
}
