package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Criteria is what a request asks of the choice.
type Criteria struct {
	// Avoid names an upstream that is used only if there is no other.
	Avoid fleet.UpstreamID
	// Repeatable is set for a request that may be lost without harm, so that it may try a suspected upstream.
	Idempotent bool
	// Bulk is set for a request with a large answer, which stays in the failure domain of this daemon while an upstream
	// there can take it: links between failure domains are costly.
	Bulk bool
	// Free reports whether an upstream has room. Nil means that all have.
	HasCapacity func(fleet.UpstreamID) bool
}

// Pick returns the upstream to use: the better of two that are drawn at random by weight. It returns false if none can be
// used now.
func (p *Pool) Pick(now time.Time, criteria Criteria) (fleet.UpstreamID, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if trial := p.trial(now, criteria); trial != nil {
		return trial.ID, true
	}
	usable := p.usable(now, criteria)
	if len(usable) == 0 {
		return "", false
	}
	if criteria.Bulk {
		usable = p.near(usable)
	}
	first := p.draw(now, usable)
	second := p.draw(now, usable)
	for range 2 { // a second draw of the same upstream would decide nothing
		if second == first {
			second = p.draw(now, usable)
		}
	}
	usual := p.usual(now)
	if second.score(now, usual) < first.score(now, usual) {
		first = second
	}
	return first.ID, true
}

// trial returns a suspected upstream whose next trial is due, if the request may be used for it.
func (p *Pool) trial(now time.Time, criteria Criteria) *member {
	if !criteria.Idempotent {
		return nil
	}
	for _, one := range p.members {
		if one.suspect && !one.out(now) && !now.Before(one.nextTrial) && one.ID != criteria.Avoid && criteria.hasCapacity(one.ID) {
			one.doubt(now)
			return one
		}
	}
	return nil
}

// usable returns the upstreams to choose among. If more than half look bad, the fault is more likely on this side or in
// the judgement than in all of them, and all that are not leaving are used.
func (p *Pool) usable(now time.Time, criteria Criteria) []*member {
	staying, good := make([]*member, 0, len(p.members)), make([]*member, 0, len(p.members))
	for _, one := range p.members {
		if one.out(now) {
			continue
		}
		staying = append(staying, one)
		if !one.bad(now) {
			good = append(good, one)
		}
	}
	if 2*len(good) < len(staying) {
		good = staying
	}
	free := good[:0]
	var avoided *member
	for _, one := range good {
		switch {
		case !criteria.hasCapacity(one.ID):
		case one.ID == criteria.Avoid:
			avoided = one
		default:
			free = append(free, one)
		}
	}
	if len(free) == 0 && avoided != nil {
		free = append(free, avoided)
	}
	return free
}

// near returns the upstreams in the failure domain of this daemon, or all if there is none.
func (p *Pool) near(usable []*member) []*member {
	near := make([]*member, 0, len(usable))
	for _, one := range usable {
		if one.Locality == p.Local {
			near = append(near, one)
		}
	}
	if len(near) == 0 {
		return usable
	}
	return near
}

func (c Criteria) hasCapacity(id fleet.UpstreamID) bool {
	return c.HasCapacity == nil || c.HasCapacity(id)
}

// draw returns one upstream at random by weight.
func (p *Pool) draw(now time.Time, usable []*member) *member {
	total := 0.0
	for _, one := range usable {
		total += one.weight(now)
	}
	left := p.float() * total
	for _, one := range usable {
		left -= one.weight(now)
		if left < 0 {
			return one
		}
	}
	return usable[len(usable)-1]
}

func (p *Pool) float() float64 {
	if p.Random != nil {
		return p.Random.Float64()
	}
	return rand.Float64()
}

// weight lowers the chance of upstreams that are far away or have just started.
func (m *member) weight(now time.Time) float64 {
	near := 10 * float64(time.Millisecond) / float64(10*time.Millisecond+m.cost)
	ramp := max(rampStart, min(1, float64(now.Sub(m.since))/float64(rampTime)))
	return near * ramp
}

// score estimates how long a request would take at the upstream; lower is better.
func (m *member) score(now time.Time, usual usual) float64 {
	ahead := float64(m.inFlight)
	if weight, ok := m.trust(now, usual.report); ok {
		reported := float64(m.report.Running + m.report.Waiting)
		ahead += weight * max(0, reported-ahead)
	}
	return (ahead + 1) * m.expected(now, usual.latency) * (1 + refusalWeight*m.refusedRate(now))
}

// expected returns the latency to expect. An upstream that has not answered for some time is expected to be as fast as the
// others: otherwise one that was slow once, or is new, would lose every comparison and never be chosen again.
func (m *member) expected(now time.Time, usual float64) float64 {
	if m.latency == 0 {
		return usual
	}
	known := math.Exp2(-now.Sub(m.answered).Seconds() / latencyHalfLife.Seconds())
	return usual + (float64(m.latency)-usual)*known
}

// trust returns how much the reported load counts. It counts only while this daemon has no recent answer of the upstream:
// in a simulation with reports up to 1 s old, every weight of the reports beside own estimates made the 99th percentile
// and the imbalance worse, since all daemons turn to the same upstreams at the same time. A report loses weight with its
// age, and counts nothing where own observation contradicts it: it names less than this daemon alone has in flight, or
// less than the average while the upstream rejects requests.
func (m *member) trust(now time.Time, average float64) (float64, bool) {
	if now.Sub(m.answered) < reportLife {
		return 0, false
	}
	age := now.Sub(m.reported)
	total := m.report.Running + m.report.Waiting
	if m.reported.IsZero() || age >= reportLife || total < m.inFlight {
		return 0, false
	}
	if m.refusedRate(now) > 0.1 && float64(total) <= average {
		return 0, false
	}
	return 1 - float64(age)/float64(reportLife), true
}

// usual holds means over the upstreams.
type usual struct {
	// latency is the mean of the latencies observed.
	latency float64
	// report is the mean of the loads reported lately.
	report float64
}

func (p *Pool) usual(now time.Time) usual {
	var result usual
	reports, latencies := 0, 0
	for _, one := range p.members {
		if !one.reported.IsZero() && now.Sub(one.reported) < reportLife {
			result.report += float64(one.report.Running + one.report.Waiting)
			reports++
		}
		if one.latency > 0 {
			result.latency += float64(one.latency)
			latencies++
		}
	}
	result.report /= float64(max(1, reports))
	result.latency /= float64(max(1, latencies))
	if latencies == 0 {
		result.latency = float64(firstLatency)
	}
	return result
}
