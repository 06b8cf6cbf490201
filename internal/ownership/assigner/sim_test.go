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
	partitions   = 8
	service      = fleet.ServiceName("stock")
	tickInterval = 10 * time.Millisecond
)

// keys has one key for each partition, and two more in partitions 0 and 1 that become hot.
var keys = []fleet.KeyHash{8, 9, 2, 3, 4, 5, 6, 7, 16, 17}

var hotKeys = []fleet.KeyHash{16, 17}

// event is an action at a simulated time. Events at the same time run in the order of their sequence numbers.
type event struct {
	at       time.Duration
	sequence int
	action   func()
}

// eventQueue is a heap of events.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].sequence < q[j].sequence)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// process is a server, daemon or router that can be paused, lost and restarted. It has its own clock.
type process struct {
	clockRate   float64
	clockOffset time.Duration
	pausedUntil time.Duration
	down        bool
	incarnation int
}

// clock returns the reading of the process's clock at a simulated time.
func (p *process) clock(now time.Duration) time.Duration {
	return p.clockOffset + time.Duration(float64(now)*p.clockRate)
}

// simServer is a server of the service, with the requests that it is executing.
type simServer struct {
	process
	id      fleet.UpstreamID
	guard   *lease.Guard
	active  map[lease.Ticket]fleet.KeyHash
	leaving bool
}

// daemon is a host's daemon with its assigner. assigner is nil if the assigner is an UnguardedAssigner.
type daemon struct {
	process
	id       fleet.HostID
	handler  anyAssigner
	assigner *assigner.Assigner
	// highestReportedEpoch is the highest epoch in any report that this incarnation of the daemon received.
	highestReportedEpoch fleet.Epoch
	// serverMessagesDroppedUntil and peerMessagesDroppedUntil are the times until which messages between this daemon and
	// the servers or other daemons are lost.
	serverMessagesDroppedUntil map[fleet.UpstreamID]time.Duration
	peerMessagesDroppedUntil   time.Duration
}

// sim simulates a group of servers, three daemons, a table and a network. All random choices come from random.
type sim struct {
	now              time.Duration
	queue            eventQueue
	events           int
	random           *rand.Rand
	omit             lease.Rule
	servers          []*simServer
	daemons          []*daemon
	removed          map[fleet.UpstreamID]bool
	requestedHotKeys []fleet.KeyHash
	placementShift   int
	reliable         bool // no message is lost, duplicated or late
	lossy            bool
	// State of the table.
	outage, writeRepliesLost bool
	rowVersion               assigner.Version
	row                      assigner.GroupRow
	placements               map[int]assigner.PlacementRow
	// Observations.
	published  map[fleet.PartitionID]fleet.Assignment
	epochUsers map[fleet.Epoch]string
	orders     []assigner.SendOrder
	// unownedSince holds the times since which keys have had no owner, and longestUnowned is the longest such time of
	// any key.
	unownedSince   map[fleet.KeyHash]time.Duration
	longestUnowned time.Duration
	failure        string
}

func newSim(seed uint64, serverCount int, omit lease.Rule) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(seed, 0)), omit: omit, removed: map[fleet.UpstreamID]bool{},
		placements: map[int]assigner.PlacementRow{}, published: map[fleet.PartitionID]fleet.Assignment{},
		epochUsers: map[fleet.Epoch]string{}, unownedSince: map[fleet.KeyHash]time.Duration{},
	}
	for i := range serverCount {
		server := &simServer{id: fleet.UpstreamID(rune('a' + i))}
		s.servers = append(s.servers, server)
		s.startServer(server)
	}
	for i := range 3 {
		d := &daemon{id: fleet.HostID(fmt.Sprintf("h%d", i)), serverMessagesDroppedUntil: map[fleet.UpstreamID]time.Duration{}}
		s.daemons = append(s.daemons, d)
		s.startDaemon(d)
	}
	s.schedule(tickInterval, s.startRequest)
	return s
}

// newProcess returns a process whose clock has a random offset and runs up to 1% fast or slow.
func (s *sim) newProcess(previousIncarnation int) process {
	return process{
		clockRate: 0.99 + 0.02*s.random.Float64(), clockOffset: time.Duration(s.random.Int64N(int64(time.Hour))),
		incarnation: previousIncarnation + 1,
	}
}

func (s *sim) startServer(server *simServer) {
	server.process = s.newProcess(server.incarnation)
	server.active = map[lease.Ticket]fleet.KeyHash{}
	server.guard = &lease.Guard{
		Service: service, Incarnation: fleet.Incarnation(fmt.Sprintf("%s-%d", server.id, server.incarnation)), Partitions: partitions,
		Leaving: server.leaving,
	}
}

func (s *sim) startDaemon(d *daemon) {
	d.process = s.newProcess(d.incarnation)
	d.highestReportedEpoch = 0
	d.assigner = &assigner.Assigner{
		Host: d.id, InstanceID: fmt.Sprint(d.incarnation), Service: service, Partitions: partitions,
		Placer: placer{s}, Timing: assigner.DefaultTiming(),
	}
	d.handler = d.assigner
	d.assigner.SetOmit(s.omit)
	var hosts []fleet.Host
	for i := range 3 {
		hosts = append(hosts, fleet.Host{ID: fleet.HostID(fmt.Sprintf("h%d", i)), Locality: fleet.Locality{Domain: fleet.FailureDomain(rune('x' + i))}})
	}
	d.assigner.SetHosts(hosts)
	s.setConfiguredServers(d)
	s.scheduleTicks(d, d.incarnation)
}

func (s *sim) setConfiguredServers(d *daemon) {
	var specs []assigner.Server
	for _, server := range s.servers {
		if !s.removed[server.id] {
			specs = append(specs, assigner.Server{ID: server.id, Weight: 1})
		}
	}
	d.assigner.SetServers(specs)
}

// placer places each partition by its number and the shift.
type placer struct{ *sim }

func (p placer) Place(placements []assigner.PartitionPlacement, servers []assigner.Server) []assigner.PartitionPlacement {
	for i := range placements {
		position := int(placements[i].Partition) + p.placementShift
		placements[i].Owner, placements[i].Standby = servers[position%len(servers)].ID, servers[(position+1)%len(servers)].ID
	}
	return placements
}

// schedule runs an action after a delay.
func (s *sim) schedule(delay time.Duration, run func()) {
	s.events++
	heap.Push(&s.queue, event{at: s.now + delay, sequence: s.events, action: run})
}

// advance runs the events up to a time, or up to the first failure.
func (s *sim) advance(until time.Duration) {
	for s.failure == "" && len(s.queue) > 0 && s.queue[0].at <= until {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.action()
	}
	s.now = max(s.now, until)
}

// runOn runs an action on a process after a delay: once the process is no longer paused, and not at all if it was lost
// or restarted in the meantime.
func (s *sim) runOn(p *process, delay time.Duration, run func()) {
	incarnation := p.incarnation
	s.schedule(delay, func() {
		switch {
		case p.down || p.incarnation != incarnation:
		case p.pausedUntil > s.now:
			s.runOn(p, p.pausedUntil-s.now+time.Microsecond, run)
		default:
			run()
		}
	})
}

// fail records the first failure, which ends the simulation.
func (s *sim) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("%v: ", s.now) + fmt.Sprintf(format, args...)
	}
}

func (s *sim) scheduleTicks(d *daemon, incarnation int) {
	if d.incarnation != incarnation {
		return
	}
	s.runOn(&d.process, tickInterval, func() {
		s.step(d, d.handler.Tick)
		if s.requestedHotKeys != nil && s.random.IntN(10) == 0 {
			s.step(d, func(now time.Time) []assigner.Action { return d.assigner.SetHotKeys(now, s.requestedHotKeys) })
		}
		s.scheduleTicks(d, incarnation)
	})
}

// step calls the assigner of a daemon with the daemon's clock and executes the returned actions.
func (s *sim) step(d *daemon, decide func(time.Time) []assigner.Action) {
	for _, action := range decide(time.Unix(0, 0).Add(d.clock(s.now))) {
		s.execute(d, action)
	}
}

// networkDelay returns the delay of a message and whether the message is lost.
func (s *sim) networkDelay() (time.Duration, bool) {
	delay := 3*time.Millisecond + time.Duration(s.random.Int64N(int64(2*time.Millisecond)))
	if s.reliable {
		return delay, false
	}
	limit := 100
	if s.lossy {
		limit = 4
	}
	switch s.random.IntN(limit) {
	case 0:
		return 0, true
	case 1: // As if the sender had paused between its decision and the sending.
		return time.Duration(s.random.Int64N(int64(3 * time.Second))), false
	default:
		return delay, false
	}
}

func (s *sim) execute(d *daemon, action assigner.Action) {
	switch action := action.(type) {
	case assigner.SendOrder:
		s.checkEpochUser(d, action.Order)
		s.sendOrder(d, action)
	case assigner.SendMessage:
		s.sendMessage(d, action)
	case assigner.ReadRow, assigner.WriteRow, assigner.ReadPlacement, assigner.WritePlacement:
		s.executeTableAction(d, action)
	case assigner.Publish:
		for _, change := range action.Assignments {
			if s.published[change.Partition].Fence.Less(change.Fence) {
				s.published[change.Partition] = change
			}
		}
	case assigner.ChangeRole:
	}
}

// sendOrder delivers an order, sometimes twice, and the report on it. The assigner is told after 160 ms if there is no
// report.
func (s *sim) sendOrder(d *daemon, sent assigner.SendOrder) {
	done := false
	s.orders = append(s.orders, sent)
	s.runOn(&d.process, 160*time.Millisecond, func() {
		if !done {
			done = true
			s.step(d, func(now time.Time) []assigner.Action { return d.assigner.HandleNoReport(now, sent) })
		}
	})
	server := s.serverByID(sent.Server)
	deliver := func(reply bool) {
		delay, lost := s.networkDelay()
		if lost || d.serverMessagesDroppedUntil[server.id] > s.now {
			return
		}
		s.runOn(&server.process, delay, func() {
			report := server.guard.Apply(server.clock(s.now), sent.Order)
			s.checkSingleOwner()
			back, lost := s.networkDelay()
			if lost || !reply || d.serverMessagesDroppedUntil[server.id] > s.now {
				return
			}
			s.runOn(&d.process, back, func() {
				if !done {
					done = true
					d.highestReportedEpoch = max(d.highestReportedEpoch, report.HighestEpoch)
					s.step(d, func(now time.Time) []assigner.Action { return d.assigner.HandleReport(now, sent, report) })
				}
			})
		})
	}
	deliver(true)
	if !s.reliable && s.random.IntN(20) == 0 {
		deliver(false)
	}
}

func (s *sim) serverByID(id fleet.UpstreamID) *simServer {
	return s.servers[int(id[0]-'a')]
}

func (s *sim) sendMessage(d *daemon, sent assigner.SendMessage) {
	to := s.daemons[int(sent.To[1]-'0')]
	for copies := 1 + s.random.IntN(20)/19; copies > 0; copies-- {
		if delay, lost := s.networkDelay(); !lost && d.peerMessagesDroppedUntil <= s.now && to.peerMessagesDroppedUntil <= s.now {
			s.runOn(&to.process, delay, func() {
				s.step(to, func(now time.Time) []assigner.Action { return to.assigner.HandleMessage(now, d.id, sent.Message) })
			})
		}
	}
}

// startRequest starts a caller's request at a random server and completes it within 100 ms.
func (s *sim) startRequest() {
	s.schedule(tickInterval, s.startRequest)
	s.measureUnownedTime()
	server, key := s.servers[s.random.IntN(len(s.servers))], keys[s.random.IntN(len(keys))]
	if server.down || server.pausedUntil > s.now {
		return
	}
	ticket, admitted := server.guard.Admit(server.clock(s.now), key)
	if !admitted {
		return
	}
	server.active[ticket] = key
	s.runOn(&server.process, time.Duration(s.random.Int64N(int64(100*time.Millisecond))), func() {
		server.guard.Done(server.clock(s.now), ticket)
		delete(server.active, ticket)
	})
}
