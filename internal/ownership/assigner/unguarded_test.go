package assigner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
)

// authorityTerm is shorter than the default, so that a simulation covers several terms.
const authorityTerm = 2 * time.Second

type router struct {
	process
	confirmedMap *assigner.ConfirmedMap
}

// unguardedSim simulates a service whose servers do not check orders: three daemons, of which one has the authority, and
// three routers.
type unguardedSim struct {
	*sim
	routers     []*router
	liveServers int
}

func newUnguardedSim(seed uint64) *unguardedSim {
	s := &unguardedSim{sim: &sim{
		random: rand.New(rand.NewPCG(seed, 1)), placements: map[int]assigner.PlacementRow{},
		published: map[fleet.PartitionID]fleet.Assignment{},
	}, liveServers: 4}
	for i := range 3 {
		d := &daemon{id: fleet.HostID(fmt.Sprintf("h%d", i))}
		s.daemons = append(s.daemons, d)
		s.startUnguarded(d)
		r := &router{process: s.newProcess(0), confirmedMap: &assigner.ConfirmedMap{Partitions: partitions}}
		s.routers = append(s.routers, r)
		s.scheduleRequests(r)
	}
	return s
}

func (s *unguardedSim) startUnguarded(d *daemon) {
	d.process = s.newProcess(d.incarnation)
	timing := assigner.DefaultUnguardedTiming()
	timing.AuthorityDuration = authorityTerm
	d.handler = &assigner.UnguardedAssigner{
		Host: d.id, InstanceID: fmt.Sprint(d.incarnation), Partitions: partitions, Placer: placer{s.sim},
		Timing: timing, Candidate: true,
	}
	s.setServers(d)
	s.scheduleTicks(d, d.incarnation)
}

func (s *unguardedSim) setServers(d *daemon) {
	var servers []assigner.Server
	for i := range s.liveServers {
		servers = append(servers, assigner.Server{ID: fleet.UpstreamID(rune('a' + i))})
	}
	d.handler.(*assigner.UnguardedAssigner).SetServers(servers)
}

// localTime returns the reading of a process's clock as a time.
func localTime(p *process, now time.Duration) time.Time {
	return time.Unix(0, 0).Add(p.clock(now))
}

// scheduleRequests makes a router periodically request confirmations from every daemon, as if it did not know which one
// has the authority.
func (s *unguardedSim) scheduleRequests(r *router) {
	s.runOn(&r.process, 200*time.Millisecond, func() {
		for _, d := range s.daemons {
			s.requestConfirmation(r, d)
		}
		s.scheduleRequests(r)
	})
}

func (s *unguardedSim) requestConfirmation(r *router, d *daemon) {
	request := r.confirmedMap.NewRequest(localTime(&r.process, s.now))
	out, lost := s.networkDelay()
	if lost || d.peerMessagesDroppedUntil > s.now {
		return
	}
	s.runOn(&d.process, out, func() {
		confirmation, ok := d.handler.(*assigner.UnguardedAssigner).Confirm(localTime(&d.process, s.now), request)
		back, lost := s.networkDelay()
		if !ok || lost {
			return
		}
		s.runOn(&r.process, back, func() {
			r.confirmedMap.ApplyConfirmation(confirmation)
			s.checkRouters()
		})
	})
}

// checkRouters guards against routers that may forward requests for one key to two servers at the same time.
func (s *unguardedSim) checkRouters() {
	for _, key := range keys[:partitions] {
		var owner fleet.UpstreamID
		for _, r := range s.routers {
			found, _, confirmed := r.confirmedMap.Locate(localTime(&r.process, s.now), key)
			if !confirmed || found.Owner == "" {
				continue
			}
			if owner != "" && owner != found.Owner {
				s.fail("key %d is forwarded to %s and %s", key, owner, found.Owner)
			}
			owner = found.Owner
		}
	}
}

func (s *unguardedSim) scheduleUnguardedFault(f fault) {
	d := s.daemons[f.Target%3]
	s.schedule(f.At-s.now, func() {
		switch f.Kind {
		case "pause-daemon":
			d.pausedUntil = s.now + f.Length
		case "restart-daemon":
			s.startUnguarded(d)
		case "pause-router":
			s.routers[f.Target%3].pausedUntil = s.now + f.Length
		case "cut-peers":
			d.peerMessagesDroppedUntil = s.now + f.Length
		case "hand-over":
			s.step(d, d.handler.(*assigner.UnguardedAssigner).HandOver)
		case "servers":
			s.placementShift++
			s.liveServers = 1 + f.Target%4
			for _, each := range s.daemons {
				s.setServers(each)
			}
		default:
			s.toggleFault(f, nil, true)
		}
	})
	s.schedule(f.At+f.Length-s.now, func() { s.toggleFault(f, nil, false) })
}

// TestUnguardedSchedules guards against routers that forward requests for one key to two servers, and against a router
// whose map stays unconfirmed after the faults have ended, under random combinations of faults.
func TestUnguardedSchedules(t *testing.T) {
	kinds := []string{
		"pause-daemon", "restart-daemon", "pause-router", "cut-peers", "hand-over", "servers", "servers", "table-outage",
		"table-answers-lost", "lossy",
	}
	rapid.Check(t, func(t *rapid.T) {
		s := newUnguardedSim(rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(0, 8).Draw(t, "faults") {
			f := faultGenerator.Draw(t, "fault")
			f.Kind = rapid.SampledFrom(kinds).Draw(t, "kind")
			s.scheduleUnguardedFault(f)
		}
		s.advance(warmUpEnd + 6500*time.Millisecond)
		s.endFaults()
		s.advance(s.now + 2*authorityTerm + 3*time.Second)
		for i, r := range s.routers {
			for _, key := range keys {
				if found, _, confirmed := r.confirmedMap.Locate(localTime(&r.process, s.now), key); !confirmed || found.Owner == "" {
					s.fail("router %d has no owner for key %d", i, key)
				}
			}
		}
		if s.failure != "" {
			t.Fatal(s.failure)
		}
	})
}
