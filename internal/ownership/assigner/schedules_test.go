package assigner_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
)

// warmUp is when a new group has members and owners; healing is how long the protocol may take after the last fault:
// two takeovers by watchers, a change of members and the moves.
const (
	warmUp  = 3 * time.Second
	healing = 6 * time.Second
)

// fault is something that goes wrong at a time for a duration, or a change by operators.
type fault struct {
	Kind   string
	At     time.Duration
	For    time.Duration
	Target int
	// Mask selects servers by their position.
	Mask int
}

var kinds = []string{
	"pause-server", "pause-server", "restart-server", "lose-server", "pause-daemon", "pause-daemon", "restart-daemon",
	"lose-daemon", "table-outage", "table-answers-lost", "cut-servers", "cut-peers", "split", "split", "lossy",
	"leave", "remove-server", "move", "hot",
}

var faultGenerator = rapid.Custom(func(t *rapid.T) fault {
	return fault{
		Kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
		At:     warmUp + time.Duration(rapid.IntRange(0, 4000).Draw(t, "at"))*time.Millisecond,
		For:    time.Duration(rapid.IntRange(20, 2500).Draw(t, "for")) * time.Millisecond,
		Target: rapid.IntRange(0, 14).Draw(t, "target"),
		Mask:   rapid.IntRange(1, 62).Draw(t, "mask"),
	}
})

// inject schedules a fault and its end.
func (s *sim) inject(f fault) {
	w, d := s.workers[f.Target%len(s.workers)], s.daemons[f.Target%len(s.daemons)]
	s.after(f.At-s.now, func() { s.begin(f, w, d) })
	s.after(f.At+f.For-s.now, func() { s.end(f, w, d) })
}

func (s *sim) begin(f fault, w *worker, d *daemon) {
	switch f.Kind {
	case "pause-server":
		w.pausedUntil = s.now + f.For
	case "restart-server":
		s.startWorker(w)
	case "lose-server":
		w.down = true
	case "pause-daemon":
		d.pausedUntil = s.now + f.For
	case "restart-daemon":
		s.startDaemon(d)
	case "lose-daemon":
		d.down = true
	case "cut-servers":
		s.cut(d, f.Mask, f.For)
	case "cut-peers":
		d.cutPeers = s.now + f.For
	case "split": // The acting daemon keeps some servers, and the others can only reach the rest.
		for _, each := range s.daemons {
			if each.assigner.Role() == assigner.RoleActing {
				each.cutPeers = s.now + f.For
				s.cut(each, ^f.Mask, f.For)
			} else {
				s.cut(each, f.Mask, f.For)
			}
		}
	case "move":
		s.shift++
		for _, each := range s.daemons {
			each.assigner.SetLoads(nil)
		}
	case "hot":
		s.hot = hotKeys[:1+f.Target%2]
	default:
		s.set(f, w, true)
	}
}

func (s *sim) end(f fault, w *worker, d *daemon) {
	switch f.Kind {
	case "lose-server":
		s.startWorker(w)
	case "lose-daemon":
		s.startDaemon(d)
	case "hot":
		if f.Target%4 == 0 {
			s.hot = []fleet.KeyHash{}
		}
	default:
		s.set(f, w, false)
	}
}

// cut lets messages between a daemon and the servers of the mask be lost for a time.
func (s *sim) cut(d *daemon, mask int, length time.Duration) {
	for i, w := range s.workers {
		if mask&(1<<i) != 0 {
			d.cutServers[w.id] = max(d.cutServers[w.id], s.now+length)
		}
	}
}

// set switches the faults that are on or off.
func (s *sim) set(f fault, w *worker, on bool) {
	switch f.Kind {
	case "table-outage":
		s.outage = on
	case "table-answers-lost":
		s.answersLost = on
	case "lossy":
		s.lossy = on
	case "leave":
		w.leaving, w.guard.Leaving = on, on
	case "remove-server":
		s.removed[w.id] = on
		for _, each := range s.daemons {
			s.configure(each)
		}
	}
}

// heal ends what overlapping faults may have left.
func (s *sim) heal() {
	s.outage, s.answersLost, s.lossy, s.calm = false, false, false, true
}

func schedule(seed uint64, servers int, omit lease.Rule, faults []fault) string {
	s := newSim(seed, servers, omit)
	for _, f := range faults {
		s.inject(f)
	}
	end := warmUp + 6500*time.Millisecond
	s.run(end)
	s.heal()
	s.run(end + healing)
	if s.failure == "" {
		s.checkServed()
	}
	return s.failure
}

// Guards against two owners at one instant, a lost assignment, an epoch with two users, and a partition that stays
// without an owner, under any combination of faults.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		servers := rapid.IntRange(3, 6).Draw(t, "servers")
		faults := rapid.SliceOfN(faultGenerator, 0, 8).Draw(t, "faults")
		if failure := schedule(seed, servers, lease.RuleNone, faults); failure != "" {
			t.Fatal(failure)
		}
	})
}
