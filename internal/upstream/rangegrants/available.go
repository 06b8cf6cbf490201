package rangegrants

import (
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
)

// availableServers returns the servers to which ranges can be assigned. The capacity of a server is its number of slots, scaled
// by its pace relative to the mean of all servers.
func (t *term) availableServers(stats map[fleet.UpstreamID]ServerStats) []ranges.Server {
	mean := t.paces.MeanDuration()
	meanSeconds := mean.Seconds()
	var result []ranges.Server
	t.mu.Lock()
	defer t.mu.Unlock()
	owners := t.knownOwners()
	for _, server := range t.Registry.Servers(t.Service) {
		if later, ok := owners[server.ID]; ok && server.Incarnation.Precedes(later.Incarnation) {
			t.logLateEntry(server.Owner, later)
			server.Owner = later
		}
		if _, down := t.down[server.Owner]; down || server.Leaving {
			continue
		}
		slots := float64(max(1, server.Slots))
		capacity := slots * t.paces.Of(server.ID, mean)
		next := ranges.Server{Owner: server.Owner, Capacity: capacity}
		next.Utilization, next.Rise = utilization(stats[server.ID], slots)
		if limit := stats[server.ID].RateLimit; limit != nil && meanSeconds > 0 {
			// A slot of mean speed takes 1/meanSeconds requests a second.
			next.Limited = true
			next.Capacity = max(min(capacity, *limit*limitUse*meanSeconds), minLimitedCapacity)
			next.Utilization = max(next.Utilization, stats[server.ID].Rate/max(*limit, minRateLimit))
			next.MaxRate = max(*limit, minRateLimit) * limitUse
		}
		result = append(result, next)
	}
	return result
}

// knownOwners returns the process of each server that the table names as an owner. A process that was granted keys is a later one
// than that of an entry which was written late. The caller holds mu.
func (t *term) knownOwners() map[fleet.UpstreamID]ranges.Owner {
	result := make(map[fleet.UpstreamID]ranges.Owner)
	for _, assignment := range t.table.Assignments {
		result[assignment.Owner.ID] = assignment.Owner
	}
	return result
}

// logLateEntry logs once that an entry is of an earlier start of a server.
func (t *term) logLateEntry(entry, later ranges.Owner) {
	if !t.lateEntries[entry] {
		t.lateEntries[entry] = true
		t.Log.Warn().Str("server", string(entry.ID)).Str("run", string(entry.Incarnation)).Str("owner-run", string(later.Incarnation)).
			Msg("entry of an earlier start of the server ignored: a later one owns keys")
	}
}

const (
	// limitUse is the part of a server's limit that is planned with, so that chance rarely exceeds the limit.
	limitUse = 0.85
	// minLimitedCapacity, in slots, and minRateLimit, in requests a second, keep ratios to the load of a server that takes
	// next to nothing finite.
	minLimitedCapacity = 0.05
	minRateLimit       = 0.1
)

// readmitServers makes the servers available again that have responded to a probe.
func (t *term) readmitServers() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for owner := range t.back {
		delete(t.down, owner)
	}
	clear(t.back)
}

// isDown reports whether a server has failed and has not responded to a probe since.
func (t *term) isDown(owner ranges.Owner) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, down := t.down[owner]
	return down
}
