package dev

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

const catalogue fleet.ServiceName = "catalogue"

// loadCalls returns calls with and without a key, among them reads and a request that runs at most once.
func loadCalls() []Call {
	return []Call{
		{Method: http.MethodGet, Path: "/catalogue/plans/18-de-julio"},
		{Method: http.MethodGet, Path: "/catalogue/plans/rambla"},
		{Method: http.MethodPost, Path: "/catalogue/plans/ciudad-vieja"},
		{Method: http.MethodGet, Path: "/archive/days/today"},
		{Method: http.MethodPost, Path: "/dispatch/plans", IdempotencyKey: "new"},
	}
}

// startLoad sends calls through all daemons until the returned function is called, which returns the answers.
func (f *Fleet) startLoad(t *testing.T) func() []Answer {
	t.Helper()
	load := &LoadGenerator{Fleet: f, Calls: loadCalls(), Pause: 5 * time.Millisecond}
	load.Start(t.Context())
	stop := sync.OnceValue(load.Stop)
	t.Cleanup(func() { stop() })
	eventually(t, "answers through all daemons", func() bool { return load.AnswerCount() > 100 })
	return stop
}

// monitorOwnership looks for partitions without an owner or with two until the returned function is called.
func (f *Fleet) monitorOwnership(t *testing.T) func() *OwnershipMonitor {
	t.Helper()
	monitor := &OwnershipMonitor{Fleet: f, Service: catalogue}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		monitor.Run(ctx)
	}()
	return func() *OwnershipMonitor {
		cancel()
		<-ended
		return monitor
	}
}

// sendSlow sends a request that takes 400 ms and returns once an upstream runs it. The answer arrives on the channel.
func (f *Fleet) sendSlow(t *testing.T, host fleet.HostID, method, path string) <-chan Answer {
	t.Helper()
	call := Call{Method: method, Path: path + "?work=400ms", ID: fleet.RequestID("slow-" + string(host))}
	answer := make(chan Answer, 1)
	go func() { answer <- f.Send(t.Context(), host, call) }()
	eventually(t, "the slow request runs", func() bool { return f.RunCounts(call.ID).Started > 0 })
	return answer
}

// Guards against a planned shutdown that interrupts or rejects a request or leaves a key without an owner, and against an
// assigner that does not hand over its role.
func TestRollingRestartOfDaemons(t *testing.T) {
	is := is.New(t)
	f := startBalancedFleet(t, Ceibal)
	stopLoad, stopMonitor := f.startLoad(t), f.monitorOwnership(t)
	for _, host := range f.Hosts() {
		before, err := f.WaitAssigner(t.Context(), catalogue)
		is.NoErr(err)
		pending := f.sendSlow(t, host, http.MethodPost, "/dispatch/plans")
		is.NoErr(f.StopDaemon(host))
		answer := <-pending
		is.Equal(answer.Outcome, cause.Complete) // the request in flight was finished
		f.assertConsistent(t, answer)
		_, err = f.AddDaemon(t.Context())
		is.NoErr(err)
		after, err := f.WaitAssigner(t.Context(), catalogue)
		is.NoErr(err)
		is.True(before != host || after != host) // another daemon acts now
	}
	answers, monitor := stopLoad(), stopMonitor()
	f.assertConsistent(t, answers...)
	for i := range answers {
		// A daemon may reject requests only after it has reported that it is not ready.
		if got := &answers[i]; !got.Complete() && (got.Cause != cause.DaemonStopping || f.IsReady(t.Context(), got.Host)) {
			t.Error(got)
		}
	}
	for _, gap := range monitor.Gaps {
		t.Logf("%+v", gap)
	}
	t.Logf("longest time between two samples %s", monitor.LongestSampleInterval)
	is.Equal(monitor.UnownedPartitions, 0)  // no partition was without an owner
	is.Equal(monitor.DoubleOwnerSamples, 0) // no partition had two
}

// Guards against keys that stay without an owner, and against requests that fail, when all servers of a service are replaced one
// by one.
func TestRollingReplacementOfServers(t *testing.T) {
	is := is.New(t)
	f := startBalancedFleet(t, Ceibal)
	stopLoad, stopMonitor := f.startLoad(t), f.monitorOwnership(t)
	for _, id := range f.Upstreams(catalogue) {
		is.NoErr(f.ReplaceUpstream(t.Context(), id))
		eventually(t, "the new run holds keys", func() bool { return f.OwnedPartitions(id) > 0 })
	}
	is.NoErr(f.WaitBalanced(t.Context(), catalogue))
	answers, monitor := stopLoad(), stopMonitor()
	f.assertConsistent(t, answers...)
	for i := range answers {
		if !answers[i].Complete() {
			t.Error(&answers[i])
		}
	}
	t.Logf("longest time without an owner %s, longest time between two samples %s",
		monitor.LongestGap, monitor.LongestSampleInterval)
	is.Equal(monitor.DoubleOwnerSamples, 0) // no partition had two owners
}

// Guards against a graceful stop that interrupts a keyed read. A daemon could retry such a read, but its caller could not.
func TestStopFinishesRequestInFlight(t *testing.T) {
	is := is.New(t)
	f := startBalancedFleet(t, Nadif)
	host := f.Hosts()[0]
	pending := f.sendSlow(t, host, http.MethodGet, f.deployment.example)
	is.NoErr(f.StopDaemon(host))
	answer := <-pending
	is.Equal(answer.Outcome, cause.Complete)
	f.assertConsistent(t, answer)
	is.True(!slices.Contains(f.Hosts(), host)) // the daemon has ended
}
