package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// rig is a small deployment: a store, workers and daemons. Only the goroutine of the case adds to it.
type rig struct {
	folder  string
	store   *store
	daemons []*daemon
	workers []*worker

	mu      sync.Mutex
	started time.Time
	record  *os.File
}

// newRig starts a store. The record of the case is written to a file.
func newRig(recordPath string) (*rig, error) {
	record, err := os.Create(recordPath) //nolint:gosec // a test
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "rosemarywick-review")
	if err != nil {
		return nil, err
	}
	r := &rig{folder: folder, record: record, started: time.Now()}
	r.store, err = startStore()
	return r, err
}

// note writes a line to the record.
func (r *rig) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// say writes a line to the record and to standard output.
func (r *rig) say(format string, arguments ...any) {
	r.note(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

// stop ends all processes.
func (r *rig) stop() {
	for _, d := range r.daemons {
		d.kill()
	}
	_ = os.RemoveAll(r.folder)
	_ = r.record.Close()
}

// addDaemon starts a daemon with changed settings.
func (r *rig) addDaemon(zone string, changes ...string) (*daemon, error) {
	d, err := newDaemon(r.folder, len(r.daemons)+1, zone, r.store.address(), changes...)
	if err != nil {
		return nil, err
	}
	r.daemons = append(r.daemons, d)
	return d, d.start()
}

// addWorker starts a worker.
func (r *rig) addWorker(w *worker) error {
	r.workers = append(r.workers, w)
	return w.start(r.store)
}

// awaitReady waits until all daemons are ready.
func (r *rig) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range r.daemons {
			if d.isReady() {
				ready++
			}
		}
		if ready == len(r.daemons) {
			return nil
		}
	}
	return errors.New("the daemons do not get ready")
}

// route is a route of the configuration.
type route struct {
	Host, Prefix, Type, Service string
	TimeoutS                    float64
	Attempts                    int
}

// service is a service of the configuration.
type service struct {
	Name     string
	MaxConns int
	Sharded  bool
}

// configure writes a configuration.
func (r *rig) configure(version int, bodyBytes int, routes []route, services []service) {
	listeners := []any{}
	for _, entry := range routes {
		listeners = append(listeners, map[string]any{
			"hostname": entry.Host, "ruleset": []any{map[string]any{
				"name": "r-" + entry.Service, "type": entry.Type, "targetLatencyS": entry.TimeoutS / 2, "priority": 2,
				"match":  map[string]any{"prefix": entry.Prefix},
				"action": map[string]any{"service": entry.Service, "timeoutS": entry.TimeoutS, "maxAttempts": entry.Attempts},
			}},
		})
	}
	clusters := []any{}
	for _, s := range services {
		cluster := map[string]any{
			"name": s.Name, "healthPath": "/healthz", "maxConns": s.MaxConns, "protocol": "h1", "tls": false,
		}
		if s.Sharded {
			cluster["sharded"], cluster["warmS"], cluster["grants"] = true, 2.0, "invocation"
		}
		clusters = append(clusters, cluster)
	}
	content, _ := json.Marshal(map[string]any{
		"version":   fmt.Sprintf("%08x", version),
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": bodyBytes, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"listeners": listeners, "clusters": clusters,
	})
	r.store.put("op", "config", content)
}
