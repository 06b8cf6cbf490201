// Command descriptors lets all clients of a deployment use the one machine that is left.
package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"rosemarywick.example/rosemarywick/review/rig"
)

const (
	// perSecond is the sum of the rates of ceibal-gw's four kinds of request.
	perSecond = 351.5
	// keptFor is four fifths of the configuration's idleTimeoutS: for so long clients keep an idle connection.
	keptFor  = 12 * time.Second
	lossAt   = 4 * time.Second
	duration = 24 * time.Second
	// steadyClients send one request after another on a connection each.
	steadyClients = 20
	// maxLost is how many answers the rule allows to be lost.
	maxLost = 3
)

// lost is the number of requests that were passed on from a kept connection and got no answer.
var lost, served atomic.Int64

func main() {
	record := rig.OpenRecord("record.txt")
	store := rig.StartStore()
	fleet := &rig.Fleet{Store: store, Record: record, Heartbeat: 870 * time.Millisecond}
	store.Put("op", "config", []byte(rig.Configuration))
	for _, name := range []string{"i-1", "i-2", "i-3"} {
		worker := &rig.Worker{Fleet: fleet, ID: name, Name: name, Service: "despacho", Zone: "centro", Slots: 20}
		worker.Duration = func(r *http.Request) time.Duration {
			if r.Method == http.MethodPost {
				return 290 * time.Millisecond
			}
			return 5 * time.Millisecond
		}
		worker.Start()
	}
	daemons := rig.StartDaemons(store, record)
	time.Sleep(2 * time.Second)

	// left is the machine that is not lost. The balancer sends new connections to machines that are there.
	left, alone := daemons[0], atomic.Bool{}
	started := time.Now()
	var clients sync.WaitGroup
	for i := range steadyClients {
		clients.Go(func() { sendSteadily(record, fleet, left, i, started.Add(duration)) })
	}
	if rig.Trouble() {
		time.AfterFunc(lossAt, func() {
			record.Note("two of the three machines are lost")
			daemons[1].Kill()
			daemons[2].Kill()
			alone.Store(true)
		})
	}
	for i := 0; time.Since(started) < duration && !left.Ended(); i++ {
		time.Sleep(time.Until(started.Add(time.Duration(float64(i) / perSecond * float64(time.Second)))))
		to := daemons[i%len(daemons)]
		if alone.Load() {
			to = left
		}
		go sendOnNewConnection(record, to, i)
	}
	if left.Ended() {
		record.Note("daemon %s, which was not disrupted, has ended by itself: %s", left.Name, left.LastLog())
		fmt.Println("daemon ended by itself:", left.LastLog())
	}
	clients.Wait()
	if count := lost.Load(); count > maxLost {
		record.Broken("LOST: %d requests from kept connections were passed on to workers and got no answer", count)
	}
	if served.Load() < 2000 {
		rig.Unable("only %d requests were served", served.Load())
	}
	record.Finish()
}

// exchange sends a request on a connection and reads the answer.
func exchange(conn net.Conn, reader *bufio.Reader, method, attempt string) error {
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	_, err := fmt.Fprintf(conn, "%s /commit/%s HTTP/1.1\r\nHost: a.example\r\nRosemarywick-Attempt-Id: %s\r\n"+
		"Rosemarywick-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n", method, attempt, attempt)
	if err != nil {
		return err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	if _, err = bufio.NewReader(response.Body).WriteTo(&discard{}); err != nil {
		return err
	}
	if response.StatusCode == http.StatusOK {
		served.Add(1)
	}
	return nil
}

type discard struct{}

func (*discard) Write(p []byte) (int, error) { return len(p), nil }

// sendOnNewConnection sends one request and keeps the connection as long as a client may use it again.
func sendOnNewConnection(record *rig.Record, to *rig.Daemon, number int) {
	conn, err := net.DialTimeout("tcp", to.Front, time.Second)
	if err != nil {
		record.Note("client n%d: %v", number, err)
		return
	}
	defer func() { _ = conn.Close() }()
	attempt := fmt.Sprintf("n%d", number)
	if err := exchange(conn, bufio.NewReader(conn), http.MethodGet, attempt); err != nil {
		record.Note("client gets no answer to %s: %v", attempt, err)
		return
	}
	time.Sleep(keptFor)
}

// sendSteadily sends requests on one connection until a time, and counts a request that was passed on and got no answer.
func sendSteadily(record *rig.Record, fleet *rig.Fleet, to *rig.Daemon, client int, until time.Time) {
	conn, err := net.Dial("tcp", to.Front)
	if err != nil {
		rig.Unable("connect: %v", err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for i := 0; time.Now().Before(until); i++ {
		attempt := fmt.Sprintf("s%d-%d", client, i)
		err := exchange(conn, reader, http.MethodPost, attempt)
		if err == nil {
			continue
		}
		record.Note("client gets no answer to %s: %v", attempt, err)
		if i > 0 && fleet.Runs(attempt) > 0 {
			lost.Add(1)
		}
		return
	}
}
