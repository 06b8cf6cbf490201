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

// scenario is a fault, or a sequence of faults, with the longest time for which a key may have no owner.
type scenario struct {
	name    string
	servers int
	// omittedRule is the rule whose omission must make this scenario fail, if any.
	omittedRule lease.Rule
	// maxUnowned is not checked if inject is nil.
	maxUnowned time.Duration
	duration   time.Duration
	// inject injects the faults. If it is nil, messages and replies to writes are lost from the start.
	inject func(s *sim)
}

// daemonWithRole returns the first daemon with the role, or the first of all if none has it.
func (s *sim) daemonWithRole(role assigner.Role) *daemon {
	for _, d := range s.daemons {
		if d.assigner.Role() == role {
			return d
		}
	}
	return s.daemons[0]
}

// isolate drops the messages between a daemon and its peers, and those between it and the servers in mask.
func (s *sim) isolate(d *daemon, mask int, length time.Duration) {
	d.peerMessagesDroppedUntil = s.now + length
	s.dropServerMessages(d, mask, length)
}

var scenarios = []scenario{
	{"paused server resumes", 5, "", second, 3 * second, func(s *sim) {
		s.servers[0].pausedUntil = s.now + 2*second
	}},
	{"all orders are delivered again after a release", 5, "", second, 3 * second, func(s *sim) {
		s.placementShift++
		s.daemonWithRole(assigner.RoleActing).assigner.SetLoads(nil)
		s.schedule(500*ms, func() {
			for _, sent := range s.orders {
				server := s.serverByID(sent.Server)
				server.guard.Apply(server.clock(s.now), sent.Order)
				s.checkSingleOwner()
			}
		})
	}},
	{"server restarts without its state", 5, "", second, 3 * second, func(s *sim) { s.startServer(s.servers[0]) }},
	{"owner lost", 5, "", second, 3 * second, func(s *sim) { s.servers[0].down = true }},
	{"assigner lost", 5, "", 0, 3 * second, func(s *sim) { s.daemonWithRole(assigner.RoleActing).down = true }},
	{"assigner lost, then its deputy", 5, "", 0, 4 * second, func(s *sim) {
		s.daemonWithRole(assigner.RoleActing).down = true
		s.schedule(1500*ms, func() { s.daemonWithRole(assigner.RoleActing).down = true })
	}},
	{"assigner pauses and resumes", 5, "", 0, 3 * second, func(s *sim) {
		s.daemonWithRole(assigner.RoleActing).pausedUntil = s.now + second
	}},
	{"replies to writes lost during a takeover", 5, "", 0, 6 * second, func(s *sim) {
		s.writeRepliesLost = true
		s.daemonWithRole(assigner.RoleActing).down = true
		s.schedule(2*second, func() { s.writeRepliesLost = false })
	}},
	{"table outage of 10 minutes with a server lost", 5, "", second, 606 * second, func(s *sim) {
		s.outage = true
		s.schedule(300*second, func() { s.servers[0].down = true })
		s.schedule(600*second, func() { s.outage = false })
	}},
	{"owner and assigner lost together", 5, "", second, 3 * second, func(s *sim) {
		s.servers[0].down = true
		s.daemonWithRole(assigner.RoleActing).down = true
	}},
	{"failure domain lost with the assigner", 6, "", second, 3 * second, func(s *sim) {
		s.servers[0].down, s.servers[1].down = true, true
		s.daemonWithRole(assigner.RoleActing).down = true
	}},
	{"majority of the servers restarted", 5, "", 3 * second, 4 * second, func(s *sim) {
		for _, server := range s.servers[:3] {
			s.startServer(server)
		}
	}},
	{"all hosts replaced one after another", 5, "", 0, 12 * second, func(s *sim) {
		for i, d := range s.daemons {
			s.schedule(time.Duration(i)*4*second, func() {
				s.step(d, d.assigner.HandOver)
				d.down = true
				s.schedule(second, func() { s.startDaemon(d) })
			})
		}
	}},
	{"planned moves", 5, "", 50*ms + 100*ms, 2 * second, func(s *sim) { // In-flight requests take up to 100 ms.
		s.placementShift++
		s.daemonWithRole(assigner.RoleActing).assigner.SetLoads(nil)
	}},
	// The holder reaches only the first server, the other hosts only the rest. Without rule G1 the holder renews the first
	// server's lease forever.
	{"holder partitioned with one server", 3, lease.RuleRenewalMajority, second, 4 * second, func(s *sim) {
		holder, deputy := s.daemonWithRole(assigner.RoleActing), s.daemonWithRole(assigner.RoleDeputy)
		s.isolate(holder, 6, 3*second)
		s.dropServerMessages(deputy, 1, 3*second)
	}},
	// The holder loses contact with the second server and later with all but the first. Without rule G2 it grants the
	// partitions of the second server when that lease seems to have ended, while the deputy renews it. The lease of the
	// first server, which the deputy does not reach, is still running.
	{"holder loses servers one after another", 3, lease.RuleGrantMajority, second, 4 * second, func(s *sim) {
		holder, deputy := s.daemonWithRole(assigner.RoleActing), s.daemonWithRole(assigner.RoleDeputy)
		s.outage = true
		s.dropServerMessages(holder, 2, 3*second)
		s.dropServerMessages(deputy, 1, 3*second)
		s.schedule(40*ms, func() { holder.peerMessagesDroppedUntil = s.now + 3*second })
		s.schedule(235*ms, func() { s.dropServerMessages(holder, 4, 3*second) })
		s.schedule(3*second, func() { s.outage = false })
	}},
	// The deputy does not reach the first server, whose lease the holder has just renewed. Without rule G3 the deputy grants
	// the partitions of that server.
	{"deputy takes over without one server", 5, lease.RuleFree, second, 4 * second, func(s *sim) {
		s.dropServerMessages(s.daemonWithRole(assigner.RoleDeputy), 1, 3*second)
		s.daemonWithRole(assigner.RoleActing).down = true
	}},
	// A majority that includes the second server accepts the deputy. Then that server restarts, and the holder reaches only
	// it and the first server: without rule G4 these two would be a majority for the earlier epoch. The table is not
	// available, so the restarted server cannot become a member and there is no majority for 3 s.
	{"restarted server accepts an earlier epoch", 3, lease.RuleIncarnation, 4 * second, 6 * second, func(s *sim) {
		holder, deputy := s.daemonWithRole(assigner.RoleActing), s.daemonWithRole(assigner.RoleDeputy)
		s.outage = true
		s.isolate(holder, 4, 3*second)
		s.dropServerMessages(holder, 2, 300*ms)
		s.dropServerMessages(deputy, 1, 3*second)
		s.schedule(300*ms, func() {
			s.dropServerMessages(deputy, 2, 200*ms)
			s.startServer(s.servers[1])
		})
		s.schedule(490*ms, func() { s.dropServerMessages(holder, 2, 3*second) })
		s.schedule(3*second, func() { s.outage = false })
	}},
	// The write of a takeover fails and its result is unknown. Without rule G5 its writer acts in an epoch that another host
	// gets too.
	{"replies to writes lost at the first start", 3, lease.RuleUnknownWrite, 0, 4 * second, nil},
	{"holder pauses and is superseded", 3, lease.RuleStepDown, 0, 4 * second, func(s *sim) {
		s.daemonWithRole(assigner.RoleActing).pausedUntil = s.now + second
	}},
}

func (c scenario) run(seed uint64, omit lease.Rule) (string, time.Duration) {
	s := newSim(seed, c.servers, omit)
	if c.inject == nil {
		s.writeRepliesLost, s.lossy = true, true
	} else {
		s.reliable = true
	}
	s.advance(warmUpEnd)
	if c.inject != nil {
		c.inject(s)
	}
	s.advance(warmUpEnd + c.duration)
	s.endFaults()
	s.advance(s.now + recoveryTime)
	if s.failure == "" {
		s.checkAllOwned()
	}
	return s.failure, s.longestUnowned
}

// TestScenarios guards against two owners of a key, lost assignments and a longer time without an owner than the design
// page allows, under each of the scenarios.
func TestScenarios(t *testing.T) {
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			seeds := uint64(10)
			if c.duration > time.Minute {
				seeds = 2
			}
			for seed := range seeds {
				failure, longest := c.run(seed, lease.RuleNone)
				if failure != "" {
					t.Fatalf("seed %d: %s", seed, failure)
				}
				if longest > c.maxUnowned && c.inject != nil {
					t.Fatalf("seed %d: a key had no owner for %v, at most %v is allowed", seed, longest, c.maxUnowned)
				}
			}
		})
	}
}

// TestOmittedRulesAreDetected guards against checks that would not notice the omission of a rule of the protocol.
func TestOmittedRulesAreDetected(t *testing.T) {
	for _, c := range scenarios {
		if c.omittedRule == lease.RuleNone {
			continue
		}
		t.Run(string(c.omittedRule), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(40) {
				if failure, _ := c.run(seed, c.omittedRule); failure != "" {
					t.Logf("seed %d: %s", seed, failure)
					return
				}
			}
			t.Fatal("no seed led to a violation although the rule was omitted")
		})
	}
}

// TestLateWriteResult guards against a late write result that restores a superseded group row, so that its epochs would
// be allocated twice.
func TestLateWriteResult(t *testing.T) {
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
	a.HandleRowRead(now, 0, assigner.GroupRow{})
	if rows := writes(a.Tick(now)); len(rows) != 1 || rows[0].Epoch != 1 {
		t.Fatalf("rows written at the first start: %v, want one of epoch 1", rows)
	}
	a.HandleRowRead(now, 2, assigner.GroupRow{Epoch: 3, ReservedEpoch: 4, Holder: "h1", Deputy: "h2"})
	a.HandleRowWritten(now, assigner.WriteDone)
	now = now.Add(10 * second)
	if rows := writes(a.Tick(now)); len(rows) != 1 || rows[0].Epoch != 5 {
		t.Fatalf("rows written after the loss of the other holder: %v, want one of epoch 5", rows)
	}
}
