package requests

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/routing/balance"
)

// Policy is a way to choose among upstreams.
type Policy string

const (
	// PolicyProduct is the choice that the router uses.
	PolicyTwoChoices Policy = "two choices (product)"
	// PolicyRandom chooses evenly at random.
	PolicyRandom Policy = "random"
	// PolicyRoundRobin takes turns.
	PolicyRoundRobin Policy = "round robin"
	// PolicyLeast chooses the upstream with the fewest requests of the own daemon in flight.
	PolicyLeastInFlight Policy = "least in flight"
	// PolicyThreshold chooses the first upstream, from a random one on, whose last reported load is below the average of
	// the reports (Patel and Aggarwal, "Load Balancing on Open Networks: A Mobile Agent Approach").
	PolicyThreshold Policy = "threshold"
)

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{PolicyTwoChoices, PolicyRandom, PolicyRoundRobin, PolicyLeastInFlight, PolicyThreshold}
}

// Scenario is what is wrong with the workers of a simulation.
type Scenario string

const (
	// ScenarioEven means that all workers are alike.
	ScenarioEven Scenario = "even"
	// ScenarioSlow means that one worker takes three times as long.
	ScenarioSlow Scenario = "one worker slow"
	// ScenarioLiar means that one worker takes three times as long and reports no load.
	ScenarioSlowUnreported Scenario = "one slow, reports none"
)

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{ScenarioEven, ScenarioSlow, ScenarioSlowUnreported}
}

// Simulation is a discrete simulation of daemons that choose among workers by stale reports. It uses the product's
// decisions and no I/O.
type Simulation struct {
	Workers, Slots, Hosts int
	// Work is the mean of the exponential time of a request.
	ServiceTime time.Duration
	// Use is the offered load as a part of the capacity of even workers.
	Utilization float64
	Scenario    Scenario
}

// Simulated is the result of a simulation.
type SimulationResult struct {
	Median, P99 time.Duration
	// Imbalance is the time-averaged load of the busiest worker over the mean.
	Imbalance float64
	// Shed is the part of the requests that found a full worker.
	Shed float64
}

const (
	simulatedWarmup   = 12 * time.Second
	simulatedDuration = 60 * time.Second
	// reportEvery is the age that reports reach.
	reportInterval = time.Second
	// link is the time of a message in one direction.
	oneWayDelay = 3 * time.Millisecond
)

// event is something that happens at a time.
type event struct {
	at  time.Time
	run func(now time.Time)
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push adds an event; container/heap calls it.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event; container/heap calls it.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// fakeWorker is a worker of a simulation.
type simulatedWorker struct {
	id       fleet.UpstreamID
	slowdown float64
	running  int
	waiting  []func(now time.Time)
	// load integrates running and waiting requests over time, up to since.
	loadSeconds    float64
	accountedUntil time.Time
}

// world is the state of one simulation.
type simulator struct {
	Simulation
	policy  Policy
	random  *rand.Rand
	events  eventQueue
	workers []*simulatedWorker
	pools   []*balance.Pool
	// own counts the requests of each host in flight at each worker.
	inFlight      [][]int
	lastChosen    []int
	reportedLoads []int
	warmupEnd     time.Time

	latencies             *hdrhistogram.Histogram
	shedCount, endedCount int
}

// Run simulates one policy.
func (s Simulation) Run(policy Policy, seed uint64) SimulationResult {
	start := time.Unix(0, 0)
	w := &simulator{
		Simulation: s, policy: policy, random: rand.New(rand.NewPCG(seed, 1)), latencies: hdrhistogram.New(1, 60_000_000, 3),
		lastChosen: make([]int, s.Hosts), reportedLoads: make([]int, s.Workers), warmupEnd: start.Add(simulatedWarmup),
	}
	candidates := make([]balance.Candidate, 0, s.Workers)
	for i := range s.Workers {
		one := &simulatedWorker{id: fleet.UpstreamID(fmt.Sprint(i)), slowdown: 1, accountedUntil: start}
		if i == 0 && s.Scenario != ScenarioEven {
			one.slowdown = 3
		}
		w.workers = append(w.workers, one)
		candidates = append(candidates, balance.Candidate{ID: one.id})
	}
	for host := range s.Hosts {
		pool := &balance.Pool{Random: rand.New(rand.NewPCG(seed, uint64(host)+2))}
		pool.SetCandidates(start, candidates)
		w.pools = append(w.pools, pool)
		w.inFlight = append(w.inFlight, make([]int, s.Workers))
	}
	w.schedule(start, w.arrivalEvent)
	w.schedule(start, w.reportLoads)
	end := w.warmupEnd.Add(simulatedDuration)
	for w.events[0].at.Before(end) {
		next := heap.Pop(&w.events).(event)
		next.run(next.at)
	}
	return w.result(end)
}

func (w *simulator) result(end time.Time) SimulationResult {
	highest, total := 0.0, 0.0
	for _, one := range w.workers {
		w.accumulateLoad(one, end)
		highest, total = max(highest, one.loadSeconds), total+one.loadSeconds
	}
	return SimulationResult{
		Median: Quantile(w.latencies, 50), P99: Quantile(w.latencies, 99),
		Imbalance: highest * float64(len(w.workers)) / total, Shed: float64(w.shedCount) / float64(w.endedCount),
	}
}

func (w *simulator) schedule(at time.Time, run func(time.Time)) {
	heap.Push(&w.events, event{at: at, run: run})
}

// arrive lets one request arrive at a random host and plans the next.
func (w *simulator) arrivalEvent(now time.Time) {
	rate := w.Utilization * float64(w.Workers*w.Slots) / w.ServiceTime.Seconds()
	w.schedule(now.Add(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second))), w.arrivalEvent)
	host := w.random.IntN(w.Hosts)
	to := w.chooseWorker(now, host)
	w.inFlight[host][to]++
	w.pools[host].RequestStarted(now, w.workers[to].id)
	w.schedule(now.Add(oneWayDelay), func(at time.Time) { w.reachWorker(at, host, to, now) })
}

// enter lets a request reach a worker, which queues twice its slots and sheds beyond that.
func (w *simulator) reachWorker(now time.Time, host, to int, sent time.Time) {
	one := w.workers[to]
	w.accumulateLoad(one, now)
	begin := func(at time.Time) { w.startService(at, host, to, sent) }
	switch {
	case one.running < w.Slots:
		begin(now)
	case len(one.waiting) < 2*w.Slots:
		one.waiting = append(one.waiting, begin)
	default:
		w.schedule(now.Add(oneWayDelay), func(at time.Time) { w.endRequest(at, host, to, sent, balance.Rejected{}) })
	}
}

func (w *simulator) startService(now time.Time, host, to int, sent time.Time) {
	one := w.workers[to]
	one.running++
	took := time.Duration(w.random.ExpFloat64() * one.slowdown * float64(w.ServiceTime))
	w.schedule(now.Add(took), func(at time.Time) {
		w.accumulateLoad(one, at)
		one.running--
		if len(one.waiting) > 0 {
			next := one.waiting[0]
			one.waiting = one.waiting[1:]
			next(at)
		}
		w.schedule(at.Add(oneWayDelay), func(at time.Time) {
			w.endRequest(at, host, to, sent, balance.Responded{Latency: at.Sub(sent)})
		})
	})
}

func (w *simulator) endRequest(now time.Time, host, to int, sent time.Time, seen balance.Observation) {
	w.inFlight[host][to]--
	w.pools[host].RequestEnded(now, w.workers[to].id, seen)
	if sent.Before(w.warmupEnd) {
		return
	}
	w.endedCount++
	if _, refused := seen.(balance.Rejected); refused {
		w.shedCount++
		return
	}
	_ = w.latencies.RecordValue(now.Sub(sent).Microseconds())
}

// account adds the load of a worker up to now.
func (w *simulator) accumulateLoad(one *simulatedWorker, now time.Time) {
	from := one.accountedUntil
	if from.Before(w.warmupEnd) {
		from = w.warmupEnd
	}
	if now.After(from) {
		one.loadSeconds += float64(one.running+len(one.waiting)) / one.slowdown * now.Sub(from).Seconds()
	}
	one.accountedUntil = now
}

// report gives all hosts the load of all workers.
func (w *simulator) reportLoads(now time.Time) {
	w.schedule(now.Add(reportInterval), w.reportLoads)
	for i, one := range w.workers {
		load := balance.Load{Running: one.running, Waiting: len(one.waiting)}
		if i == 0 && w.Scenario == ScenarioSlowUnreported {
			load = balance.Load{}
		}
		w.reportedLoads[i] = load.Running + load.Waiting
		for _, pool := range w.pools {
			pool.RecordLoad(now, one.id, load)
		}
	}
}
