package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker is a sound stand-in of a worker. The exported fields are set before start.
type worker struct {
	ID, Service, Zone string
	Slots             int
	Sharded           bool
	// Work is how long a request takes. Size is the length of an answer.
	Work time.Duration
	Size int
	// Respond, if set, answers a request in place of the worker. It returns false to leave the request to the worker.
	Respond func(rw http.ResponseWriter, r *http.Request) bool
	// OnArrival, if set, is called with each request but orders and health checks.
	OnArrival func(w *worker, r *http.Request)
	// OnRun, if set, is called with the id of each request that begins to run, and its key.
	OnRun func(w *worker, attempt string, key int)

	listener net.Listener
	server   *http.Server
	born     int64

	mu      sync.Mutex
	state   string
	beats   int
	held    []heldRange
	seen    []heldRange
	running map[int]int
	idle    *sync.Cond
}

// heldRange is a range of keys with its fence. until is when a grant ends.
type heldRange struct {
	from, to, fence int
	until           time.Time
}

// start starts a worker on a free port.
func (w *worker) start(s *store) error {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.listener, w.born, w.state, w.running = listener, time.Now().UnixMilli(), "ready", make(map[int]int)
	w.idle = sync.NewCond(&w.mu)
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(listener) }()
	go func() {
		for {
			if !w.beat(s) {
				return
			}
			time.Sleep(1500 * time.Millisecond)
		}
	}()
	return nil
}

// beat writes the entry of the worker, and returns false if it has exited.
func (w *worker) beat(s *store) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == "gone" {
		return false
	}
	w.beats++
	content, _ := json.Marshal(map[string]any{
		"service": w.Service, "address": w.listener.Addr().String(), "zone": w.Zone, "version": "v1", "slots": w.Slots,
		"state": w.state, "coldLeftS": 0, "seqNo": w.beats, "born": w.born,
	})
	s.put("servers", w.ID, content)
	return true
}

// setState writes the entry with another state.
func (w *worker) setState(s *store, state string) {
	w.mu.Lock()
	w.state = state
	w.mu.Unlock()
	w.beat(s)
}

// exit ends the worker, whose entry is removed. Work that is not done ends with its connection.
func (w *worker) exit(s *store) {
	w.mu.Lock()
	w.state = "gone"
	w.mu.Unlock()
	s.put("servers", w.ID, nil)
	_ = w.server.Close()
}

// serve serves orders, health checks and requests.
func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Rosemarywick-Expect-Instance"); expected != "" && expected != w.ID {
		w.misdirected(rw, r)
		return
	}
	switch r.URL.Path {
	case "/grant", "/release":
		w.order(rw, r)
		return
	case "/healthz":
		rw.Header().Set("Rosemarywick-Instance-Id", w.ID)
		return
	}
	if w.OnArrival != nil {
		w.OnArrival(w, r)
	}
	if w.Respond != nil && w.Respond(rw, r) {
		return
	}
	w.run(rw, r)
}

// misdirected answers that the worker did not run a request.
func (w *worker) misdirected(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("Rosemarywick-Attempt-Id", r.Header.Get("Rosemarywick-Attempt-Id"))
	rw.Header().Set("Rosemarywick-Instance-Id", w.ID)
	rw.Header().Set("Rosemarywick-Not-Executed", "1")
	rw.WriteHeader(http.StatusMisdirectedRequest)
}

// run runs a request.
func (w *worker) run(rw http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Rosemarywick-Attempt-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	key := -1
	if w.Sharded {
		number, err := strconv.Atoi(r.Header.Get("Rosemarywick-Shard-Key"))
		w.mu.Lock()
		if err != nil || !w.holdsLocked(number) {
			w.mu.Unlock()
			w.misdirected(rw, r)
			return
		}
		key = number
		w.running[key]++
		w.mu.Unlock()
		defer func() {
			w.mu.Lock()
			w.running[key]--
			w.idle.Broadcast()
			w.mu.Unlock()
		}()
	}
	if w.OnRun != nil {
		w.OnRun(w, attempt, key)
	}
	select {
	case <-time.After(w.Work):
	case <-r.Context().Done():
		return
	}
	rw.Header().Set("Rosemarywick-Attempt-Id", attempt)
	rw.Header().Set("Rosemarywick-Response-Signature", w.ID+"."+attempt)
	rw.Header().Set("Content-Type", "application/octet-stream")
	if w.Size == 0 {
		_, _ = fmt.Fprintf(rw, "%s ran %s", w.ID, attempt)
		return
	}
	rw.Header().Set("Content-Length", strconv.Itoa(w.Size))
	_, _ = io.CopyN(rw, zeros{}, int64(w.Size)) // the client notices a broken connection
}

// zeros is read without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// holdsLocked reports whether the worker holds a key now.
func (w *worker) holdsLocked(key int) bool {
	now := time.Now()
	for _, held := range w.held {
		if held.from <= key && key <= held.to && held.until.After(now) {
			return true
		}
	}
	return false
}

// order applies a grant or a release.
func (w *worker) order(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		From, Target, Fence int
		HoldS               float64
	}
	arrived := time.Now()
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || !w.Sharded {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.URL.Path == "/grant" {
		for _, seen := range w.seen {
			if seen.from <= o.Target && o.From <= seen.to && seen.fence > o.Fence {
				rw.WriteHeader(http.StatusConflict)
				return
			}
		}
		until := arrived.Add(time.Duration(o.HoldS * float64(time.Second)))
		w.seen = append(w.seen, heldRange{from: o.From, to: o.Target, fence: o.Fence})
		w.held = append(w.cutLocked(o.From, o.Target), heldRange{from: o.From, to: o.Target, fence: o.Fence, until: until})
		return
	}
	w.seen = append(w.seen, heldRange{from: o.From, to: o.Target, fence: o.Fence})
	w.held = w.cutLocked(o.From, o.Target)
	for w.busyLocked(o.From, o.Target) {
		w.idle.Wait()
	}
	rw.Header().Set("Rosemarywick-Handover", w.ID)
}

// cutLocked returns what is held without a range.
func (w *worker) cutLocked(from, to int) []heldRange {
	var rest []heldRange
	for _, held := range w.held {
		if held.from < from {
			left := held
			left.to = min(left.to, from-1)
			rest = append(rest, left)
		}
		if held.to > to {
			right := held
			right.from = max(right.from, to+1)
			rest = append(rest, right)
		}
	}
	return rest
}

// busyLocked reports whether work on a range runs.
func (w *worker) busyLocked(from, to int) bool {
	for key, count := range w.running {
		if count > 0 && from <= key && key <= to {
			return true
		}
	}
	return false
}
