// Package balance chooses among the upstreams of a service without keys. Its estimates come from what this daemon itself
// observes, since the load and health that upstreams report lag or are wrong.
package balance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Candidate is one upstream that may be chosen.
type Candidate struct {
	ID       fleet.UpstreamID
	Locality fleet.Locality
	Drained  bool
}

// Observation is what one request showed about its upstream. It is one of Answered, Refused, Leaving, Unreachable and
// Silent.
type Observation interface {
	observation()
}

// Answered means that the upstream answered.
type Responded struct {
	Latency time.Duration
}

// Refused means that the upstream stated that it did not run the request.
type Rejected struct{}

// Leaving means that the upstream stated that it is leaving.
type Leaving struct{}

// Unreachable means that the connection failed.
type Unreachable struct{}

// Silent means that the attempt was given up on this side without an answer.
type Abandoned struct{}

func (Responded) observation()   {}
func (Rejected) observation()    {}
func (Leaving) observation()     {}
func (Unreachable) observation() {}
func (Abandoned) observation()   {}

// Load is what an upstream reports of itself.
type Load struct {
	// Running and Waiting count the requests of all daemons.
	Running, Waiting int
}

const (
	// reportLife is how long a reported load is used.
	reportLife = 2 * time.Second
	// rampTime is how long a new or returned upstream gets less than its share.
	rampTime = 10 * time.Second
	// rampStart is the share that such an upstream begins with.
	rampStart = 0.1
	// latencyHalfLife is the time in which an observed latency loses half of its weight.
	latencyHalfLife = 5 * time.Second
	// firstLatency is assumed while no upstream has answered yet.
	firstLatency = 20 * time.Millisecond
	// leavingTime is how long a rejection because of leaving keeps an upstream out, unless it is reported to be back. An
	// upstream that leaves must get no new work after 3 s, not even a trial every few seconds.
	leavingTime = time.Minute
	// trialEvery and trialMost bound the time between two trials of a suspected upstream.
	trialEvery = 500 * time.Millisecond
	trialMost  = 8 * time.Second
	// silenceLeast, silenceUnknown and silenceMultiple bound how long requests may be outstanding without any answer
	// before an upstream counts as frozen.
	silenceLeast    = 250 * time.Millisecond
	silenceUnknown  = time.Second
	silenceMultiple = 8
	// latencyWeight smooths the latency. With 8, upstreams that were slow by chance were avoided for some time.
	latencyWeight = 32
	// refusalWeight multiplies the rate of rejections in the score. It must outweigh the few requests in flight of an
	// upstream that rejects at once.
	refusalWeight = 10
	// refusalRise and refusalFall are the parts of a sample that enter the rate. An upstream that rejects everything
	// is then left alone after three requests; with 1/16 for both it used up the retry budget first.
	refusalRise = 0.25
	refusalFall = 1.0 / 16
	// refusedMost is the rate of rejections above which an upstream counts as bad.
	refusedMost = 0.5
)

// Pool holds the estimates of one service. The exported fields are set before Set.
type Pool struct {
	// Local is where this daemon runs.
	Local fleet.Locality
	// Cost returns the round trip between two places. Nil assumes 6 ms between failure domains and 40 ms between regions.
	RoundTrip func(from, to fleet.Locality) time.Duration
	// Random is the source of the choices. Nil stands for the source of the process.
	Random *rand.Rand

	mu sync.Mutex
	// members is guarded by mu and ordered as the candidates were given.
	members []*member
	// byID is guarded by mu and holds the same members.
	byID map[fleet.UpstreamID]*member
}

// member is the estimate of one upstream.
type member struct {
	Candidate
	cost     time.Duration
	since    time.Time
	inFlight int
	// latency is zero before the first answer.
	latency time.Duration
	// refused follows the share of rejected requests, as of refusedAt.
	refused   float64
	refusedAt time.Time
	// silent is the time since which requests are outstanding without any answer; zero when none is.
	silent time.Time
	// suspect is set when the upstream is unreachable or frozen, until it answers.
	suspect   bool
	nextTrial time.Time
	trialWait time.Duration
	leaving   time.Time
	// answered is the time of the last sign of life.
	answered time.Time
	report   Load
	reported time.Time
}

// Set replaces the candidates. Upstreams that stay keep their estimates; a new one starts slowly unless it is among the
// first.
func (p *Pool) SetCandidates(now time.Time, candidates []Candidate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := p.byID == nil
	old := p.byID
	p.byID = make(map[fleet.UpstreamID]*member, len(candidates))
	p.members = p.members[:0:0]
	for _, candidate := range candidates {
		one := old[candidate.ID]
		if one == nil {
			one = &member{since: now}
			if first {
				one.since = now.Add(-rampTime)
			}
		} else if one.Drained && !candidate.Drained {
			one.since = now
		}
		one.Candidate, one.cost = candidate, p.roundTrip(candidate.Locality)
		p.byID[candidate.ID] = one
		p.members = append(p.members, one)
	}
}

func (p *Pool) roundTrip(to fleet.Locality) time.Duration {
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

// Started counts a request sent to an upstream.
func (p *Pool) RequestStarted(now time.Time, id fleet.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.byID[id]
	if one == nil {
		return
	}
	if one.inFlight == 0 {
		one.silent = now
	}
	one.inFlight++
}

// Ended takes in what a request showed.
func (p *Pool) RequestEnded(now time.Time, id fleet.UpstreamID, observation Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.byID[id]
	if one == nil {
		return
	}
	frozen := one.frozen(now)
	one.inFlight = max(0, one.inFlight-1)
	switch observation := observation.(type) {
	case Responded:
		one.alive(now)
		one.refusals(now, 0)
		if one.latency == 0 {
			one.latency = observation.Latency
		}
		one.latency += (observation.Latency - one.latency) / latencyWeight
	case Rejected:
		one.alive(now)
		one.refusals(now, 1)
	case Leaving:
		one.alive(now)
		one.leaving = now.Add(leavingTime)
	case Unreachable:
		one.doubt(now)
	case Abandoned:
		if frozen {
			one.doubt(now)
		}
	}
	if one.inFlight == 0 {
		one.silent = time.Time{}
	}
}

// Reported takes in the load that an upstream reported at a time.
func (p *Pool) RecordLoad(at time.Time, id fleet.UpstreamID, load Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if one := p.byID[id]; one != nil && at.After(one.reported) {
		one.report, one.reported = load, at
	}
}

// refusals takes in whether the last request was rejected (1) or not (0).
func (m *member) refusals(now time.Time, sample float64) {
	before, part := m.refusedRate(now), refusalFall
	if sample > before {
		part = refusalRise
	}
	m.refused, m.refusedAt = before+(sample-before)*part, now
}

// refusedRate returns the share of rejected requests. It halves in each second, so that an upstream that is no longer
// chosen because of its rejections is tried again.
func (m *member) refusedRate(now time.Time) float64 {
	return m.refused * math.Exp2(-now.Sub(m.refusedAt).Seconds())
}

// Leaving keeps an upstream that is known to leave out until a time.
func (p *Pool) MarkLeaving(until time.Time, id fleet.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if one := p.byID[id]; one != nil && until.After(one.leaving) {
		one.leaving = until
	}
}

// Rejoined takes in that an upstream which was leaving takes work again. It starts slowly.
func (p *Pool) MarkRejoined(now time.Time, id fleet.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if one := p.byID[id]; one != nil {
		one.leaving, one.since = time.Time{}, now
	}
}

// alive takes in a sign of life.
func (m *member) alive(now time.Time) {
	if m.suspect {
		m.suspect, m.trialWait = false, 0
		m.since = now
	}
	m.silent, m.answered = now, now
}

// doubt marks the upstream as lost until it answers, and postpones its next trial.
func (m *member) doubt(now time.Time) {
	if m.suspect && now.Before(m.nextTrial) {
		return
	}
	m.suspect = true
	m.trialWait = min(max(2*m.trialWait, trialEvery), trialMost)
	m.nextTrial = now.Add(m.trialWait)
}

// frozen reports whether requests have been outstanding for long without any answer.
func (m *member) frozen(now time.Time) bool {
	if m.silent.IsZero() || m.inFlight == 0 && !m.suspect {
		return false
	}
	allowed := silenceUnknown
	if m.latency > 0 {
		allowed = max(silenceMultiple*m.latency, silenceLeast)
	}
	return now.Sub(m.silent) > allowed
}

func (m *member) bad(now time.Time) bool {
	return m.suspect || m.refusedRate(now) > refusedMost || m.frozen(now)
}

// out reports whether the upstream is leaving.
func (m *member) out(now time.Time) bool {
	return m.Drained || now.Before(m.leaving)
}
