package balance_test

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/routing/balance"
)

// unevenFleet is a simulation of an unkeyed service: daemons that choose among upstreams of different speed, which slow down by
// chance. A fifth of the time, in intervals of 400 ms, work takes three times as long at an upstream.
type unevenFleet struct {
	// fleetLoads makes the daemons know the measurements of all daemons, and stated the loads that upstreams report.
	fleetLoads, stated bool
	random             *rand.Rand
	now                time.Time
	events             eventQueue
	daemons            []*simulatedDaemon
	upstreams          []*simulatedUpstream
	fleet              balance.FleetSum
	result             fleetResult
}

type simulatedDaemon struct {
	locality fleet.Locality
	pool     *balance.Pool
	// idle holds for each upstream the times since which connections are idle.
	idle map[int][]time.Time
}

type simulatedUpstream struct {
	id       fleet.UpstreamID
	locality fleet.Locality
	speed    float64
	running  int
	waiting  []func()
	slowSeed uint64
	// measured is what daemons measured since the last sum.
	measured balance.Measured
	// busy is the integral of the requests there over time.
	busy   float64
	busyAt time.Time
}

type fleetResult struct {
	latencies             []time.Duration
	rejected, connections int
	crossing, sent        int
	busiestMean           float64
}

const (
	fleetDaemons, fleetUpstreams, fleetSlots, fleetQueue = 87, 115, 3, 12
	fleetRate                                            = 620.0
	fleetWork                                            = 270 * time.Millisecond
	fleetSpan                                            = 40 * time.Second
	fleetWarmup                                          = 15 * time.Second
	connectionIdle                                       = 10 * time.Second
)

type simulatedEvent struct {
	at  time.Time
	run func()
}

type eventQueue []simulatedEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push appends an event. Called by container/heap only.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(simulatedEvent)) }

// Pop removes the last event. Called by container/heap only.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (u *unevenFleet) after(delay time.Duration, run func()) {
	heap.Push(&u.events, simulatedEvent{at: u.now.Add(delay), run: run})
}

func domainOf(index int) fleet.Locality {
	return fleet.Locality{Region: "r", Domain: fleet.FailureDomain(fmt.Sprint("d", index%4))}
}

func newUnevenFleet(seed uint64, fleetLoads, stated bool) *unevenFleet {
	u := &unevenFleet{fleetLoads: fleetLoads, stated: stated, random: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1000, 0)}
	var candidates []balance.Candidate
	for i := range fleetUpstreams {
		upstream := &simulatedUpstream{
			id: fleet.UpstreamID(strconv.Itoa(i)), locality: domainOf(i), speed: 0.5 + u.random.Float64(), slowSeed: u.random.Uint64(),
		}
		u.upstreams = append(u.upstreams, upstream)
		candidates = append(candidates, balance.Candidate{ID: upstream.id, Locality: upstream.locality, Slots: fleetSlots})
	}
	for i := range fleetDaemons {
		daemon := &simulatedDaemon{locality: domainOf(i), idle: make(map[int][]time.Time)}
		daemon.pool = &balance.Pool{
			Local: daemon.locality, Random: rand.New(rand.NewPCG(seed, uint64(i))), Daemon: fleet.HostID(fmt.Sprint("daemon-", i)),
		}
		daemon.pool.SetCandidates(u.now, candidates)
		u.daemons = append(u.daemons, daemon)
	}
	return u
}

// isSlow reports whether work at an upstream takes longer at the present time.
func (u *unevenFleet) isSlow(s *simulatedUpstream) bool {
	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, s.slowSeed, u.now.UnixMilli()/400)
	return rand.New(rand.NewPCG(hash.Sum64(), 1)).Float64() < 0.2
}

// run plays the load and returns what the requests after the warm-up have seen.
func (u *unevenFleet) run() fleetResult {
	started := u.now
	u.arrive()
	u.after(time.Second, u.sum)
	for u.now.Sub(started) < fleetWarmup+fleetSpan {
		next := heap.Pop(&u.events).(simulatedEvent)
		u.now = next.at
		next.run()
		if u.now.Sub(started) < fleetWarmup {
			u.result = fleetResult{}
			for _, s := range u.upstreams {
				s.busy = 0
			}
		}
	}
	most, total := 0.0, 0.0
	for _, s := range u.upstreams {
		u.account(s)
		most, total = max(most, s.busy), total+s.busy
	}
	u.result.busiestMean = most * fleetUpstreams / total
	slices.Sort(u.result.latencies)
	return u.result
}

func (u *unevenFleet) account(s *simulatedUpstream) {
	s.busy += u.now.Sub(s.busyAt).Seconds() * float64(s.running+len(s.waiting))
	s.busyAt = u.now
}

// arrive makes a request arrive at a random daemon, and schedules the next one.
func (u *unevenFleet) arrive() {
	u.after(time.Duration(u.random.ExpFloat64()/fleetRate*float64(time.Second)), u.arrive)
	daemon := u.daemons[u.random.IntN(fleetDaemons)]
	id, ok := daemon.pool.Pick(u.now, balance.Criteria{Idempotent: true})
	if !ok {
		panic("no upstream")
	}
	index, _ := strconv.Atoi(string(id))
	s := u.upstreams[index]
	u.result.sent++
	delay := time.Duration(0)
	if s.locality != daemon.locality {
		delay = 3 * time.Millisecond
		u.result.crossing++
	}
	u.connect(daemon, index)
	start := u.now
	daemon.pool.RequestStarted(u.now, id)
	u.after(delay, func() { u.atUpstream(s, daemon, index, start, delay) })
}

// connect takes an idle connection of the daemon, or opens one.
func (u *unevenFleet) connect(daemon *simulatedDaemon, index int) {
	idle := slices.DeleteFunc(daemon.idle[index], func(since time.Time) bool { return u.now.Sub(since) > connectionIdle })
	if len(idle) == 0 {
		u.result.connections++
	} else {
		idle = idle[:len(idle)-1]
	}
	daemon.idle[index] = idle
}

func (u *unevenFleet) atUpstream(s *simulatedUpstream, daemon *simulatedDaemon, index int, start time.Time, delay time.Duration) {
	u.account(s)
	respond := func(observation balance.Observation) {
		report := balance.Load{Running: s.running, Waiting: len(s.waiting), Slots: fleetSlots, Pace: 1}
		if u.isSlow(s) {
			report.Pace = 3
		}
		u.after(delay, func() {
			if responded, ok := observation.(balance.Responded); ok {
				responded.Latency = u.now.Sub(start)
				observation = responded
				u.result.latencies = append(u.result.latencies, responded.Latency)
				s.measured.Requests++
				s.measured.Total += responded.Latency
			}
			daemon.idle[index] = append(daemon.idle[index], u.now)
			if u.stated {
				daemon.pool.RecordLoad(u.now, s.id, report)
			}
			daemon.pool.RequestEnded(u.now, s.id, observation)
		})
	}
	if len(s.waiting) >= fleetQueue {
		u.result.rejected++
		respond(balance.Rejected{})
		return
	}
	work := func() {
		s.running++
		took := time.Duration(float64(fleetWork) / s.speed)
		if u.isSlow(s) {
			took *= 3
		}
		u.after(took, func() {
			u.account(s)
			s.running--
			if len(s.waiting) > 0 {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				next()
			}
			respond(balance.Responded{})
		})
	}
	if s.running < fleetSlots {
		work()
		return
	}
	s.waiting = append(s.waiting, work)
}

// sum sends the sums of all daemons' measurements, which take 300 ms to arrive.
func (u *unevenFleet) sum() {
	u.after(time.Second, u.sum)
	measured := make(map[fleet.UpstreamID]balance.Measured)
	for _, s := range u.upstreams {
		measured[s.id] = s.measured
		s.measured = balance.Measured{}
	}
	u.fleet.Add(u.now, measured)
	loads := u.fleet.Loads()
	if !u.fleetLoads {
		return
	}
	u.after(300*time.Millisecond, func() {
		for _, daemon := range u.daemons {
			daemon.pool.SetFleetLoads(u.now, loads)
		}
	})
}

// Pattern: uneven upstreams of an unkeyed service. Guards against daemons that send requests to upstreams which are slow or have a
// queue while others are free, that turn to the same upstreams together, and that open a connection for every other request.
func TestUnevenUpstreams(t *testing.T) {
	is := is.New(t)
	var p50, p99, late, connections [3]float64
	for i, mode := range []string{"as before", "measurements of all daemons", "and stated loads"} {
		result := newUnevenFleet(1, i > 0, i > 1).run()
		n := len(result.latencies)
		p50[i], p99[i] = result.latencies[n/2].Seconds(), result.latencies[n*99/100].Seconds()
		connections[i] = float64(result.connections) / float64(n)
		for _, latency := range result.latencies {
			if latency > 1500*time.Millisecond {
				late[i]++
			}
		}
		t.Logf("%s: p50 %.3f s, p99 %.3f s, late %.0f of %d, rejected %d", mode, p50[i], p99[i], late[i], n, result.rejected)
		t.Logf("busiest/mean %.2f, connections per request %.2f, sent to other domains %.2f", result.busiestMean, connections[i],
			float64(result.crossing)/float64(result.sent))
	}
	is.True(p50[1] < p50[0])
	is.True(p99[1] < 0.9*p99[0])
	is.True(p50[2] < 0.85*p50[0])
	is.True(p99[2] < 0.65*p99[0])
	is.True(late[2] < 0.2*late[0])
	is.True(connections[1] < 0.25 && connections[2] < 0.25)
}

// Guards against a subset that changes as a whole when one upstream comes or goes, and against members of other failure domains
// while there are enough in the own one.
func TestSubsetIsStable(t *testing.T) {
	is := is.New(t)
	sample := func(count int) map[fleet.UpstreamID]bool {
		u := newUnevenFleet(1, true, true)
		pool, chosen := u.daemons[0].pool, make(map[fleet.UpstreamID]bool)
		var candidates []balance.Candidate
		loads := make(map[fleet.UpstreamID]balance.FleetLoad)
		for _, s := range u.upstreams[:count] {
			candidates = append(candidates, balance.Candidate{ID: s.id, Locality: s.locality, Slots: fleetSlots})
			loads[s.id] = balance.FleetLoad{MeanDuration: fleetWork, InFlight: 1}
		}
		pool.SetCandidates(u.now, candidates)
		pool.SetFleetLoads(u.now, loads)
		local := 0
		for range 1000 {
			id, _ := pool.Pick(u.now, balance.Criteria{})
			chosen[id] = true
			index, _ := strconv.Atoi(string(id))
			if u.upstreams[index].locality == u.daemons[0].locality {
				local++
			}
		}
		is.True(local > 500)
		return chosen
	}
	before, after := sample(114), sample(115)
	common := 0
	for id := range before {
		if after[id] {
			common++
		}
	}
	is.True(len(before) <= 20)
	is.True(common >= len(before)-2)
}
