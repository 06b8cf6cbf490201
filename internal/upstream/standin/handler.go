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

// Fault is what goes wrong with one request.
type Fault string

const (
	// FaultNone runs the request as it should be.
	FaultNone Fault = ""
	// FaultShed rejects the request and states that it was not run.
	FaultReject Fault = "shed"
	// FaultNotOwner rejects the request as not owned.
	FaultNotOwner Fault = "not-owner"
	// FaultResetDuring resets the connection before the body was read.
	FaultResetBeforeBody Fault = "reset-during"
	// FaultResetAfter resets the connection after the body was read, and runs nothing.
	FaultResetAfterBody Fault = "reset-after"
	// FaultLost runs the request and resets the connection before the answer.
	FaultResetAfterRun Fault = "lost"
	// FaultTruncate runs the request and resets the connection in the middle of the answer.
	FaultTruncate Fault = "truncate"
	// FaultSlow runs the request and answers 80 ms late.
	FaultSlow Fault = "slow"
	// FaultSilent runs the request and answers only when the caller has gone.
	FaultNoResponse Fault = "silent"
)

// Load is what a worker reports of itself.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// slowBy is the delay of FaultSlow.
const slowDelay = 80 * time.Millisecond

// ServeHTTP serves one request of a router.
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

// thawed blocks while the worker is frozen. A frozen process does not notice that its peer has gone.
func (w *Worker) waitWhilePaused(*http.Request) {
	w.mu.Lock()
	frozen := w.paused
	w.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

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
		return // the request never arrived whole
	}
	if fault == FaultResetAfterBody {
		resetConnection(rw)
		return
	}
	if w.draining.Load() || fault == FaultReject {
		w.reject(rw)
		return
	}
	held, done, owned := w.admitKey(r)
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
	w.runRequest(rw, r, fault, held)
}

// admit asks the guard about a keyed request. A request without a key, or a worker without a guard, needs no answer.
func (w *Worker) admitKey(r *http.Request) (held func() bool, done func(), owned bool) {
	key, err := strconv.ParseUint(r.Header.Get("Rosemarywick-Key-Hash"), 16, 64)
	if err != nil || w.Ownership == nil {
		return func() bool { return true }, func() {}, true
	}
	ticket, owned := w.Ownership.Admit(fleet.KeyHash(key))
	return func() bool { return w.Ownership.MayApply(ticket) }, func() { w.Ownership.Done(ticket) }, owned
}

// run occupies a slot for the time of the work, applies the effect and answers.
func (w *Worker) runRequest(rw http.ResponseWriter, r *http.Request, fault Fault, held func() bool) {
	id := fleet.RequestID(r.Header.Get("Rosemarywick-Request-Id"))
	w.addCounts(id, RunCounts{Started: 1})
	if w.ServiceTime != nil {
		work := w.ServiceTime(r)
		if w.Clock.Now().Sub(w.started.Load().(time.Time)) < w.ColdStartPeriod {
			work *= 4
		}
		if timer.Wait(r.Context(), w.Clock, work) != nil {
			return // cancelled before the effect
		}
	}
	w.waitWhilePaused(r)
	if !held() {
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

// download recognises paths of the form .../download/NAME/SIZE.
func parseDownload(r *http.Request) (string, int, bool) {
	_, rest, found := strings.Cut(r.URL.Path, "/download/")
	name, text, _ := strings.Cut(rest, "/")
	size, err := strconv.Atoi(text)
	return name, size, found && err == nil
}

// Content returns the bytes of a download, the same on every worker.
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

func (w *Worker) serveDownload(rw http.ResponseWriter, r *http.Request, name string, size int, fault Fault) {
	rw.Header().Set("ETag", strconv.Quote(name))
	rw.Header().Set("Content-Type", "application/octet-stream")
	content := DownloadContent(name, size)
	if fault == FaultTruncate {
		left := size / 2
		if r.Header.Get("Range") != "" {
			left = 1 // a rest never comes whole
		}
		rw = &truncatingWriter{ResponseWriter: rw, left: left}
	}
	http.ServeContent(rw, r, "", time.Time{}, strings.NewReader(string(content)))
}

// truncatingWriter resets the connection after some bytes of the body.
type truncatingWriter struct {
	http.ResponseWriter
	left int
}

// Write passes bytes on until none is left and resets the connection then.
func (c *truncatingWriter) Write(p []byte) (int, error) {
	if len(p) < c.left {
		c.left -= len(p)
		return c.ResponseWriter.Write(p)
	}
	n, _ := c.ResponseWriter.Write(p[:c.left])
	_ = http.NewResponseController(c.ResponseWriter).Flush()
	resetConnection(c.ResponseWriter)
	return n, io.ErrShortWrite
}

func resetConnection(rw http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(rw).Hijack(); err == nil {
		closeWithReset(conn)
	}
}

func (w *Worker) reject(rw http.ResponseWriter) {
	rw.Header().Set("Not-Run", "true")
	if w.draining.Load() {
		rw.Header().Set("Draining", "true")
	}
	rw.WriteHeader(http.StatusServiceUnavailable)
}

func rejectNotOwner(rw http.ResponseWriter) {
	rw.Header().Set("Not-Owner", "true")
	rw.WriteHeader(http.StatusMisdirectedRequest)
}

// slot waits for a free slot, and returns false if the queue for one is full.
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

func (w *Worker) releaseSlot() {
	w.running.Add(-1)
	if w.slots != nil {
		<-w.slots
	}
}

func (w *Worker) addCounts(id fleet.RequestID, more RunCounts) {
	w.mu.Lock()
	defer w.mu.Unlock()
	run := w.runs[id]
	w.runs[id] = RunCounts{Started: run.Started + more.Started, Effects: run.Effects + more.Effects}
}
