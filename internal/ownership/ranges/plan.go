package ranges

import (
	"math"
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Server is a server to which ranges can be assigned.
type Server struct {
	Owner
	// Capacity is the number of requests a second that the server can process, relative to the other servers.
	Capacity float64
	// Utilization is the number of requests at the server divided by the number that it runs concurrently. It exceeds 1
	// when requests queue there, and is zero when it is unknown.
	Utilization float64
	// Rise is by how much Utilization has risen since the previous collection.
	Rise float64
	// Limited is set if the server has named a limit to the requests that it takes, which Capacity and Utilization are
	// derived from. Requests beyond it are refused, so that keys move earlier than from other servers.
	Limited bool
	// MaxRate is the number of requests a second that a limited server is planned to get at most. Zero means that it is not known.
	MaxRate float64
}

const (
	// maxOrphanOvershoot is the factor by which the last piece of an orphaned range may exceed the headroom of the server
	// that takes it.
	maxOrphanOvershoot = 1.2
	// minHeadroomFraction is the smallest headroom, as a fraction of its target load, that a server is taken to have when
	// an orphaned range is split. It keeps ranges from being split into tiny pieces.
	minHeadroomFraction = 0.25
	// extraDeviations is added to the number of standard deviations by which counts differ by chance; a larger difference
	// counts as real. With a lower value, keys of small services move without need.
	extraDeviations = 0.2
	// underloadRatio is the load, relative to its target, below which a server gets keys at once.
	underloadRatio = 0.3
	// maxFillMoves bounds the moves of one plan to underloaded servers.
	maxFillMoves = 8
	// minSamplesPerServer is the number of requests per server below which the load is not used for balancing. It is low
	// because daemons of large fleets report only a sample of their requests; noiseMargin allows for the variance.
	minSamplesPerServer = 3
)

// Planner computes the next table of a service. The exported fields are set before Next.
type Planner struct {
	// Servers are those that can be assigned ranges: they are reachable and not shutting down.
	Servers []Server
	Load    *Load
	// GrantsExpireAt returns the time of the store's clock at which every grant to an owner has expired.
	GrantsExpireAt func(Owner) time.Duration
	// Now is the lower bound of the time that the store's clock shows.
	Now time.Duration
	// Released reports whether a former owner is known to own no key of an assignment's range any more.
	Released func(Assignment, FormerOwner) bool
	// Unreachable reports whether an owner cannot be asked to release a range. Nil means that all can.
	Unreachable func(Owner) bool
	// Ended reports whether the process of an owner is known to have ended, so that it owns nothing.
	Ended func(Owner) bool
	// Granted reports whether the owner has accepted the grant of an assignment.
	Granted func(Assignment) bool
	// Refused reports whether the owner refused the grant of an assignment because it had seen a higher fence, or may have started
	// again since it accepted the grant.
	Refused func(Assignment) bool
	// Rebalance allows ranges to move from overloaded servers to others.
	Rebalance bool
	// Leaving holds the servers that are not in Servers because they leave but still serve. Nil means that there are none.
	Leaving *Leaving
	// Moves is set by Next: the ranges that change owner.
	Moves []Move

	table *Table
	// fence is the fence of all assignments that this plan changes.
	fence         Fence
	serverLoads   map[fleet.UpstreamID]float64
	totalLoad     float64
	totalCapacity float64
	// meanUtilization is the mean of the servers' utilization by capacity.
	meanUtilization float64
}

// Next returns the table that should replace the given one, and whether it differs.
func (p *Planner) Next(table *Table) (*Table, bool) {
	p.table, p.fence = table.Clone(), table.Fence+1
	if len(p.Servers) == 0 {
		return p.table, p.removeSettledFormerOwners()
	}
	changed := p.removeSettledFormerOwners()
	if len(p.table.Assignments) == 0 {
		p.table.Assignments = []Assignment{{Range: fleet.KeyRange{Last: fleet.MaxNumericKey}}}
	}
	p.Load.BuildPrefixSums()
	p.sumServerLoads()
	p.selectLeaving()
	fenced := p.refenceOwners()
	fenced = p.reassignOrphans() || fenced
	if p.Rebalance && p.Load.Samples() >= minSamplesPerServer*float64(len(p.Servers)) {
		fenced = p.rebalance() || fenced
	}
	fenced = p.fillUnderloaded() || fenced
	if !p.unsure() { // these change the fences of ranges whose owners need not be confirmed
		fenced = p.consolidate() || fenced
		fenced = p.mergeNeighbours() || fenced
	}
	if fenced {
		p.table.Fence = p.fence
	}
	return p.table, changed || fenced
}

// removeSettledFormerOwners removes the former owners that own nothing any more. A former owner that released its range stays
// listed until the new owner has accepted the grant, because requests for a range wait while it has former owners.
func (p *Planner) removeSettledFormerOwners() bool {
	changed := false
	for i := range p.table.Assignments {
		assignment := &p.table.Assignments[i]
		before := len(assignment.FormerOwners)
		unchanged := *assignment
		assignment.FormerOwners = slices.DeleteFunc(assignment.FormerOwners, func(former FormerOwner) bool {
			return former.GrantsExpireAt <= p.Now || p.Granted(unchanged) && p.Released(unchanged, former)
		})
		changed = changed || len(assignment.FormerOwners) != before
	}
	return changed
}

// sumServerLoads computes the load of each server and the totals.
func (p *Planner) sumServerLoads() {
	p.serverLoads, p.totalLoad, p.totalCapacity = make(map[fleet.UpstreamID]float64), 0, 0
	p.meanUtilization = 0
	for _, server := range p.Servers {
		p.serverLoads[server.ID] = 0
		p.totalCapacity += server.Capacity
		p.meanUtilization += server.Capacity * min(server.Utilization, maxCountedUtilization)
	}
	p.meanUtilization /= p.totalCapacity
	for _, assignment := range p.table.Assignments {
		load := p.Load.RangeSum(assignment.Range)
		p.totalLoad += load
		if _, ok := p.serverLoads[assignment.Owner.ID]; ok {
			p.serverLoads[assignment.Owner.ID] += load
		}
	}
}

// findServer returns the server with the ID, or nil if it is not available.
func (p *Planner) findServer(id fleet.UpstreamID) *Server {
	for i := range p.Servers {
		if p.Servers[i].ID == id {
			return &p.Servers[i]
		}
	}
	return nil
}

// targetLoad returns the share of the total load that is proportional to the server's capacity, or what a limited server takes.
func (p *Planner) targetLoad(server *Server) float64 { return p.capLoad(server, p.shareOf(server)) }

// shareOf returns the share of the total load that is proportional to the server's capacity.
func (p *Planner) shareOf(server *Server) float64 {
	return p.totalLoad * server.Capacity / p.totalCapacity
}

// loadRatio returns the load of a server relative to its target.
func (p *Planner) loadRatio(server *Server) float64 {
	return p.serverLoads[server.ID] / p.targetLoad(server)
}

// leastLoaded returns the server with the lowest load relative to its target.
func (p *Planner) leastLoaded() *Server {
	best := &p.Servers[0]
	for i := range p.Servers {
		if p.loadRatio(&p.Servers[i]) < p.loadRatio(best) {
			best = &p.Servers[i]
		}
	}
	return best
}

// mostLoaded returns the server with the highest load relative to its target, or nil if all servers are excluded.
func (p *Planner) mostLoaded(excluded map[fleet.UpstreamID]bool) *Server {
	var best *Server
	for i := range p.Servers {
		if server := &p.Servers[i]; !excluded[server.ID] && (best == nil || p.loadRatio(server) > p.loadRatio(best)) {
			best = server
		}
	}
	return best
}

// noiseMargin returns by how much the load of any one server is likely to differ from its target by chance. The largest of n
// counts lies about sqrt(2 ln n) standard deviations above the mean. The second term corrects for the skew of the Poisson
// distribution, which matters for small counts.
func (p *Planner) noiseMargin(target float64) float64 {
	deviations := extraDeviations + math.Sqrt(2*math.Log(float64(len(p.Servers))))
	perRequest := p.Load.VariancePerRequest()
	return deviations*math.Sqrt(target*perRequest) + deviations*deviations/6*perRequest
}

// underloaded reports whether a server has little load and either owns no keys or is significantly below its target.
func (p *Planner) underloaded(server *Server) bool {
	target := p.targetLoad(server)
	if p.serverLoads[server.ID] >= target*underloadRatio {
		return false
	}
	ownsKeys := slices.ContainsFunc(p.table.Assignments, func(assignment Assignment) bool {
		return assignment.Owner.ID == server.ID
	})
	return !ownsKeys || p.serverLoads[server.ID] < target-p.noiseMargin(target)
}

// fillUnderloaded moves keys to servers that have just joined, or have lost most of their load. It skips servers whose load is
// concentrated on a few keys that cannot be split.
func (p *Planner) fillUnderloaded() bool {
	changed, skipped := false, make(map[fleet.UpstreamID]bool)
	for moves := 0; moves < maxFillMoves; {
		from, to := p.mostLoaded(skipped), p.leastLoaded()
		if from == nil || from == to || !p.underloaded(to) {
			break
		}
		amount := min(p.serverLoads[from.ID]/2, p.targetLoad(to)-p.serverLoads[to.ID])
		if p.moveLoad(from, to, amount, ReasonFill) {
			changed = true
			moves++
		} else {
			skipped[from.ID] = true
		}
	}
	return changed
}

// mergeNeighbours merges adjacent ranges of the same owner, so that the table stays small.
func (p *Planner) mergeNeighbours() bool {
	merged := p.table.Assignments[:0:0]
	for _, assignment := range p.table.Assignments {
		last := len(merged) - 1
		if last >= 0 && merged[last].Owner.SameProcess(assignment.Owner) && assignment.Owner.ID != "" &&
			len(merged[last].FormerOwners) == 0 && len(assignment.FormerOwners) == 0 && !p.stays(assignment) {
			merged[last].Range.Last = assignment.Range.Last
			merged[last].Fence = p.fence
			continue
		}
		merged = append(merged, assignment)
	}
	changed := len(merged) != len(p.table.Assignments)
	p.table.Assignments = merged
	return changed
}
