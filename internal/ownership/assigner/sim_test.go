package assigner_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
)

const (
	partitions = 8
	service    = fleet.ServiceName("stock")
	tick       = 10 * time.Millisecond
)

// keys has one key for each partition and two that become hot, in partitions 0 and 1.
var keys = []fleet.KeyHash{8, 9, 2, 3, 4, 5, 6, 7, 16, 17}

var hotKeys = []fleet.KeyHash{16, 17}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// process is anything that can be paused, lost and started again, and has a clock of its own.
type process struct {
	rate        float64
	offset      time.Duration
	pausedUntil time.Duration
	down        bool
	life        int
}

func (p *process) clock(now time.Duration) time.Duration {
	return p.offset + time.Duration(float64(now)*p.rate)
}

type worker struct {
	process
	id      fleet.UpstreamID
	guard   *lease.Guard
	active  map[lease.Ticket]fleet.KeyHash
	leaving bool
}

type daemon struct {
	process
	id       fleet.HostID
	decider  decider
	assigner *assigner.Assigner
	// superseded is the highest epoch that a report has shown to this run of the daemon.
	superseded fleet.Epoch
	// cutServers and cutPeers say until when messages to and from servers and other daemons are lost.
	cutServers map[fleet.UpstreamID]time.Duration
	cutPeers   time.Duration
}

// sim is a group of servers, three daemons, a table and a network on simulated time. All its choices come from random.
type sim struct {
	now     time.Duration
	queue   queue
	events  int
	random  *rand.Rand
	omit    lease.Rule
	workers []*worker
	daemons []*daemon
	removed map[fleet.UpstreamID]bool
	hot     []fleet.KeyHash
	shift   int
	calm    bool // no message is lost, repeated or late
	lossy   bool
	// table
	outage, answersLost bool
	rowVersion          assigner.Version
	row                 assigner.GroupRow
	placements          map[int]assigner.PlacementRow
	// observations
	published map[fleet.PartitionID]fleet.Assignment
	epochs    map[fleet.Epoch]string
	orders    []assigner.SendOrder
	// unowned says since when a key has had no owner, and longest is the longest such time of any key.
	unowned map[fleet.KeyHash]time.Duration
	longest time.Duration
	failure string
}

func newSim(seed uint64, servers int, omit lease.Rule) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(seed, 0)), omit: omit, removed: map[fleet.UpstreamID]bool{},
		placements: map[int]assigner.PlacementRow{}, published: map[fleet.PartitionID]fleet.Assignment{},
		epochs: map[fleet.Epoch]string{}, unowned: map[fleet.KeyHash]time.Duration{},
	}
	for i := range servers {
		w := &worker{id: fleet.UpstreamID(rune('a' + i))}
		s.workers = append(s.workers, w)
		s.startWorker(w)
	}
	for i := range 3 {
		d := &daemon{id: fleet.HostID(fmt.Sprintf("h%d", i)), cutServers: map[fleet.UpstreamID]time.Duration{}}
		s.daemons = append(s.daemons, d)
		s.startDaemon(d)
	}
	s.after(tick, s.request)
	return s
}

func (s *sim) newProcess(life int) process {
	return process{
		rate: 0.99 + 0.02*s.random.Float64(), offset: time.Duration(s.random.Int64N(int64(time.Hour))), life: life + 1,
	}
}

func (s *sim) startWorker(w *worker) {
	w.process = s.newProcess(w.life)
	w.active = map[lease.Ticket]fleet.KeyHash{}
	w.guard = &lease.Guard{
		Service: service, Incarnation: fleet.Incarnation(fmt.Sprintf("%s-%d", w.id, w.life)), Partitions: partitions,
		Leaving: w.leaving,
	}
}

func (s *sim) startDaemon(d *daemon) {
	d.process = s.newProcess(d.life)
	d.superseded = 0
	d.assigner = &assigner.Assigner{
		Host: d.id, InstanceID: fmt.Sprint(d.life), Service: service, Partitions: partitions, Placer: placer{s}, Timing: assigner.DefaultTiming(),
	}
	d.decider = d.assigner
	d.assigner.SetOmit(s.omit)
	var hosts []fleet.Host
	for i := range 3 {
		hosts = append(hosts, fleet.Host{ID: fleet.HostID(fmt.Sprintf("h%d", i)), Locality: fleet.Locality{Domain: fleet.FailureDomain(rune('x' + i))}})
	}
	d.assigner.SetHosts(hosts)
	s.configure(d)
	s.ticks(d, d.life)
}

func (s *sim) configure(d *daemon) {
	var specs []assigner.Server
	for _, w := range s.workers {
		if !s.removed[w.id] {
			specs = append(specs, assigner.Server{ID: w.id, Weight: 1})
		}
	}
	d.assigner.SetServers(specs)
}

// placer wants each partition at a server that depends on its number and the shift.
type placer struct{ *sim }

func (p placer) Place(places []assigner.PartitionPlacement, servers []assigner.Server) []assigner.PartitionPlacement {
	for i := range places {
		at := int(places[i].Partition) + p.shift
		places[i].Owner, places[i].Standby = servers[at%len(servers)].ID, servers[(at+1)%len(servers)].ID
	}
	return places
}

func (s *sim) after(delay time.Duration, run func()) {
	s.events++
	heap.Push(&s.queue, event{at: s.now + delay, order: s.events, run: run})
}

func (s *sim) run(until time.Duration) {
	for s.failure == "" && len(s.queue) > 0 && s.queue[0].at <= until {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
	s.now = max(s.now, until)
}

// at runs something on a process: once it is no longer paused, and not at all if it was lost or started again.
func (s *sim) at(p *process, delay time.Duration, run func()) {
	life := p.life
	s.after(delay, func() {
		switch {
		case p.down || p.life != life:
		case p.pausedUntil > s.now:
			s.at(p, p.pausedUntil-s.now+time.Microsecond, run)
		default:
			run()
		}
	})
}

func (s *sim) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("%v: ", s.now) + fmt.Sprintf(format, args...)
	}
}

func (s *sim) ticks(d *daemon, life int) {
	if d.life != life {
		return
	}
	s.at(&d.process, tick, func() {
		s.step(d, d.decider.Tick)
		if s.hot != nil && s.random.IntN(10) == 0 {
			s.step(d, func(now time.Time) []assigner.Action { return d.assigner.SetHotKeys(now, s.hot) })
		}
		s.ticks(d, life)
	})
}

func (s *sim) step(d *daemon, decide func(time.Time) []assigner.Action) {
	for _, action := range decide(time.Unix(0, 0).Add(d.clock(s.now))) {
		s.execute(d, action)
	}
}

// transit returns the delay of a message, and whether it is lost.
func (s *sim) transit() (time.Duration, bool) {
	delay := 3*time.Millisecond + time.Duration(s.random.Int64N(int64(2*time.Millisecond)))
	if s.calm {
		return delay, false
	}
	limit := 100
	if s.lossy {
		limit = 4
	}
	switch s.random.IntN(limit) {
	case 0:
		return 0, true
	case 1: // As after a pause of the sender between its decision and the sending.
		return time.Duration(s.random.Int64N(int64(3 * time.Second))), false
	default:
		return delay, false
	}
}

func (s *sim) execute(d *daemon, action assigner.Action) {
	switch action := action.(type) {
	case assigner.SendOrder:
		s.checkSender(d, action.Order)
		s.sendOrder(d, action)
	case assigner.SendMessage:
		s.sendMessage(d, action)
	case assigner.ReadRow, assigner.WriteRow, assigner.ReadPlacement, assigner.WritePlacement:
		s.useTable(d, action)
	case assigner.Publish:
		for _, change := range action.Assignments {
			if s.published[change.Partition].Fence.Less(change.Fence) {
				s.published[change.Partition] = change
			}
		}
	case assigner.ChangeRole:
	}
}

func (s *sim) sendOrder(d *daemon, sent assigner.SendOrder) {
	answered := false
	s.orders = append(s.orders, sent)
	s.at(&d.process, 160*time.Millisecond, func() {
		if !answered {
			answered = true
			s.step(d, func(now time.Time) []assigner.Action { return d.assigner.Unanswered(now, sent) })
		}
	})
	w := s.worker(sent.Server)
	deliver := func(reply bool) {
		delay, lost := s.transit()
		if lost || d.cutServers[w.id] > s.now {
			return
		}
		s.at(&w.process, delay, func() {
			report := w.guard.Apply(w.clock(s.now), sent.Order)
			s.checkOwners()
			back, lost := s.transit()
			if lost || !reply || d.cutServers[w.id] > s.now {
				return
			}
			s.at(&d.process, back, func() {
				if !answered {
					answered = true
					d.superseded = max(d.superseded, report.HighestEpoch)
					s.step(d, func(now time.Time) []assigner.Action { return d.assigner.Reported(now, sent, report) })
				}
			})
		})
	}
	deliver(true)
	if !s.calm && s.random.IntN(20) == 0 {
		deliver(false)
	}
}

func (s *sim) worker(id fleet.UpstreamID) *worker {
	return s.workers[int(id[0]-'a')]
}

func (s *sim) sendMessage(d *daemon, sent assigner.SendMessage) {
	to := s.daemons[int(sent.To[1]-'0')]
	for copies := 1 + s.random.IntN(20)/19; copies > 0; copies-- {
		if delay, lost := s.transit(); !lost && d.cutPeers <= s.now && to.cutPeers <= s.now {
			s.at(&to.process, delay, func() {
				s.step(to, func(now time.Time) []assigner.Action { return to.assigner.Received(now, d.id, sent.Message) })
			})
		}
	}
}

// request starts one request of a caller at a random server and ends it some time later.
func (s *sim) request() {
	s.after(tick, s.request)
	s.measure()
	w, key := s.workers[s.random.IntN(len(s.workers))], keys[s.random.IntN(len(keys))]
	if w.down || w.pausedUntil > s.now {
		return
	}
	ticket, admitted := w.guard.Admit(w.clock(s.now), key)
	if !admitted {
		return
	}
	w.active[ticket] = key
	s.at(&w.process, time.Duration(s.random.Int64N(int64(100*time.Millisecond))), func() {
		w.guard.Done(w.clock(s.now), ticket)
		delete(w.active, ticket)
	})
}
