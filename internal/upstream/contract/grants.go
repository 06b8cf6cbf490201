// Package contract holds the suite that every fenced server has to pass, whoever implements it: it speaks the grant protocol
// over HTTP and knows nothing of the server but its address.
package contract

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/upstream/grants"
)

// Server is a running fenced server without keys that has accepted no order yet.
type Server struct {
	Address netip.AddrPort
	Service fleet.ServiceName
	// Partitions is the number of hash ranges of the service, at least 4.
	Partitions int
	// Request sends a request for a key and reports whether the server ran it; the alternative is that the server rejected
	// it as not owned. The request carries the hash of the key.
	Request func(t *testing.T, key string) bool
}

// session sends the orders of one assigner to a server.
type session struct {
	t          *testing.T
	server     Server
	client     *grants.Client
	epoch      fleet.Epoch
	sequence   fleet.Sequence
	lastReport fleet.Report
}

// term is long against a round trip on loopback.
const leaseTerm = 2 * time.Second

// Grants runs the suite. open starts a server for each case.
func RunGrantTests(t *testing.T, open func(t *testing.T) Server) {
	t.Helper()
	for name, run := range map[string]func(*is.I, *session){
		"orders":     testOrdering,
		"grants":     testGrantAndRevoke,
		"expiry":     testExpiry,
		"late grant": testDelayedGrant,
	} {
		t.Run(name, func(t *testing.T) {
			one := &session{t: t, server: open(t), client: &grants.Client{Transport: http.DefaultTransport}, epoch: 1}
			one.send(fleet.Order{}) // asks for the incarnation
			run(is.New(t), one)
		})
	}
}

// send sends an order with the next sequence unless one is set, and returns the report.
func (s *session) send(order fleet.Order) fleet.Report {
	s.t.Helper()
	order.Service = s.server.Service
	if order.Epoch == 0 {
		order.Epoch = s.epoch
	}
	if order.Sequence == 0 {
		s.sequence++
		order.Sequence = s.sequence
	}
	report, err := s.client.Send(s.t.Context(), s.server.Address, order)
	if err != nil {
		s.t.Fatal(err)
	}
	s.lastReport = report
	return report
}

// act sends an order that may change something, with a renewal for the given term.
func (s *session) sendWithRenewal(length time.Duration, order fleet.Order) fleet.Report {
	s.t.Helper()
	order.Incarnation = s.lastReport.Incarnation
	order.Renewal = &fleet.Renewal{ClockReading: s.lastReport.ClockReading, LeaseDuration: length}
	return s.send(order)
}

// key returns a key of a partition.
func (s *session) keyOf(partition fleet.PartitionID) string {
	for i := range 1 << 16 {
		key := "key-" + time.Duration(i).String()
		if fleet.HashKey(key).Partition(s.server.Partitions) == partition {
			return key
		}
	}
	s.t.Fatalf("no key of partition %d found", partition)
	return ""
}

// orders guards against an order that is accepted although it is old, repeated, or meant for another run of the server.
func testOrdering(is *is.I, s *session) {
	is.Equal(s.sendWithRenewal(leaseTerm, fleet.Order{Epoch: 5}).Refusal, fleet.RefusalNone)
	is.Equal(s.send(fleet.Order{Epoch: 4, Sequence: 100}).Refusal, fleet.RefusalEpoch)
	is.Equal(s.lastReport.HighestEpoch, fleet.Epoch(5))
	is.Equal(s.send(fleet.Order{Epoch: 5, Sequence: s.sequence}).Refusal, fleet.RefusalSequence)
	is.Equal(s.send(fleet.Order{Epoch: 5, Sequence: 200, Incarnation: "another"}).Refusal, fleet.RefusalIncarnation)
	is.Equal(s.send(fleet.Order{Epoch: 5, Sequence: 200}).Refusal, fleet.RefusalNone) // a refused order leaves no trace
}

// grantAndRevoke guards against a key that is served without a grant or after its release.
func testGrantAndRevoke(is *is.I, s *session) {
	is.True(!s.server.Request(s.t, s.keyOf(1)))
	s.sendWithRenewal(leaseTerm, fleet.Order{Grants: []fleet.Grant{{Partition: 1, Fence: fleet.Fence{Epoch: 1, Counter: 1}}}})
	is.True(s.server.Request(s.t, s.keyOf(1)))
	is.True(!s.server.Request(s.t, s.keyOf(2)))
	report := s.sendWithRenewal(leaseTerm, fleet.Order{Revokes: []fleet.PartitionID{1}, WantHoldings: true})
	is.Equal(report.Released, []fleet.PartitionID{1})
	is.Equal(len(report.Holdings), 0)
	is.True(!s.server.Request(s.t, s.keyOf(1)))
}

// expiry guards against a key that is served after the lease, and against a renewal that brings holdings back.
func testExpiry(is *is.I, s *session) {
	const short = 50 * time.Millisecond
	s.sendWithRenewal(short, fleet.Order{Grants: []fleet.Grant{{Partition: 1, Fence: fleet.Fence{Epoch: 1, Counter: 1}}}})
	for s.lastReport.LeaseRemaining > 0 {
		if err := timer.Wait(s.t.Context(), timer.System{}, short); err != nil {
			s.t.Fatal(err)
		}
		s.send(fleet.Order{})
	}
	is.True(!s.server.Request(s.t, s.keyOf(1)))
	is.Equal(len(s.sendWithRenewal(leaseTerm, fleet.Order{WantHoldings: true}).Holdings), 0)
	is.True(!s.server.Request(s.t, s.keyOf(1)))
}

// lateGrant guards against a delayed copy of a grant that arrives after the release.
func testDelayedGrant(is *is.I, s *session) {
	grant := fleet.Order{Grants: []fleet.Grant{{Partition: 1, Fence: fleet.Fence{Epoch: 1, Counter: 1}}}}
	s.sendWithRenewal(leaseTerm, grant)
	grant.Sequence, grant.Incarnation = s.sequence, s.lastReport.Incarnation
	s.sendWithRenewal(leaseTerm, fleet.Order{Revokes: []fleet.PartitionID{1}})
	is.Equal(s.send(grant).Refusal, fleet.RefusalSequence)
	is.True(!s.server.Request(s.t, s.keyOf(1)))
}
