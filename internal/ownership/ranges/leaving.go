package ranges

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// LeavingServer is a server that serves its ranges until a deadline and gets no new ones.
type LeavingServer struct {
	Owner
	// TimeLeft is the time until requests are no longer sent to the server. It may be negative.
	TimeLeft time.Duration
}

// Leaving says how the ranges of leaving servers are moved: in steps of about equal load, so that the servers that take over are
// not all warming up at the same time, and so many that all ranges have moved in time. Ranges of servers that are lost move at
// once.
type Leaving struct {
	Servers []LeavingServer
	// StepInterval is the time between two steps. MoveTime is the time from a plan until the new owners have been granted the
	// ranges.
	StepInterval, MoveTime time.Duration
	// StepDue allows a step. Without it, only ranges move for which this is the last moment.
	StepDue bool
	// Moved is set by Next if the plan moves ranges of leaving servers.
	Moved bool

	// moving contains the ranges of leaving servers that the plan moves.
	moving map[fleet.KeyRange]bool
	// loadBefore is the load of each server before the plan.
	loadBefore map[fleet.UpstreamID]float64
}

const (
	// maxStepOvershoot is the factor by which the last range of a step may exceed the load that is left to move in it, and
	// minStepFraction the fraction of a range below which it is not divided for the rest of a step. Both keep the pieces large.
	maxStepOvershoot = 1.2
	minStepFraction  = 0.25
)

// find returns a leaving server, or nil if the process is none.
func (l *Leaving) find(owner Owner) *LeavingServer {
	if l == nil {
		return nil
	}
	for i := range l.Servers {
		if l.Servers[i].SameProcess(owner) {
			return &l.Servers[i]
		}
	}
	return nil
}

// stepsLeft returns the number of steps in which ranges can move until a deadline, this one included.
func (l *Leaving) stepsLeft(timeLeft time.Duration) int {
	steps := math.Round(float64(timeLeft-l.MoveTime)/float64(max(l.StepInterval, 1))) + 1
	return int(max(1, steps))
}

// stays reports whether a range remains with its owner, which leaves, until a later plan.
func (p *Planner) stays(assignment Assignment) bool {
	return p.Leaving.find(assignment.Owner) != nil && !p.Leaving.moving[assignment.Range]
}

// leavingRange is a range of a leaving server. steps is the number of steps that are left to move it.
type leavingRange struct {
	Assignment
	load     float64
	steps    int
	timeLeft time.Duration
}

// selectLeaving selects the ranges of leaving servers that this plan moves, those with the earliest deadline first. It divides
// the last one if only a part is to move.
func (p *Planner) selectLeaving() {
	if p.Leaving == nil {
		return
	}
	p.Leaving.Moved, p.Leaving.moving = false, make(map[fleet.KeyRange]bool)
	p.Leaving.loadBefore = maps.Clone(p.serverLoads)
	candidates, amount := p.leavingRanges()
	for _, next := range candidates {
		switch {
		case next.steps == 1 || amount > 0 && next.load <= amount*maxStepOvershoot:
			p.Leaving.moving[next.Range] = true
		case amount > 0 && (len(p.Leaving.moving) == 0 || amount >= next.load*minStepFraction):
			p.Leaving.moving[p.divide(next.Assignment, amount)] = true
		default:
			continue
		}
		amount -= next.load
	}
	p.Leaving.Moved = len(p.Leaving.moving) > 0
}

// leavingRanges returns the ranges of leaving servers that can wait, by deadline, and the load that is to move in this step.
// Ranges that were not granted to their owner yet, or that it has refused, move now: a server that leaves gets no new grant.
func (p *Planner) leavingRanges() ([]leavingRange, float64) {
	var result []leavingRange
	amount := 0.0
	for _, assignment := range p.table.Assignments {
		server := p.Leaving.find(assignment.Owner)
		switch {
		case server == nil:
		case len(assignment.FormerOwners) > 0 && !p.Granted(assignment) || p.Refused(assignment):
			p.Leaving.moving[assignment.Range] = true
		default:
			next := leavingRange{
				Assignment: assignment, load: p.Load.RangeSum(assignment.Range), steps: p.Leaving.stepsLeft(server.TimeLeft),
				timeLeft: server.TimeLeft,
			}
			if p.Leaving.StepDue || next.steps == 1 {
				amount += next.load / float64(next.steps)
			}
			result = append(result, next)
		}
	}
	slices.SortStableFunc(result, func(a, b leavingRange) int { return cmp.Compare(a.timeLeft, b.timeLeft) })
	return result, amount
}

// divide divides a range of the table so that the load of its first part is close to amount, and returns the first part. It
// returns the whole range if it cannot be divided. Both parts keep their owner and fence.
func (p *Planner) divide(assignment Assignment, amount float64) fleet.KeyRange {
	split, ok := p.Load.SplitPoint(assignment.Range, amount)
	if !ok {
		return assignment.Range
	}
	index := slices.IndexFunc(p.table.Assignments, func(other Assignment) bool { return other.Range == assignment.Range })
	first, rest := assignment, assignment
	first.Range.Last, rest.Range.First = split, split+1
	rest.FormerOwners = slices.Clone(assignment.FormerOwners)
	p.table.Assignments = slices.Replace(p.table.Assignments, index, index+1, first, rest)
	return first.Range
}

// receiver returns the server that takes the next piece of a range without an owner.
func (p *Planner) receiver() *Server {
	if p.Leaving == nil || len(p.Leaving.Servers) == 0 {
		return p.leastLoaded()
	}
	best := &p.Servers[0]
	for i := range p.Servers {
		if p.pressure(&p.Servers[i]) < p.pressure(best) {
			best = &p.Servers[i]
		}
	}
	return best
}

// pressure returns the load of a server relative to its target, or its utilization relative to the one above which it is
// overloaded if that is higher. The utilization was measured before this plan and is taken to grow with the load. Many ranges
// move together when a failure domain is evacuated, and a server whose requests queue already has no room for them, whatever its
// share of the load is.
func (p *Planner) pressure(server *Server) float64 {
	limit := minOverloadUtilization
	if server.Limited {
		limit = minLimitedUtilization
	}
	growth := p.serverLoads[server.ID] / max(p.Leaving.loadBefore[server.ID], p.targetLoad(server)*minHeadroomFraction)
	return max(p.loadRatio(server), server.Utilization*growth/limit)
}
