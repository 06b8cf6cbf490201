package assigner_test

import (
	"testing"
	"time"

	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
)

const (
	second = time.Second
	ms     = time.Millisecond
)

// scenario is one fault, or several in one order, with the longest time without an owner that the page allows.
type scenario struct {
	name    string
	servers int
	// rule is the one whose omission the scenario shows, if any.
	rule   lease.Rule
	bound  time.Duration
	length time.Duration
	play   func(s *sim)
}

func (s *sim) daemon(role assigner.Role) *daemon {
	for _, d := range s.daemons {
		if d.assigner.Role() == role {
			return d
		}
	}
	return s.daemons[0]
}

// isolate cuts a daemon from its peers and from the servers of the mask.
func (s *sim) isolate(d *daemon, mask int, length time.Duration) {
	d.cutPeers = s.now + length
	s.cut(d, mask, length)
}

var scenarios = []scenario{
	{"frozen server returns", 5, "", second, 3 * second, func(s *sim) {
		s.workers[0].pausedUntil = s.now + 2*second
	}},
	{"late duplicates of all grants after a release", 5, "", second, 3 * second, func(s *sim) {
		s.shift++
		s.daemon(assigner.RoleActing).assigner.SetLoads(nil)
		s.after(500*ms, func() {
			for _, sent := range s.orders {
				w := s.worker(sent.Server)
				w.guard.Apply(w.clock(s.now), sent.Order)
				s.checkOwners()
			}
		})
	}},
	{"restart loses memory", 5, "", second, 3 * second, func(s *sim) { s.startWorker(s.workers[0]) }},
	{"owner lost", 5, "", second, 3 * second, func(s *sim) { s.workers[0].down = true }},
	{"assigner lost", 5, "", 0, 3 * second, func(s *sim) { s.daemon(assigner.RoleActing).down = true }},
	{"assigner lost, then its deputy", 5, "", 0, 4 * second, func(s *sim) {
		s.daemon(assigner.RoleActing).down = true
		s.after(1500*ms, func() { s.daemon(assigner.RoleActing).down = true })
	}},
	{"assigner pauses and returns", 5, "", 0, 3 * second, func(s *sim) {
		s.daemon(assigner.RoleActing).pausedUntil = s.now + second
	}},
	{"answers of writes lost during takeover", 5, "", 0, 6 * second, func(s *sim) {
		s.answersLost = true
		s.daemon(assigner.RoleActing).down = true
		s.after(2*second, func() { s.answersLost = false })
	}},
	{"table outage of 10 minutes with a server lost", 5, "", second, 606 * second, func(s *sim) {
		s.outage = true
		s.after(300*second, func() { s.workers[0].down = true })
		s.after(600*second, func() { s.outage = false })
	}},
	{"owner and assigner lost together", 5, "", second, 3 * second, func(s *sim) {
		s.workers[0].down = true
		s.daemon(assigner.RoleActing).down = true
	}},
	{"failure domain lost with the assigner", 6, "", second, 3 * second, func(s *sim) {
		s.workers[0].down, s.workers[1].down = true, true
		s.daemon(assigner.RoleActing).down = true
	}},
	{"majority of the servers restarted", 5, "", 3 * second, 4 * second, func(s *sim) {
		for _, w := range s.workers[:3] {
			s.startWorker(w)
		}
	}},
	{"all hosts replaced one after another", 5, "", 0, 12 * second, func(s *sim) {
		for i, d := range s.daemons {
			s.after(time.Duration(i)*4*second, func() {
				s.step(d, d.assigner.HandOver)
				d.down = true
				s.after(second, func() { s.startDaemon(d) })
			})
		}
	}},
	{"planned moves", 5, "", 50*ms + 100*ms, 2 * second, func(s *sim) { // Requests in flight take up to 100 ms to end.
		s.shift++
		s.daemon(assigner.RoleActing).assigner.SetLoads(nil)
	}},
	// The holder keeps only the first server, the others reach only the rest. Without evidence it renews that server's
	// lease for ever.
	{"holder split off with one server", 3, lease.RuleRenewalEvidence, second, 4 * second, func(s *sim) {
		holder, deputy := s.daemon(assigner.RoleActing), s.daemon(assigner.RoleDeputy)
		s.isolate(holder, 6, 3*second)
		s.cut(deputy, 1, 3*second)
	}},
	// The holder loses the second server, then all but the first. It believes that the lease of the second has ended
	// while the deputy renews it, and the lease of the first, which the deputy does not reach, still runs.
	{"holder loses servers one after another", 3, lease.RuleGrantEvidence, second, 4 * second, func(s *sim) {
		holder, deputy := s.daemon(assigner.RoleActing), s.daemon(assigner.RoleDeputy)
		s.outage = true
		s.cut(holder, 2, 3*second)
		s.cut(deputy, 1, 3*second)
		s.after(40*ms, func() { holder.cutPeers = s.now + 3*second })
		s.after(235*ms, func() { s.cut(holder, 4, 3*second) })
		s.after(3*second, func() { s.outage = false })
	}},
	// The deputy does not reach the first server, whose lease the holder renewed a moment ago.
	{"deputy takes over without one server", 5, lease.RuleFree, second, 4 * second, func(s *sim) {
		s.cut(s.daemon(assigner.RoleDeputy), 1, 3*second)
		s.daemon(assigner.RoleActing).down = true
	}},
	// A majority with the second server accepts the deputy; then that server restarts, and the holder, which reaches only
	// it and the first, would have a majority again.
	// Without the table the restarted server does not become a member, so that there is no majority for 3 s.
	{"restarted server accepts an earlier epoch", 3, lease.RuleIncarnation, 4 * second, 6 * second, func(s *sim) {
		holder, deputy := s.daemon(assigner.RoleActing), s.daemon(assigner.RoleDeputy)
		s.outage = true
		s.isolate(holder, 4, 3*second)
		s.cut(holder, 2, 300*ms)
		s.cut(deputy, 1, 3*second)
		s.after(300*ms, func() {
			s.cut(deputy, 2, 200*ms)
			s.startWorker(s.workers[1])
		})
		s.after(490*ms, func() { s.cut(holder, 2, 3*second) })
		s.after(3*second, func() { s.outage = false })
	}},
	// The answer of a takeover's write is lost and the write fails; another host gets the same epoch.
	{"writes without an answer at the first start", 3, lease.RuleUnknownWrite, 0, 4 * second, nil},
	{"holder and deputy superseded", 3, lease.RuleStepDown, 0, 4 * second, func(s *sim) {
		s.daemon(assigner.RoleActing).pausedUntil = s.now + second
	}},
}

func (c scenario) run(seed uint64, omit lease.Rule) (string, time.Duration) {
	s := newSim(seed, c.servers, omit)
	if c.play == nil {
		s.answersLost, s.lossy = true, true
	} else {
		s.calm = true
	}
	s.run(warmUp)
	if c.play != nil {
		c.play(s)
	}
	s.run(warmUp + c.length)
	s.heal()
	s.run(s.now + healing)
	if s.failure == "" {
		s.checkServed()
	}
	return s.failure, s.longest
}

// Guards against the named faults one by one: two owners, lost assignments, and a longer time without an owner than the
// page allows.
func TestScenarios(t *testing.T) {
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			seeds := uint64(10)
			if c.length > time.Minute {
				seeds = 2
			}
			for seed := range seeds {
				failure, longest := c.run(seed, lease.RuleNone)
				if failure != "" {
					t.Fatalf("seed %d: %s", seed, failure)
				}
				if longest > c.bound && c.play != nil {
					t.Fatalf("seed %d: %v without an owner, allowed are %v", seed, longest, c.bound)
				}
			}
		})
	}
}

// Guards against a check that cannot notice the absence of a rule of the protocol.
func TestRulesAreNeeded(t *testing.T) {
	for _, c := range scenarios {
		if c.rule == lease.RuleNone {
			continue
		}
		t.Run(string(c.rule), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(40) {
				if failure, _ := c.run(seed, c.rule); failure != "" {
					t.Logf("seed %d: %s", seed, failure)
					return
				}
			}
			t.Fatal("no schedule showed that the rule was omitted")
		})
	}
}

// Guards against a late answer to a write that puts back a row which has been superseded, so that its epochs are handed
// out twice.
func TestLateAnswerOfWrite(t *testing.T) {
	a := &assigner.Assigner{Host: "h0", InstanceID: "1", Service: service, Partitions: partitions, Timing: assigner.DefaultTiming()}
	now := time.Unix(0, 0)
	writes := func(actions []assigner.Action) (rows []assigner.GroupRow) {
		for _, action := range actions {
			if write, ok := action.(assigner.WriteRow); ok {
				rows = append(rows, write.Row)
			}
		}
		return rows
	}
	a.Tick(now)
	a.RowRead(now, 0, assigner.GroupRow{})
	if rows := writes(a.Tick(now)); len(rows) != 1 || rows[0].Epoch != 1 {
		t.Fatalf("first write: %v", rows)
	}
	a.RowRead(now, 2, assigner.GroupRow{Epoch: 3, ReservedEpoch: 4, Holder: "h1", Deputy: "h2"})
	a.RowWritten(now, assigner.WriteDone)
	now = now.Add(10 * second)
	if rows := writes(a.Tick(now)); len(rows) != 1 || rows[0].Epoch != 5 {
		t.Fatalf("write after the other holder was lost: %v", rows)
	}
}
