package ranges

import (
	"math"
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Server is a server that may hold ranges.
type Server struct {
	Owner
	// Capacity is the number of requests a second that the server can run, relative to the others.
	Capacity float64
	// Use is the number of requests at the server as a part of those that it runs at the same time; it exceeds 1 where
	// requests wait there, and is zero where it is not known.
	Utilization float64
}

const (
	// orphanRoom is how far above its room a server may come by the last piece of a range that has lost its owner.
	orphanRoom = 1.2
	// leastRoom is the least part of its share that a server is given at once, so that ranges are not cut into crumbs.
	leastRoom = 0.25
	// busyRatio and idleRatio are the loads, relative to the share of a server, from which keys move to another one.
	busyRatio = 1.3
	idleRatio = 0.9
	// busyUse is the use of a server below which its requests rarely wait, so that moving keys would gain nothing.
	busyUse = 0.6
	// busyDeviations is by how many standard deviations a count has to differ from its share, beyond those of chance. With
	// fewer, keys of small services move without a reason.
	busyDeviations = 0.2
	// emptyRatio is the load, relative to its share, below which a server is given keys at once.
	emptyRatio = 0.3
	// mostShifts bounds the moves in one plan, and mostFills those to servers that have just joined.
	mostShifts = 8
	mostFills  = 8
	// leastSamples is the number of requests for each server below which the load says nothing. Large fleets report only a
	// part of their requests, so that it has to be small; chance is allowed for by busyDeviations.
	leastSamples = 3
)

// Planner derives the next table. The exported fields are set before Next.
type Planner struct {
	// Servers can hold ranges: they live, are not leaving and can be reached.
	Servers []Server
	Load    *Load
	// FreeAt returns the time of the store's clock at which every hold of a former owner has run out.
	GrantsExpireAt func(Owner) time.Duration
	// Now is the earliest that the store's clock can show.
	Now time.Duration
	// Released reports whether a former owner is known to hold nothing of a range any more.
	Released func(Assignment, FormerOwner) bool
	// Ended reports whether the process of an owner has certainly ended, so that it holds nothing.
	Ended func(Owner) bool
	// Granted reports whether the owner has taken the grant of a holding.
	Granted func(Assignment) bool
	// Refused reports whether the owner refused the holding because it had seen a higher fence.
	Refused func(Assignment) bool
	// Shift is set when ranges may move to even out the load.
	Rebalance bool

	table *Table
	fence Fence
	loads map[fleet.UpstreamID]float64
	total float64
	power float64
}

// Next returns the table that should follow, and whether it differs.
func (p *Planner) Next(table *Table) (*Table, bool) {
	p.table, p.fence = table.Clone(), table.Fence+1
	if len(p.Servers) == 0 {
		return p.table, p.settle()
	}
	changed := p.settle()
	if len(p.table.Assignments) == 0 {
		p.table.Assignments = []Assignment{{Range: fleet.KeyRange{Last: fleet.MaxNumericKey}}}
	}
	p.Load.BuildPrefixSums()
	p.measure()
	fenced := p.renewRuns()
	fenced = p.adopt() || fenced
	if p.Rebalance && p.Load.Samples() >= leastSamples*float64(len(p.Servers)) {
		fenced = p.shift() || fenced
	}
	fenced = p.fill() || fenced
	fenced = p.merge() || fenced
	if fenced {
		p.table.Fence = p.fence
	}
	return p.table, changed || fenced
}

// settle forgets the former owners that hold nothing any more. It keeps them until the owner has the grant, since requests
// wait for a range that has former owners.
func (p *Planner) settle() bool {
	changed := false
	for i := range p.table.Assignments {
		one := &p.table.Assignments[i]
		before := len(one.FormerOwners)
		held := *one
		one.FormerOwners = slices.DeleteFunc(one.FormerOwners, func(former FormerOwner) bool {
			return former.GrantsExpireAt <= p.Now || p.Granted(held) && p.Released(held, former)
		})
		changed = changed || len(one.FormerOwners) != before
	}
	return changed
}

// measure sums the load of each server.
func (p *Planner) measure() {
	p.loads, p.total, p.power = make(map[fleet.UpstreamID]float64), 0, 0
	for _, server := range p.Servers {
		p.loads[server.ID] = 0
		p.power += server.Capacity
	}
	for _, one := range p.table.Assignments {
		load := p.Load.RangeSum(one.Range)
		p.total += load
		if _, ok := p.loads[one.Owner.ID]; ok {
			p.loads[one.Owner.ID] += load
		}
	}
}

func (p *Planner) find(id fleet.UpstreamID) *Server {
	for i := range p.Servers {
		if p.Servers[i].ID == id {
			return &p.Servers[i]
		}
	}
	return nil
}

// part returns the load that a server should have.
func (p *Planner) part(server *Server) float64 {
	return p.total * server.Capacity / p.power
}

func (p *Planner) ratio(server *Server) float64 {
	return p.loads[server.ID] / p.part(server)
}

// renewRuns gives the ranges of a server that was restarted under its id to its new run, and a new fence to those that
// their owner refused. The former run has ended, so it holds nothing.
func (p *Planner) renewRuns() bool {
	changed := false
	for i := range p.table.Assignments {
		one := &p.table.Assignments[i]
		server := p.find(one.Owner.ID)
		if server == nil || server.SameProcess(one.Owner) && !p.Refused(*one) {
			continue
		}
		one.Owner, one.Fence, changed = server.Owner, p.fence, true
	}
	return changed
}

// adopt gives the ranges whose owner is gone to the servers with the most room.
func (p *Planner) adopt() bool {
	var next []Assignment
	changed := false
	for _, one := range p.table.Assignments {
		if p.find(one.Owner.ID) != nil {
			next = append(next, one)
			continue
		}
		changed = true
		next = append(next, p.divide(one)...)
	}
	p.table.Assignments = next
	return changed
}

// divide cuts a range without an owner among the servers with the most room.
func (p *Planner) divide(one Assignment) []Assignment {
	formers := p.formers(one)
	var result []Assignment
	for rest := one.Range; ; {
		server := p.idlest()
		room := max(p.part(server)-p.loads[server.ID], p.part(server)*leastRoom)
		piece, last := rest, true
		if p.Load.RangeSum(rest) > room*orphanRoom {
			if cut, ok := p.Load.SplitPoint(rest, room); ok {
				piece.Last, last = cut, false
			}
		}
		p.loads[server.ID] += p.Load.RangeSum(piece)
		result = append(result, Assignment{Range: piece, Owner: server.Owner, Fence: p.fence, FormerOwners: formers})
		if last {
			return result
		}
		rest.First = piece.Last + 1
	}
}

// formers returns the servers that may hold a range once its owner has changed. The owner is one of them even if it was a
// former owner before and has released the range since then.
func (p *Planner) formers(one Assignment) []FormerOwner {
	result := slices.DeleteFunc(slices.Clone(one.FormerOwners), func(former FormerOwner) bool { return p.Released(one, former) })
	if one.Owner.ID != "" && !p.Ended(one.Owner) {
		result = append(result, FormerOwner{Owner: one.Owner, GrantsExpireAt: p.GrantsExpireAt(one.Owner)})
	}
	return result
}

func (p *Planner) idlest() *Server {
	best := &p.Servers[0]
	for i := range p.Servers {
		if p.ratio(&p.Servers[i]) < p.ratio(best) {
			best = &p.Servers[i]
		}
	}
	return best
}

// busiest returns the server with the most load for its part, or nil if all are passed over.
func (p *Planner) busiest(except map[fleet.UpstreamID]bool) *Server {
	var best *Server
	for i := range p.Servers {
		if one := &p.Servers[i]; !except[one.ID] && (best == nil || p.ratio(one) > p.ratio(best)) {
			best = one
		}
	}
	return best
}

// shift moves keys from the busiest servers to the idlest ones. A server whose load lies on a few keys that cannot be divided
// is passed over.
func (p *Planner) shift() bool {
	changed, stuck := false, make(map[fleet.UpstreamID]bool)
	for moves := 0; moves < mostShifts; {
		from, to := p.busiest(stuck), p.idlest()
		if from == nil || p.ratio(from) < busyRatio || p.ratio(to) > idleRatio {
			break
		}
		if !p.busy(from) {
			stuck[from.ID] = true
			continue
		}
		amount := min(p.loads[from.ID]-p.part(from), p.part(to)-p.loads[to.ID])
		if p.move(from, to, amount) {
			changed = true
			moves++
		} else {
			stuck[from.ID] = true
		}
	}
	return changed
}

// busy reports whether a server has clearly more than its part, and too much for its slots.
func (p *Planner) busy(server *Server) bool {
	part := p.part(server)
	return server.Utilization > busyUse && p.loads[server.ID] > max(part*busyRatio, part+p.chance(part))
}

// chance returns by how much the load of some server is likely to differ from its part without any reason. The largest of n
// counts lies about sqrt(2 ln n) standard deviations above the mean.
func (p *Planner) chance(part float64) float64 {
	return (busyDeviations + math.Sqrt(2*math.Log(float64(len(p.Servers))))) * math.Sqrt(part)
}

// empty reports whether a server holds nothing, or clearly too little.
func (p *Planner) empty(server *Server) bool {
	part := p.part(server)
	if p.loads[server.ID] >= part*emptyRatio {
		return false
	}
	holds := slices.ContainsFunc(p.table.Assignments, func(one Assignment) bool { return one.Owner.ID == server.ID })
	return !holds || p.loads[server.ID] < part-p.chance(part)
}

// fill gives servers that have just joined their part. A server whose load lies on a few keys that cannot be divided is passed
// over.
func (p *Planner) fill() bool {
	changed, stuck := false, make(map[fleet.UpstreamID]bool)
	for moves := 0; moves < mostFills; {
		from, to := p.busiest(stuck), p.idlest()
		if from == nil || from == to || !p.empty(to) {
			break
		}
		amount := min(p.loads[from.ID]/2, p.part(to)-p.loads[to.ID])
		if p.move(from, to, amount) {
			changed = true
			moves++
		} else {
			stuck[from.ID] = true
		}
	}
	return changed
}

// move gives a part of the keys of one server to another, cut from the end of a range at which the load of the part comes
// closest to amount. It returns false if no part is small enough.
func (p *Planner) move(from, to *Server, amount float64) bool {
	best, bestPiece, bestRest := -1, fleet.KeyRange{}, fleet.KeyRange{}
	nearest := amount / 2 // a part that is off by more than half would only turn the imbalance round
	consider := func(index int, piece, rest fleet.KeyRange) {
		if distance := p.Load.RangeSum(piece) - amount; distance < nearest && -distance < nearest {
			best, bestPiece, bestRest, nearest = index, piece, rest, max(distance, -distance)
		}
	}
	for i, one := range p.table.Assignments {
		if one.Owner.ID != from.ID || len(one.FormerOwners) > 0 {
			continue
		}
		if cut, ok := p.Load.SplitPoint(one.Range, amount); ok {
			consider(i, fleet.KeyRange{First: one.Range.First, Last: cut}, fleet.KeyRange{First: cut + 1, Last: one.Range.Last})
		}
		if cut, ok := p.Load.SplitPoint(one.Range, p.Load.RangeSum(one.Range)-amount); ok {
			consider(i, fleet.KeyRange{First: cut + 1, Last: one.Range.Last}, fleet.KeyRange{First: one.Range.First, Last: cut})
		}
	}
	if best < 0 {
		return false
	}
	old := p.table.Assignments[best]
	moved := Assignment{Range: bestPiece, Owner: to.Owner, Fence: p.fence, FormerOwners: p.formers(old)}
	kept := old
	kept.Range = bestRest
	pieces := []Assignment{moved, kept}
	if bestRest.First < bestPiece.First {
		pieces = []Assignment{kept, moved}
	}
	p.table.Assignments = slices.Replace(p.table.Assignments, best, best+1, pieces...)
	load := p.Load.RangeSum(bestPiece)
	p.loads[from.ID] -= load
	p.loads[to.ID] += load
	return true
}

// merge joins neighbouring ranges of one owner, so that their number stays small.
func (p *Planner) merge() bool {
	merged := p.table.Assignments[:0:0]
	for _, one := range p.table.Assignments {
		last := len(merged) - 1
		if last >= 0 && merged[last].Owner.SameProcess(one.Owner) && one.Owner.ID != "" &&
			len(merged[last].FormerOwners) == 0 && len(one.FormerOwners) == 0 {
			merged[last].Range.Last = one.Range.Last
			merged[last].Fence = p.fence
			continue
		}
		merged = append(merged, one)
	}
	changed := len(merged) != len(p.table.Assignments)
	p.table.Assignments = merged
	return changed
}
