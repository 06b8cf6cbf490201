package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	decision "rosemarywick.example/rosemarywick/internal/ownership/placement"
)

// Event is a change of the set of servers.
type Event string

const (
	// EventLeave is the loss of one server.
	EventLeave Event = "leave"
	// EventReturn is the return of that server.
	EventReturn Event = "return"
	// EventAdd is the addition of a server that was never there.
	EventAdd Event = "add"
)

// Events lists all events in the order in which they are measured.
var Events = []Event{EventLeave, EventReturn, EventAdd}

// Churn is what one event moved.
type Churn struct {
	Event Event
	// Moved counts the partitions whose owner changed.
	Moved int
	// Minimum counts those that any placement within the cap has to move from the placement before the event: all of a
	// server that left and what the others have above their cap.
	MinimumMoves int
	// Even is the fair share of one server, which a placement without a cap would have to move.
	FairShare int
	// Fullest is the partitions of the fullest server over the mean, after the event.
	FullestOverMean float64
}

// ChurnOptions describes one measurement of churn.
type ChurnOptions struct {
	Partitions, Servers, Domains int
	// History is the number of losses and returns before the measurement, so that it does not start from a fresh
	// placement.
	PriorLosses int
	Seed        uint64
}

// MeasureChurn applies a random history and then loses a random server, returns it and adds another one.
func MeasureChurn(scheme Scheme, o ChurnOptions) []Churn {
	random := rand.New(rand.NewPCG(o.Seed, 1))
	all := servers("server-", o.Servers, o.Domains)
	current := scheme.place(o.Partitions, nil, all)
	for range o.PriorLosses {
		current = scheme.place(o.Partitions, current, without(all, random.IntN(len(all))))
		current = scheme.place(o.Partitions, current, all)
	}
	added := decision.Server{ID: "added", Domain: fleet.FailureDomain(fmt.Sprintf("domain-%d", o.Servers%o.Domains))}
	lost := random.IntN(len(all))
	steps := map[Event][]decision.Server{
		EventLeave: without(all, lost), EventReturn: all, EventAdd: append(slices.Clone(all), added),
	}
	var out []Churn
	for _, event := range Events {
		next := scheme.place(o.Partitions, current, steps[event])
		out = append(out, compareAssignments(event, current, next, steps[event]))
		current = next
	}
	return out
}

func without(list []decision.Server, i int) []decision.Server {
	return slices.Delete(slices.Clone(list), i, i+1)
}

func compareAssignments(event Event, before, after []decision.Assignment, live []decision.Server) Churn {
	n := len(before)
	mean := float64(n) / float64(len(live))
	limit := int(math.Ceil(decision.DefaultCapacityFactor*mean - 1e-9))
	c := Churn{Event: event, MinimumMoves: n, FairShare: int(math.Round(mean))}
	owned, owns := map[fleet.UpstreamID]int{}, map[fleet.UpstreamID]int{}
	for i := range before {
		owned[before[i].Owner]++
		owns[after[i].Owner]++
		if before[i].Owner != after[i].Owner {
			c.Moved++
		}
	}
	for _, s := range live {
		c.MinimumMoves -= min(owned[s.ID], limit)
		c.FullestOverMean = max(c.FullestOverMean, float64(owns[s.ID])/mean)
	}
	return c
}
