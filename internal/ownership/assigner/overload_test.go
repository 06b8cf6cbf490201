package assigner_test

import (
	"fmt"
	"testing"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
)

// overload lets each process stand still again and again: half of the time, for up to 0.5 s at a stretch.
func (s *sim) overload(until time.Duration) {
	var all []*process
	for _, w := range s.workers {
		all = append(all, &w.process)
	}
	for _, d := range s.daemons {
		all = append(all, &d.process)
	}
	for _, one := range all {
		s.stall(one, until)
	}
}

func (s *sim) stall(one *process, until time.Duration) {
	length := time.Duration(s.random.Int64N(int64(500 * time.Millisecond)))
	s.after(time.Duration(s.random.Int64N(int64(500*time.Millisecond))), func() {
		if s.now > until {
			return
		}
		one.pausedUntil = s.now + length
		s.after(length, func() { s.stall(one, until) })
	})
}

const (
	overloaded = 30 * time.Second
	// mostEpochs allows an epoch for every second, and those of the start. A caller waits up to 2 s for an owner, and a new
	// epoch takes up to 0.6 s to grant what the one before it did not.
	mostEpochs = 2 + fleet.Epoch(overloaded/time.Second)
)

// Guards against a role that changes hands again and again on machines that are short of processor time, so that no
// assigner gets to grant anything.
func TestOverload(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newSim(seed, 5, lease.RuleNone)
			s.calm = true
			s.run(warmUp)
			s.overload(warmUp + overloaded)
			s.run(warmUp + overloaded)
			if s.failure != "" {
				t.Fatal(s.failure)
			}
			var last fleet.Epoch
			for epoch := range s.epochs {
				last = max(last, epoch)
			}
			if last > mostEpochs {
				t.Errorf("%d epochs in %s", last, overloaded)
			}
		})
	}
}
