package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The orders that clients place, one after the other.
const (
	orderHost, orderPrefix = "shop.example", "/order/"
	orderPause             = 20 * time.Millisecond
	orderDeadline          = 1500 * time.Millisecond
)

// orderRoute returns the route of orders to a service.
func orderRoute(service string) []route {
	return []route{{Host: orderHost, Prefix: orderPrefix, Type: "unsafe", Service: service, TimeoutS: orderDeadline.Seconds(), Attempts: 2}}
}

// orderBook holds what became of the orders of the clients.
type orderBook struct {
	// allowed is how long after leave orders may reach the leaving workers.
	allowed time.Duration

	mu sync.Mutex
	// leaving holds the workers that are to get no orders, and since is when that was acknowledged.
	leaving map[string]bool
	since   time.Time
	// late counts the orders that reached them too late, and last is when the latest one did.
	late int
	last time.Duration
	// atWork holds the orders that have reached a leaving worker and were not answered.
	atWork map[string]bool
	// served and lost count the orders that were answered by a worker, and those that were not although one was at work.
	served, lost int
}

// leave notes that workers are to get no orders.
func (o *orderBook) leave(workers ...*worker) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving, o.atWork, o.since = make(map[string]bool), make(map[string]bool), time.Now()
	for _, w := range workers {
		o.leaving[w.ID] = true
	}
}

// arrived notes that an order has reached a worker.
func (o *orderBook) arrived(r *rig, w *worker, attempt string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.leaving[w.ID] {
		return
	}
	o.atWork[attempt] = true
	o.last = time.Since(o.since)
	r.note("worker %s gets %s, %.2f s after the acknowledgement", w.ID, attempt, o.last.Seconds())
	if o.last > o.allowed {
		o.late++
	}
}

// place places orders one after the other.
func (o *orderBook) place(r *rig, d *daemon, number int, stop <-chan struct{}) {
	c, err := dial(d)
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(orderPause):
		}
		id := fmt.Sprintf("order-%d-%d", number, n)
		var got answer
		if err == nil {
			got, err = c.post(orderHost, orderPrefix+"x", id, strings.Repeat("o", 400), orderDeadline)
		}
		o.mu.Lock()
		switch {
		case err == nil && got.signed:
			o.served++
		case o.atWork[id] && got.status != http.StatusServiceUnavailable:
			o.lost++
			r.note("order %s was at work at a leaving worker: status %d, error %v", id, got.status, err)
		}
		delete(o.atWork, id)
		o.mu.Unlock()
		if err != nil {
			c, err = dial(d)
		}
	}
}

// sums returns the counts.
func (o *orderBook) sums() (late, lost, served int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.late, o.lost, o.served
}

// lastArrival returns how long after the acknowledgement the last order reached the leaving worker.
func (o *orderBook) lastArrival() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.last
}
