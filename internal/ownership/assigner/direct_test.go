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

// authority is shorter than the default, so that a schedule sees several terms of it.
const authority = 2 * time.Second

type router struct {
	process
	confirmed *assigner.ConfirmedMap
}

// directSim is a service whose servers check no orders: three daemons, of which one has authority, and three routers.
type directSim struct {
	*sim
	routers []*router
	live    int
}

func newDirectSim(seed uint64) *directSim {
	s := &directSim{sim: &sim{
		random: rand.New(rand.NewPCG(seed, 1)), placements: map[int]assigner.PlacementRow{},
		published: map[fleet.PartitionID]fleet.Assignment{},
	}, live: 4}
	for i := range 3 {
		d := &daemon{id: fleet.HostID(fmt.Sprintf("h%d", i))}
		s.daemons = append(s.daemons, d)
		s.start(d)
		r := &router{process: s.newProcess(0), confirmed: &assigner.ConfirmedMap{Partitions: partitions}}
		s.routers = append(s.routers, r)
		s.ask(r)
	}
	return s
}

func (s *directSim) start(d *daemon) {
	d.process = s.newProcess(d.life)
	timing := assigner.DefaultUnguardedTiming()
	timing.AuthorityTerm = authority
	d.decider = &assigner.UnguardedAssigner{
		Host: d.id, InstanceID: fmt.Sprint(d.life), Partitions: partitions, Placer: placer{s.sim}, Timing: timing, Candidate: true,
	}
	s.setServers(d)
	s.ticks(d, d.life)
}

func (s *directSim) setServers(d *daemon) {
	var servers []assigner.Server
	for i := range s.live {
		servers = append(servers, assigner.Server{ID: fleet.UpstreamID(rune('a' + i))})
	}
	d.decider.(*assigner.UnguardedAssigner).SetServers(servers)
}

func local(p *process, now time.Duration) time.Time {
	return time.Unix(0, 0).Add(p.clock(now))
}

// ask lets a router ask every daemon, as when it does not know who has authority.
func (s *directSim) ask(r *router) {
	s.at(&r.process, 200*time.Millisecond, func() {
		for _, d := range s.daemons {
			s.askOne(r, d)
		}
		s.ask(r)
	})
}

func (s *directSim) askOne(r *router, d *daemon) {
	question := r.confirmed.NewRequest(local(&r.process, s.now))
	out, lost := s.transit()
	if lost || d.cutPeers > s.now {
		return
	}
	s.at(&d.process, out, func() {
		answer, has := d.decider.(*assigner.UnguardedAssigner).Confirm(local(&d.process, s.now), question)
		back, lost := s.transit()
		if !has || lost {
			return
		}
		s.at(&r.process, back, func() {
			r.confirmed.ApplyConfirmation(answer)
			s.checkRouters()
		})
	})
}

// checkRouters guards against two servers to which requests for one key may be forwarded, or be outstanding, at one time.
func (s *directSim) checkRouters() {
	for _, key := range keys[:partitions] {
		var owner fleet.UpstreamID
		for _, r := range s.routers {
			found, _, confirmed := r.confirmed.Locate(local(&r.process, s.now), key)
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

func (s *directSim) inject(f fault) {
	d := s.daemons[f.Target%3]
	s.after(f.At-s.now, func() {
		switch f.Kind {
		case "pause-daemon":
			d.pausedUntil = s.now + f.For
		case "restart-daemon":
			s.start(d)
		case "pause-router":
			s.routers[f.Target%3].pausedUntil = s.now + f.For
		case "cut-peers":
			d.cutPeers = s.now + f.For
		case "hand-over":
			s.step(d, d.decider.(*assigner.UnguardedAssigner).HandOver)
		case "servers":
			s.shift++
			s.live = 1 + f.Target%4
			for _, each := range s.daemons {
				s.setServers(each)
			}
		default:
			s.set(f, nil, true)
		}
	})
	s.after(f.At+f.For-s.now, func() { s.set(f, nil, false) })
}

// Guards against routers that forward to two owners of an unguarded service, and against one that stays unconfirmed
// after the faults have ended, under any combination of faults.
func TestDirectSchedules(t *testing.T) {
	kinds := []string{
		"pause-daemon", "restart-daemon", "pause-router", "cut-peers", "hand-over", "servers", "servers", "table-outage",
		"table-answers-lost", "lossy",
	}
	rapid.Check(t, func(t *rapid.T) {
		s := newDirectSim(rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(0, 8).Draw(t, "faults") {
			f := faultGenerator.Draw(t, "fault")
			f.Kind = rapid.SampledFrom(kinds).Draw(t, "kind")
			s.inject(f)
		}
		s.run(warmUp + 6500*time.Millisecond)
		s.heal()
		s.run(s.now + 2*authority + 3*time.Second)
		for i, r := range s.routers {
			for _, key := range keys {
				if found, _, confirmed := r.confirmed.Locate(local(&r.process, s.now), key); !confirmed || found.Owner == "" {
					s.fail("router %d has no owner for key %d", i, key)
				}
			}
		}
		if s.failure != "" {
			t.Fatal(s.failure)
		}
	})
}
