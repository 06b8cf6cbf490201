package load

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/hotkeys"
)

const (
	// reportTTL is how long the last report of a daemon is used. Up to three reports in a row may be lost.
	reportTTL = 4 * Interval
	// minRequestsPerServer is the number of requests per server from which on the loads of servers are comparable. With fewer,
	// loads differ by chance by more than the 5% that the load cap allows.
	minRequestsPerServer = 500
)

// Aggregator adds up the latest reports of all daemons on one service. It is not safe for concurrent use.
type Aggregator struct {
	reports map[fleet.HostID]receivedReport
}

// receivedReport is the latest report of one daemon.
type receivedReport struct {
	report     Report
	receivedAt time.Time
}

// AddReport stores the report of a daemon in place of its previous one.
func (a *Aggregator) AddReport(now time.Time, from fleet.HostID, report Report) {
	if a.reports == nil {
		a.reports = make(map[fleet.HostID]receivedReport)
	}
	a.reports[from] = receivedReport{report: report, receivedAt: now}
}

// ServiceLoad is the load of a service, summed over all daemons.
type ServiceLoad struct {
	// Requests is the decayed number of requests on which the loads are based.
	Requests float64
	// Total is the load of the service in requests a second.
	Total float64
	// Partitions is the load of each partition in requests a second.
	Partitions map[fleet.PartitionID]float64
	// Keys are the most frequent keys, with weights in requests a second.
	Keys hotkeys.Report
}

// Significant reports whether enough requests were measured to compare the loads of the servers.
func (l *ServiceLoad) Significant(servers int) bool {
	return servers > 0 && l.Requests >= minRequestsPerServer*float64(servers)
}

// Sum adds up the reports that have not expired. It distributes load that a daemon did not attribute to a partition evenly over
// the hash ranges.
func (a *Aggregator) Sum(now time.Time, partitions int) ServiceLoad {
	sum := ServiceLoad{Partitions: make(map[fleet.PartitionID]float64)}
	unattributed := 0.0
	var keys []hotkeys.Report
	for host, received := range a.reports {
		if now.Sub(received.receivedAt) > reportTTL {
			delete(a.reports, host)
			continue
		}
		unattributed += received.report.RemainingLoad
		sum.Requests += received.report.Requests
		for _, rate := range received.report.Partitions {
			sum.Partitions[rate.Partition] += rate.PerSecond
			sum.Total += rate.PerSecond
		}
		keys = append(keys, hotkeys.Report{Counts: received.report.Keys})
	}
	sum.Total += unattributed
	for id := range fleet.PartitionID(partitions) {
		sum.Partitions[id] += unattributed / float64(partitions)
	}
	sum.Keys = hotkeys.Merge(keys, maxKeys)
	sum.Keys.Total = sum.Total
	return sum
}
