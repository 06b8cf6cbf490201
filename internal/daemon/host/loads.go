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
	// loadTopic is the mesh topic of the load reports that are sent to the assigner of a service.
	loadTopic = "load"
	// reporterRole and reporterCount select the daemons that report. The load balancer distributes requests evenly, so a few
	// daemons are a representative sample; 2,200 reports of 3 KB every 10 s would overload the assigner.
	reporterRole  = "load-reporter"
	reporterCount = 32
)

// loadTracker measures the requests that this daemon forwards for each keyed service and reports them to the service's
// assigner. On the daemon that acts as assigner, it sums the reports, chooses the hot keys and passes both to the assigner,
// which rebalances the partitions.
type loadTracker struct {
	daemon *Daemon

	mu sync.Mutex
	// meters is guarded by mu and measures what this daemon forwards.
	meters map[fleet.ServiceName]*load.Meter
	// aggregators is guarded by mu and sums the reports that this daemon received as assigner.
	aggregators map[fleet.ServiceName]*load.Aggregator
}

func newLoadTracker(d *Daemon) *loadTracker {
	l := &loadTracker{
		daemon: d, meters: make(map[fleet.ServiceName]*load.Meter), aggregators: make(map[fleet.ServiceName]*load.Aggregator),
	}
	d.peers.mesh.Handle(loadTopic, l.receive)
	return l
}

// observe adds a keyed request that was sent to a server to the meter of its service.
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

// run sends reports, and rebalances the services for which this daemon acts as assigner, at each interval until ctx ends.
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

// reportAll sends a report for each keyed service.
func (l *loadTracker) reportAll(ctx context.Context) {
	for _, service := range l.daemon.ownershipMaps.services() {
		l.report(ctx, service)
	}
}

// report sends this daemon's report of a service to the service's assigner, if one is known.
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
		l.daemon.Log.Debug().Err(err).Str("service", string(service)).Str("to", string(to)).
			Msg("send load report to assigner: dropping it")
	}
}

// receive handles a load report of a peer.
func (l *loadTracker) receive(_ context.Context, from fleet.HostID, content []byte) {
	service, report, err := load.Decode(content)
	if err != nil {
		l.daemon.Log.Warn().Err(err).Str("from", string(from)).Msg("decode load report of peer: ignoring it")
		return
	}
	if l.daemon.ownershipMaps.get(service) != nil {
		l.addReport(from, service, report)
	}
}

// addReport adds the report of a host to the sums of a service.
func (l *loadTracker) addReport(from fleet.HostID, service fleet.ServiceName, report load.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.aggregators[service] == nil {
		l.aggregators[service] = &load.Aggregator{}
	}
	l.aggregators[service].AddReport(l.daemon.Timer.Now(), from, report)
}

// rebalance passes the summed load and the hot keys of a service to the assigner on this daemon. While the load is not
// significant, it passes only the pinned keys, so that no partition is moved because of its load.
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

// dedicatedKeys returns the hot keys that have an entry with an owner in the map.
func dedicatedKeys(current *keymap.Map) []fleet.KeyHash {
	var keys []fleet.KeyHash
	for _, entry := range current.HotKeys() {
		if entry.Owner != "" {
			keys = append(keys, entry.Key)
		}
	}
	return keys
}

// total returns the summed load of a service.
func (l *loadTracker) total(service fleet.ServiceName, partitions int) load.ServiceLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.aggregators[service] == nil {
		return load.ServiceLoad{}
	}
	return l.aggregators[service].Sum(l.daemon.Timer.Now(), partitions)
}

// ownerLoads returns the load of each owner, including owners without load.
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

// withPins adds the pinned keys of a service to keys. A pinned key needs a map entry of its own to stay at its upstream.
func (l *loadTracker) withPins(service fleet.ServiceName, keys []fleet.KeyHash) []fleet.KeyHash {
	for _, pin := range l.daemon.configuration.pins(service) {
		if key := fleet.HashKey(pin.Key); !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	return keys
}
