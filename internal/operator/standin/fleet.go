package standin

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/observe/records"
	"rosemarywick.example/rosemarywick/internal/operator/config"
	"rosemarywick.example/rosemarywick/internal/operator/rpc"
)

// Now is the time of the fake records.
var RecordTime = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// Document is a valid configuration with the upstreams of the fake fleet.
const Document = `# The catalogue of the fleet.
[[services]]
name = "catalogue"
key = "path:2"
partitions = 4

[[services.upstreams]]
id = "catalogue-01" # the oldest
address = "127.0.0.1:9101"
region = "montevideo"
domain = "centro"

[[services.upstreams]]
id = "catalogue-02"
address = "127.0.0.1:9102"
region = "montevideo"
domain = "cerro"
drained = true # since the fire

[[tenants]]
name = "technicians"
share = 3
`

// Fleet is a fleet of two daemons and one keyed service. Daemons built by Daemon answer for it.
type Fleet struct {
	Table Table
	Ring  records.Ring

	mu sync.Mutex
	// versions is guarded by mu and holds the configuration in force on each host.
	versions map[fleet.HostID]uint64
}

// SetVersion brings a version into force on a host.
func (f *Fleet) SetVersion(host fleet.HostID, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.versions == nil {
		f.versions = make(map[fleet.HostID]uint64)
	}
	f.versions[host] = version
}

// Hosts returns two live hosts, of which one claims to have been seen in the future, and a lost one.
func (f *Fleet) Hosts() []rpc.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	host := func(id fleet.HostID, domain fleet.FailureDomain, port string, state rpc.HostState, age time.Duration) rpc.Host {
		return rpc.Host{
			Host: fleet.Host{
				ID: id, Locality: fleet.Locality{Region: "montevideo", Domain: domain},
				PeerAddress: netip.MustParseAddrPort("127.0.0.1:" + port),
			},
			State: state, LastSeen: time.Now().Add(-age), ConfigVersion: f.versions[id],
		}
	}
	hosts := []rpc.Host{
		host("entry-2", "cerro", "7002", rpc.HostLive, time.Minute),
		host("entry-1", "centro", "7001", rpc.HostLive, -time.Minute),
		host("entry-3", "pocitos", "7003", rpc.HostLost, time.Hour),
	}
	hosts[1].AssignerOf = []fleet.ServiceName{"catalogue"}
	return hosts
}

// Services returns the keyed service.
func (f *Fleet) Services() []fleet.ServiceName { return []fleet.ServiceName{"catalogue"} }

// Assignments returns four partitions, of which one is being moved and one has no owner.
func (f *Fleet) Assignments(service fleet.ServiceName) ([]fleet.Assignment, bool) {
	if service != "catalogue" {
		return nil, false
	}
	return []fleet.Assignment{
		{Partition: 3, Fence: fleet.Fence{Epoch: 4, Counter: 9}, Standby: "catalogue-01"},
		{Partition: 0, Owner: "catalogue-01", Standby: "catalogue-02", Fence: fleet.Fence{Epoch: 2, Counter: 1}},
		{Partition: 1, Owner: "catalogue-02", Standby: "catalogue-01", Fence: fleet.Fence{Epoch: 2, Counter: 2}},
		{Partition: 2, Owner: "catalogue-01", Fence: fleet.Fence{Epoch: 4, Counter: 8}, Moving: true},
	}, true
}

// Locate returns the partition of a key by its hash.
func (f *Fleet) Locate(service fleet.ServiceName, key string) (rpc.Location, bool) {
	assignments, known := f.Assignments(service)
	if !known {
		return rpc.Location{}, false
	}
	hash := fleet.HashKey(key)
	for _, assignment := range assignments {
		if assignment.Partition == hash.Partition(len(assignments)) {
			return rpc.Location{KeyHash: hash, Assignment: assignment}, true
		}
	}
	return rpc.Location{}, false
}

// Upstreams returns the servers of the document.
func (f *Fleet) Upstreams() []rpc.Upstream {
	doc, err := document.Parse("standin", []byte(Document))
	if err != nil {
		return nil
	}
	var upstreams []rpc.Upstream
	for _, declared := range doc.Services[0].Upstreams {
		upstreams = append(upstreams, rpc.Upstream{
			Upstream: declared, Service: "catalogue", Guard: fleet.GuardFenced, State: rpc.UpstreamHealthy,
			InFlight: 3, Queued: 1, Limit: 6, Partitions: 2,
		})
	}
	return upstreams
}

// Explain searches the ring and claims that one host did not answer and that the store is down.
func (f *Fleet) Explain(_ context.Context, query records.Query) *records.Explanation {
	found := f.Ring.Find(query.Request)
	if len(found) > 0 {
		return &records.Explanation{Request: query.Request, Records: found, Source: records.SourcePeer}
	}
	return &records.Explanation{
		Request: query.Request, Source: records.SourceNone, Unreachable: []fleet.HostID{"entry-3"}, BatchesRead: 12,
		SearchedSince: RecordTime.Add(-7 * 24 * time.Hour), Dropped: 5, StoreError: context.DeadlineExceeded,
	}
}

// Record returns a record of a keyed request that was rejected after two attempts.
func RejectedRecord(request fleet.RequestID) cause.Record {
	attempt := func(upstream fleet.UpstreamID, after time.Duration) cause.Attempt {
		return cause.Attempt{
			Upstream: upstream, Started: RecordTime.Add(after), Duration: 1200 * time.Microsecond, Cause: cause.NotOwner,
		}
	}
	return cause.Record{
		Request: request, Host: "entry-1", Service: "catalogue", Tenant: "technicians", Key: 0xabc, Partition: 2,
		Fence: fleet.Fence{Epoch: 4, Counter: 8}, ConfigVersion: 1, Started: RecordTime, QueueTime: 250 * time.Microsecond,
		TotalTime: 750 * time.Millisecond, Outcome: cause.NotRun, Cause: cause.NoOwner,
		Attempts: []cause.Attempt{attempt("catalogue-01", time.Millisecond), attempt("catalogue-02", 20*time.Millisecond)},
		Detail:   "no newer map came within the deadline",
	}
}

// Daemon returns the operator API of a daemon of the fleet. A stored version is in force at once on entry-1.
func (f *Fleet) NewServer(t testing.TB, authority *Authority, log zerolog.Logger) *rpc.Server {
	t.Helper()
	return &rpc.Server{
		Config: &config.Store{Table: &f.Table, Clock: timer.System{}}, Fleet: f, Ownership: f, Upstreams: f,
		Records: &f.Ring, Explainer: f,
		OnStored:    func(revision *config.Revision) { f.SetVersion("entry-1", revision.Version) },
		Credentials: staticCredentials{certificate: authority.Issue(t, "entry-1", time.Now().Add(time.Hour)), pool: authority.Pool()},
		Clock:       timer.System{}, Log: log,
	}
}

// credentials are those of a daemon that keeps them.
type staticCredentials struct {
	certificate tls.Certificate
	pool        *x509.CertPool
}

// Certificate returns the daemon's certificate.
func (c staticCredentials) Certificate() *tls.Certificate { return &c.certificate }

// Authorities returns the authority of operators.
func (c staticCredentials) Authorities() *x509.CertPool { return c.pool }
