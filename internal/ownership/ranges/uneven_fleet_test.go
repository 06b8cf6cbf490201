package ranges_test

import (
	"maps"
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
)

// unevenReports is what the daemons of an unevenLoad have measured: keys of requests when they arrive, durations when they end.
type unevenReports struct {
	// counts is not reported yet. reported is not collected yet.
	counts, reported ranges.BucketCounts
	ended            []endedRequest
	servers          map[fleet.UpstreamID]*measuredServer
	paces            ranges.Paces
}

type endedRequest struct {
	server fleet.UpstreamID
	at     time.Duration
	took   time.Duration
}

type measuredServer struct {
	measured    ranges.Measured
	concurrency float64
}

func newUnevenReports() unevenReports {
	return unevenReports{
		counts: make(ranges.BucketCounts), reported: make(ranges.BucketCounts), servers: make(map[fleet.UpstreamID]*measuredServer),
	}
}

// report reports what a share of the daemons have counted.
func (u *unevenLoad) report(now time.Duration, share float64) {
	r := &u.reports
	for _, bucket := range slices.Sorted(maps.Keys(r.counts)) {
		for range int(r.counts[bucket]) {
			if u.random.Float64() >= share {
				continue
			}
			r.counts[bucket]--
			if !u.isLost(now) {
				r.reported[bucket]++
			}
		}
	}
}

// isLost reports whether the report of a random daemon is lost.
func (u *unevenLoad) isLost(now time.Duration) bool {
	return now >= unevenHeats[0].from && u.random.Float64() < u.lostShare
}

// plan collects the reports and plans. It returns false if the table does not change.
func (u *unevenLoad) plan(now time.Duration) bool {
	r := &u.reports
	const meanReportAge = reportEvery / 2
	var later []endedRequest
	for _, server := range u.list {
		if r.servers[server.ID] == nil {
			r.servers[server.ID] = &measuredServer{}
		}
		r.servers[server.ID].measured = ranges.Measured{Span: collectEvery}
	}
	for _, ended := range r.ended {
		if ended.at+meanReportAge > now {
			later = append(later, ended)
			continue
		}
		if u.isLost(now) {
			continue
		}
		r.servers[ended.server].measured.Requests++
		r.servers[ended.server].measured.Total += ended.took
	}
	r.ended = later
	at := time.Unix(0, int64(now))
	u.load.AddReport(at, r.reported)
	r.reported = make(ranges.BucketCounts)
	for id, server := range r.servers {
		r.paces.Add(at, id, unevenSlots, server.measured)
	}
	mean := r.paces.MeanDuration()
	for i := range u.list {
		server := r.servers[u.list[i].ID]
		before := server.concurrency
		server.concurrency += 0.5 * (server.measured.Total.Seconds()/collectEvery.Seconds() - server.concurrency)
		u.list[i].Capacity = unevenSlots * r.paces.Of(u.list[i].ID, mean)
		u.list[i].Utilization, u.list[i].Rise = server.concurrency/unevenSlots, (server.concurrency-before)/unevenSlots
	}
	planner := newPlanner(u.list, &u.load)
	next, changed := planner.Next(u.table)
	for _, move := range planner.Moves {
		u.result.reasons[move.Reason] += move.Range.Size()
	}
	if !changed {
		return false
	}
	moved := movedKeys(u.table, next)
	u.result.keys += moved
	u.result.movedPerSecond[len(u.result.movedPerSecond)-1] += moved
	u.result.mostRanges = max(u.result.mostRanges, len(next.Assignments))
	u.next = next
	return true
}

// movedKeys returns how many keys have another owner in the next table.
func movedKeys(before, after *ranges.Table) int {
	moved := 0
	for key := range int(fleet.MaxNumericKey) + 1 {
		if !before.Locate(fleet.NumericKey(key)).Owner.SameProcess(after.Locate(fleet.NumericKey(key)).Owner) {
			moved++
		}
	}
	return moved
}
