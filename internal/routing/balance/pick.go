package balance

import (
	"math/rand/v2"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Wish is what a request asks of the choice.
type Wish struct {
	// Avoid names an upstream that is used only if there is no other.
	Avoid fleet.UpstreamID
	// Repeatable is set for a request that may be lost without harm, so that it may try a suspected upstream.
	Repeatable bool
	// Free reports whether an upstream has room. Nil means that all have.
	Free func(fleet.UpstreamID) bool
}

// Pick returns the upstream to use: the better of two that are drawn at random by weight. It returns false if none can be
// used now.
func (p *Pool) Pick(now time.Time, wish Wish) (fleet.UpstreamID, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if trial := p.trial(now, wish); trial != nil {
		return trial.ID, true
	}
	usable := p.usable(now, wish)
	if len(usable) == 0 {
		return "", false
	}
	first := p.draw(now, usable)
	second := p.draw(now, usable)
	for range 2 { // a second draw of the same upstream would decide nothing
		if second == first {
			second = p.draw(now, usable)
		}
	}
	average := p.averageReport(now)
	if second.score(now, average) < first.score(now, average) {
		first = second
	}
	return first.ID, true
}

// trial returns a suspected upstream whose next trial is due, if the request may be used for it.
func (p *Pool) trial(now time.Time, wish Wish) *member {
	if !wish.Repeatable {
		return nil
	}
	for _, one := range p.members {
		if one.suspect && !one.out(now) && !now.Before(one.nextTrial) && one.ID != wish.Avoid && wish.free(one.ID) {
			one.doubt(now)
			return one
		}
	}
	return nil
}

// usable returns the upstreams to choose among. If more than half look bad, the fault is more likely on this side or in
// the judgement than in all of them, and all that are not leaving are used.
func (p *Pool) usable(now time.Time, wish Wish) []*member {
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
		case !wish.free(one.ID):
		case one.ID == wish.Avoid:
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

func (w Wish) free(id fleet.UpstreamID) bool {
	return w.Free == nil || w.Free(id)
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
func (m *member) score(now time.Time, average float64) float64 {
	latency := m.latency
	if latency == 0 {
		latency = firstLatency
	}
	ahead := float64(m.inFlight)
	if weight, ok := m.trust(now, average); ok {
		reported := float64(m.report.Running + m.report.Waiting)
		ahead += weight * max(0, reported-ahead)
	}
	return (ahead + 1) * float64(latency) * (1 + refusalWeight*m.refusedRate(now))
}

// trust returns how much the reported load counts. A report loses weight with its age, and counts nothing where own
// observation contradicts it: it names less than this daemon alone has in flight, or less than the average while the
// upstream rejects requests.
func (m *member) trust(now time.Time, average float64) (float64, bool) {
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

// averageReport returns the mean of the loads reported lately.
func (p *Pool) averageReport(now time.Time) float64 {
	total, count := 0, 0
	for _, one := range p.members {
		if !one.reported.IsZero() && now.Sub(one.reported) < reportLife {
			total += one.report.Running + one.report.Waiting
			count++
		}
	}
	return float64(total) / float64(max(1, count))
}
