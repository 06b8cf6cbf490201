package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The figures of the case.
const (
	joinedZoneName = "taroudant-e"
	evacuateAfter  = 5 * time.Second // evacuateS
	zoneMargin     = 300 * time.Millisecond
	zoneDaemons    = 2
	zoneClients    = 12
	zoneWork       = 210 * time.Millisecond
	// zoneSettles is how long the daemons and workers run before the next step.
	zoneSettles = 5 * time.Second
	// zoneServes is how long after the acknowledgement of the evacuation the workers of the zone exit.
	zoneServes = 10 * time.Second
)

// joinedZone evacuates a zone, whose workers exit some seconds after it must be empty. With trouble, the zone joined after the start of
// the daemons: their settings files were changed, and they got SIGHUP.
func joinedZone(r *rig, trouble bool) (int, error) {
	settings := []string{"bounds.evacuateS", fmt.Sprint(evacuateAfter.Seconds()), "bounds.coldOverage", "1.5", "bounds.coldSlack", "8"}
	joined := []string{"zones." + joinedZoneName, "ma-south"}
	if !trouble {
		settings = append(settings, joined...)
	}
	r.configure(1, 1<<20, orderRoute("commande"), []service{{Name: "commande", MaxConns: 45}})
	for range zoneDaemons {
		if _, err := r.addDaemon("agadir-a", settings...); err != nil {
			return notRun, err
		}
	}
	orders := &orderBook{allowed: evacuateAfter + zoneMargin}
	addWorkers := func(zone string, first int) error {
		for i := range 4 {
			w := &worker{ID: fmt.Sprintf("i-%08x", first+i), Service: "commande", Zone: zone, Slots: 2, Work: zoneWork}
			w.OnArrival = func(w *worker, q *http.Request) { orders.arrived(r, w, q.Header.Get("Rosemarywick-Attempt-Id")) }
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
	ofZone := r.workers[4:]
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range zoneClients {
		clients.Go(func() { orders.place(r, r.daemons[i%len(r.daemons)], i, stop) })
	}
	defer clients.Wait()
	defer close(stop)
	time.Sleep(2 * zoneSettles)
	r.store.put("op", "evacuate/"+joinedZoneName, []byte("{}"))
	orders.leave(ofZone...)
	r.note("the evacuation of %s is acknowledged", joinedZoneName)
	time.Sleep(zoneServes)
	for _, w := range ofZone {
		r.note("%s exits", w.ID)
		w.exit(r.store)
	}
	time.Sleep(2 * time.Second)
	late, lost, served := orders.sums()
	r.say("%d orders served; %d reached workers of the zone later than %v after the acknowledgement of its evacuation; %d were at work there "+
		"when these exited and got no answer of a worker", served, late, evacuateAfter+zoneMargin, lost)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
