package assigner_test

import (
	"fmt"
	"testing"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
)

// pauseRepeatedly pauses each process again and again: half of the time, for up to 0.5 s at a time.
func (s *sim) pauseRepeatedly(until time.Duration) {
	var processes []*process
	for _, server := range s.servers {
		processes = append(processes, &server.process)
	}
	for _, d := range s.daemons {
		processes = append(processes, &d.process)
	}
	for _, p := range processes {
		s.pauseProcessRepeatedly(p, until)
	}
}

func (s *sim) pauseProcessRepeatedly(p *process, until time.Duration) {
	length := time.Duration(s.random.Int64N(int64(500 * time.Millisecond)))
	s.schedule(time.Duration(s.random.Int64N(int64(500*time.Millisecond))), func() {
		if s.now > until {
			return
		}
		p.pausedUntil = s.now + length
		s.schedule(length, func() { s.pauseProcessRepeatedly(p, until) })
	})
}

const (
	overloadDuration = 30 * time.Second
	// maxEpochs allows one epoch per second and those of the start. A caller waits up to 2 s for an owner, and a new
	// epoch takes up to 0.6 s to make the grants that the previous one did not make.
	maxEpochs = 2 + fleet.Epoch(overloadDuration/time.Second)
)

// TestOverload guards against a role that changes hands so often, on hosts short of CPU time, that no assigner can grant
// anything.
func TestOverload(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newSim(seed, 5, lease.RuleNone)
			s.reliable = true
			s.advance(warmUpEnd)
			s.pauseRepeatedly(warmUpEnd + overloadDuration)
			s.advance(warmUpEnd + overloadDuration)
			if s.failure != "" {
				t.Fatal(s.failure)
			}
			var last fleet.Epoch
			for epoch := range s.epochUsers {
				last = max(last, epoch)
			}
			if last > maxEpochs {
				t.Errorf("%d epochs in %s", last, overloadDuration)
			}
		})
	}
}
