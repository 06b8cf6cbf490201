package lease_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
)

const (
	term = 500 * time.Millisecond
	ms   = time.Millisecond
	key  = fleet.KeyHash(11) // in hash range 3 of 8
)

func newGuard() *lease.Guard {
	return &lease.Guard{Service: "stock", Incarnation: "a-1", Partitions: 8}
}

func order(epoch fleet.Epoch, sequence fleet.Sequence, reading time.Duration, grants ...fleet.PartitionID) fleet.Order {
	o := fleet.Order{
		Service: "stock", Epoch: epoch, Sequence: sequence, Incarnation: "a-1", WantHoldings: true,
		Renewal: &fleet.Renewal{ClockReading: reading, LeaseDuration: term},
	}
	for _, p := range grants {
		o.Grants = append(o.Grants, fleet.Grant{Partition: p})
	}
	return o
}

// Guards against accepting an order that is outdated, repeated, or meant for another service or process, and against applying a
// refused order.
func TestGuardRefusals(t *testing.T) {
	cases := []struct {
		name   string
		change func(o *fleet.Order)
		want   fleet.Refusal
	}{
		{"same sequence", func(o *fleet.Order) { o.Sequence = 5 }, fleet.RefusalSequence},
		{"older sequence", func(o *fleet.Order) { o.Sequence = 4 }, fleet.RefusalSequence},
		{"older epoch", func(o *fleet.Order) { o.Epoch = 2 }, fleet.RefusalEpoch},
		{"other incarnation", func(o *fleet.Order) { o.Incarnation = "a-2" }, fleet.RefusalIncarnation},
		{"other service", func(o *fleet.Order) { o.Service = "pricing" }, fleet.RefusalService},
		{"next sequence", func(*fleet.Order) {}, fleet.RefusalNone},
		{"higher epoch with sequence 1", func(o *fleet.Order) { o.Epoch, o.Sequence = 4, 1 }, fleet.RefusalNone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := newGuard()
			is.Equal(g.Apply(0, order(3, 5, 0)).Refusal, fleet.RefusalNone)
			next := order(3, 6, 0, 3)
			c.change(&next)
			is.Equal(g.Apply(10*ms, next).Refusal, c.want)
			is.Equal(g.Admits(10*ms, 3), c.want == fleet.RefusalNone)
		})
	}
}

// Guards against a lease that outlasts its term, holdings that reappear when an expired lease is renewed, a grant without a
// lease, and a query that changes state.
func TestGuardLease(t *testing.T) {
	is := is.New(t)
	g := newGuard()
	query := order(1, 1, 0, 3)
	query.Incarnation = ""
	is.Equal(g.Apply(0, query).LeaseRemaining, time.Duration(0)) // a query does not renew
	g.Apply(100*ms, order(1, 2, 90*ms, 3))
	ticket, admitted := g.Admit(589*ms, key)
	is.True(admitted)
	is.True(g.MayApply(589*ms, ticket))
	is.True(!g.MayApply(590*ms, ticket)) // the lease ended between the check and the effect
	g.Done(590*ms, ticket)
	is.Equal(len(g.Apply(600*ms, order(1, 3, 595*ms)).Holdings), 0) // the lease is renewed, but the holdings are lost
	is.True(!g.Admits(600*ms, 3))
	g.Apply(1200*ms, order(1, 4, 0, 3)) // a reading that is too old to renew
	is.True(!g.Admits(1200*ms, 3))
	is.Equal(g.Apply(1300*ms, order(1, 5, 1301*ms)).LeaseRemaining, 1095*ms-1300*ms) // a reading later than now is from another clock
}

// Guards against a release before the requests in flight have ended, and against a release that is not reported again although
// the first report may have been lost.
func TestGuardDrain(t *testing.T) {
	is := is.New(t)
	g := newGuard()
	g.Apply(0, order(1, 1, 0, 3))
	ticket, _ := g.Admit(1*ms, key)
	revoke := order(1, 2, 0)
	revoke.Revokes = []fleet.PartitionID{3}
	report := g.Apply(2*ms, revoke)
	is.Equal(len(report.Released), 0)
	is.Equal(len(report.Holdings), 1) // held until it has drained
	_, admitted := g.Admit(3*ms, key)
	is.True(!admitted)
	is.True(g.MayApply(3*ms, ticket)) // admitted requests may finish
	g.Done(4*ms, ticket)
	g.Done(4*ms, ticket)
	for sequence := fleet.Sequence(3); sequence < 5; sequence++ { // the first report may be lost
		revoke.Sequence = sequence
		is.Equal(g.Apply(5*ms, revoke).Released, []fleet.PartitionID{3})
	}
}

// Guards against reporting a release although the same order grants the partition again.
func TestGuardGrantAfterRelease(t *testing.T) {
	is := is.New(t)
	g := newGuard()
	g.Apply(0, order(1, 1, 0, 3))
	revokeAndGrant := order(1, 2, 0, 3)
	revokeAndGrant.Revokes = []fleet.PartitionID{3}
	is.Equal(len(g.Apply(1*ms, revokeAndGrant).Released), 0)
	is.True(g.Admits(1*ms, 3))
}

// Guards against a hot key that is served by its hash range and by its own partition at the same time, and against releasing its
// partition while requests of the key are in flight.
func TestGuardHotKeys(t *testing.T) {
	is := is.New(t)
	g := newGuard()
	g.Apply(0, order(1, 1, 0, 3))
	ticket, _ := g.Admit(1*ms, key)
	split := order(1, 2, 0)
	split.HotKeys = &fleet.HotKeyList{List: []fleet.HotKey{{Key: key, Partition: 8}}}
	split.Revokes = []fleet.PartitionID{8}
	is.Equal(len(g.Apply(2*ms, split).Released), 0) // a request of the key is in flight
	_, admitted := g.Admit(3*ms, key)
	is.True(!admitted)         // the partition of the hot key is being released
	is.True(g.Admits(3*ms, 3)) // its hash range is not
	g.Done(4*ms, ticket)
	split.Sequence = 3
	is.Equal(g.Apply(5*ms, split).Released, []fleet.PartitionID{8})
	_, admitted = g.Admit(6*ms, key)
	is.True(!admitted) // the hash range does not include the hot key

	merge := order(1, 4, 0)
	merge.HotKeys = &fleet.HotKeyList{}
	g.Apply(7*ms, merge)
	_, admitted = g.Admit(8*ms, key)
	is.True(admitted) // the key is part of its hash range again
}

// Guards against counting a minority of either member list as a majority, and against a renewal based on a reading after which
// no majority has accepted an order.
func TestTrackerMajority(t *testing.T) {
	member := func(name string) lease.Member {
		return lease.Member{Server: fleet.UpstreamID(name), Incarnation: "1"}
	}
	cases := []struct {
		members, previous, accept string
		want                      bool
	}{
		{"abc", "", "ab", true},
		{"abc", "", "a", false},
		{"abcd", "", "ab", false},
		{"abcd", "", "abc", true},
		{"abc", "def", "abc", false},
		{"abc", "def", "abde", true},
		{"abc", "abd", "bc", false},
		{"abc", "abd", "ab", true},
	}
	memberList := func(names string) (members []lease.Member) {
		for _, name := range names {
			members = append(members, member(string(name)))
		}
		return members
	}
	for _, c := range cases {
		is := is.New(t)
		tracker := &lease.Tracker{LeaseDuration: term, MaxClockDrift: 0.01}
		tracker.Begin(memberList(c.members), memberList(c.previous))
		now := time.Unix(0, 0)
		for round := range 2 {
			for _, name := range c.accept {
				tracker.RecordAccepted(now, member(string(name)), tracker.RecordSent(member(string(name)), nil), time.Duration(round+1))
			}
		}
		is.Equal(tracker.HasMajority(), c.want)
		is.Equal(tracker.NextRenewal(memberList(c.accept)[0]) != nil, c.want)
		renewable := slices.ContainsFunc(memberList("abcdef"), func(m lease.Member) bool {
			renewal := tracker.NextRenewal(m)
			return renewal != nil && renewal.ClockReading == 2
		})
		is.True(!renewable) // no order was sent after the readings of the second round
	}
}
