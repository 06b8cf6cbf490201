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

// Policy is a load balancing policy.
type Policy string

const (
	// PolicyTwoChoices is the policy of the router: the power of two choices.
	PolicyTwoChoices Policy = "two choices (product)"
	// PolicyRandom chooses uniformly at random.
	PolicyRandom Policy = "random"
	// PolicyRoundRobin chooses the upstreams in turn.
	PolicyRoundRobin Policy = "round robin"
	// PolicyLeastInFlight chooses the upstream with the fewest requests in flight from the same daemon.
	PolicyLeastInFlight Policy = "least in flight"
	// PolicyThreshold chooses the first upstream, from a random one on, whose last reported load is below the average of
	// the reports (Patel and Aggarwal, "Load Balancing on Open Networks: A Mobile Agent Approach").
	PolicyThreshold Policy = "threshold"
)

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{PolicyTwoChoices, PolicyRandom, PolicyRoundRobin, PolicyLeastInFlight, PolicyThreshold}
}

// Scenario is the state of the workers in a simulation.
type Scenario string

const (
	// ScenarioEven means that all workers are equally fast.
	ScenarioEven Scenario = "even"
	// ScenarioSlow means that one worker takes three times as long.
	ScenarioSlow Scenario = "one worker slow"
	// ScenarioSlowUnreported means that one worker takes three times as long and reports no load.
	ScenarioSlowUnreported Scenario = "one slow, reports none"
)

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{ScenarioEven, ScenarioSlow, ScenarioSlowUnreported}
}

// Simulation is a discrete-event simulation of daemons that choose among workers by outdated load reports. It runs the load
// balancing code of the router without I/O.
type Simulation struct {
	Workers, Slots, Hosts int
	// ServiceTime is the mean service time of a request, which is exponentially distributed.
	ServiceTime time.Duration
	// Utilization is the offered load divided by the capacity of the workers, if all are equally fast.
	Utilization float64
	Scenario    Scenario
}

// SimulationResult is the result of one run of a Simulation.
type SimulationResult struct {
	Median, P99 time.Duration
	// Imbalance is the time-averaged load of the busiest worker divided by the mean of all workers.
	Imbalance float64
	// Shed is the part of the requests that a worker rejected because its queue was full.
	Shed float64
}

const (
	simulatedWarmup   = 12 * time.Second
	simulatedDuration = 60 * time.Second
	// reportInterval is the interval of the load reports, and so the age that a report reaches.
	reportInterval = time.Second
	// oneWayDelay is the one-way network latency.
	oneWayDelay = 3 * time.Millisecond
)

// event is a function that runs at a simulated time.
type event struct {
	at  time.Time
	run func(now time.Time)
}

// eventQueue is a heap of events, ordered by time.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push appends an event. Called by container/heap only.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event. Called by container/heap only.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulatedWorker is a worker of a simulation. Its service times are multiplied by slowdown.
type simulatedWorker struct {
	id       fleet.UpstreamID
	slowdown float64
	running  int
	waiting  []func(now time.Time)
	// loadSeconds is the integral of running and waiting requests over time up to accountedUntil, divided by slowdown.
	loadSeconds    float64
	accountedUntil time.Time
}

// simulator is the state of one simulation run.
type simulator struct {
	Simulation
	policy  Policy
	random  *rand.Rand
	events  eventQueue
	workers []*simulatedWorker
	pools   []*balance.Pool
	// inFlight counts the requests in flight from each host to each worker.
	inFlight [][]int
	// lastChosen counts the round-robin choices of each host.
	lastChosen []int
	// reportedLoads is the load of each worker in its last report.
	reportedLoads []int
	warmupEnd     time.Time

	latencies             *hdrhistogram.Histogram
	shedCount, endedCount int
}

// Run simulates one policy and returns the result after the warm-up.
func (s Simulation) Run(policy Policy, seed uint64) SimulationResult {
	start := time.Unix(0, 0)
	sim := &simulator{
		Simulation: s, policy: policy, random: rand.New(rand.NewPCG(seed, 1)), latencies: hdrhistogram.New(1, 60_000_000, 3),
		lastChosen: make([]int, s.Hosts), reportedLoads: make([]int, s.Workers), warmupEnd: start.Add(simulatedWarmup),
	}
	candidates := make([]balance.Candidate, 0, s.Workers)
	for i := range s.Workers {
		worker := &simulatedWorker{id: fleet.UpstreamID(fmt.Sprint(i)), slowdown: 1, accountedUntil: start}
		if i == 0 && s.Scenario != ScenarioEven {
			worker.slowdown = 3
		}
		sim.workers = append(sim.workers, worker)
		candidates = append(candidates, balance.Candidate{ID: worker.id})
	}
	for host := range s.Hosts {
		pool := &balance.Pool{Random: rand.New(rand.NewPCG(seed, uint64(host)+2))}
		pool.SetCandidates(start, candidates)
		sim.pools = append(sim.pools, pool)
		sim.inFlight = append(sim.inFlight, make([]int, s.Workers))
	}
	sim.schedule(start, sim.arrivalEvent)
	sim.schedule(start, sim.reportLoads)
	end := sim.warmupEnd.Add(simulatedDuration)
	for sim.events[0].at.Before(end) {
		next := heap.Pop(&sim.events).(event)
		next.run(next.at)
	}
	return sim.result(end)
}

func (sim *simulator) result(end time.Time) SimulationResult {
	highest, total := 0.0, 0.0
	for _, worker := range sim.workers {
		sim.accumulateLoad(worker, end)
		highest, total = max(highest, worker.loadSeconds), total+worker.loadSeconds
	}
	return SimulationResult{
		Median: Quantile(sim.latencies, 50), P99: Quantile(sim.latencies, 99),
		Imbalance: highest * float64(len(sim.workers)) / total, Shed: float64(sim.shedCount) / float64(sim.endedCount),
	}
}

// schedule adds an event.
func (sim *simulator) schedule(at time.Time, run func(time.Time)) {
	heap.Push(&sim.events, event{at: at, run: run})
}

// arrivalEvent starts one request at a random host and schedules the next arrival.
func (sim *simulator) arrivalEvent(now time.Time) {
	rate := sim.Utilization * float64(sim.Workers*sim.Slots) / sim.ServiceTime.Seconds()
	sim.schedule(now.Add(time.Duration(sim.random.ExpFloat64()/rate*float64(time.Second))), sim.arrivalEvent)
	host := sim.random.IntN(sim.Hosts)
	target := sim.chooseWorker(now, host)
	sim.inFlight[host][target]++
	sim.pools[host].RequestStarted(now, sim.workers[target].id)
	sim.schedule(now.Add(oneWayDelay), func(at time.Time) { sim.reachWorker(at, host, target, now) })
}

// reachWorker handles the arrival of a request at a worker. A worker queues twice as many requests as it has slots, and rejects
// further ones.
func (sim *simulator) reachWorker(now time.Time, host, target int, sent time.Time) {
	worker := sim.workers[target]
	sim.accumulateLoad(worker, now)
	start := func(at time.Time) { sim.startService(at, host, target, sent) }
	switch {
	case worker.running < sim.Slots:
		start(now)
	case len(worker.waiting) < 2*sim.Slots:
		worker.waiting = append(worker.waiting, start)
	default:
		sim.schedule(now.Add(oneWayDelay), func(at time.Time) { sim.endRequest(at, host, target, sent, balance.Rejected{}) })
	}
}

// startService occupies a slot of the worker, and schedules the end of the service and the response.
func (sim *simulator) startService(now time.Time, host, target int, sent time.Time) {
	worker := sim.workers[target]
	worker.running++
	serviceTime := time.Duration(sim.random.ExpFloat64() * worker.slowdown * float64(sim.ServiceTime))
	sim.schedule(now.Add(serviceTime), func(at time.Time) {
		sim.accumulateLoad(worker, at)
		worker.running--
		if len(worker.waiting) > 0 {
			next := worker.waiting[0]
			worker.waiting = worker.waiting[1:]
			next(at)
		}
		sim.schedule(at.Add(oneWayDelay), func(at time.Time) {
			sim.endRequest(at, host, target, sent, balance.Responded{Latency: at.Sub(sent)})
		})
	})
}

// endRequest handles the arrival of a response at the host.
func (sim *simulator) endRequest(now time.Time, host, target int, sent time.Time, observation balance.Observation) {
	sim.inFlight[host][target]--
	sim.pools[host].RequestEnded(now, sim.workers[target].id, observation)
	if sent.Before(sim.warmupEnd) {
		return
	}
	sim.endedCount++
	if _, rejected := observation.(balance.Rejected); rejected {
		sim.shedCount++
		return
	}
	_ = sim.latencies.RecordValue(now.Sub(sent).Microseconds())
}

// accumulateLoad integrates the load of a worker up to now.
func (sim *simulator) accumulateLoad(worker *simulatedWorker, now time.Time) {
	from := worker.accountedUntil
	if from.Before(sim.warmupEnd) {
		from = sim.warmupEnd
	}
	if now.After(from) {
		worker.loadSeconds += float64(worker.running+len(worker.waiting)) / worker.slowdown * now.Sub(from).Seconds()
	}
	worker.accountedUntil = now
}

// reportLoads reports the load of all workers to all hosts and schedules the next report.
func (sim *simulator) reportLoads(now time.Time) {
	sim.schedule(now.Add(reportInterval), sim.reportLoads)
	for i, worker := range sim.workers {
		load := balance.Load{Running: worker.running, Waiting: len(worker.waiting)}
		if i == 0 && sim.Scenario == ScenarioSlowUnreported {
			load = balance.Load{}
		}
		sim.reportedLoads[i] = load.Running + load.Waiting
		for _, pool := range sim.pools {
			pool.RecordLoad(now, worker.id, load)
		}
	}
}
