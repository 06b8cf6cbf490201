package admission_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/routing/admission"
)

// The simulated load is that of the deployment "tiles" in docs/hard-load.md: 87 daemons in front of 137 servers with 3 slots and
// a queue of 12, of which one gets more than it can run ("hot range"). The other 136 do not influence it and are left out.
const (
	simDaemons, simServers, simSlots, simQueue = 87, 137, 3, 12

	simQueueLimit = 24 // of a daemon for one server, as in platform/configuration.go

	simOneWay = 3 * time.Millisecond
	simTick   = 20 * time.Millisecond // router.redispatchInterval
)

// simKind is one kind of requests, with its rate at one server on an ordinary day.
type simKind struct {
	name                   fleet.TenantName
	priority               int
	rate                   float64
	work, target, deadline time.Duration
}

var simKinds = []simKind{
	{"tiles", 0, 1085.0 / simServers, 110 * time.Millisecond, 400 * time.Millisecond, time.Second},
	{"orders", 1, 594.0 / simServers, 140 * time.Millisecond, 400 * time.Millisecond, 1200 * time.Millisecond},
}

// simCall is one request of a caller, which repeats it once. An abusive caller repeats it at once, up to 50 times, at the same
// daemon.
type simCall struct {
	kind             *simKind
	abusive          bool
	started, arrived time.Time
	tries, sends     int
	daemon           *simDaemon
	request          *admission.Request
}

// simCounts are the results of the calls of one kind.
type simCounts struct{ calls, inTarget, late, refusedTwice, longWaits, rejected, unsentAtEnd int }

// simPolicy says whether the controllers use priorities, and whether the server states its load. With alone, there is one
// daemon, which never has more requests at the server than that has slots, so that requests wait in its own queue.
type simPolicy struct{ prioritized, stated, alone bool }

type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simDaemon struct {
	controller *admission.Controller
	waiting    map[*admission.Request]*simCall
	ticking    bool
}

// simulation runs the decisions of the daemons against the hot server in virtual time.
type simulation struct {
	policy  simPolicy
	abusers float64 // share of the callers
	counts  map[string]*simCounts

	random  *rand.Rand
	now     time.Time
	events  simEvents
	seq     int
	daemons []*simDaemon
	running int
	queue   []func() // starts the requests that wait at the server
	slow    bool
}

func newSimulation(seed uint64, policy simPolicy) *simulation {
	s := &simulation{policy: policy, counts: make(map[string]*simCounts), now: time.Unix(1000, 0)}
	s.random = rand.New(rand.NewPCG(seed, 1))
	weights := map[fleet.TenantName]int{"tiles": 4, "orders": 1}
	daemons := simDaemons
	if policy.alone {
		daemons = 1
	}
	for range daemons {
		s.daemons = append(s.daemons, &simDaemon{
			waiting: make(map[*admission.Request]*simCall),
			controller: &admission.Controller{
				QueueLimit: simQueueLimit, Prioritized: policy.prioritized, HoldFull: policy.prioritized, Hosts: func() int { return daemons }, Slots: simSlots,
				NewLimit: func(fleet.UpstreamID) admission.Limit {
					if policy.alone {
						return admission.StaticLimit{Slots: simSlots, Hosts: 1}
					}
					return &admission.AdaptiveLimit{Ceiling: simSlots, FairShare: float64(simSlots) / simDaemons}
				},
				ChooseUpstream: func(_ time.Time, _ *admission.Request, free func(fleet.UpstreamID) bool) (fleet.UpstreamID, bool) {
					return "hot", free("hot")
				},
				TenantWeight: func(name fleet.TenantName) int { return weights[name] },
			},
		})
	}
	return s
}

func (s *simulation) after(delay time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(max(0, delay)), s.seq, run})
}

// run simulates 10 s, of which the load is raised from 2 s to 7 s to a multiple of the server's capacity.
func (s *simulation) run(overload float64) {
	start := s.now
	// The server shares its host: it is three times slower for a fifth of the time, so that requests take 1.4 times as long on
	// average.
	raised := overload * simSlots / (1.4 * (simKinds[0].rate*simKinds[0].work.Seconds() + simKinds[1].rate*simKinds[1].work.Seconds()))
	var host func()
	host = func() {
		s.slow = s.random.Float64() < 0.2
		if s.now.Sub(start) < 10*time.Second {
			s.after(400*time.Millisecond, host)
		}
	}
	host()
	for i := range simKinds {
		kind := &simKinds[i]
		var next func()
		next = func() {
			since, rate := s.now.Sub(start), kind.rate
			if since >= 10*time.Second {
				return
			}
			if since >= 2*time.Second && since < 7*time.Second {
				rate *= raised
			}
			s.call(&simCall{kind: kind, started: s.now, abusive: s.random.Float64() < s.abusers})
			s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), next)
		}
		next()
	}
	for len(s.events) > 0 {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.run()
	}
}

func (s *simulation) countsOf(c *simCall) *simCounts {
	name := string(c.kind.name)
	if c.abusive {
		name = "abusive " + name
	}
	if s.counts[name] == nil {
		s.counts[name] = &simCounts{}
	}
	return s.counts[name]
}

// call lets a caller send its request to a daemon.
func (s *simulation) call(c *simCall) {
	if c.tries++; c.tries == 1 {
		s.countsOf(c).calls++
	}
	if c.daemon == nil || !c.abusive {
		c.daemon = s.daemons[s.random.IntN(len(s.daemons))]
	}
	c.arrived, c.sends = s.now, 0
	c.request = &admission.Request{
		Tenant: c.kind.name, Arrived: s.now, Deadline: c.started.Add(c.kind.deadline), Priority: c.kind.priority,
		Target: s.now.Add(c.kind.target),
	}
	s.submit(c)
}

func (s *simulation) submit(c *simCall) {
	d, request := c.daemon, c.request
	decision, dequeued := d.controller.Submit(s.now, request)
	s.deliver(d, dequeued)
	switch decision := decision.(type) {
	case admission.Admitted:
		s.send(c)
	case admission.Refused:
		s.refuse(c, decision.RetryAfter)
	case admission.Queued:
		d.waiting[request] = c
		s.after(d.controller.LatestStart(request.Deadline).Sub(s.now), func() {
			if d.waiting[request] == c && d.controller.Cancel(s.now, request) {
				delete(d.waiting, request)
				s.countsOf(c).unsentAtEnd++
				s.refuse(c, d.controller.DeadlineRefusal(s.now, request).RetryAfter)
			}
		})
		s.tick(d)
	}
}

// tick dispatches the queue of a daemon regularly while requests wait.
func (s *simulation) tick(d *simDaemon) {
	if d.ticking {
		return
	}
	d.ticking = true
	s.after(simTick, func() {
		d.ticking = false
		s.deliver(d, d.controller.Dispatch(s.now))
		if len(d.waiting) > 0 {
			s.tick(d)
		}
	})
}

func (s *simulation) deliver(d *simDaemon, dequeued []admission.Dequeued) {
	for _, entry := range dequeued {
		c := d.waiting[entry.Request]
		delete(d.waiting, entry.Request)
		switch decision := entry.Decision.(type) {
		case admission.Admitted:
			s.send(c)
		case admission.Refused:
			s.refuse(c, decision.RetryAfter)
		}
	}
}

// send lets a daemon send a request to the server.
func (s *simulation) send(c *simCall) {
	if c.sends++; c.sends == 1 {
		if s.now.Sub(c.arrived) > c.kind.target/2 {
			s.countsOf(c).longWaits++
		}
	}
	sent := s.now
	s.after(simOneWay, func() {
		switch {
		case s.running < simSlots:
			s.start(c, sent)
		case len(s.queue) < simQueue:
			s.queue = append(s.queue, func() { s.start(c, sent) })
		default:
			s.countsOf(c).rejected++
			s.after(simOneWay, func() { s.rejected(c) })
		}
	})
}

// start runs a request at the server.
func (s *simulation) start(c *simCall, sent time.Time) {
	s.running++
	work := time.Duration(float64(c.kind.work) * (0.7 + 0.6*s.random.Float64()))
	if s.slow {
		work *= 3
	}
	s.after(work, func() {
		s.running--
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			next()
		}
		load := admission.ServerLoad{Running: s.running, Waiting: len(s.queue), Slots: simSlots}
		s.after(simOneWay, func() { s.respond(c, sent, load) })
	})
}

func (s *simulation) respond(c *simCall, sent time.Time, load admission.ServerLoad) {
	if s.policy.stated {
		c.daemon.controller.RecordLoad(s.now, load)
	}
	s.deliver(c.daemon, c.daemon.controller.Release(s.now, "hot", admission.Served{Latency: s.now.Sub(sent)}))
	if took := s.now.Sub(c.started); took <= c.kind.target {
		s.countsOf(c).inTarget++
	} else if took <= c.kind.deadline {
		s.countsOf(c).late++
	}
}

// rejected handles a rejection by the server as the router does.
func (s *simulation) rejected(c *simCall) {
	if s.policy.stated {
		c.daemon.controller.RecordLoad(s.now, admission.ServerLoad{Running: simSlots, Waiting: simQueue, Slots: simSlots})
	}
	s.deliver(c.daemon, c.daemon.controller.Release(s.now, "hot", admission.Shed{}))
	if refusal, refused := c.daemon.controller.AfterRejection(s.now, c.request); refused {
		s.refuse(c, refusal.RetryAfter)
		return
	}
	s.refuse(c, 100*time.Millisecond) // the platform's default; a daemon among so many does not repeat it
}

// refuse lets a daemon refuse a request. The caller comes back once, at the time that it is told, but no later than after a
// third of the time that it has left.
func (s *simulation) refuse(c *simCall, retryAfter time.Duration) {
	left := c.started.Add(c.kind.deadline).Sub(s.now)
	switch {
	case c.abusive && c.tries < 50 && left > 0:
		s.after(2*simOneWay, func() { s.call(c) })
	case c.tries > 1 || left <= 0:
		s.countsOf(c).refusedTwice++
	default:
		s.after(min(retryAfter, left/3)+2*simOneWay, func() { s.call(c) })
	}
}
