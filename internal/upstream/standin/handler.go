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
	FaultShed Fault = "shed"
	// FaultNotOwner rejects the request as not owned.
	FaultNotOwner Fault = "not-owner"
	// FaultResetDuring resets the connection before the body was read.
	FaultResetDuring Fault = "reset-during"
	// FaultResetAfter resets the connection after the body was read, and runs nothing.
	FaultResetAfter Fault = "reset-after"
	// FaultLost runs the request and resets the connection before the answer.
	FaultLost Fault = "lost"
	// FaultTruncate runs the request and resets the connection in the middle of the answer.
	FaultTruncate Fault = "truncate"
	// FaultSlow runs the request and answers 80 ms late.
	FaultSlow Fault = "slow"
	// FaultSilent runs the request and answers only when the caller has gone.
	FaultSilent Fault = "silent"
)

// Load is what a worker reports of itself.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// slowBy is the delay of FaultSlow.
const slowBy = 80 * time.Millisecond

// ServeHTTP serves one request of a router.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.thawed(r)
	switch r.URL.Path {
	case "/health":
		if w.Unhealthy || w.drain.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	case "/load":
		load := Load{Running: int(w.running.Load()), Waiting: int(w.waiting.Load())}
		if w.Report != nil {
			load = w.Report(load)
		}
		_ = json.NewEncoder(rw).Encode(load)
	default:
		if w.Orders != nil && r.URL.Path == grants.OrdersPath {
			w.Orders.ServeHTTP(rw, r)
			return
		}
		w.serve(rw, r)
	}
}

// thawed blocks while the worker is frozen. A frozen process does not notice that its peer has gone.
func (w *Worker) thawed(*http.Request) {
	w.mu.Lock()
	frozen := w.frozen
	w.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	fault := FaultNone
	if w.Inject != nil {
		fault = w.Inject(r)
	}
	if fault == FaultResetDuring {
		hangUp(rw)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the request never arrived whole
	}
	if fault == FaultResetAfter {
		hangUp(rw)
		return
	}
	if w.drain.Load() || fault == FaultShed {
		w.reject(rw)
		return
	}
	held, done, owned := w.admit(r)
	if fault == FaultNotOwner || !owned {
		disown(rw)
		return
	}
	defer done()
	if !w.slot(r) {
		w.reject(rw)
		return
	}
	defer w.free()
	w.run(rw, r, fault, held)
}

// admit asks the guard about a keyed request. A request without a key, or a worker without a guard, needs no answer.
func (w *Worker) admit(r *http.Request) (held func() bool, done func(), owned bool) {
	key, err := strconv.ParseUint(r.Header.Get("Rosemarywick-Key-Hash"), 16, 64)
	if err != nil || w.Ownership == nil {
		return func() bool { return true }, func() {}, true
	}
	ticket, owned := w.Ownership.Admit(fleet.KeyHash(key))
	return func() bool { return w.Ownership.MayApply(ticket) }, func() { w.Ownership.Done(ticket) }, owned
}

// run occupies a slot for the time of the work, applies the effect and answers.
func (w *Worker) run(rw http.ResponseWriter, r *http.Request, fault Fault, held func() bool) {
	id := fleet.RequestID(r.Header.Get("Rosemarywick-Request-Id"))
	w.count(id, Run{Started: 1})
	if w.Work != nil {
		work := w.Work(r)
		if w.Clock.Now().Sub(w.started.Load().(time.Time)) < w.ColdStart {
			work *= 4
		}
		if timer.Wait(r.Context(), w.Clock, work) != nil {
			return // cancelled before the effect
		}
	}
	w.thawed(r)
	if !held() {
		disown(rw)
		return
	}
	w.count(id, Run{Effects: 1})
	switch fault {
	case FaultLost:
		hangUp(rw)
	case FaultSilent:
		<-r.Context().Done()
	case FaultSlow:
		_ = timer.Wait(r.Context(), w.Clock, slowBy)
		w.answer(rw, r, fault)
	default:
		w.answer(rw, r, fault)
	}
}

func (w *Worker) answer(rw http.ResponseWriter, r *http.Request, fault Fault) {
	rw.Header().Set("Worker", string(w.ID))
	if name, size, ok := download(r); ok {
		w.serveDownload(rw, r, name, size, fault)
		return
	}
	text := "ran " + r.Header.Get("Rosemarywick-Request-Id") + "\n"
	rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if fault == FaultTruncate {
		_, _ = io.WriteString(rw, text[:len(text)/2])
		_ = http.NewResponseController(rw).Flush()
		hangUp(rw)
		return
	}
	_, _ = io.WriteString(rw, text)
}

// download recognises paths of the form .../download/NAME/SIZE.
func download(r *http.Request) (string, int, bool) {
	_, rest, found := strings.Cut(r.URL.Path, "/download/")
	name, text, _ := strings.Cut(rest, "/")
	size, err := strconv.Atoi(text)
	return name, size, found && err == nil
}

// Content returns the bytes of a download, the same on every worker.
func Content(name string, size int) []byte {
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
	content := Content(name, size)
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
	hangUp(c.ResponseWriter)
	return n, io.ErrShortWrite
}

func hangUp(rw http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(rw).Hijack(); err == nil {
		reset(conn)
	}
}

func (w *Worker) reject(rw http.ResponseWriter) {
	rw.Header().Set("Not-Run", "true")
	if w.drain.Load() {
		rw.Header().Set("Draining", "true")
	}
	rw.WriteHeader(http.StatusServiceUnavailable)
}

func disown(rw http.ResponseWriter) {
	rw.Header().Set("Not-Owner", "true")
	rw.WriteHeader(http.StatusMisdirectedRequest)
}

// slot waits for a free slot, and returns false if the queue for one is full.
func (w *Worker) slot(r *http.Request) bool {
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
	if w.waiting.Add(1) > int64(w.Queue) {
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

func (w *Worker) free() {
	w.running.Add(-1)
	if w.slots != nil {
		<-w.slots
	}
}

func (w *Worker) count(id fleet.RequestID, more Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	run := w.runs[id]
	w.runs[id] = Run{Started: run.Started + more.Started, Effects: run.Effects + more.Effects}
}
