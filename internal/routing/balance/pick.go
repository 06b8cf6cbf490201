package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Criteria holds the properties of a request that the choice of an upstream depends on.
type Criteria struct {
	// Avoid is an upstream that is used only if no other is available.
	Avoid fleet.UpstreamID
	// Idempotent is set for a request that can be repeated without harm, so that it may be used to try an upstream that is
	// suspected to be unreachable.
	Idempotent bool
	// Bulk is set for a request with a large response. It stays in the failure domain of this daemon while an upstream
	// there is available, because links between failure domains are costly.
	Bulk bool
	// HasCapacity reports whether an upstream can take a request. Nil means that all of them can.
	HasCapacity func(fleet.UpstreamID) bool
	// IsCold reports whether an upstream has started recently, so that it is slow and takes few requests. Nil means that none has.
	IsCold func(fleet.UpstreamID) bool
}

// Pick returns the better of two upstreams that are chosen at random by weight ("power of two choices"), or the one with the
// least expected time if the measurements of all daemons are known. It returns false if no upstream can be used now.
func (p *Pool) Pick(now time.Time, criteria Criteria) (fleet.UpstreamID, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if trial := p.dueTrial(now, criteria); trial != nil {
		return trial.ID, true
	}
	candidates := p.eligible(now, criteria)
	if len(candidates) == 0 {
		return "", false
	}
	averages := p.averages(now)
	warm, cold := criteria.splitCold(candidates)
	if criteria.Bulk {
		warm, cold = p.inLocalDomain(warm), p.inLocalDomain(cold)
	}
	first := p.pickBetter(now, warm, averages)
	if len(cold) > 0 {
		first = preferWarm(now, first, p.pickBetter(now, cold, averages), averages)
	}
	return first.ID, true
}

// pickBetter returns the better of two candidates that are chosen at random by weight, or the one of the preferred subset with
// the least expected time if the measurements of all daemons are known. It returns nil if there are no candidates.
func (p *Pool) pickBetter(now time.Time, candidates []*upstreamEstimate, averages poolAverages) *upstreamEstimate {
	if len(candidates) == 0 {
		return nil
	}
	if p.informed(now) {
		return p.pickFromSubset(p.fleetView(now), candidates)
	}
	first := p.pickWeighted(now, candidates)
	second := p.pickWeighted(now, candidates)
	for range 2 { // a comparison needs two different upstreams
		if second == first {
			second = p.pickWeighted(now, candidates)
		}
	}
	if second.score(now, averages) < first.score(now, averages) {
		first = second
	}
	return first
}

// dueTrial returns a suspected upstream whose next trial is due, if the request may be used for that. It schedules the
// trial after this one.
func (p *Pool) dueTrial(now time.Time, criteria Criteria) *upstreamEstimate {
	if !criteria.Idempotent || p.probed {
		return nil
	}
	for _, upstream := range p.upstreams {
		if upstream.suspect && !upstream.isLeaving(now) && !now.Before(upstream.nextTrial) &&
			upstream.ID != criteria.Avoid && criteria.hasCapacity(upstream.ID) {
			upstream.markSuspect(now)
			return upstream
		}
	}
	return nil
}

// eligible returns the upstreams to choose from. If more than half of them look unhealthy, the fault is more likely in this
// daemon, its network or its estimates than in all of them; eligible then considers all that are not leaving.
func (p *Pool) eligible(now time.Time, criteria Criteria) []*upstreamEstimate {
	notLeaving, considered := make([]*upstreamEstimate, 0, len(p.upstreams)), make([]*upstreamEstimate, 0, len(p.upstreams))
	for _, upstream := range p.upstreams {
		if upstream.isLeaving(now) {
			continue
		}
		notLeaving = append(notLeaving, upstream)
		if !upstream.isUnhealthy(now) {
			considered = append(considered, upstream)
		}
	}
	if 2*len(considered) < len(notLeaving) {
		considered = notLeaving
	}
	available := considered[:0]
	var previous *upstreamEstimate
	for _, upstream := range considered {
		switch {
		case !criteria.hasCapacity(upstream.ID):
		case upstream.ID == criteria.Avoid:
			previous = upstream
		default:
			available = append(available, upstream)
		}
	}
	if len(available) == 0 && previous != nil {
		available = append(available, previous)
	}
	return available
}

// inLocalDomain returns the candidates in the failure domain of this daemon, or all candidates if none is there.
func (p *Pool) inLocalDomain(candidates []*upstreamEstimate) []*upstreamEstimate {
	local := make([]*upstreamEstimate, 0, len(candidates))
	for _, upstream := range candidates {
		if upstream.Locality == p.Local {
			local = append(local, upstream)
		}
	}
	if len(local) == 0 {
		return candidates
	}
	return local
}

func (c Criteria) hasCapacity(id fleet.UpstreamID) bool {
	return c.HasCapacity == nil || c.HasCapacity(id)
}

// pickWeighted returns one of the candidates at random by weight.
func (p *Pool) pickWeighted(now time.Time, candidates []*upstreamEstimate) *upstreamEstimate {
	total := 0.0
	for _, upstream := range candidates {
		total += upstream.weight(now)
	}
	remaining := p.randomFloat() * total
	for _, upstream := range candidates {
		remaining -= upstream.weight(now)
		if remaining < 0 {
			return upstream
		}
	}
	return candidates[len(candidates)-1]
}

func (p *Pool) randomFloat() float64 {
	if p.Random != nil {
		return p.Random.Float64()
	}
	return rand.Float64()
}

// weight is lower for upstreams that are far away and for those that were added or came back recently.
func (e *upstreamEstimate) weight(now time.Time) float64 {
	proximity := 10 * float64(time.Millisecond) / float64(10*time.Millisecond+e.roundTrip)
	ramp := max(initialShare, min(1, float64(now.Sub(e.rampSince))/float64(rampDuration)))
	return proximity * ramp
}

// score estimates how long a request would take at the upstream. Lower is better.
func (e *upstreamEstimate) score(now time.Time, averages poolAverages) float64 {
	ahead := float64(e.inFlight)
	if weight, ok := e.reportWeight(now, averages.reportedLoad); ok {
		reported := float64(e.reportedLoad.Running + e.reportedLoad.Waiting)
		ahead += weight * max(0, reported-ahead)
	}
	return (ahead + 1) * e.expectedLatency(now, averages.latency) * (1 + rejectionWeight*e.currentRejectionRate(now))
}

// expectedLatency returns the latency to expect from the upstream. Without recent responses it moves to the average of the
// others: otherwise an upstream that was slow once, or is new, would lose every comparison and never be chosen again.
func (e *upstreamEstimate) expectedLatency(now time.Time, average float64) float64 {
	if e.latency == 0 {
		return average
	}
	freshness := math.Exp2(-now.Sub(e.lastResponse).Seconds() / latencyHalfLife.Seconds())
	return average + (float64(e.latency)-average)*freshness
}

// reportWeight returns the weight of the load that the upstream reported, and false if the report is not used. A report is
// used only while this daemon has no recent response of the upstream: in a simulation with reports up to 1 s old, every
// weight for reports in addition to the daemon's own estimates made the 99th percentile and the imbalance worse, since all
// daemons turn to the same upstreams at the same time. A report loses weight with its age. It is not used if this daemon's
// own observations contradict it: if it names fewer requests than this daemon alone has in flight, or no more than the
// average while the upstream rejects requests.
func (e *upstreamEstimate) reportWeight(now time.Time, average float64) (float64, bool) {
	if now.Sub(e.lastResponse) < reportTTL {
		return 0, false
	}
	age := now.Sub(e.reportedAt)
	total := e.reportedLoad.Running + e.reportedLoad.Waiting
	if e.reportedAt.IsZero() || age >= reportTTL || total < e.inFlight {
		return 0, false
	}
	if e.currentRejectionRate(now) > 0.1 && float64(total) <= average {
		return 0, false
	}
	return 1 - float64(age)/float64(reportTTL), true
}

// poolAverages holds averages over the upstreams.
type poolAverages struct {
	// latency is the average of the observed latencies in nanoseconds.
	latency float64
	// reportedLoad is the average number of requests in the reports that have not expired.
	reportedLoad float64
}

// averages returns the averages over the upstreams for which the values are known.
func (p *Pool) averages(now time.Time) poolAverages {
	var result poolAverages
	reports, latencies := 0, 0
	for _, upstream := range p.upstreams {
		if !upstream.reportedAt.IsZero() && now.Sub(upstream.reportedAt) < reportTTL {
			result.reportedLoad += float64(upstream.reportedLoad.Running + upstream.reportedLoad.Waiting)
			reports++
		}
		if upstream.latency > 0 {
			result.latency += float64(upstream.latency)
			latencies++
		}
	}
	result.reportedLoad /= float64(max(1, reports))
	result.latency /= float64(max(1, latencies))
	if latencies == 0 {
		result.latency = float64(defaultLatency)
	}
	return result
}
