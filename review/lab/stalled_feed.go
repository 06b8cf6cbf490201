package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// The figures of the case.
const (
	feedStable = 3 * time.Second // stableWindowS
	feedApply  = 2 * time.Second // configApplyS
	// feedMargin is added to both.
	feedMargin = 300 * time.Millisecond
	// feedRoutes makes the configuration a large one, as after a change that adds many routes.
	feedRoutes = 250
	// passedBytes is how much of the response with the change arrives before its connection falls silent.
	passedBytes = 8 << 10
	feedFor     = 12 * time.Second
)

// stalledFeed makes one connection to the store fall silent while it carries a change of the configuration. After that, the
// operator moves a route to another service and adds one.
func stalledFeed(r *rig, trouble bool) (int, error) {
	var ranOld atomic.Int64
	for i, name := range []string{"archives", "archives", "fiches", "fiches"} {
		w := &worker{ID: fmt.Sprintf("i-%08x", i+1), Service: name, Zone: "agadir-a", Slots: 8, Work: 20 * time.Millisecond}
		w.OnRun = func(w *worker, attempt string, _ int) {
			r.note("worker %s of %s runs %s", w.ID, w.Service, attempt)
			if w.Service == "archives" && strings.HasPrefix(attempt, "late-") {
				ranOld.Add(1)
			}
		}
		if err := r.addWorker(w); err != nil {
			return notRun, err
		}
	}
	path, err := startProxy(r.store.address())
	if err != nil {
		return notRun, err
	}
	routes := []route{{Host: "hist.example", Prefix: "/history/", Type: "safe", Service: "archives", TimeoutS: 3, Attempts: 2}}
	for i := range feedRoutes {
		routes = append(routes, route{
			Host: "hist.example", Prefix: fmt.Sprintf("/year-%d/", i), Type: "safe", Service: "archives", TimeoutS: 3, Attempts: 2,
		})
	}
	services := []service{{Name: "archives", MaxConns: 100}, {Name: "fiches", MaxConns: 100}}
	r.configure(1, 1<<20, routes, services)
	for range 2 {
		if _, err := r.addDaemon("agadir-a", "platform.address", path.address()); err != nil {
			return notRun, err
		}
	}
	if err := r.awaitReady(); err != nil {
		return notRun, err
	}
	time.Sleep(4 * time.Second)
	var silenced atomic.Bool
	if trouble {
		path.setSilence(func(request, piece []byte) int {
			line, _, _ := bytes.Cut(request, []byte("\r\n"))
			if len(piece) < passedBytes || !bytes.HasPrefix(line, []byte("GET /rows-feed?")) || !bytes.Contains(line, []byte("table=op")) ||
				!silenced.CompareAndSwap(false, true) {
				return -1
			}
			r.note("a connection to the store falls silent in the middle of the response to %s", line)
			return passedBytes
		})
	}
	routes[0].TimeoutS = 2.5
	r.configure(2, 1<<20, routes, services)
	second := time.Now()
	r.note("version 2 is acknowledged")
	time.Sleep(feedMargin)
	if trouble && !silenced.Load() {
		return notRun, fmt.Errorf("no response with version 2 was seen")
	}
	time.Sleep(time.Until(second.Add(feedMargin + feedStable + feedMargin)))
	routes[0].Service = "fiches"
	routes = append(routes, route{Host: "hist.example", Prefix: "/new/", Type: "safe", Service: "fiches", TimeoutS: 3, Attempts: 2})
	r.configure(3, 1<<20, routes, services)
	third := time.Now()
	r.note("version 3 is acknowledged: /history/ goes to fiches, and /new/ is added")
	refused, first := 0, make(map[string]time.Duration)
	for n := 0; time.Since(third) < feedFor; n++ {
		for _, d := range r.daemons {
			sent := time.Since(third)
			id := fmt.Sprintf("early-%s-%d", d.name, n)
			if sent > feedApply+feedMargin {
				id = fmt.Sprintf("late-%s-%d", d.name, n)
			}
			added, moved := ask(d, "/new/x", id+"-new"), ask(d, "/history/x", id+"-history")
			r.note("%s, sent %.2f s after the acknowledgement: /new/ %d, /history/ %d", id, sent.Seconds(), added, moved)
			if added == http.StatusNotFound && sent > feedApply+feedMargin {
				refused++
			}
			if _, known := first[d.name]; !known && added == http.StatusOK {
				first[d.name] = sent
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.say("requests sent later than %v after the acknowledgement: %d refused with 404 though the route is there, %d run by the old service; "+
		"new route first served after %v", feedApply+feedMargin, refused, ranOld.Load(), first)
	if refused > 0 || ranOld.Load() > 0 {
		return broken, nil
	}
	return held, nil
}

// ask sends a request on a new connection and returns the status of the answer, or zero if there is none.
func ask(d *daemon, path, id string) int {
	c, err := dial(d)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	got, err := c.get("hist.example", path, id, 3*time.Second)
	if err != nil {
		return 0
	}
	return got.status
}
