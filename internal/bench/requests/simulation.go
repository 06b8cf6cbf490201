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
	PolicyProduct Policy = "two choices (product)"
	// PolicyRandom chooses evenly at random.
	PolicyRandom Policy = "random"
	// PolicyRoundRobin takes turns.
	PolicyRoundRobin Policy = "round robin"
	// PolicyLeast chooses the upstream with the fewest requests of the own daemon in flight.
	PolicyLeast Policy = "least in flight"
	// PolicyThreshold chooses the first upstream, from a random one on, whose last reported load is below the average of
	// the reports (Patel and Aggarwal, "Load Balancing on Open Networks: A Mobile Agent Approach").
	PolicyThreshold Policy = "threshold"
)

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{PolicyProduct, PolicyRandom, PolicyRoundRobin, PolicyLeast, PolicyThreshold}
}

// Scenario is what is wrong with the workers of a simulation.
type Scenario string

const (
	// ScenarioEven means that all workers are alike.
	ScenarioEven Scenario = "even"
	// ScenarioSlow means that one worker takes three times as long.
	ScenarioSlow Scenario = "one worker slow"
	// ScenarioLiar means that one worker takes three times as long and reports no load.
	ScenarioLiar Scenario = "one slow, reports none"
)

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{ScenarioEven, ScenarioSlow, ScenarioLiar}
}

// Simulation is a discrete simulation of daemons that choose among workers by stale reports. It uses the product's
// decisions and no I/O.
type Simulation struct {
	Workers, Slots, Hosts int
	// Work is the mean of the exponential time of a request.
	Work time.Duration
	// Use is the offered load as a part of the capacity of even workers.
	Use      float64
	Scenario Scenario
}

// Simulated is the result of a simulation.
type Simulated struct {
	Median, P99 time.Duration
	// Imbalance is the time-averaged load of the busiest worker over the mean.
	Imbalance float64
	// Shed is the part of the requests that found a full worker.
	Shed float64
}

const (
	simulatedWarmup = 12 * time.Second
	simulatedTime   = 60 * time.Second
	// reportEvery is the age that reports reach.
	reportEvery = time.Second
	// link is the time of a message in one direction.
	link = 3 * time.Millisecond
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
type fakeWorker struct {
	id      fleet.UpstreamID
	factor  float64
	running int
	waiting []func(now time.Time)
	// load integrates running and waiting requests over time, up to since.
	load  float64
	since time.Time
}

// world is the state of one simulation.
type world struct {
	Simulation
	policy  Policy
	random  *rand.Rand
	events  eventQueue
	workers []*fakeWorker
	pools   []*balance.Pool
	// own counts the requests of each host in flight at each worker.
	own     [][]int
	turn    []int
	reports []int
	counted time.Time

	answered   *hdrhistogram.Histogram
	shed, sent int
}

// Run simulates one policy.
func (s Simulation) Run(policy Policy, seed uint64) Simulated {
	start := time.Unix(0, 0)
	w := &world{
		Simulation: s, policy: policy, random: rand.New(rand.NewPCG(seed, 1)), answered: hdrhistogram.New(1, 60_000_000, 3),
		turn: make([]int, s.Hosts), reports: make([]int, s.Workers), counted: start.Add(simulatedWarmup),
	}
	candidates := make([]balance.Candidate, 0, s.Workers)
	for i := range s.Workers {
		one := &fakeWorker{id: fleet.UpstreamID(fmt.Sprint(i)), factor: 1, since: start}
		if i == 0 && s.Scenario != ScenarioEven {
			one.factor = 3
		}
		w.workers = append(w.workers, one)
		candidates = append(candidates, balance.Candidate{ID: one.id})
	}
	for host := range s.Hosts {
		pool := &balance.Pool{Random: rand.New(rand.NewPCG(seed, uint64(host)+2))}
		pool.SetCandidates(start, candidates)
		w.pools = append(w.pools, pool)
		w.own = append(w.own, make([]int, s.Workers))
	}
	w.at(start, w.arrive)
	w.at(start, w.report)
	end := w.counted.Add(simulatedTime)
	for w.events[0].at.Before(end) {
		next := heap.Pop(&w.events).(event)
		next.run(next.at)
	}
	return w.result(end)
}

func (w *world) result(end time.Time) Simulated {
	highest, total := 0.0, 0.0
	for _, one := range w.workers {
		w.account(one, end)
		highest, total = max(highest, one.load), total+one.load
	}
	return Simulated{
		Median: Quantile(w.answered, 50), P99: Quantile(w.answered, 99),
		Imbalance: highest * float64(len(w.workers)) / total, Shed: float64(w.shed) / float64(w.sent),
	}
}

func (w *world) at(at time.Time, run func(time.Time)) {
	heap.Push(&w.events, event{at: at, run: run})
}

// arrive lets one request arrive at a random host and plans the next.
func (w *world) arrive(now time.Time) {
	rate := w.Use * float64(w.Workers*w.Slots) / w.Work.Seconds()
	w.at(now.Add(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second))), w.arrive)
	host := w.random.IntN(w.Hosts)
	to := w.choose(now, host)
	w.own[host][to]++
	w.pools[host].RequestStarted(now, w.workers[to].id)
	w.at(now.Add(link), func(at time.Time) { w.enter(at, host, to, now) })
}

// enter lets a request reach a worker, which queues twice its slots and sheds beyond that.
func (w *world) enter(now time.Time, host, to int, sent time.Time) {
	one := w.workers[to]
	w.account(one, now)
	begin := func(at time.Time) { w.begin(at, host, to, sent) }
	switch {
	case one.running < w.Slots:
		begin(now)
	case len(one.waiting) < 2*w.Slots:
		one.waiting = append(one.waiting, begin)
	default:
		w.at(now.Add(link), func(at time.Time) { w.answer(at, host, to, sent, balance.Rejected{}) })
	}
}

func (w *world) begin(now time.Time, host, to int, sent time.Time) {
	one := w.workers[to]
	one.running++
	took := time.Duration(w.random.ExpFloat64() * one.factor * float64(w.Work))
	w.at(now.Add(took), func(at time.Time) {
		w.account(one, at)
		one.running--
		if len(one.waiting) > 0 {
			next := one.waiting[0]
			one.waiting = one.waiting[1:]
			next(at)
		}
		w.at(at.Add(link), func(at time.Time) {
			w.answer(at, host, to, sent, balance.Responded{Latency: at.Sub(sent)})
		})
	})
}

func (w *world) answer(now time.Time, host, to int, sent time.Time, seen balance.Observation) {
	w.own[host][to]--
	w.pools[host].RequestEnded(now, w.workers[to].id, seen)
	if sent.Before(w.counted) {
		return
	}
	w.sent++
	if _, refused := seen.(balance.Rejected); refused {
		w.shed++
		return
	}
	_ = w.answered.RecordValue(now.Sub(sent).Microseconds())
}

// account adds the load of a worker up to now.
func (w *world) account(one *fakeWorker, now time.Time) {
	from := one.since
	if from.Before(w.counted) {
		from = w.counted
	}
	if now.After(from) {
		one.load += float64(one.running+len(one.waiting)) / one.factor * now.Sub(from).Seconds()
	}
	one.since = now
}

// report gives all hosts the load of all workers.
func (w *world) report(now time.Time) {
	w.at(now.Add(reportEvery), w.report)
	for i, one := range w.workers {
		load := balance.Load{Running: one.running, Waiting: len(one.waiting)}
		if i == 0 && w.Scenario == ScenarioLiar {
			load = balance.Load{}
		}
		w.reports[i] = load.Running + load.Waiting
		for _, pool := range w.pools {
			pool.RecordLoad(now, one.id, load)
		}
	}
}
