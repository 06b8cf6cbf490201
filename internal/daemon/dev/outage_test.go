package dev

import (
	"net/http"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/operator/api"
	"rosemarywick.example/rosemarywick/internal/operator/api/apiconnect"
	platform "rosemarywick.example/rosemarywick/internal/platform/standin"
)

// mustOperatorClient returns a client of the operator API of a daemon, or fails the test.
func (f *Fleet) mustOperatorClient(t *testing.T, host fleet.HostID) apiconnect.OperatorServiceClient {
	t.Helper()
	client, err := f.OperatorClient(host)
	if err != nil {
		t.Fatal(err)
	}
	return client
}

// drainUpstream drains an upstream through a daemon and returns the new configuration version.
func (f *Fleet) drainUpstream(t *testing.T, host fleet.HostID, id fleet.UpstreamID) (uint64, error) {
	t.Helper()
	request := connect.NewRequest(&api.DrainUpstreamRequest{Upstream: string(id), Author: "test"})
	response, err := f.mustOperatorClient(t, host).DrainUpstream(t.Context(), request)
	if err != nil {
		return 0, err
	}
	return response.Msg.GetRevision().GetVersion(), nil
}

// configVersions returns the configuration version in force on each daemon, as that daemon reports it.
func (f *Fleet) configVersions(t *testing.T) map[fleet.HostID]uint64 {
	t.Helper()
	found := make(map[fleet.HostID]uint64)
	for _, host := range f.Hosts() {
		response, err := f.mustOperatorClient(t, host).ListHosts(t.Context(), connect.NewRequest(&api.ListHostsRequest{}))
		if err != nil {
			t.Fatal(err)
		}
		for _, entry := range response.Msg.GetHosts() {
			if entry.GetId() == string(host) {
				found[host] = entry.GetConfigVersion()
			}
		}
	}
	return found
}

// waitForVersion waits until the configuration version is in force on all daemons.
func (f *Fleet) waitForVersion(t *testing.T, version uint64) {
	t.Helper()
	eventually(t, "the version is in force on all daemons", func() bool {
		for _, inForce := range f.configVersions(t) {
			if inForce != version {
				return false
			}
		}
		return true
	})
}

// Guards against an outage of the table that prevents requests, the failover of a crashed server or the start of a daemon;
// against requests that could run twice during the outage; and against a fleet that does not converge afterwards.
func TestTableOutage(t *testing.T) {
	for _, outage := range []platform.Outage{platform.OutageRefused, platform.OutageSilent} {
		t.Run(string(outage), func(t *testing.T) {
			is := is.New(t)
			f := startBalancedFleet(t, Ceibal)
			version := f.configVersions(t)[f.Hosts()[0]]
			f.Platform().Table.SetOutage(outage)

			crashed := f.get(t, 0, f.deployment.example).Worker
			is.NoErr(f.CrashUpstream(crashed))
			added, err := f.AddDaemon(t.Context()) // its peers send it the configuration and the map
			is.NoErr(err)
			is.Equal(f.configVersions(t)[added], version)
			for daemon, host := range f.Hosts() {
				keyed, unkeyed := f.get(t, daemon, f.deployment.example), f.get(t, daemon, "/archive/days/today")
				is.Equal(keyed.Outcome, cause.Complete) // the standby serves the key
				is.True(keyed.Worker != crashed)
				is.Equal(unkeyed.Outcome, cause.Complete)
				once := f.Send(t.Context(), host, Call{Method: http.MethodPost, Path: "/dispatch/plans", IdempotencyKey: "a"})
				is.Equal(once.Outcome, cause.NotRun) // duplicates cannot be detected without the table
				is.Equal(once.Cause, cause.ClaimUnavailable)
				f.assertConsistent(t, keyed, unkeyed, once)
			}
			_, err = f.drainUpstream(t, added, "archive-01")
			is.True(connect.CodeOf(err) == connect.CodeUnavailable) // the change was refused and not stored

			f.Platform().Table.SetOutage(platform.OutageNone)
			is.NoErr(f.RestartUpstream(t.Context(), crashed))
			is.NoErr(f.WaitBalanced(t.Context(), catalogue))
			eventually(t, "the restarted server is a member", func() bool { return f.OwnedPartitions(crashed) > 0 })
			next, err := f.drainUpstream(t, added, "archive-01")
			is.NoErr(err)
			is.Equal(next, version+1)
			f.waitForVersion(t, next)
			once := f.Send(t.Context(), added, Call{Method: http.MethodPost, Path: "/dispatch/plans", IdempotencyKey: "a"})
			is.Equal(once.Outcome, cause.Complete) // the rejected request left no claim
			f.assertConsistent(t, once)
		})
	}
}

// Guards against request records that are lost with the daemon that handled the request, and against a search that hides that
// the object store does not respond.
func TestExplainThroughAnotherDaemon(t *testing.T) {
	is := is.New(t)
	f := startBalancedFleet(t, Nadif)
	hosts := f.Hosts()
	explain := func() *api.ExplainResponse {
		request := connect.NewRequest(&api.ExplainRequest{RequestId: "explained"})
		response, err := f.mustOperatorClient(t, hosts[1]).Explain(t.Context(), request)
		is.NoErr(err)
		return response.Msg
	}
	answer := f.Send(t.Context(), hosts[0], Call{Method: http.MethodGet, Path: "/nothing/here", ID: "explained"})
	is.Equal(answer.Cause, cause.NoSuchService)
	found := explain()
	is.Equal(len(found.GetRecords()), 1) // found in the ring buffer of the other daemon
	is.Equal(found.GetRecords()[0].GetHost(), string(hosts[0]))
	is.Equal(found.GetRecords()[0].GetCause(), string(cause.NoSuchService))

	is.NoErr(f.StopDaemon(hosts[0]))
	found = explain()
	is.Equal(len(found.GetRecords()), 1) // found in an archived batch of the stopped daemon
	is.Equal(found.GetRecords()[0].GetHost(), string(hosts[0]))
	is.True(found.GetBatches() > 0)

	f.Platform().Objects.SetOutage(platform.OutageRefused)
	is.True(explain().GetStoreError() != "")
}

// Guards against two concurrent changes that both succeed, and against a configuration version that decreases on a daemon.
func TestConcurrentConfigChanges(t *testing.T) {
	is := is.New(t)
	f := startBalancedFleet(t, Ceibal)
	highest := f.configVersions(t)
	for round := range 5 {
		current, err := f.mustOperatorClient(t, f.Hosts()[0]).GetConfig(t.Context(), connect.NewRequest(&api.GetConfigRequest{}))
		is.NoErr(err)
		errs := make(chan error, 2)
		for _, host := range f.Hosts()[1:] {
			go func() {
				_, err := f.mustOperatorClient(t, host).ApplyConfig(t.Context(), connect.NewRequest(&api.ApplyConfigRequest{
					Text: current.Msg.GetRevision().GetText() + "# " + string(host) + "\n", Author: string(host),
					ExpectedVersion: current.Msg.GetRevision().GetVersion(),
				}))
				errs <- err
			}()
		}
		first, second := <-errs, <-errs
		if first == nil {
			first, second = second, first
		}
		is.NoErr(second)                                      // one change won
		is.True(connect.CodeOf(first) == connect.CodeAborted) // the other failed with a conflict
		want := current.Msg.GetRevision().GetVersion() + 1    // each round stores one version
		is.Equal(want, highest[f.Hosts()[0]]+uint64(round)+1) // and no more
		eventually(t, "the winner is in force on all", func() bool {
			done := true
			for host, inForce := range f.configVersions(t) {
				is.True(inForce <= want && inForce >= highest[host]) // never a lower version
				done = done && inForce == want
			}
			return done
		})
	}
}
