// Package load measures how the requests of a keyed service are distributed over its partitions and keys. Each daemon counts the
// requests that it forwards, and the assigner adds up the reports of the daemons. The package reads no clock and does no I/O.
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
	// shortHalfLife makes rates follow a change of the hot keys within seconds; longer ones left servers overloaded for
	// windows of 10 s after each change. longHalfLife collects enough requests where the load is low.
	shortHalfLife = hotkeys.DefaultHalfLife
	longHalfLife  = 30 * time.Second
	// shortRequests is the decayed number of requests from which on a daemon reports rates with the short half-life. That is
	// about 1,400 requests a second. Two such daemons measure enough for 15 servers.
	shortRequests = 4000
	// Interval is the time between two reports of a daemon.
	Interval = 2 * time.Second
	// maxPartitions and maxKeys limit an encoded report to about 2 KB, which is 1 KB/s at one report per Interval.
	maxPartitions = 256
	maxKeys       = 64
	// maxWeight is the weight of a request at which all weights are scaled down.
	maxWeight = 1e100
)

// Rate is the request rate of one partition.
type Rate struct {
	Partition fleet.PartitionID
	// PerSecond is the number of requests a second.
	PerSecond float64
}

// Report contains the request rates of one service, as measured by one daemon.
type Report struct {
	// Requests is the decayed number of requests on which the rates are based.
	Requests float64
	// Partitions are those with the highest rates, in descending order.
	Partitions []Rate
	// RemainingLoad is the rate of all other partitions together, in requests a second.
	RemainingLoad float64
	// Keys are the most frequent keys, with weights in requests a second.
	Keys []hotkeys.Count
}

// Meter measures the request rates of one service at one daemon. The zero value is ready to use. A Meter is safe for concurrent
// use.
type Meter struct {
	mu sync.Mutex
	// short and long are guarded by mu. They count the same requests with different half-lives.
	short, long decayedCounter
}

// Add counts one request.
func (m *Meter) Add(now time.Time, partition fleet.PartitionID, key fleet.KeyHash) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.short.add(now, shortHalfLife, partition, key)
	m.long.add(now, longHalfLife, partition, key)
}

// Report returns the present rates, with the short half-life if that rests on enough requests.
func (m *Meter) Report(now time.Time) Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	if report := m.short.report(now, shortHalfLife); report.Requests >= shortRequests {
		return report
	}
	return m.long.report(now, longHalfLife)
}

// decayedCounter counts requests per partition and per key, with exponential decay.
type decayedCounter struct {
	// weightOrigin is the time at which a request has weight 1. Later requests weigh more, which spares decaying the earlier
	// ones.
	weightOrigin time.Time
	weights      map[fleet.PartitionID]float64
	sketch       hotkeys.Sketch
}

// add counts one request.
func (c *decayedCounter) add(now time.Time, halfLife time.Duration, partition fleet.PartitionID, key fleet.KeyHash) {
	weight := c.currentWeight(now, halfLife)
	c.weights[partition] += weight
	c.sketch.Add(now, key, 1)
}

// report returns the rates at the given time.
func (c *decayedCounter) report(now time.Time, halfLife time.Duration) Report {
	scale := c.currentWeight(now, halfLife)
	perSecond := math.Ln2 / halfLife.Seconds()
	rates := make([]Rate, 0, len(c.weights))
	report := Report{}
	for partition, weight := range c.weights {
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
	counts := c.sketch.Report(now).Counts
	report.Keys = counts[:min(len(counts), maxKeys)]
	for i := range report.Keys {
		report.Keys[i].Weight *= perSecond
		report.Keys[i].Error *= perSecond
	}
	return report
}

// currentWeight returns the weight of a request at the given time. It scales all weights down before they exceed the range of a
// float64.
func (c *decayedCounter) currentWeight(now time.Time, halfLife time.Duration) float64 {
	if c.weights == nil {
		c.weights = make(map[fleet.PartitionID]float64)
		c.weightOrigin = now
		c.sketch.HalfLife = halfLife
	}
	weight := math.Exp2(now.Sub(c.weightOrigin).Seconds() / halfLife.Seconds())
	if weight < maxWeight {
		return weight
	}
	for partition := range c.weights {
		c.weights[partition] /= weight
	}
	c.weightOrigin = now
	return 1
}
