package host

import (
	"context"
	"slices"
	"sync"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/hotkeys"
	"rosemarywick.example/rosemarywick/internal/ownership/keymap"
	"rosemarywick.example/rosemarywick/internal/ownership/load"
)

const (
	// loadTopic carries the load reports to the assigner of a service.
	loadTopic = "load"
	// reporterRole and reporters choose the daemons that report. The load balancer spreads requests evenly, so that some
	// daemons are a sample of all; 2,200 reports of 3 KB every 10 s would be too much for the assigner.
	reporterRole  = "load-reporter"
	reporterCount = 32
)

// loads meters what this daemon forwards for each keyed service, reports it to the service's assigner, and, where this
// daemon is the assigner, lets the sums decide on hot keys and moves.
type loadTracker struct {
	daemon *Daemon

	mu sync.Mutex
	// meters is guarded by mu.
	meters map[fleet.ServiceName]*load.Meter
	// totals is guarded by mu.
	aggregators map[fleet.ServiceName]*load.Aggregator
}

func newLoadTracker(d *Daemon) *loadTracker {
	l := &loadTracker{
		daemon: d, meters: make(map[fleet.ServiceName]*load.Meter), aggregators: make(map[fleet.ServiceName]*load.Aggregator),
	}
	d.peers.mesh.Handle(loadTopic, l.receive)
	return l
}

// observe meters a request that was sent to a server.
func (l *loadTracker) observe(record *cause.Record) {
	if record.Key == 0 || len(record.Attempts) == 0 {
		return
	}
	l.meter(record.Service).Add(l.daemon.Timer.Now(), record.Partition, record.Key)
}

func (l *loadTracker) meter(service fleet.ServiceName) *load.Meter {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.meters[service] == nil {
		l.meters[service] = &load.Meter{}
	}
	return l.meters[service]
}

// run reports at intervals until ctx ends.
func (l *loadTracker) run(ctx context.Context) error {
	ticks := l.daemon.Timer.Every(load.Interval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			if l.daemon.peers.hasRole(reporterRole, reporterCount) {
				l.reportAll(ctx)
			}
			for service := range l.daemon.assigners.actingEpochs() {
				l.rebalance(service)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func (l *loadTracker) reportAll(ctx context.Context) {
	for _, service := range l.daemon.ownershipMaps.services() {
		l.report(ctx, service)
	}
}

// report sends this daemon's report of a service to the assigner.
func (l *loadTracker) report(ctx context.Context, service fleet.ServiceName) {
	report := l.meter(service).Report(l.daemon.Timer.Now())
	to, known := l.daemon.assigners.assignerOf(service)
	if !known {
		return
	}
	if to == l.daemon.Settings.Host.ID {
		l.addReport(to, service, report)
		return
	}
	content, err := load.Encode(service, report)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, load.Interval/2)
		defer cancel()
		err = l.daemon.peers.mesh.Send(ctx, to, loadTopic, content)
	}
	if err != nil {
		l.daemon.Log.Debug().Err(err).Str("service", string(service)).Str("to", string(to)).Msg("load not reported")
	}
}

func (l *loadTracker) receive(_ context.Context, from fleet.HostID, content []byte) {
	service, report, err := load.Decode(content)
	if err != nil {
		l.daemon.Log.Warn().Err(err).Str("from", string(from)).Msg("load report not understood")
		return
	}
	if l.daemon.ownershipMaps.get(service) != nil {
		l.addReport(from, service, report)
	}
}

func (l *loadTracker) addReport(from fleet.HostID, service fleet.ServiceName, report load.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.aggregators[service] == nil {
		l.aggregators[service] = &load.Aggregator{}
	}
	l.aggregators[service].AddReport(l.daemon.Timer.Now(), from, report)
}

// use hands the load of a service to the assigner of this daemon.
func (l *loadTracker) rebalance(service fleet.ServiceName) {
	current := l.daemon.ownershipMaps.get(service)
	doc := l.daemon.configuration.Current()
	if current == nil || doc == nil || doc.FindService(service) == nil {
		return
	}
	sum := l.total(service, current.Partitions())
	servers := len(ownerCandidates(doc.FindService(service)))
	l.daemon.ownershipMaps.metrics.ObserveLoad(service, l.ownerLoads(service, &sum))
	if !sum.Significant(servers) {
		l.daemon.assigners.setLoads(service, nil, l.withPins(service, nil))
		return
	}
	keys := dedicatedKeys(current)
	for _, change := range (hotkeys.Policy{}).Decide(sum.Keys, keys, servers) {
		switch change := change.(type) {
		case hotkeys.Promotion:
			keys = append(keys, change.Key)
		case hotkeys.Demotion:
			keys = slices.DeleteFunc(keys, func(key fleet.KeyHash) bool { return key == change.Key })
		}
	}
	l.daemon.assigners.setLoads(service, sum.Partitions, l.withPins(service, keys))
}

// dedicated returns the keys that have an entry of their own.
func dedicatedKeys(current *keymap.Map) []fleet.KeyHash {
	var keys []fleet.KeyHash
	for _, entry := range current.HotKeys() {
		if entry.Owner != "" {
			keys = append(keys, entry.Key)
		}
	}
	return keys
}

func (l *loadTracker) total(service fleet.ServiceName, partitions int) load.ServiceLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.aggregators[service] == nil {
		return load.ServiceLoad{}
	}
	return l.aggregators[service].Sum(l.daemon.Timer.Now(), partitions)
}

// ownerLoads returns the load of each owner, those without load included.
func (l *loadTracker) ownerLoads(service fleet.ServiceName, sum *load.ServiceLoad) map[fleet.UpstreamID]float64 {
	owners := make(map[fleet.UpstreamID]float64)
	assignments, _ := l.daemon.operatorService.Assignments(service)
	for _, assignment := range assignments {
		if assignment.Owner != "" {
			owners[assignment.Owner] += sum.Partitions[assignment.Partition]
		}
	}
	return owners
}

// withPins adds the pinned keys of a service, which need an entry to stay where they are pinned.
func (l *loadTracker) withPins(service fleet.ServiceName, keys []fleet.KeyHash) []fleet.KeyHash {
	for _, pin := range l.daemon.configuration.pins(service) {
		if key := fleet.HashKey(pin.Key); !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	return keys
}
