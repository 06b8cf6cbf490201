package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The figures of the case.
const (
	feedStable = 3 * time.Second // stableWindowS
	feedDrain  = 2 * time.Second // drainS
	feedMargin = 300 * time.Millisecond
	// feedServes is how long a worker goes on serving after the store has accepted that it is draining, before it exits.
	feedServes = 4500 * time.Millisecond
	// feedWorkers is the number of workers, as on the sheet, and feedWork how long an order takes.
	feedWorkers = 37
	feedWork    = 210 * time.Millisecond
	// packetBytes is how much of a response arrives before its connection falls silent: its first packet.
	packetBytes = 1460
	feedWatch   = 10 * time.Second
	feedClients = 12
)

// stalledFeed makes one connection to the store fall silent while it carries changes of the workers' entries. After that, a worker
// reports that it is draining, and exits some seconds later.
func stalledFeed(r *rig, trouble bool) (int, error) {
	orders := &orderBook{allowed: feedDrain + feedMargin}
	for i := range feedWorkers {
		w := &worker{ID: fmt.Sprintf("i-%08x", i+1), Service: "archives", Zone: "agadir-a", Slots: 2, Work: feedWork}
		if i < 6 {
			w.Service = "commande"
		}
		w.OnArrival = func(w *worker, q *http.Request) { orders.arrived(r, w, q.Header.Get("Rosemarywick-Attempt-Id")) }
		if err := r.addWorker(w); err != nil {
			return notRun, err
		}
	}
	leaving := r.workers[0]
	path, err := startProxy(r.store.address())
	if err != nil {
		return notRun, err
	}
	r.configure(1, 1<<20, orderRoute("commande"), []service{{Name: "commande", MaxConns: 45}, {Name: "archives", MaxConns: 45}})
	for range 2 {
		if _, err := r.addDaemon("agadir-a", "platform.address", path.address()); err != nil {
			return notRun, err
		}
	}
	if err := r.awaitReady(); err != nil {
		return notRun, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range feedClients {
		clients.Go(func() { orders.place(r, r.daemons[i%len(r.daemons)], i, stop) })
	}
	defer clients.Wait()
	defer close(stop)
	time.Sleep(time.Second)
	if trouble {
		var silenced atomic.Bool
		path.setSilence(func(request, piece []byte) int {
			line, _, _ := bytes.Cut(request, []byte("\r\n"))
			if len(piece) <= packetBytes || !bytes.HasPrefix(line, []byte("GET /rows-feed?")) || !bytes.Contains(line, []byte("table=servers")) ||
				!silenced.CompareAndSwap(false, true) {
				return -1
			}
			r.note("a connection to the store falls silent in the middle of the response to %s", line)
			return packetBytes
		})
		for end := time.Now().Add(10 * time.Second); !silenced.Load(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				return notRun, fmt.Errorf("no response of more than one packet was seen")
			}
		}
	}
	time.Sleep(feedStable + 2*feedMargin)
	leaving.setState(r.store, "draining")
	orders.leave(leaving)
	r.note("the store has accepted that %s is draining", leaving.ID)
	time.Sleep(feedServes)
	r.note("%s exits", leaving.ID)
	leaving.exit(r.store)
	time.Sleep(feedWatch - feedServes)
	late, lost, served := orders.sums()
	r.say("%d orders served; %d reached the leaving worker later than %v after the acknowledgement, the last one after %.1f s; "+
		"%d were at work there when it exited and got no answer of a worker", served, late, feedDrain+feedMargin, orders.lastArrival().Seconds(), lost)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
