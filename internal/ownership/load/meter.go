// Package load measures how the requests of a keyed service spread over its partitions and keys: each daemon meters what
// it forwards, and the assigner adds up the reports of all daemons. It reads no clock and does no I/O.
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
	// HalfLife is the time in which a measured load falls to half when requests stop. Shorter ones follow noise, and
	// each move for load has a price.
	HalfLife = 30 * time.Second
	// Interval is the time between two reports of a daemon.
	Interval = 10 * time.Second
	// maxPartitions and maxKeys bound a report to about 2 KB, which at one report in each Interval is a tenth of a
	// daemon's traffic for control.
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
	// Partitions are those with the highest load, the highest first.
	Partitions []Rate
	// Rest is the load of all other partitions together, in requests a second.
	Rest float64
	// Keys are the most frequent keys, with weights in requests a second.
	Keys []hotkeys.Count
}

// Meter measures the requests that one daemon forwards for one service. The zero value is ready for use, and its methods
// may be called concurrently.
type Meter struct {
	mu sync.Mutex
	// start is guarded by mu; it is the time at which one request weighs 1.
	start time.Time
	// weights is guarded by mu.
	weights map[fleet.PartitionID]float64
	// sketch is guarded by mu.
	sketch hotkeys.Sketch
}

// Add counts one request.
func (m *Meter) Add(now time.Time, partition fleet.PartitionID, key fleet.KeyHash) {
	m.mu.Lock()
	defer m.mu.Unlock()
	weight := m.weight(now)
	m.weights[partition] += weight
	m.sketch.Add(now, key, 1)
}

// Report returns the present rates.
func (m *Meter) Report(now time.Time) Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	perSecond := math.Ln2 / HalfLife.Seconds() / m.weight(now)
	rates := make([]Rate, 0, len(m.weights))
	for partition, weight := range m.weights {
		rates = append(rates, Rate{Partition: partition, PerSecond: weight * perSecond})
	}
	slices.SortFunc(rates, func(a, b Rate) int {
		return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Partition, b.Partition))
	})
	report := Report{Partitions: rates[:min(len(rates), maxPartitions)], Keys: m.keys(now)}
	for _, rate := range rates[len(report.Partitions):] {
		report.Rest += rate.PerSecond
	}
	return report
}

// keys returns the most frequent keys. The caller holds mu.
func (m *Meter) keys(now time.Time) []hotkeys.Count {
	perSecond := math.Ln2 / HalfLife.Seconds()
	counts := m.sketch.Report(now).Counts
	counts = counts[:min(len(counts), maxKeys)]
	for i := range counts {
		counts[i].Weight *= perSecond
		counts[i].Error *= perSecond
	}
	return counts
}

// weight returns what one request weighs at a time. The caller holds mu.
func (m *Meter) weight(now time.Time) float64 {
	if m.weights == nil {
		m.weights = make(map[fleet.PartitionID]float64)
		m.start = now
		m.sketch.HalfLife = HalfLife
	}
	weight := math.Exp2(now.Sub(m.start).Seconds() / HalfLife.Seconds())
	if weight < maxWeight {
		return weight
	}
	for partition := range m.weights {
		m.weights[partition] /= weight
	}
	m.start = now
	return 1
}
