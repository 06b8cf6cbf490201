package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// drainBound is drainS in the settings. drainSlack is left for the scheduling of the script itself.
const (
	drainBound = 2 * time.Second
	drainSlack = 50 * time.Millisecond
)

// leaseTable is the table in which the daemon that gives the orders renews its lease.
const leaseTable = "assigners"

// busiest returns the workers that got most requests within the last two seconds, of those that have not left.
func (l *Lab) busiest(workers []*Worker, count int) []*Worker {
	l.mu.Lock()
	defer l.mu.Unlock()
	recent := make(map[*Worker]int)
	for _, arrivals := range l.arrivals {
		for _, a := range arrivals {
			if time.Since(a.at) < 2*time.Second {
				recent[a.worker]++
			}
		}
	}
	present := slices.DeleteFunc(slices.Clone(workers), func(w *Worker) bool { return w.hasStopped() })
	slices.SortStableFunc(present, func(a, b *Worker) int { return recent[b] - recent[a] })
	return present[:count]
}

// playDrain lets a worker leave when the daemon that gives the orders has just lost its power, for 3.5 s.
func playDrain(l *Lab) string {
	var armed atomic.Bool
	var burst atomic.Bool
	var dark atomic.Int32
	dark.Store(-1)
	stopped := make(chan int, 1)
	l.store.onWrite = func(daemon int, row tableRow) {
		if row.Table == leaseTable && armed.CompareAndSwap(true, false) {
			if l.trouble {
				dark.Store(int32(daemon))
				l.daemons[daemon].signal(syscall.SIGKILL)
			}
			stopped <- daemon
		}
	}
	l.store.put("op", "config", configuration(7,
		[]route{{"/read/", "safe", "records", 6, 2.5, 2}, {"/post/", "unsafe", "records", 6, 2.5, 1}}, []service{{"records", true, 45}}))
	workers := []*Worker{}
	zones := []string{"a", "b", "c"}
	add := func() *Worker {
		number := len(workers)
		w := l.startWorker(&Worker{
			id: fmt.Sprintf("i-%d", number), service: "records", zone: zones[number%3], slots: 2, queue: 8, keyed: true,
			work: 880 * time.Millisecond,
		})
		workers = append(workers, w)
		return w
	}
	for range 6 {
		add()
	}
	l.startDaemons(zones, "")
	defer func() {
		for _, w := range workers {
			w.stop()
		}
	}()

	done := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		random := rand.New(rand.NewSource(1))
		for {
			rate := 17.0
			if burst.Load() {
				rate *= 1.7
			}
			select {
			case <-done:
				return
			case <-time.After(time.Duration(random.ExpFloat64() * float64(time.Second) / rate)):
			}
			target := random.Intn(len(l.daemons))
			if target == int(dark.Load()) { // the platform takes it out of rotation
				target = (target + 1) % len(l.daemons)
			}
			number := random.Intn(1 << 16)
			if random.Intn(100) < 44 { // some keys are far busier than others, and lie close to one another
				number = 30000 + random.Intn(200)
			}
			key, unsafe := strconv.Itoa(number), random.Intn(3) == 0
			clients.Go(func() {
				if unsafe {
					l.call(l.daemons[target], http.MethodPost, "/post/x", l.nextID(), key, 6*time.Second)
				} else {
					l.call(l.daemons[target], http.MethodGet, "/read/x", l.nextID(), key, 6*time.Second)
				}
			})
		}
	})
	time.Sleep(8 * time.Second)

	broken := ""
	for round := 0; round < 6 && broken == ""; round++ {
		add()
		add()
		time.Sleep(2500 * time.Millisecond)
		burst.Store(true) // also without the trouble
		time.AfterFunc(3*time.Second, func() { burst.Store(false) })
		time.Sleep(1500 * time.Millisecond)
		leaving := l.busiest(workers, 2)
		armed.Store(true)
		daemon := <-stopped
		acknowledged := map[*Worker]time.Time{}
		for _, w := range leaving {
			acknowledged[w] = w.register("draining")
			l.note("leaving", "", fmt.Sprintf("worker %s, acknowledged; daemon %d had just renewed its lease", w.id, daemon))
		}
		time.Sleep(3500 * time.Millisecond)
		if l.trouble {
			<-l.daemons[daemon].ended
			l.daemons[daemon].start()
			l.daemons[daemon].awaitReady(10 * time.Second)
			dark.Store(-1)
		}
		time.Sleep(1500 * time.Millisecond)
		for _, w := range leaving {
			w.stop()
		}
		late, first := 0, ""
		l.mu.Lock()
		for id, arrivals := range l.arrivals {
			for _, a := range arrivals {
				at, left := acknowledged[a.worker]
				if after := a.at.Sub(at); left && after > drainBound+drainSlack {
					late++
					first = fmt.Sprintf("%s reached %s %d ms after its leaving was acknowledged", id, a.worker.id, after.Milliseconds())
				}
			}
		}
		l.mu.Unlock()
		l.note("checked", "", fmt.Sprintf("round %d: %d requests reached a leaving worker too late", round, late))
		if late > 0 {
			broken = fmt.Sprintf("DRAIN: %d requests, one of them: %s (bound 2000 ms)", late, first)
		}
		time.Sleep(3 * time.Second)
	}
	close(done)
	clients.Wait()
	return broken
}
