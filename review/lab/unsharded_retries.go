package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The figures of the case.
const (
	// The retry budget of the settings: in each window, the arrivals beyond the first of each request.
	budgetRatio = 0.2
	budgetBurst = 62
	// budgetTime is shorter than the window of 10 s, so that all lies in one.
	budgetTime     = 8500 * time.Millisecond
	budgetDaemons  = 6
	budgetPause    = 100 * time.Millisecond
	budgetDeadline = 3 * time.Second
	// Of rejectingOf requests, workers reject rejecting ones.
	rejecting, rejectingOf = 11, 20
)

// unshardedRetries has workers that reject part of their requests, in a deployment none of whose services is divided by key.
func unshardedRetries(r *rig, trouble bool) (int, error) {
	var arrivals, runs atomic.Int64
	var rejects atomic.Bool
	for i := range 4 {
		w := &worker{ID: fmt.Sprintf("i-%08x", i+1), Service: "archives", Zone: "agadir-a", Slots: 8, Work: 20 * time.Millisecond}
		w.OnArrival = func(w *worker, q *http.Request) {
			arrivals.Add(1)
			r.note("worker %s gets %s", w.ID, q.Header.Get("Rosemarywick-Attempt-Id"))
		}
		w.Respond = func(rw http.ResponseWriter, q *http.Request) bool {
			if !rejects.Load() || runs.Add(1)%rejectingOf >= rejecting {
				return false
			}
			rw.Header().Set("Rosemarywick-Attempt-Id", q.Header.Get("Rosemarywick-Attempt-Id"))
			rw.Header().Set("Rosemarywick-Not-Executed", "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
		if err := r.addWorker(w); err != nil {
			return notRun, err
		}
	}
	r.configure(1, 1<<20,
		[]route{{Host: "hist.example", Prefix: "/history/", Type: "safe", Service: "archives", TimeoutS: 3, Attempts: 2}},
		[]service{{Name: "archives", MaxConns: 100}})
	for range budgetDaemons {
		if _, err := r.addDaemon("agadir-a"); err != nil {
			return notRun, err
		}
	}
	if err := r.awaitReady(); err != nil {
		return notRun, err
	}
	time.Sleep(4 * time.Second)
	rejects.Store(trouble)
	r.note("workers reject part of their requests: %v", trouble)
	var sent, served atomic.Int64
	var wait sync.WaitGroup
	end := time.Now().Add(budgetTime)
	for i, d := range r.daemons {
		for k := range 2 {
			wait.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					c, err := dial(d)
					if err != nil {
						continue
					}
					sent.Add(1)
					if got, err := c.get("hist.example", "/history/x", fmt.Sprintf("h-%d-%d-%d", i, k, n), budgetDeadline); err == nil && got.status == http.StatusOK {
						served.Add(1)
					}
					_ = c.Close()
					time.Sleep(budgetPause)
				}
			})
		}
	}
	wait.Wait()
	extra, allowed := arrivals.Load()-sent.Load(), budgetRatio*float64(sent.Load())+budgetBurst
	r.say("%d requests, %d served, %d arrivals: %d beyond the first, where %.0f are allowed", sent.Load(), served.Load(), arrivals.Load(), extra, allowed)
	if float64(extra) > allowed {
		return broken, nil
	}
	return held, nil
}
