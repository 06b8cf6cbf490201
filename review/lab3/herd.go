package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// applyBound is configApplyS in the settings, and applySlack what is left for the scheduling of the script itself.
const (
	applyBound = 2 * time.Second
	applySlack = 50 * time.Millisecond
)

// followedRecently reports whether a daemon has asked the store for changes within the last second and a half, as only those do
// that follow the store for the others of their zone.
func (d *Daemon) followedRecently() bool {
	return time.Since(time.Unix(0, d.door.feeds.Load())) < 1500*time.Millisecond
}

// playHerd kills the daemons that follow the store, one in each of four zones, at the moment at which a change is acknowledged, and
// starts them again after 2 s.
func playHerd(l *Lab) string {
	return playRelays(l, 4, false, 2*time.Second, func(d *Daemon) { d.signal(syscall.SIGKILL) }, func(d *Daemon) {
		<-d.ended
		d.start()
	})
}

// playTurnedAway makes the store answer nothing to these daemons for 5 s, while it serves the others.
func playTurnedAway(l *Lab) string {
	return playRelays(l, 9, true, 5*time.Second, func(d *Daemon) {
		l.note("silent", "", fmt.Sprintf("the store answers nothing to daemon %d", d.number))
		d.door.silent.Store(true)
	}, func(d *Daemon) { d.door.silent.Store(false) })
}

// playRelays disturbs the daemons that follow the store, one in each of four zones, at the moment at which a change is acknowledged,
// in a number of rounds.
// With keyed, the deployment also has a service that is divided by key.
func playRelays(l *Lab, rounds int, keyed bool, length time.Duration, disturb, repair func(*Daemon)) string {
	services := []service{{"old", false, 45}, {"new", false, 45}}
	version := 7
	put := func(target string) time.Time {
		version += 2
		return l.store.put("op", "config", configuration(version, []route{{"/read/", "safe", target, 1.5, 0.6, 2}}, services))
	}
	if keyed {
		services = append(services, service{"records", true, 45})
	}
	put("old")
	var workers []*Worker
	zones := []string{"a", "b", "c", "d"}
	for i := range 8 {
		workers = append(workers, l.startWorker(&Worker{
			id: fmt.Sprintf("i-%d", i), service: []string{"old", "new"}[i/4], zone: zones[i%4], slots: 6, queue: 8,
			work: 20 * time.Millisecond,
		}))
	}
	if keyed {
		for i := range 4 {
			workers = append(workers, l.startWorker(&Worker{
				id: fmt.Sprintf("k-%d", i), service: "records", zone: zones[i], slots: 6, queue: 8, keyed: true, work: 20 * time.Millisecond,
			}))
		}
	}
	defer func() {
		for _, w := range workers {
			w.stop()
		}
	}()
	l.startDaemons([]string{"a", "a", "a", "b", "b", "b", "c", "c", "c", "d", "d", "d"}, "")
	time.Sleep(5 * time.Second)

	broken, target := "", "old"
	for round := 0; round < rounds && broken == ""; round++ {
		var disturbed, calm []*Daemon
		for _, d := range l.daemons {
			if d.followedRecently() && len(disturbed) < 4 {
				disturbed = append(disturbed, d)
			} else {
				calm = append(calm, d)
			}
		}
		old := target
		target = map[string]string{"old": "new", "new": "old"}[target]
		if l.trouble {
			for _, d := range disturbed {
				disturb(d)
			}
		}
		acknowledged := put(target)
		l.note("config", "", fmt.Sprintf("version %d moves the route to %s, acknowledged", version, target))
		// Each daemon that was not disturbed gets a request every 20 ms.
		var clients sync.WaitGroup
		var mu sync.Mutex
		late, first := 0, ""
		for _, d := range calm {
			clients.Go(func() {
				for time.Since(acknowledged) < 4*time.Second {
					id, sent := l.nextID(), time.Now()
					l.call(d, http.MethodGet, "/read/x", id, "", 1500*time.Millisecond)
					l.mu.Lock()
					for _, a := range l.arrivals[id] {
						if after := sent.Sub(acknowledged); a.worker.service == old && after > applyBound+applySlack {
							mu.Lock()
							if late++; first == "" {
								first = fmt.Sprintf("%s, sent to daemon %d %d ms after the acknowledgement, was run by a worker of %s",
									id, d.number, after.Milliseconds(), old)
							}
							mu.Unlock()
						}
					}
					l.mu.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		time.Sleep(length)
		if l.trouble {
			for _, d := range disturbed {
				repair(d)
			}
		}
		clients.Wait()
		l.note("checked", "", fmt.Sprintf("round %d: %d daemons disturbed, %d calm, %d requests handled by the older version", round,
			len(disturbed), len(calm), late))
		if late > 0 {
			broken = fmt.Sprintf("CONFIG: %d requests, one of them: %s (bound 2000 ms)", late, first)
		}
		time.Sleep(5 * time.Second)
	}
	return broken
}
