// Command fences lets a worker that does not reach the store crash and start again under its id and address.
package main

import (
	"math/rand/v2"
	"net/http"
	"time"

	"rosemarywick.example/rosemarywick/review/rig"
)

const (
	// restartTime is how long the worker is down, and cutTime how long it does not reach the store after that.
	restartTime = 50 * time.Millisecond
	cutTime     = 1500 * time.Millisecond
)

func main() {
	record := rig.OpenRecord("record.txt")
	store := rig.StartStore()
	fleet := &rig.Fleet{Store: store, Record: record, Heartbeat: 870 * time.Millisecond, CheckFences: true}
	store.Put("op", "config", []byte(rig.Configuration))
	newWorker := func(id, name, address string) *rig.Worker {
		return &rig.Worker{
			Fleet: fleet, ID: id, Name: name, Service: "catalogo", Zone: "centro", Slots: 6, Keyed: true, Address: address,
			Duration: func(*http.Request) time.Duration { return 30 * time.Millisecond },
		}
	}
	first := newWorker("i-1", "i-1/1", "")
	first.Start()
	newWorker("i-2", "i-2", "").Start()
	newWorker("i-3", "i-3", "").Start()
	daemons := rig.StartDaemons(store, record)
	client, done := &rig.Client{Record: record}, make(chan struct{})
	go client.Load(daemons, done, 60, func() int { return rand.IntN(1 << 16) })
	time.Sleep(5 * time.Second)
	if rig.Trouble() {
		first.Cut(true)
		time.Sleep(500 * time.Millisecond)
		first.Crash()
		time.Sleep(restartTime)
		second := newWorker("i-1", "i-1/2", first.Address)
		second.Cut(true)
		second.Start()
		time.Sleep(cutTime)
		second.Cut(false)
	}
	time.Sleep(3 * time.Second)
	close(done)
	if client.Answered(http.StatusOK) < 200 {
		rig.Unable("only %d requests were served", client.Answered(http.StatusOK))
	}
	record.Finish()
}
