package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// The figures of the case.
const (
	// awaitMemory, in MB, and awaitDescriptors are those of the smallest machines in lcp-gateway-grown.
	awaitMemory      = 144
	awaitDescriptors = 3075
	// Each client of the crowd sends a body of crowdBody bytes in pieces of crowdPiece, with a pause between them.
	crowdSize  = 150
	crowdBody  = 1 << 20
	crowdPiece = 64 << 10
	crowdPause = 400 * time.Millisecond
	crowdWait  = 15 * time.Second
	// A worker of the ordinary clients sends the head of its answer, works for awaitWork, and sends the body.
	awaitWork     = 3 * time.Second
	awaitBytes    = 500_000
	awaitDeadline = 12 * time.Second
	awaitClients  = 8
	awaitFor      = 25 * time.Second
	// maxClosed is how often the rule lets a connection be closed without an answer.
	maxClosed = 3
)

// awaitedAnswers has a crowd that sends bodies piece by piece, and ordinary clients whose workers are silent for 3 s between the
// head and the body of an answer.
func awaitedAnswers(r *rig, trouble bool) (int, error) {
	var runs sync.Map // set for each request that reached a worker
	for i := range 4 {
		sink := &worker{ID: fmt.Sprintf("i-%08x", i+1), Service: "registri", Zone: "agadir-a", Slots: 60, Work: 50 * time.Millisecond}
		if err := r.addWorker(sink); err != nil {
			return notRun, err
		}
		w := &worker{ID: fmt.Sprintf("i-%08x", i+11), Service: "consulta", Zone: "agadir-a", Slots: 20}
		w.Respond = func(rw http.ResponseWriter, q *http.Request) bool {
			runs.Store(q.Header.Get("Rosemarywick-Attempt-Id"), true)
			return answerInParts(r, w, rw, q)
		}
		if err := r.addWorker(w); err != nil {
			return notRun, err
		}
	}
	r.configure(1, 64<<20, []route{
		{Host: "post.example", Prefix: "/post/", Type: "unsafe", Service: "registri", TimeoutS: crowdWait.Seconds(), Attempts: 2},
		{Host: "read.example", Prefix: "/read/", Type: "download", Service: "consulta", TimeoutS: awaitDeadline.Seconds(), Attempts: 2},
	}, []service{{Name: "registri", MaxConns: 460}, {Name: "consulta", MaxConns: 460}})
	d, err := r.addDaemon("agadir-a", "limits.memoryMb", strconv.Itoa(awaitMemory), "limits.maxFds", strconv.Itoa(awaitDescriptors))
	if err != nil {
		return notRun, err
	}
	if err := r.awaitReady(); err != nil {
		return notRun, err
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	defer close(stop)
	if trouble {
		r.note("a crowd of %d clients begins to send bodies of %d bytes", crowdSize, crowdBody)
		for i := range crowdSize {
			go beOfCrowd(r, d, i, stop)
		}
	}
	time.Sleep(4 * time.Second)
	var whole, closed, others atomic.Int64
	var wait sync.WaitGroup
	end := time.Now().Add(awaitFor)
	for i := range awaitClients {
		wait.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("ordinary-%d-%d", i, n)
				got, err := askOnKept(d, id)
				_, reached := runs.Load(id)
				r.note("client gets for %s: status %d, signed %v, %d bytes, error %v; it reached a worker: %v", id, got.status, got.signed,
					got.received, err, reached)
				switch {
				case err == nil && got.signed:
					whole.Add(1)
				case err != nil && reached && got.received == 0:
					closed.Add(1)
				default:
					others.Add(1)
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	wait.Wait()
	if !d.running() {
		r.say("the daemon has ended")
		return broken, nil
	}
	r.say("answers on kept connections: %d whole, %d times the connection was closed without one while a sound worker was at work, %d others",
		whole.Load(), closed.Load(), others.Load())
	if closed.Load() > maxClosed {
		return broken, nil
	}
	return held, nil
}

// answerInParts sends the head of an answer, works, and sends the body. Requests for /read/quick are answered at once.
func answerInParts(r *rig, w *worker, rw http.ResponseWriter, q *http.Request) bool {
	attempt := q.Header.Get("Rosemarywick-Attempt-Id")
	rw.Header().Set("Rosemarywick-Attempt-Id", attempt)
	rw.Header().Set("Rosemarywick-Response-Signature", w.ID+"."+attempt)
	if q.URL.Path == "/read/quick" {
		_, _ = fmt.Fprint(rw, attempt)
		return true
	}
	rw.Header().Set("Content-Length", strconv.Itoa(awaitBytes))
	rw.WriteHeader(http.StatusOK)
	if flusher, ok := rw.(http.Flusher); ok {
		flusher.Flush()
	}
	select {
	case <-time.After(awaitWork):
		_, _ = io.CopyN(rw, zeros{}, awaitBytes) // the client notices a broken connection
	case <-q.Context().Done():
		r.note("worker %s: the connection of %s ended while it was at work", w.ID, attempt)
	}
	return true
}

// askOnKept sends a request on a connection that has carried another one.
func askOnKept(d *daemon, id string) (answer, error) {
	c, err := dial(d)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = c.Close() }()
	if got, err := c.get("read.example", "/read/quick", id+"-first", awaitDeadline); err != nil || !got.signed {
		return got, err
	}
	return c.get("read.example", "/read/long", id, awaitDeadline)
}

// beOfCrowd sends bodies until the case ends. A client that is refused comes back after the second that it is told.
func beOfCrowd(r *rig, d *daemon, number int, stop <-chan struct{}) {
	time.Sleep(time.Duration(number) * 20 * time.Millisecond)
	for n := 0; ; n++ {
		r.note("crowd %d: %s", number, sendInPieces(d, fmt.Sprintf("crowd-%d-%d", number, n)))
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// sendInPieces sends a request with a body piece by piece, and returns what became of it.
func sendInPieces(d *daemon, id string) string {
	c, err := dial(d)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	answered := make(chan string, 1)
	go func() {
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			answered <- err.Error()
			return
		}
		_ = response.Body.Close()
		answered <- response.Status
	}()
	_, _ = fmt.Fprintf(c, "POST /post/x HTTP/1.1\r\nHost: post.example\r\nRosemarywick-Attempt-Id: %s\r\nRosemarywick-Deadline-Ms: %d\r\n"+
		"Content-Length: %d\r\n\r\n", id, crowdWait.Milliseconds(), crowdBody)
	for sent := 0; sent < crowdBody; sent += crowdPiece {
		select {
		case status := <-answered:
			return "before the end of its body: " + status
		case <-time.After(crowdPause):
		}
		if _, err := io.CopyN(c, zeros{}, crowdPiece); err != nil {
			return err.Error()
		}
	}
	select {
	case status := <-answered:
		return status
	case <-time.After(crowdWait):
		return "no answer"
	}
}
