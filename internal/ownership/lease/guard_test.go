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
	key  = fleet.KeyHash(11) // in partition 3 of 8
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

// Guards against an order that is accepted although it is old, repeated, foreign or for another run, and against a
// refused order that takes effect.
func TestGuardRefusals(t *testing.T) {
	cases := []struct {
		name   string
		change func(o *fleet.Order)
		want   fleet.Refusal
	}{
		{"same sequence", func(o *fleet.Order) { o.Sequence = 5 }, fleet.RefusalSequence},
		{"older sequence", func(o *fleet.Order) { o.Sequence = 4 }, fleet.RefusalSequence},
		{"older epoch", func(o *fleet.Order) { o.Epoch = 2 }, fleet.RefusalEpoch},
		{"other run", func(o *fleet.Order) { o.Incarnation = "a-2" }, fleet.RefusalIncarnation},
		{"other service", func(o *fleet.Order) { o.Service = "pricing" }, fleet.RefusalService},
		{"next", func(*fleet.Order) {}, fleet.RefusalNone},
		{"higher epoch from the start", func(o *fleet.Order) { o.Epoch, o.Sequence = 4, 1 }, fleet.RefusalNone},
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

// Guards against a lease that outlasts its term, holdings that come back with a later renewal, a grant without a lease,
// and a query that changes anything.
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
	is.Equal(len(g.Apply(600*ms, order(1, 3, 595*ms)).Holdings), 0) // renewed, but nothing is held
	is.True(!g.Admits(600*ms, 3))
	g.Apply(1200*ms, order(1, 4, 0, 3)) // a reading that is too old to renew
	is.True(!g.Admits(1200*ms, 3))
	is.Equal(g.Apply(1300*ms, order(1, 5, 1301*ms)).LeaseRemaining, 1095*ms-1300*ms) // a reading of another clock
}

// Guards against a release before the requests in flight have ended, and one that is reported only once.
func TestGuardDrain(t *testing.T) {
	is := is.New(t)
	g := newGuard()
	g.Apply(0, order(1, 1, 0, 3))
	ticket, _ := g.Admit(1*ms, key)
	revoke := order(1, 2, 0)
	revoke.Revokes = []fleet.PartitionID{3}
	report := g.Apply(2*ms, revoke)
	is.Equal(len(report.Released), 0)
	is.Equal(len(report.Holdings), 1) // still held while it drains
	_, admitted := g.Admit(3*ms, key)
	is.True(!admitted)
	is.True(g.MayApply(3*ms, ticket)) // what was admitted may end
	g.Done(4*ms, ticket)
	g.Done(4*ms, ticket)
	for sequence := fleet.Sequence(3); sequence < 5; sequence++ { // the first report may be lost
		revoke.Sequence = sequence
		is.Equal(g.Apply(5*ms, revoke).Released, []fleet.PartitionID{3})
	}
}

// Guards against a release that is reported although the same order grants the partition again.
func TestGuardGrantAfterRelease(t *testing.T) {
	is := is.New(t)
	g := newGuard()
	g.Apply(0, order(1, 1, 0, 3))
	both := order(1, 2, 0, 3)
	both.Revokes = []fleet.PartitionID{3}
	is.Equal(len(g.Apply(1*ms, both).Released), 0)
	is.True(g.Admits(1*ms, 3))
}

// Guards against a hot key that is served by its hash range and by its entry at the same time, and requests of the key in
// flight that the release of the entry does not wait for.
func TestGuardEntries(t *testing.T) {
	is := is.New(t)
	g := newGuard()
	g.Apply(0, order(1, 1, 0, 3))
	ticket, _ := g.Admit(1*ms, key)
	split := order(1, 2, 0)
	split.HotKeys = &fleet.HotKeyList{List: []fleet.HotKey{{Key: key, Partition: 8}}}
	split.Revokes = []fleet.PartitionID{8}
	is.Equal(len(g.Apply(2*ms, split).Released), 0) // a request of the key is in flight
	_, admitted := g.Admit(3*ms, key)
	is.True(!admitted)         // the entry is being released
	is.True(g.Admits(3*ms, 3)) // the hash range is not
	g.Done(4*ms, ticket)
	split.Sequence = 3
	is.Equal(g.Apply(5*ms, split).Released, []fleet.PartitionID{8})
	_, admitted = g.Admit(6*ms, key)
	is.True(!admitted) // the hash range does not answer for the key

	join := order(1, 4, 0)
	join.HotKeys = &fleet.HotKeyList{}
	g.Apply(7*ms, join)
	_, admitted = g.Admit(8*ms, key)
	is.True(admitted) // the key belongs to its hash range again
}

// Guards against a quorum that a minority of either list can give, and against readings used without evidence.
func TestLedgerEvidence(t *testing.T) {
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
	list := func(names string) (members []lease.Member) {
		for _, name := range names {
			members = append(members, member(string(name)))
		}
		return members
	}
	for _, c := range cases {
		is := is.New(t)
		ledger := &lease.Tracker{Term: term, Drift: 0.01}
		ledger.Begin(list(c.members), list(c.previous))
		now := time.Unix(0, 0)
		for round := range 2 {
			for _, name := range c.accept {
				ledger.RecordAccepted(now, member(string(name)), ledger.RecordSent(member(string(name)), nil), time.Duration(round+1))
			}
		}
		is.Equal(ledger.HasMajority(), c.want)
		is.Equal(ledger.NextRenewal(list(c.accept)[0]) != nil, c.want)
		renewable := slices.ContainsFunc(list("abcdef"), func(m lease.Member) bool {
			renewal := ledger.NextRenewal(m)
			return renewal != nil && renewal.ClockReading == 2
		})
		is.True(!renewable) // no order was sent after the second readings
	}
}
