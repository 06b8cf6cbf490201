package balance

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// coldSlowdown is how many times longer a request is taken to run at a cold upstream. A lower value sends requests to cold
// upstreams that others would run sooner, a higher one leaves them idle while requests wait elsewhere.
const coldSlowdown = 3

// splitCold divides candidates into those that are not cold and those that are.
func (c Criteria) splitCold(candidates []*upstreamEstimate) (warm, cold []*upstreamEstimate) {
	if c.IsCold == nil {
		return candidates, nil
	}
	for _, candidate := range candidates {
		if c.IsCold(candidate.ID) {
			cold = append(cold, candidate)
		} else {
			warm = append(warm, candidate)
		}
	}
	return warm, cold
}

// preferWarm returns the cold upstream only if there is no other one, or the other one is so busy that a request would take
// longer there.
func preferWarm(now time.Time, warm, cold *upstreamEstimate, averages poolAverages) *upstreamEstimate {
	if warm == nil || coldSlowdown*cold.score(now, averages) < warm.score(now, averages) {
		return cold
	}
	return warm
}

// SetProbed sets whether suspected upstreams are tried by DueTrials instead of with requests.
func (p *Pool) SetProbed(probed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probed = probed
}

// maxProbeInterval is the longest time between two trials of an upstream with probes, which cost an upstream far less than a
// request and a caller nothing.
const maxProbeInterval = 2 * time.Second

// DueTrials returns the suspected upstreams whose next trial is due, and schedules the trials after these. The first trial of an
// upstream is due at once, since a single connection may have been reset.
func (p *Pool) DueTrials(now time.Time) []fleet.UpstreamID {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.probed {
		return nil
	}
	var due []fleet.UpstreamID
	for _, upstream := range p.upstreams {
		isFirst := upstream.trialInterval == minTrialInterval
		if upstream.suspect && !upstream.isLeaving(now) && (isFirst || !now.Before(upstream.nextTrial)) {
			upstream.trialInterval = min(2*upstream.trialInterval, maxProbeInterval)
			upstream.nextTrial = now.Add(upstream.trialInterval)
			due = append(due, upstream.ID)
		}
	}
	return due
}

// IsSuspect reports whether an upstream counts as unreachable or frozen until it answers.
func (p *Pool) IsSuspect(id fleet.UpstreamID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	estimate := p.byID[id]
	return estimate != nil && estimate.suspect
}

// Answered records that an upstream has answered a trial.
func (p *Pool) Answered(now time.Time, id fleet.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if estimate := p.byID[id]; estimate != nil {
		estimate.markAlive(now)
	}
}
