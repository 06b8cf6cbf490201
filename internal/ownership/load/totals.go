package load

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/hotkeys"
)

const (
	// reportLife is how long the last report of a daemon counts; three reports may be lost.
	reportLife = 4 * Interval
	// minRequests is the number of requests for each server from which on servers are told apart: with fewer, chance
	// alone makes loads differ by more than the 5% that the cap allows.
	minRequests = 500
)

// Totals adds up the reports of all daemons for one service. It is not safe for concurrent use.
type Aggregator struct {
	reports map[fleet.HostID]received
}

// received is the last report of one daemon.
type received struct {
	report Report
	at     time.Time
}

// Take replaces the report of a daemon.
func (t *Aggregator) AddReport(now time.Time, from fleet.HostID, report Report) {
	if t.reports == nil {
		t.reports = make(map[fleet.HostID]received)
	}
	t.reports[from] = received{report: report, at: now}
}

// Sum is the load of a service over all daemons.
type ServiceLoad struct {
	// Requests is the decayed number of requests from which the loads were taken.
	Requests float64
	// Total is in requests a second.
	Total float64
	// Partitions is the load of each partition in requests a second.
	Partitions map[fleet.PartitionID]float64
	// Keys are the most frequent keys, with weights in requests a second.
	Keys hotkeys.Report
}

// Significant reports whether enough requests were measured to tell the servers apart.
func (s *ServiceLoad) Significant(servers int) bool {
	return servers > 0 && s.Requests >= minRequests*float64(servers)
}

// Sum adds up the reports that still count. Load that a daemon did not attribute is spread evenly over the hash ranges.
func (t *Aggregator) Sum(now time.Time, partitions int) ServiceLoad {
	sum := ServiceLoad{Partitions: make(map[fleet.PartitionID]float64)}
	rest := 0.0
	var keys []hotkeys.Report
	for host, one := range t.reports {
		if now.Sub(one.at) > reportLife {
			delete(t.reports, host)
			continue
		}
		rest += one.report.RemainingLoad
		sum.Requests += one.report.Requests
		for _, rate := range one.report.Partitions {
			sum.Partitions[rate.Partition] += rate.PerSecond
			sum.Total += rate.PerSecond
		}
		keys = append(keys, hotkeys.Report{Counts: one.report.Keys})
	}
	sum.Total += rest
	for id := range fleet.PartitionID(partitions) {
		sum.Partitions[id] += rest / float64(partitions)
	}
	sum.Keys = hotkeys.Merge(keys, maxKeys)
	sum.Keys.Total = sum.Total
	return sum
}
