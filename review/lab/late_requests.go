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
	// graceS is that of the large deployment, and lateSend how long after the SIGTERM the requests are sent.
	graceS   = 10
	lateSend = 4 * time.Second
	// usualWork and longWork are how long workers take for most requests and for those that are sent late, and lateDeadline is how
	// long clients wait. The sheet of the large deployment names 1,700 ms on average, and its site file 13 s at most.
	usualWork    = 1700 * time.Millisecond
	longWork     = 5600 * time.Millisecond
	lateDeadline = 12 * time.Second
	lateCount    = 20
)

// work is when workers were at work on requests.
type work struct {
	mu    sync.Mutex
	begun map[string]time.Time
}

// lateRequests sends requests on open connections, 4 s after the SIGTERM of their daemon.
func lateRequests(r *rig, trouble bool) (int, error) {
	runs := &work{begun: make(map[string]time.Time)}
	for i := range 4 {
		w := &worker{ID: fmt.Sprintf("i-%08x", i+1), Service: "sensores", Zone: "agadir-a", Slots: 20}
		w.Respond = func(rw http.ResponseWriter, q *http.Request) bool { return runs.respond(r, w, rw, q) }
		if err := r.addWorker(w); err != nil {
			return notRun, err
		}
	}
	r.configure(1, 1<<20,
		[]route{{Host: "signals.example", Prefix: "/status/", Type: "safe", Service: "sensores", TimeoutS: 12, Attempts: 2}},
		[]service{{Name: "sensores", MaxConns: 400}})
	for range 2 {
		if _, err := r.addDaemon("agadir-a", "bounds.graceS", fmt.Sprint(graceS), "bounds.stableWindowS", "4", "bounds.drainS", "3",
			"bounds.configApplyS", "3", "bounds.ackS", "5", "bounds.catchUpS", "6", "bounds.maxSkewS", "6"); err != nil {
			return notRun, err
		}
	}
	stopping := r.daemons[0]
	if err := r.awaitReady(); err != nil {
		return notRun, err
	}
	time.Sleep(2 * time.Second)
	clients, err := openUsed(r, stopping)
	if err != nil {
		return notRun, err
	}
	time.Sleep(3 * time.Second)
	stopped := time.Now()
	if trouble {
		r.note("SIGTERM to %s", stopping.name)
		stopping.signal(syscall.SIGTERM)
	}
	time.Sleep(time.Until(stopped.Add(lateSend)))
	var answered, refused, lost, others atomic.Int64
	var wait sync.WaitGroup
	for i, c := range clients {
		wait.Go(func() {
			id := fmt.Sprintf("late-%d", i)
			sent := time.Now()
			r.note("client sends %s, %.2f s after the SIGTERM", id, sent.Sub(stopped).Seconds())
			got, err := c.get("signals.example", "/status/long", id, lateDeadline)
			took := time.Since(sent)
			runs.mu.Lock()
			_, ran := runs.begun[id]
			runs.mu.Unlock()
			r.note("client gets for %s: status %d, signed %v, error %v, %.2f s after the SIGTERM; begun by a worker: %v", id, got.status,
				got.signed, err, time.Since(stopped).Seconds(), ran)
			switch {
			case err == nil && got.signed:
				answered.Add(1)
			case err == nil && !ran:
				refused.Add(1)
			case ran && took < min(longWork, lateDeadline):
				lost.Add(1)
			default: // the connection ended before the request was passed on, which a client can't tell from one that was not read
				others.Add(1)
			}
		})
	}
	wait.Wait()
	r.say("late requests: %d answered by a worker, %d refused, %d broken off while a worker was at work, %d others", answered.Load(),
		refused.Load(), lost.Load(), others.Load())
	if lost.Load() > 0 {
		return broken, nil
	}
	return held, nil
}

// respond takes its time for a request, and answers it.
func (k *work) respond(r *rig, w *worker, rw http.ResponseWriter, q *http.Request) bool {
	attempt, duration := q.Header.Get("Rosemarywick-Attempt-Id"), usualWork
	if q.URL.Path == "/status/long" {
		duration = longWork
	}
	k.mu.Lock()
	k.begun[attempt] = time.Now()
	k.mu.Unlock()
	r.note("worker %s begins %s", w.ID, attempt)
	select {
	case <-time.After(duration):
		r.note("worker %s ends %s", w.ID, attempt)
	case <-q.Context().Done():
		r.note("worker %s: the connection of %s ended while it was at work", w.ID, attempt)
	}
	rw.Header().Set("Rosemarywick-Attempt-Id", attempt)
	rw.Header().Set("Rosemarywick-Response-Signature", w.ID+"."+attempt)
	_, _ = fmt.Fprint(rw, "status of "+attempt) // the client notices a broken connection
	return true
}

// openUsed opens connections to a daemon and sends usual requests on them, so that the daemon knows how long they take.
func openUsed(r *rig, d *daemon) ([]*client, error) {
	const perClient = 3
	clients := make([]*client, lateCount)
	var served atomic.Int64
	var wait sync.WaitGroup
	for i := range clients {
		c, err := dial(d)
		if err != nil {
			return nil, err
		}
		clients[i] = c
		wait.Go(func() {
			for n := range perClient {
				if got, err := c.get("signals.example", "/status/usual", fmt.Sprintf("usual-%d-%d", i, n), lateDeadline); err == nil && got.signed {
					served.Add(1)
				}
			}
		})
	}
	wait.Wait()
	r.note("usual requests answered: %d of %d", served.Load(), perClient*lateCount)
	if served.Load() < perClient*lateCount {
		return nil, fmt.Errorf("only %d usual requests were answered", served.Load())
	}
	return clients, nil
}
