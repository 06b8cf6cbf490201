package rig

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	keys = 1 << 16
	// keyStep is the distance of the keys whose holders are tracked.
	keyStep = 64
	// idleTimeout is how long a worker keeps an idle connection.
	idleTimeout = 10 * time.Second
)

// Fleet holds all workers that were started, and checks that no key has two holders.
type Fleet struct {
	Store  *Store
	Record *Record
	// Heartbeat is the interval at which workers write their entries.
	Heartbeat time.Duration
	// CheckFences makes a violation of a grant whose fence is not above that with which an earlier start of the worker had the keys.
	CheckFences bool

	// mu guards the holds, the fences and the running requests of all workers.
	mu      sync.Mutex
	workers []*Worker
	// runs counts how often each attempt was run.
	runs map[string]int
}

// Worker is one start of a worker. Set the exported fields before Start.
type Worker struct {
	Fleet *Fleet
	// ID is the same for all starts of a worker, Name tells them apart in the record.
	ID, Name, Service, Zone string
	Slots                   int
	Keyed                   bool
	// Address is the address to listen on. Empty means a free port.
	Address string
	// Duration returns how long a request runs. Nil means 20 ms.
	Duration func(r *http.Request) time.Duration
	// Respond, if set, writes the response to a request that was run. It returns false if the connection is to be closed.
	Respond func(conn net.Conn, r *http.Request, header http.Header) bool
	// Copies reports whether a second copy of the response to a call is sent, late, where the next response is expected.
	Copies func(r *http.Request) bool

	// cut is set while the worker does not reach the store. It is guarded by the fleet's mu.
	cut bool

	listener net.Listener
	born     int64

	// The fields below are guarded by the fleet's mu.
	up       bool
	draining bool
	seq      int
	conns    map[net.Conn]bool
	// until is when the hold of a key ends, and granted until when it was granted, regardless of a release.
	until, granted [keys]time.Time
	held           [keys]int
	seen           [keys]int
	running        map[string]int
	// idle is signalled when a request ends.
	idle *sync.Cond
}

type order struct {
	From     int     `json:"from"`
	Target   int     `json:"target"`
	Fence    int     `json:"fence"`
	Hold     float64 `json:"holdS"`
	Handover string  `json:"handover"`
}

// Start serves and registers the worker.
func (w *Worker) Start() {
	if w.Address == "" {
		w.listener = listen()
	} else {
		listener, err := net.Listen("tcp", w.Address)
		if err != nil {
			Unable("listen on %s: %v", w.Address, err)
		}
		w.listener = listener
	}
	w.Address, w.born = w.listener.Addr().String(), time.Now().UnixMilli()
	f := w.Fleet
	f.mu.Lock()
	w.up, w.conns, w.running, w.idle = true, make(map[net.Conn]bool), make(map[string]int), sync.NewCond(&f.mu)
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	f.Record.Note("worker %s (id %s, born %d) starts at %s", w.Name, w.ID, w.born, w.Address)
	go w.accept()
	go w.beat()
}

// Entry returns the worker's entry as it stands now.
func (w *Worker) Entry() []byte {
	w.Fleet.mu.Lock()
	defer w.Fleet.mu.Unlock()
	state := "ready"
	if w.draining {
		state = "draining"
	}
	w.seq++
	content, _ := json.Marshal(map[string]any{
		"service": w.Service, "address": w.Address, "zone": w.Zone, "version": "v1", "slots": w.Slots, "state": state,
		"coldLeftS": 0, "seqNo": w.seq, "born": w.born,
	})
	return content
}

// beat writes the entry until the worker ends.
func (w *Worker) beat() {
	for w.isUp() {
		if !w.isCut() {
			w.Fleet.Store.Put("servers", w.ID, w.Entry())
		}
		time.Sleep(w.Fleet.Heartbeat)
	}
}

// Cut makes the worker lose its connection to the store, or gives it back.
func (w *Worker) Cut(cut bool) {
	w.Fleet.mu.Lock()
	defer w.Fleet.mu.Unlock()
	w.cut = cut
}

func (w *Worker) isCut() bool {
	w.Fleet.mu.Lock()
	defer w.Fleet.mu.Unlock()
	return w.cut
}

func (w *Worker) isUp() bool {
	w.Fleet.mu.Lock()
	defer w.Fleet.mu.Unlock()
	return w.up
}

// Drain reports that the worker is about to leave.
func (w *Worker) Drain() {
	w.Fleet.mu.Lock()
	w.draining = true
	w.Fleet.mu.Unlock()
	w.Fleet.Record.Note("worker %s reports draining", w.Name)
	w.Fleet.Store.Put("servers", w.ID, w.Entry())
}

// Crash ends the worker: its connections are reset and its address refuses connections.
func (w *Worker) Crash() {
	w.Fleet.mu.Lock()
	w.up = false
	conns := w.conns
	w.conns = make(map[net.Conn]bool)
	w.Fleet.mu.Unlock()
	_ = w.listener.Close()
	for conn := range conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	w.Fleet.Record.Note("worker %s crashes", w.Name)
}

// Leave ends a worker that has reported that it leaves, and removes its entry.
func (w *Worker) Leave() {
	w.Crash()
	w.Fleet.Store.Remove("servers", w.ID)
}

func (w *Worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.Fleet.mu.Lock()
		up := w.up
		if up {
			w.conns[conn] = true
		}
		w.Fleet.mu.Unlock()
		if !up {
			_ = conn.Close()
			return
		}
		go w.serve(conn)
	}
}

// serve serves the requests of one connection, one after another.
func (w *Worker) serve(conn net.Conn) {
	defer func() {
		w.Fleet.mu.Lock()
		delete(w.conns, conn)
		w.Fleet.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	var late []byte
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		if len(late) > 0 {
			w.Fleet.Record.Note("worker %s sends the late copy of an earlier response before that to %s", w.Name, r.URL.Path)
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		response, keep := w.handle(conn, r, body)
		if !keep {
			return
		}
		if len(response) > 0 {
			if _, err := conn.Write(response); err != nil {
				return
			}
			if w.Copies != nil && w.Copies(r) {
				late = response
			}
		}
	}
}

// handle returns the response to a request, or nothing if it has been written.
func (w *Worker) handle(conn net.Conn, r *http.Request, body []byte) ([]byte, bool) {
	attempt := r.Header.Get("Rosemarywick-Attempt-Id")
	header := http.Header{}
	if attempt != "" {
		header.Set("Rosemarywick-Attempt-Id", attempt)
	}
	header.Set("Rosemarywick-Instance-Id", w.ID)
	if expected := r.Header.Get("Rosemarywick-Expect-Instance"); expected != "" && expected != w.ID {
		header.Set("Rosemarywick-Not-Executed", "1")
		return Encode(http.StatusMisdirectedRequest, header, nil), true
	}
	switch r.URL.Path {
	case "/healthz":
		return Encode(http.StatusOK, header, nil), true
	case "/grant", "/release":
		var o order
		if !w.Keyed || json.Unmarshal(body, &o) != nil || o.From < 0 || o.Target >= keys || o.From > o.Target {
			return Encode(http.StatusBadRequest, header, nil), true
		}
		if r.URL.Path == "/grant" {
			return Encode(w.grant(o), header, nil), true
		}
		w.release(o)
		header.Set("Rosemarywick-Handover", fmt.Sprintf("%s-%d", w.Name, o.Fence))
		return Encode(http.StatusOK, header, nil), true
	}
	if attempt == "" {
		header.Set("Rosemarywick-Not-Executed", "1")
		return Encode(http.StatusBadRequest, header, nil), true
	}
	key, ok := w.begin(r, attempt)
	if !ok {
		header.Set("Rosemarywick-Not-Executed", "1")
		return Encode(http.StatusMisdirectedRequest, header, nil), true
	}
	duration := 20 * time.Millisecond
	if w.Duration != nil {
		duration = w.Duration(r)
	}
	time.Sleep(duration)
	if !w.end(attempt, key) {
		return nil, false
	}
	header.Set("Rosemarywick-Response-Signature", "signed-"+attempt)
	if w.Respond != nil {
		return nil, w.Respond(conn, r, header)
	}
	return Encode(http.StatusOK, header, []byte("ran "+attempt)), true
}

// Encode returns a response.
func Encode(status int, header http.Header, body []byte) []byte {
	var buffer bytes.Buffer
	fmt.Fprintf(&buffer, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_ = header.Write(&buffer)
	buffer.WriteString("\r\n")
	buffer.Write(body)
	return buffer.Bytes()
}

// begin counts a request as running, unless the worker does not hold its key.
func (w *Worker) begin(r *http.Request, attempt string) (int, bool) {
	f := w.Fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	key := -1
	if w.Keyed {
		number, err := strconv.Atoi(r.Header.Get("Rosemarywick-Shard-Key"))
		if err != nil || number < 0 || number >= keys || !w.holds(number, time.Now()) {
			return 0, false
		}
		key = number
	}
	if f.runs == nil {
		f.runs = make(map[string]int)
	}
	f.runs[attempt]++
	w.running[attempt] = key
	f.Record.Note("worker %s runs %s (%s %s, key %d)", w.Name, attempt, r.Method, r.URL.Path, key)
	return key, true
}

// end counts a request as ended. It returns false if the worker has crashed meanwhile.
func (w *Worker) end(attempt string, key int) bool {
	f := w.Fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(w.running, attempt)
	w.idle.Broadcast()
	f.Record.Note("worker %s ends %s (key %d)", w.Name, attempt, key)
	return w.up
}

// holds reports whether the worker holds a key. The caller holds the fleet's mu.
func (w *Worker) holds(key int, now time.Time) bool { return w.up && now.Before(w.until[key]) }

// Holds reports whether the worker holds a key.
func (w *Worker) Holds(key int) bool {
	w.Fleet.mu.Lock()
	defer w.Fleet.mu.Unlock()
	return w.holds(key, time.Now())
}

// HeldKeys returns how many keys the worker holds.
func (w *Worker) HeldKeys() int {
	w.Fleet.mu.Lock()
	defer w.Fleet.mu.Unlock()
	count, now := 0, time.Now()
	for key := range keys {
		if w.holds(key, now) {
			count++
		}
	}
	return count
}

// grant takes keys, unless a higher fence was seen on one of them.
func (w *Worker) grant(o order) int {
	f := w.Fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if !w.up {
		return http.StatusServiceUnavailable
	}
	for key := o.From; key <= o.Target; key++ {
		if w.seen[key] > o.Fence {
			f.Record.Note("worker %s refuses the grant %d-%d with fence %d", w.Name, o.From, o.Target, o.Fence)
			return http.StatusConflict
		}
	}
	now := time.Now()
	first := !w.holds(o.From, now) || w.held[o.From] != o.Fence
	if first {
		f.Record.Note("worker %s is granted %d-%d with fence %d for %.1f s", w.Name, o.From, o.Target, o.Fence, o.Hold)
	}
	f.checkGrant(w, o, now)
	f.checkFence(w, o)
	until := now.Add(time.Duration(o.Hold * float64(time.Second)))
	for key := o.From; key <= o.Target; key++ {
		if until.After(w.until[key]) {
			w.until[key] = until
		}
		if until.After(w.granted[key]) {
			w.granted[key] = until
		}
		w.held[key], w.seen[key] = o.Fence, o.Fence
	}
	return http.StatusOK
}

// release stops new work on keys at once, and returns when the running work on them has ended.
func (w *Worker) release(o order) {
	f := w.Fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Record.Note("worker %s is to release %d-%d with fence %d", w.Name, o.From, o.Target, o.Fence)
	for key := o.From; key <= o.Target; key++ {
		w.until[key] = time.Time{}
		w.seen[key] = max(w.seen[key], o.Fence)
	}
	for w.up && w.worksOn(o) != "" {
		w.idle.Wait()
	}
	f.Record.Note("worker %s has released %d-%d", w.Name, o.From, o.Target)
}

// worksOn returns an attempt that runs on one of the keys, or nothing. The caller holds the fleet's mu.
func (w *Worker) worksOn(o order) string {
	for attempt, key := range w.running {
		if key >= o.From && key <= o.Target {
			return attempt
		}
	}
	return ""
}
