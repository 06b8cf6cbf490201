package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// goneBound is the time after a client has left from which on nothing may reach a worker or be at work there.
const goneBound = 500 * time.Millisecond

// goneFew is what the script takes for "a few" requests that reach a worker later.
const goneFew = 5

// goneClients is the number of clients, and goneLeaving that of those that leave: a share of 0.3.
const (
	goneClients = 40
	goneLeaving = 12
)

// playGone lets clients leave that have sent further requests before the first answer.
func playGone(l *Lab) string {
	l.store.put("op", "config", configuration(7, []route{{"/read/", "safe", "archive", 5, 2, 2}}, []service{{"archive", false, 45}}))
	zones := []string{"a", "b", "c"}
	var workers []*Worker
	for i := range 6 {
		workers = append(workers, l.startWorker(&Worker{
			id: fmt.Sprintf("i-%d", i), service: "archive", zone: zones[i%3], slots: 4, queue: 8, work: 1500 * time.Millisecond,
		}))
	}
	defer func() {
		for _, w := range workers {
			w.stop()
		}
	}()
	l.startDaemons(zones, "")
	time.Sleep(4 * time.Second)

	type client struct {
		ids  []string
		left time.Time
	}
	clients := make([]client, goneClients)
	var running sync.WaitGroup
	for i := range clients {
		c := &clients[i]
		running.Go(func() {
			conn, err := net.Dial("tcp", l.daemons[i%3].front())
			if err != nil {
				fail("connect: %v", err)
			}
			var text strings.Builder
			requests := 6
			if i >= goneLeaving {
				requests = 1
			}
			for range requests {
				id := l.nextID()
				c.ids = append(c.ids, id)
				// The head has 8 KB, half of what the configuration allows.
				fmt.Fprintf(&text, "GET /read/x HTTP/1.1\r\nHost: %s\r\nRosemarywick-Attempt-Id: %s\r\nRosemarywick-Deadline-Ms: 5000\r\n"+
					"Cookie: %s\r\n\r\n", hostname, id, strings.Repeat("c", 8000))
				l.note("sent", id, fmt.Sprintf("client %d to daemon %d, behind %d others", i, i%3, len(c.ids)-1))
			}
			if _, err := conn.Write([]byte(text.String())); err != nil {
				fail("write: %v", err)
			}
			if !l.trouble || i >= goneLeaving {
				reader := bufio.NewReader(conn)
				for _, id := range c.ids {
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						l.note("answered", id, "connection ended")
						break
					}
					buffer := make([]byte, 1024)
					n, _ := response.Body.Read(buffer)
					_ = response.Body.Close()
					l.note("answered", id, fmt.Sprintf("%d %s", response.StatusCode, strings.TrimSpace(string(buffer[:n]))))
				}
				_ = conn.Close()
				return
			}
			time.Sleep(300 * time.Millisecond)
			_ = conn.Close()
			c.left = time.Now()
			l.note("left", "", fmt.Sprintf("client %d has closed its connection", i))
		})
	}
	running.Wait()
	time.Sleep(12 * time.Second)
	l.mu.Lock()
	defer l.mu.Unlock()
	reached, atWork, long := 0, 0, 0
	for _, c := range clients {
		if c.left.IsZero() {
			continue
		}
		for _, id := range c.ids {
			for _, a := range l.arrivals[id] {
				if a.at.After(c.left.Add(goneBound)) {
					reached++
				}
				if a.at.Before(c.left) && a.at.Add(a.worker.work).After(c.left.Add(goneBound)) {
					long++
					if !l.droppedBefore(id, c.left.Add(goneBound)) {
						atWork++
					}
				}
			}
		}
	}
	switch {
	case reached > goneFew:
		return fmt.Sprintf("GONE: %d requests reached a worker over half a second after their clients had left; workers were still at "+
			"work on %d of %d", reached, atWork, long)
	case 4*atWork > long:
		return fmt.Sprintf("GONE: half a second after their clients had left, workers were still at work on %d of %d requests", atWork, long)
	}
	return ""
}
