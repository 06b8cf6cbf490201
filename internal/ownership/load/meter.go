// Package load measures how the requests of a keyed service spread over its partitions and keys: each daemon meters what
// it forwards, and the assigner adds up the reports of some daemons. It reads no clock and does no I/O.
package load

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/hotkeys"
)

const (
	// shortHalfLife follows a change of the hot keys within seconds; longer ones left servers overloaded for windows of
	// 10 s after each change. longHalfLife gathers enough requests where the load is low.
	shortHalfLife = hotkeys.DefaultHalfLife
	longHalfLife  = 30 * time.Second
	// shortRequests is the number of requests within the short half-life from which on a daemon reports by it, about
	// 1,400 requests a second. Two such daemons measure enough for 15 servers.
	shortRequests = 4000
	// Interval is the time between two reports of a daemon.
	Interval = 2 * time.Second
	// maxPartitions and maxKeys bound a report to about 2 KB, which is 1 KB/s.
	maxPartitions = 256
	maxKeys       = 64
	// maxWeight is where weights are scaled down.
	maxWeight = 1e100
)

// Rate is the load of one partition.
type Rate struct {
	Partition fleet.PartitionID
	// PerSecond is in requests a second.
	PerSecond float64
}

// Report is what one daemon forwarded for one service.
type Report struct {
	// Requests is the decayed number of requests from which the rates were taken.
	Requests float64
	// Partitions are those with the highest load, the highest first.
	Partitions []Rate
	// Rest is the load of all other partitions together, in requests a second.
	RemainingLoad float64
	// Keys are the most frequent keys, with weights in requests a second.
	Keys []hotkeys.Count
}

// Meter measures the requests that one daemon forwards for one service. The zero value is ready for use, and its methods
// may be called concurrently.
type Meter struct {
	mu sync.Mutex
	// short and long are guarded by mu.
	short, long gauge
}

// Add counts one request.
func (m *Meter) Add(now time.Time, partition fleet.PartitionID, key fleet.KeyHash) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.short.add(now, shortHalfLife, partition, key)
	m.long.add(now, longHalfLife, partition, key)
}

// Report returns the present rates.
func (m *Meter) Report(now time.Time) Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	if report := m.short.report(now, shortHalfLife); report.Requests >= shortRequests {
		return report
	}
	return m.long.report(now, longHalfLife)
}

// gauge counts with one half-life.
type gauge struct {
	// start is the time at which one request weighs 1. Later ones weigh more, instead of earlier ones less.
	start   time.Time
	weights map[fleet.PartitionID]float64
	sketch  hotkeys.Sketch
}

func (g *gauge) add(now time.Time, halfLife time.Duration, partition fleet.PartitionID, key fleet.KeyHash) {
	weight := g.weight(now, halfLife)
	g.weights[partition] += weight
	g.sketch.Add(now, key, 1)
}

func (g *gauge) report(now time.Time, halfLife time.Duration) Report {
	scale := g.weight(now, halfLife)
	perSecond := math.Ln2 / halfLife.Seconds()
	rates := make([]Rate, 0, len(g.weights))
	report := Report{}
	for partition, weight := range g.weights {
		report.Requests += weight / scale
		rates = append(rates, Rate{Partition: partition, PerSecond: weight / scale * perSecond})
	}
	slices.SortFunc(rates, func(a, b Rate) int {
		return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Partition, b.Partition))
	})
	report.Partitions = rates[:min(len(rates), maxPartitions)]
	for _, rate := range rates[len(report.Partitions):] {
		report.RemainingLoad += rate.PerSecond
	}
	counts := g.sketch.Report(now).Counts
	report.Keys = counts[:min(len(counts), maxKeys)]
	for i := range report.Keys {
		report.Keys[i].Weight *= perSecond
		report.Keys[i].Error *= perSecond
	}
	return report
}

// weight returns what one request weighs at a time, and keeps the weights within the range of a float64.
func (g *gauge) weight(now time.Time, halfLife time.Duration) float64 {
	if g.weights == nil {
		g.weights = make(map[fleet.PartitionID]float64)
		g.start = now
		g.sketch.HalfLife = halfLife
	}
	weight := math.Exp2(now.Sub(g.start).Seconds() / halfLife.Seconds())
	if weight < maxWeight {
		return weight
	}
	for partition := range g.weights {
		g.weights[partition] /= weight
	}
	g.start = now
	return 1
}
