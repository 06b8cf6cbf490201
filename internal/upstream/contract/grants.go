// Package contract provides a test suite for implementations of the server side of the grant protocol. It tests a fenced server
// only over HTTP.
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

// Server is the running fenced server under test. It holds no keys and has not accepted any order yet.
type Server struct {
	Address netip.AddrPort
	Service fleet.ServiceName
	// Partitions is the number of partitions of the service, at least 4.
	Partitions int
	// Request sends a request with the hash of a key. It returns true if the server ran the request, and false if the server
	// rejected it because it does not own the key. Any other outcome fails the test.
	Request func(t *testing.T, key string) bool
}

// session sends orders to a server as one assigner does.
type session struct {
	t          *testing.T
	server     Server
	client     *grants.Client
	epoch      fleet.Epoch
	sequence   fleet.Sequence
	lastReport fleet.Report
}

// leaseTerm is long compared to a round trip on the loopback interface.
const leaseTerm = 2 * time.Second

// RunGrantTests runs the suite. open starts a new server for each case.
func RunGrantTests(t *testing.T, open func(t *testing.T) Server) {
	t.Helper()
	for name, run := range map[string]func(*is.I, *session){
		"orders":     testOrdering,
		"grants":     testGrantAndRevoke,
		"expiry":     testExpiry,
		"late grant": testDelayedGrant,
	} {
		t.Run(name, func(t *testing.T) {
			s := &session{t: t, server: open(t), client: &grants.Client{Transport: http.DefaultTransport}, epoch: 1}
			s.send(fleet.Order{}) // the report contains the incarnation
			run(is.New(t), s)
		})
	}
}

// send sends an order and returns the report. It sets the epoch and the next sequence number unless they are set.
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

// sendWithRenewal sends an order to the current incarnation, with a renewal of the lease for the given term. Only such an order
// can change what the server holds.
func (s *session) sendWithRenewal(term time.Duration, order fleet.Order) fleet.Report {
	s.t.Helper()
	order.Incarnation = s.lastReport.Incarnation
	order.Renewal = &fleet.Renewal{ClockReading: s.lastReport.ClockReading, LeaseDuration: term}
	return s.send(order)
}

// keyOf returns a key in a partition.
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

// testOrdering guards against accepting an order that is outdated, repeated, or meant for another incarnation of the server.
func testOrdering(is *is.I, s *session) {
	is.Equal(s.sendWithRenewal(leaseTerm, fleet.Order{Epoch: 5}).Refusal, fleet.RefusalNone)
	is.Equal(s.send(fleet.Order{Epoch: 4, Sequence: 100}).Refusal, fleet.RefusalEpoch)
	is.Equal(s.lastReport.HighestEpoch, fleet.Epoch(5))
	is.Equal(s.send(fleet.Order{Epoch: 5, Sequence: s.sequence}).Refusal, fleet.RefusalSequence)
	is.Equal(s.send(fleet.Order{Epoch: 5, Sequence: 200, Incarnation: "another"}).Refusal, fleet.RefusalIncarnation)
	is.Equal(s.send(fleet.Order{Epoch: 5, Sequence: 200}).Refusal, fleet.RefusalNone) // a refused order does not change the sequence
}

// testGrantAndRevoke guards against serving a key without a grant or after it was revoked.
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

// testExpiry guards against serving a key after the lease has expired, and against a later renewal that restores the holdings.
func testExpiry(is *is.I, s *session) {
	const shortTerm = 50 * time.Millisecond
	s.sendWithRenewal(shortTerm, fleet.Order{Grants: []fleet.Grant{{Partition: 1, Fence: fleet.Fence{Epoch: 1, Counter: 1}}}})
	for s.lastReport.LeaseRemaining > 0 {
		if err := timer.Wait(s.t.Context(), timer.System{}, shortTerm); err != nil {
			s.t.Fatal(err)
		}
		s.send(fleet.Order{})
	}
	is.True(!s.server.Request(s.t, s.keyOf(1)))
	is.Equal(len(s.sendWithRenewal(leaseTerm, fleet.Order{WantHoldings: true}).Holdings), 0)
	is.True(!s.server.Request(s.t, s.keyOf(1)))
}

// testDelayedGrant guards against accepting a duplicate of a grant that arrives after the partition was revoked.
func testDelayedGrant(is *is.I, s *session) {
	grant := fleet.Order{Grants: []fleet.Grant{{Partition: 1, Fence: fleet.Fence{Epoch: 1, Counter: 1}}}}
	s.sendWithRenewal(leaseTerm, grant)
	grant.Sequence, grant.Incarnation = s.sequence, s.lastReport.Incarnation
	s.sendWithRenewal(leaseTerm, fleet.Order{Revokes: []fleet.PartitionID{1}})
	is.Equal(s.send(grant).Refusal, fleet.RefusalSequence)
	is.True(!s.server.Request(s.t, s.keyOf(1)))
}
