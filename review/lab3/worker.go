package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Worker is a stand-in of a worker: it registers itself, serves requests in slots and, if it is keyed, takes grants.
type Worker struct {
	lab          *Lab
	id, service  string
	zone         string
	slots, queue int
	keyed        bool
	work         time.Duration
	// answer, if set, is called with each request of a client before the worker takes it, and returns true if it has answered.
	answer func(w *Worker, rw http.ResponseWriter, r *http.Request) bool
	// leavingHeader makes the worker say in its answers that it leaves.
	born     int64
	listener net.Listener
	server   *http.Server
	taken    chan struct{}

	mu sync.Mutex
	// state and the fields below are guarded by mu. holds lists the grants, seen the fences of all orders.
	state       string
	seq         int
	holds, seen []hold
	waiting     int
	registered  bool
	stopBeats   chan struct{}
	stopped     bool
}

// hold is a range of keys, both ends inclusive, its fence and the end of the grant.
type hold struct {
	from, to, fence int
	until           time.Time
}

// startWorker starts a worker on a free port and registers it.
func (l *Lab) startWorker(w *Worker) *Worker {
	w.lab = l
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	w.listener, w.taken, w.born = listener, make(chan struct{}, w.slots), time.Now().UnixMilli()
	w.state, w.stopBeats = "ready", make(chan struct{})
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(listener) }()
	w.register("ready")
	go w.beat()
	return w
}

// register writes the entry of the worker and returns when that was acknowledged.
func (w *Worker) register(state string) time.Time {
	w.mu.Lock()
	w.state, w.registered = state, true
	w.seq++
	entry := map[string]any{
		"service": w.service, "address": w.listener.Addr().String(), "zone": w.zone, "version": "v1", "slots": w.slots,
		"state": state, "coldLeftS": 0, "seqNo": w.seq, "born": w.born,
	}
	w.mu.Unlock()
	return w.lab.store.put("servers", w.id, entry)
}

// beat renews the entry until the worker stops.
func (w *Worker) beat() {
	for {
		select {
		case <-w.stopBeats:
			return
		case <-time.After(heartbeat):
		}
		w.mu.Lock()
		registered, state := w.registered, w.state
		w.mu.Unlock()
		if registered {
			w.register(state)
		}
	}
}

// unregister removes the entry, as the store does after three beats of silence, and returns when that was acknowledged.
func (w *Worker) unregister() time.Time {
	w.mu.Lock()
	w.registered = false
	w.mu.Unlock()
	return w.lab.store.remove("servers", w.id)
}

// stop ends the worker and removes its entry.
func (w *Worker) stop() {
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		return
	}
	w.stopped = true
	w.mu.Unlock()
	close(w.stopBeats)
	w.unregister()
	_ = w.server.Close()
}

// hasStopped reports whether the worker has ended.
func (w *Worker) hasStopped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped
}

func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/grant", "/release":
		w.order(rw, r)
	case "/healthz":
		rw.Header().Set("Rosemarywick-Instance-Id", w.id)
	default:
		w.request(rw, r)
	}
}

// misdirected answers that the worker has not run the request.
func (w *Worker) misdirected(rw http.ResponseWriter) {
	rw.Header().Set("Rosemarywick-Instance-Id", w.id)
	rw.Header().Set("Rosemarywick-Not-Executed", "1")
	rw.WriteHeader(http.StatusMisdirectedRequest)
}

// order applies a grant or a release.
func (w *Worker) order(rw http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Rosemarywick-Expect-Instance"); expected != "" && expected != w.id {
		w.misdirected(rw)
		return
	}
	var order struct {
		From, Target, Fence int
		HoldS               float64
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || !w.keyed {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.URL.Path == "/release" {
		w.seen = append(w.seen, hold{from: order.From, to: order.Target, fence: order.Fence})
		w.cut(order.From, order.Target)
		rw.Header().Set("Rosemarywick-Handover", fmt.Sprintf("%x", order.Fence))
		return
	}
	for _, seen := range w.seen {
		if seen.from <= order.Target && order.From <= seen.to && seen.fence > order.Fence {
			rw.WriteHeader(http.StatusConflict)
			return
		}
	}
	next := hold{order.From, order.Target, order.Fence, time.Now().Add(time.Duration(order.HoldS * float64(time.Second)))}
	w.cut(order.From, order.Target)
	w.seen, w.holds = append(w.seen, next), append(w.holds, next)
}

// cut removes a range from the holds. The caller holds mu.
func (w *Worker) cut(from, to int) {
	var rest []hold
	for _, held := range w.holds {
		if held.to < from || held.from > to {
			rest = append(rest, held)
			continue
		}
		if held.from < from {
			rest = append(rest, hold{held.from, from - 1, held.fence, held.until})
		}
		if held.to > to {
			rest = append(rest, hold{to + 1, held.to, held.fence, held.until})
		}
	}
	w.holds = rest
}

// holdsKey reports whether the worker holds a key.
func (w *Worker) holdsKey(key int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, held := range w.holds {
		if held.from <= key && key <= held.to && now.Before(held.until) {
			return true
		}
	}
	return false
}

// request serves a request of a client.
func (w *Worker) request(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Rosemarywick-Attempt-Id")
	rw.Header().Set("Rosemarywick-Attempt-Id", id)
	if expected := r.Header.Get("Rosemarywick-Expect-Instance"); expected != "" && expected != w.id {
		w.misdirected(rw)
		return
	}
	if w.answer != nil && w.answer(w, rw, r) {
		return
	}
	if key, err := strconv.Atoi(r.Header.Get("Rosemarywick-Shard-Key")); w.keyed && (err != nil || !w.holdsKey(key)) {
		w.misdirected(rw)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	arrived := time.Now()
	w.lab.note("reached", id, "worker "+w.id)
	w.lab.arrived(w, id, arrived)
	w.mu.Lock()
	if w.waiting >= w.queue+w.slots {
		w.mu.Unlock()
		rw.Header().Set("Rosemarywick-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.waiting++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.waiting--
		w.mu.Unlock()
	}()
	select {
	case w.taken <- struct{}{}:
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	defer func() { <-w.taken }()
	w.lab.ran(w, id)
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		w.lab.drop(w, id)
		panic(http.ErrAbortHandler)
	}
	body := "answer of " + w.id + " to " + id
	rw.Header().Set("Rosemarywick-Response-Signature", "sig-"+w.id+"-"+id)
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(rw, body)
}
