package assigner_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
)

const (
	// warmUpEnd is the time at which a new group has members and owners.
	warmUpEnd = 3 * time.Second
	// recoveryTime is how long the protocol may take after the last fault: two takeovers by watchers, a change of
	// members and the moves.
	recoveryTime = 6 * time.Second
)

// fault is a fault, or a change by operators, that starts at a time and lasts for Length.
type fault struct {
	Kind   string
	At     time.Duration
	Length time.Duration
	Target int
	// ServerMask selects servers by their positions.
	ServerMask int
}

var faultKinds = []string{
	"pause-server", "pause-server", "restart-server", "lose-server", "pause-daemon", "pause-daemon", "restart-daemon",
	"lose-daemon", "table-outage", "table-answers-lost", "cut-servers", "cut-peers", "split", "split", "lossy",
	"leave", "remove-server", "move", "hot",
}

var faultGenerator = rapid.Custom(func(t *rapid.T) fault {
	return fault{
		Kind:       rapid.SampledFrom(faultKinds).Draw(t, "kind"),
		At:         warmUpEnd + time.Duration(rapid.IntRange(0, 4000).Draw(t, "at"))*time.Millisecond,
		Length:     time.Duration(rapid.IntRange(20, 2500).Draw(t, "for")) * time.Millisecond,
		Target:     rapid.IntRange(0, 14).Draw(t, "target"),
		ServerMask: rapid.IntRange(1, 62).Draw(t, "mask"),
	}
})

// scheduleFault schedules the start and the end of a fault.
func (s *sim) scheduleFault(f fault) {
	server, d := s.servers[f.Target%len(s.servers)], s.daemons[f.Target%len(s.daemons)]
	s.schedule(f.At-s.now, func() { s.startFault(f, server, d) })
	s.schedule(f.At+f.Length-s.now, func() { s.endFault(f, server, d) })
}

func (s *sim) startFault(f fault, server *simServer, d *daemon) {
	switch f.Kind {
	case "pause-server":
		server.pausedUntil = s.now + f.Length
	case "restart-server":
		s.startServer(server)
	case "lose-server":
		server.down = true
	case "pause-daemon":
		d.pausedUntil = s.now + f.Length
	case "restart-daemon":
		s.startDaemon(d)
	case "lose-daemon":
		d.down = true
	case "cut-servers":
		s.dropServerMessages(d, f.ServerMask, f.Length)
	case "cut-peers":
		d.peerMessagesDroppedUntil = s.now + f.Length
	case "split": // The acting daemon reaches some servers and the other daemons only the rest.
		for _, each := range s.daemons {
			if each.assigner.Role() == assigner.RoleActing {
				each.peerMessagesDroppedUntil = s.now + f.Length
				s.dropServerMessages(each, ^f.ServerMask, f.Length)
			} else {
				s.dropServerMessages(each, f.ServerMask, f.Length)
			}
		}
	case "move":
		s.placementShift++
		for _, each := range s.daemons {
			each.assigner.SetLoads(nil)
		}
	case "hot":
		s.requestedHotKeys = hotKeys[:1+f.Target%2]
	default:
		s.toggleFault(f, server, true)
	}
}

func (s *sim) endFault(f fault, server *simServer, d *daemon) {
	switch f.Kind {
	case "lose-server":
		s.startServer(server)
	case "lose-daemon":
		s.startDaemon(d)
	case "hot":
		if f.Target%4 == 0 {
			s.requestedHotKeys = []fleet.KeyHash{}
		}
	default:
		s.toggleFault(f, server, false)
	}
}

// dropServerMessages drops the messages between a daemon and the servers in mask for a time.
func (s *sim) dropServerMessages(d *daemon, mask int, length time.Duration) {
	for i, server := range s.servers {
		if mask&(1<<i) != 0 {
			d.serverMessagesDroppedUntil[server.id] = max(d.serverMessagesDroppedUntil[server.id], s.now+length)
		}
	}
}

// toggleFault starts or ends one of the faults that have an on/off state.
func (s *sim) toggleFault(f fault, server *simServer, on bool) {
	switch f.Kind {
	case "table-outage":
		s.outage = on
	case "table-answers-lost":
		s.writeRepliesLost = on
	case "lossy":
		s.lossy = on
	case "leave":
		server.leaving, server.guard.Leaving = on, on
	case "remove-server":
		s.removed[server.id] = on
		for _, each := range s.daemons {
			s.setConfiguredServers(each)
		}
	}
}

// endFaults ends the faults that may still be on because others overlapped with them.
func (s *sim) endFaults() {
	s.outage, s.writeRepliesLost, s.lossy, s.reliable = false, false, false, true
}

// runSchedule runs a simulation with the faults and returns its failure, or an empty string.
func runSchedule(seed uint64, servers int, omit lease.Rule, faults []fault) string {
	s := newSim(seed, servers, omit)
	for _, f := range faults {
		s.scheduleFault(f)
	}
	end := warmUpEnd + 6500*time.Millisecond
	s.advance(end)
	s.endFaults()
	s.advance(end + recoveryTime)
	if s.failure == "" {
		s.checkAllOwned()
	}
	return s.failure
}

// TestSchedules guards against two owners of a key at the same time, a lost assignment, an epoch with two users and a
// partition that stays without an owner, under random combinations of faults.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		servers := rapid.IntRange(3, 6).Draw(t, "servers")
		faults := rapid.SliceOfN(faultGenerator, 0, 8).Draw(t, "faults")
		if failure := runSchedule(seed, servers, lease.RuleNone, faults); failure != "" {
			t.Fatal(failure)
		}
	})
}
