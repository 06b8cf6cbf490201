package ranges_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
)

// Guards against a table that is written again after the store lost it with a fence that was given out before, and against
// one that a daemon takes for older or newer than it is.
func TestRecoverTable(t *testing.T) {
	is := is.New(t)
	all := fleet.KeyRange{Last: fleet.MaxNumericKey}
	known := &ranges.Table{
		Term: 3, Fence: 9, Era: 1, Assignments: []ranges.Assignment{{Range: all, Owner: ranges.Owner{ID: "a"}, Fence: 9}},
	}
	recovered := known.Recover(2, time.Hour)
	recovered.Term++
	is.True(known.Precedes(recovered))
	is.True(!recovered.Precedes(known))
	is.True(!known.Precedes(known))
	is.True(recovered.Fence > 1<<32)                         // higher than any that was lost
	is.Equal(recovered.Assignments, known.Assignments)       // the owners keep their grants
	is.Equal(recovered.Recover(3, 0).UnsureUntil, time.Hour) // two restorations, one after the other
	decoded, err := ranges.Parse(recovered.Encode())
	is.NoErr(err)
	is.Equal(decoded, recovered)
}

// Guards against keys that are given on at once although a table that was lost may have given them to a server that no one
// knows: the owner refuses its grant, or is gone.
func TestUnsureTable(t *testing.T) {
	for name, test := range map[string]struct{ granted, refused, gone, after, waits bool }{
		"owner confirms": {granted: true}, "owner refuses": {refused: true, waits: true}, "owner is gone": {gone: true, waits: true},
		"owner confirmed and is gone": {granted: true, gone: true}, "refused later": {refused: true, after: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			owner, next := ranges.Owner{ID: "a", Incarnation: "1"}, ranges.Owner{ID: "b", Incarnation: "1"}
			table := &ranges.Table{
				Term: 3, Fence: 9, UnsureUntil: time.Minute,
				Assignments: []ranges.Assignment{{Range: fleet.KeyRange{Last: fleet.MaxNumericKey}, Owner: owner, Fence: 9}},
			}
			now := time.Second
			if test.after {
				now = time.Hour
			}
			servers := []ranges.Server{{Owner: next, Capacity: 1}}
			if !test.gone {
				servers = append(servers, ranges.Server{Owner: owner, Capacity: 1})
			}
			planner := &ranges.Planner{
				Servers: servers, Load: &ranges.Load{}, Now: now,
				GrantsExpireAt: func(ranges.Owner) time.Duration { return now + time.Second },
				Released:       func(ranges.Assignment, ranges.FormerOwner) bool { return false },
				Ended:          func(ranges.Owner) bool { return true },
				Granted:        func(ranges.Assignment) bool { return test.granted },
				Refused:        func(ranges.Assignment) bool { return test.refused },
			}
			planned, _ := planner.Next(table)
			unknown := ranges.FormerOwner{GrantsExpireAt: time.Minute}
			for _, assignment := range planned.Assignments {
				waits := len(assignment.FormerOwners) > 0 && assignment.FormerOwners[len(assignment.FormerOwners)-1] == unknown
				is.Equal(waits, test.waits)
			}
		})
	}
}
