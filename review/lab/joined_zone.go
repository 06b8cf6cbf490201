package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The figures of the case.
const (
	joinedZoneName = "taroudant-e"
	evacuateAfter  = 5 * time.Second // evacuateS
	zoneMargin     = 300 * time.Millisecond
	zoneDaemons    = 2
	zonePause      = 50 * time.Millisecond
	// zoneSettles is how long the daemons and workers run before the next step.
	zoneSettles = 5 * time.Second
	// zoneWatch is how long arrivals are counted after the zone must be empty.
	zoneWatch = 10 * time.Second
)

// joinedZone evacuates a zone. With trouble, the zone joined after the start of the daemons: their settings files were changed, and
// they got SIGHUP.
func joinedZone(r *rig, trouble bool) (int, error) {
	settings := []string{"bounds.evacuateS", fmt.Sprint(evacuateAfter.Seconds()), "bounds.coldOverage", "1.5", "bounds.coldSlack", "8"}
	joined := []string{"zones." + joinedZoneName, "ma-south"}
	if !trouble {
		settings = append(settings, joined...)
	}
	r.configure(1, 1<<20,
		[]route{{Host: "hist.example", Prefix: "/history/", Type: "safe", Service: "archives", TimeoutS: 3, Attempts: 2}},
		[]service{{Name: "archives", MaxConns: 100}})
	for range zoneDaemons {
		if _, err := r.addDaemon("agadir-a", settings...); err != nil {
			return notRun, err
		}
	}
	var before, late atomic.Int64
	var emptyFrom atomic.Pointer[time.Time]
	addWorkers := func(zone string, first int) error {
		for i := range 2 {
			w := &worker{ID: fmt.Sprintf("i-%08x", first+i), Service: "archives", Zone: zone, Slots: 8, Work: 20 * time.Millisecond}
			w.OnArrival = func(w *worker, q *http.Request) {
				if w.Zone != joinedZoneName {
					return
				}
				r.note("worker %s in %s gets %s", w.ID, w.Zone, q.Header.Get("Rosemarywick-Attempt-Id"))
				if from := emptyFrom.Load(); from == nil {
					before.Add(1)
				} else if time.Now().After(*from) {
					late.Add(1)
				}
			}
			if err := r.addWorker(w); err != nil {
				return err
			}
		}
		return nil
	}
	if err := addWorkers("agadir-a", 1); err != nil {
		return notRun, err
	}
	if err := r.awaitReady(); err != nil {
		return notRun, err
	}
	time.Sleep(zoneSettles)
	if trouble {
		for _, d := range r.daemons {
			if err := d.change(joined...); err != nil {
				return notRun, err
			}
			r.note("the settings file of %s names the zone %s now; SIGHUP", d.name, joinedZoneName)
			d.signal(syscall.SIGHUP)
		}
		time.Sleep(zoneSettles)
	}
	if err := addWorkers(joinedZoneName, 11); err != nil {
		return notRun, err
	}
	stop := make(chan struct{})
	var served atomic.Int64
	var wait sync.WaitGroup
	for i, d := range r.daemons {
		wait.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(zonePause):
				}
				if ask(d, "/history/x", fmt.Sprintf("h-%d-%d", i, n)) == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	time.Sleep(2 * zoneSettles)
	if before.Load() == 0 {
		return notRun, fmt.Errorf("the workers of the zone get no requests before it is evacuated")
	}
	r.store.put("op", "evacuate/"+joinedZoneName, []byte("{}"))
	empty := time.Now().Add(evacuateAfter + zoneMargin)
	emptyFrom.Store(&empty)
	r.note("the evacuation of %s is acknowledged", joinedZoneName)
	time.Sleep(evacuateAfter + zoneMargin + zoneWatch)
	close(stop)
	wait.Wait()
	r.say("%d requests served; workers of the zone got %d before the evacuation, and %d later than %v after its acknowledgement", served.Load(),
		before.Load(), late.Load(), evacuateAfter+zoneMargin)
	if late.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
