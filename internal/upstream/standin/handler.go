package standin

import (
	"encoding/json"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/upstream/grants"
)

// Fault is a fault that is injected into the handling of one request.
type Fault string

const (
	// FaultNone handles the request normally.
	FaultNone Fault = ""
	// FaultReject rejects the request and states that it was not run, as an overloaded worker does.
	FaultReject Fault = "shed"
	// FaultNotOwner rejects the request as if the worker did not own the key.
	FaultNotOwner Fault = "not-owner"
	// FaultResetBeforeBody resets the connection before the request body is read.
	FaultResetBeforeBody Fault = "reset-during"
	// FaultResetAfterBody resets the connection after the request body is read, without running the request.
	FaultResetAfterBody Fault = "reset-after"
	// FaultResetAfterRun runs the request and resets the connection before the response.
	FaultResetAfterRun Fault = "lost"
	// FaultTruncate runs the request and resets the connection in the middle of the response.
	FaultTruncate Fault = "truncate"
	// FaultSlow runs the request and delays the response by 80 ms.
	FaultSlow Fault = "slow"
	// FaultNoResponse runs the request and does not respond until the client has closed the connection.
	FaultNoResponse Fault = "silent"
	// FaultStall runs a download and is silent for stallDelay between the head of the response and its body.
	FaultStall Fault = "stall"
)

// Load is the load report of a worker: the numbers of running and of queued requests.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// slowDelay is the delay of FaultSlow, and stallDelay that of FaultStall.
const (
	slowDelay  = 80 * time.Millisecond
	stallDelay = 2500 * time.Millisecond
)

// ServeHTTP serves health probes, load reports, orders and all other requests.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.waitWhilePaused(r)
	switch r.URL.Path {
	case "/health":
		if w.Unhealthy || w.draining.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	case "/load":
		load := Load{Running: int(w.running.Load()), Waiting: int(w.waiting.Load())}
		if w.AdjustLoad != nil {
			load = w.AdjustLoad(load)
		}
		_ = json.NewEncoder(rw).Encode(load)
	default:
		if w.OrderHandler != nil && r.URL.Path == grants.OrdersPath {
			w.OrderHandler.ServeHTTP(rw, r)
			return
		}
		w.handleRequest(rw, r)
	}
}

// waitWhilePaused blocks while the worker is paused. It ignores the end of the request, since a paused process does not notice
// that its client has disconnected.
func (w *Worker) waitWhilePaused(*http.Request) {
	w.mu.Lock()
	paused := w.paused
	w.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

// handleRequest runs a request or rejects it, and injects its fault.
func (w *Worker) handleRequest(rw http.ResponseWriter, r *http.Request) {
	fault := FaultNone
	if w.InjectFault != nil {
		fault = w.InjectFault(r)
	}
	if fault == FaultResetBeforeBody {
		resetConnection(rw)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the request did not arrive completely
	}
	if fault == FaultResetAfterBody {
		resetConnection(rw)
		return
	}
	if w.draining.Load() || fault == FaultReject {
		w.reject(rw)
		return
	}
	mayApply, done, owned := w.admitKey(r)
	if fault == FaultNotOwner || !owned {
		rejectNotOwner(rw)
		return
	}
	defer done()
	if !w.acquireSlot(r) {
		w.reject(rw)
		return
	}
	defer w.releaseSlot()
	w.runRequest(rw, r, fault, mayApply)
}

// admitKey asks Ownership whether a request may run. Requests without a key and workers without Ownership are always admitted.
// The caller calls mayApply before it applies the effect and done when the request has ended.
func (w *Worker) admitKey(r *http.Request) (mayApply func() bool, done func(), owned bool) {
	key, err := strconv.ParseUint(r.Header.Get("Rosemarywick-Key-Hash"), 16, 64)
	if err != nil || w.Ownership == nil {
		return func() bool { return true }, func() {}, true
	}
	ticket, owned := w.Ownership.Admit(fleet.KeyHash(key))
	return func() bool { return w.Ownership.MayApply(ticket) }, func() { w.Ownership.Done(ticket) }, owned
}

// runRequest takes the service time, applies the effect and responds. The caller has acquired a slot.
func (w *Worker) runRequest(rw http.ResponseWriter, r *http.Request, fault Fault, mayApply func() bool) {
	id := fleet.RequestID(r.Header.Get("Rosemarywick-Request-Id"))
	w.addCounts(id, RunCounts{Started: 1})
	if w.ServiceTime != nil {
		duration := w.ServiceTime(r)
		if w.Clock.Now().Sub(w.started.Load().(time.Time)) < w.ColdStartPeriod {
			duration *= 4
		}
		if timer.Wait(r.Context(), w.Clock, duration) != nil {
			return // canceled before the effect
		}
	}
	w.waitWhilePaused(r)
	if !mayApply() {
		rejectNotOwner(rw)
		return
	}
	w.addCounts(id, RunCounts{Effects: 1})
	switch fault {
	case FaultResetAfterRun:
		resetConnection(rw)
	case FaultNoResponse:
		<-r.Context().Done()
	case FaultSlow:
		_ = timer.Wait(r.Context(), w.Clock, slowDelay)
		w.respond(rw, r, fault)
	default:
		w.respond(rw, r, fault)
	}
}

// respond writes the response to a request that was run.
func (w *Worker) respond(rw http.ResponseWriter, r *http.Request, fault Fault) {
	rw.Header().Set("Worker", string(w.ID))
	if name, size, ok := parseDownload(r); ok {
		w.serveDownload(rw, r, name, size, fault)
		return
	}
	text := "ran " + r.Header.Get("Rosemarywick-Request-Id") + "\n"
	rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if fault == FaultTruncate {
		_, _ = io.WriteString(rw, text[:len(text)/2])
		_ = http.NewResponseController(rw).Flush()
		resetConnection(rw)
		return
	}
	_, _ = io.WriteString(rw, text)
}

// parseDownload parses paths of the form .../download/NAME/SIZE.
func parseDownload(r *http.Request) (string, int, bool) {
	_, rest, found := strings.Cut(r.URL.Path, "/download/")
	name, text, _ := strings.Cut(rest, "/")
	size, err := strconv.Atoi(text)
	return name, size, found && err == nil
}

// DownloadContent returns the content of a download, which is the same on all workers.
func DownloadContent(name string, size int) []byte {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(name))
	random := rand.New(rand.NewPCG(sum.Sum64(), 0))
	content := make([]byte, size)
	for i := range content {
		content[i] = byte(random.Uint32())
	}
	return content
}

// serveDownload serves a download or the requested range of it.
func (w *Worker) serveDownload(rw http.ResponseWriter, r *http.Request, name string, size int, fault Fault) {
	rw.Header().Set("ETag", strconv.Quote(name))
	rw.Header().Set("Content-Type", "application/octet-stream")
	content := DownloadContent(name, size)
	if fault == FaultTruncate {
		limit := size / 2
		if r.Header.Get("Range") != "" {
			limit = 1 // a range request for the rest must fail as well
		}
		rw = &truncatingWriter{ResponseWriter: rw, remaining: limit}
	}
	if fault == FaultStall {
		rw.Header().Set("Content-Length", strconv.Itoa(size))
		rw.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(rw).Flush() // an error shows at the write of the body
		_ = timer.Wait(r.Context(), w.Clock, stallDelay)
		_, _ = rw.Write(content) // the client notices a broken connection
		return
	}
	http.ServeContent(rw, r, "", time.Time{}, strings.NewReader(string(content)))
}

// truncatingWriter resets the connection after the given number of body bytes.
type truncatingWriter struct {
	http.ResponseWriter
	remaining int
}

// Write writes p until the byte limit is reached, and then resets the connection.
func (w *truncatingWriter) Write(p []byte) (int, error) {
	if len(p) < w.remaining {
		w.remaining -= len(p)
		return w.ResponseWriter.Write(p)
	}
	n, _ := w.ResponseWriter.Write(p[:w.remaining])
	_ = http.NewResponseController(w.ResponseWriter).Flush()
	resetConnection(w.ResponseWriter)
	return n, io.ErrShortWrite
}

// resetConnection resets the connection of a request.
func resetConnection(rw http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(rw).Hijack(); err == nil {
		closeWithReset(conn)
	}
}

// reject states that the request was not run.
func (w *Worker) reject(rw http.ResponseWriter) {
	rw.Header().Set("Not-Run", "true")
	if w.draining.Load() {
		rw.Header().Set("Draining", "true")
	}
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// rejectNotOwner states that the worker does not own the key of the request and did not run it.
func rejectNotOwner(rw http.ResponseWriter) {
	rw.Header().Set("Not-Owner", "true")
	rw.WriteHeader(http.StatusMisdirectedRequest)
}

// acquireSlot waits for a free slot. It returns false if the queue is full or the request ended.
func (w *Worker) acquireSlot(r *http.Request) bool {
	w.running.Add(1)
	if w.slots == nil {
		return true
	}
	select {
	case w.slots <- struct{}{}:
		return true
	default:
	}
	w.running.Add(-1)
	defer w.waiting.Add(-1)
	if w.waiting.Add(1) > int64(w.QueueLimit) {
		return false
	}
	select {
	case w.slots <- struct{}{}:
		w.running.Add(1)
		return true
	case <-r.Context().Done():
		return false
	}
}

// releaseSlot frees the slot of a request.
func (w *Worker) releaseSlot() {
	w.running.Add(-1)
	if w.slots != nil {
		<-w.slots
	}
}

// addCounts adds to the counts of a request.
func (w *Worker) addCounts(id fleet.RequestID, added RunCounts) {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := w.runs[id]
	w.runs[id] = RunCounts{Started: counts.Started + added.Started, Effects: counts.Effects + added.Effects}
}
