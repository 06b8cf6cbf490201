package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	placer "rosemarywick.example/rosemarywick/internal/ownership/placement"
)

// Event is a change of the set of servers.
type Event string

const (
	// EventLeave is the loss of a random server.
	EventLeave Event = "leave"
	// EventReturn is the return of the lost server.
	EventReturn Event = "return"
	// EventAdd is the addition of a new server.
	EventAdd Event = "add"
)

// Events lists all events in the order in which they are measured.
var Events = []Event{EventLeave, EventReturn, EventAdd}

// Churn is the movement of partitions that one event causes.
type Churn struct {
	Event Event
	// Moved counts the partitions whose owner changed.
	Moved int
	// MinimumMoves counts the partitions that any placement must move to keep each server within DefaultCapacityFactor times the
	// mean: all partitions of a server that left, and those of each remaining server beyond this limit.
	MinimumMoves int
	// FairShare is the mean number of partitions of a server. A placement without this limit would have to move that many.
	FairShare int
	// FullestOverMean is the largest number of partitions of a server after the event, divided by the mean.
	FullestOverMean float64
}

// ChurnOptions are the parameters of one measurement of churn.
type ChurnOptions struct {
	Partitions, Servers, Domains int
	// PriorLosses is the number of losses and returns of servers before the measurement, so that it does not start from a fresh
	// placement.
	PriorLosses int
	Seed        uint64
}

// MeasureChurn applies PriorLosses random losses and returns, and then measures each of Events in order.
func MeasureChurn(scheme Scheme, o ChurnOptions) []Churn {
	random := rand.New(rand.NewPCG(o.Seed, 1))
	all := makeServers("server-", o.Servers, o.Domains)
	current := scheme.place(o.Partitions, nil, all)
	for range o.PriorLosses {
		current = scheme.place(o.Partitions, current, without(all, random.IntN(len(all))))
		current = scheme.place(o.Partitions, current, all)
	}
	added := placer.Server{ID: "added", Domain: fleet.FailureDomain(fmt.Sprintf("domain-%d", o.Servers%o.Domains))}
	lost := random.IntN(len(all))
	serversAfter := map[Event][]placer.Server{
		EventLeave: without(all, lost), EventReturn: all, EventAdd: append(slices.Clone(all), added),
	}
	var churns []Churn
	for _, event := range Events {
		next := scheme.place(o.Partitions, current, serversAfter[event])
		churns = append(churns, compareAssignments(event, current, next, serversAfter[event]))
		current = next
	}
	return churns
}

// without returns a copy of the servers without the one at index i.
func without(servers []placer.Server, i int) []placer.Server {
	return slices.Delete(slices.Clone(servers), i, i+1)
}

// compareAssignments returns the churn between the assignments before and after an event. live are the servers after it.
func compareAssignments(event Event, before, after []placer.Assignment, live []placer.Server) Churn {
	partitions := len(before)
	mean := float64(partitions) / float64(len(live))
	maxPartitions := int(math.Ceil(placer.DefaultCapacityFactor*mean - 1e-9))
	c := Churn{Event: event, MinimumMoves: partitions, FairShare: int(math.Round(mean))}
	ownedBefore, ownedAfter := map[fleet.UpstreamID]int{}, map[fleet.UpstreamID]int{}
	for i := range before {
		ownedBefore[before[i].Owner]++
		ownedAfter[after[i].Owner]++
		if before[i].Owner != after[i].Owner {
			c.Moved++
		}
	}
	for _, s := range live {
		c.MinimumMoves -= min(ownedBefore[s.ID], maxPartitions)
		c.FullestOverMean = max(c.FullestOverMean, float64(ownedAfter[s.ID])/mean)
	}
	return c
}
