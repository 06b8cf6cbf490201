// Package rolling measures how planned and unplanned changes of a whole fleet affect requests and the ownership of keys. The
// daemons, the upstreams and a fake platform run in one process and communicate over loopback. The results do not include the
// network latency between real failure domains.
package rolling

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/daemon/dev"
	"rosemarywick.example/rosemarywick/internal/operator/api"
)

const (
	keyedService   fleet.ServiceName = "catalogue"
	unkeyedService fleet.ServiceName = "archive"
	// keyCount is the number of keys that callers read through each daemon. All belong to one server, whose 6 slots and 6 places
	// in the queue must suffice for the callers of 4 daemons: with 4 keys the server rejected requests.
	keyCount = 2
	// callerPause is the time between a response and the next request of the same caller.
	callerPause = 5 * time.Millisecond
	// settleTime is how long the callers continue after the change.
	settleTime = 1500 * time.Millisecond
)

// Scenario is a planned or unplanned change of the fleet.
type Scenario string

const (
	// RestartDaemons gracefully stops each daemon in turn and starts a new one in its place.
	RestartDaemons Scenario = "restart-daemons"
	// LoseServer stops a server that owns keys abruptly, as a crash would.
	LoseServer Scenario = "lose-server"
	// LoseAssigner stops the daemon that acts as the assigner abruptly, as a crash would.
	LoseAssigner Scenario = "lose-assigner"
	// DrainServer drains a server that owns keys, as an operator would.
	DrainServer Scenario = "drain-server"
	// DrainUpstream drains an upstream of a service without keys, as an operator would.
	DrainUpstream Scenario = "drain-upstream"
)

// Scenarios returns all scenarios in the order in which they are printed.
func Scenarios() []Scenario {
	return []Scenario{RestartDaemons, LoseServer, LoseAssigner, DrainServer, DrainUpstream}
}

// Result is the outcome of one run of a scenario.
type Result struct {
	// Requests counts all requests of callers. Rejected counts those whose response says that they were not run;
	// RejectedByStopping is the part of them that a daemon rejected because it was being stopped. UnknownOutcome counts the
	// requests that may or may not have been run.
	Requests, Rejected, RejectedByStopping, UnknownOutcome int
	// Failures describes the requests with an unknown outcome, and those rejected by a daemon that was not being stopped.
	Failures []string
	// Contradictions counts the responses that are inconsistent with what the upstreams ran.
	Contradictions int
	// LongestResponseGap is the longest time between two successive complete responses for one path through one daemon.
	LongestResponseGap time.Duration
	// LongestOwnerGap describes the longest time after which a partition without an owner got one again. It is zero if no
	// partition did.
	LongestOwnerGap dev.Gap
	// LongestUnowned is the longest time for which a partition had no owner, whether or not it got one again.
	LongestUnowned time.Duration
	// DoubleOwnerSamples counts the samples in which a partition had two owners.
	DoubleOwnerSamples int
	// MaxLatency is the longest time from a request to its complete response.
	MaxLatency time.Duration
	// DrainDelay is the time from the call that drains an upstream to the last new request that reaches the upstream.
	DrainDelay time.Duration
	// LongestWatchStall is the longest time between two samples of the owners. It shows how overloaded the machine was.
	LongestWatchStall time.Duration
}

// Benchmark runs scenarios on one fleet. Set the exported fields before Start.
type Benchmark struct {
	Shape   dev.Shape
	Daemons int
	Log     zerolog.Logger

	fleet *dev.Fleet
}

// Start starts the fleet and waits until the partitions are balanced over the servers.
func (b *Benchmark) Start(ctx context.Context) error {
	b.fleet = &dev.Fleet{Shape: b.Shape, Daemons: b.Daemons, Timer: timer.System{}, Log: b.Log}
	if err := b.fleet.Start(ctx); err != nil {
		return err
	}
	return b.fleet.WaitBalanced(ctx, keyedService)
}

// Stop stops the fleet.
func (b *Benchmark) Stop() error {
	return b.fleet.Stop()
}

// Run runs a scenario once while callers send requests continuously, and then restores the previous state of the fleet.
func (b *Benchmark) Run(ctx context.Context, scenario Scenario) (Result, error) {
	target := b.fleet.OwnerOf(keyedService, "first")
	load := &dev.LoadGenerator{Fleet: b.fleet, Calls: b.buildCalls(target), Pause: callerPause}
	monitor := &dev.OwnershipMonitor{Fleet: b.fleet, Service: keyedService}
	monitorCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	monitorDone := make(chan struct{})
	go func() {
		defer close(monitorDone)
		monitor.Run(monitorCtx)
	}()
	load.Start(ctx)
	err := timer.Wait(ctx, timer.System{}, settleTime/3)
	var drainDelay time.Duration
	if err == nil {
		drainDelay, err = b.applyScenario(ctx, scenario, target)
	}
	if err == nil {
		err = timer.Wait(ctx, timer.System{}, settleTime)
	}
	cancel()
	<-monitorDone
	result := b.summarize(load.Stop())
	result.LongestUnowned, result.DoubleOwnerSamples, result.LongestWatchStall, result.DrainDelay =
		monitor.LongestGap, monitor.DoubleOwnerSamples, monitor.LongestSampleInterval, drainDelay
	for _, gap := range monitor.Gaps {
		if gap.For > result.LongestOwnerGap.For {
			result.LongestOwnerGap = gap
		}
	}
	if err == nil {
		err = b.restore(ctx, scenario, target)
	}
	return result, err
}

// buildCalls returns reads of keys that the target owns, and requests to services without keys.
func (b *Benchmark) buildCalls(target fleet.UpstreamID) []dev.Call {
	calls := []dev.Call{
		{Method: "GET", Path: "/archive/days/today"},
		{Method: "POST", Path: "/dispatch/plans", IdempotencyKey: "new"},
	}
	for i := 0; len(calls) < keyCount+2; i++ {
		if key := fmt.Sprint("key-", i); b.fleet.OwnerOf(keyedService, key) == target {
			calls = append(calls, dev.Call{Method: "GET", Path: "/catalogue/plans/" + key})
		}
	}
	return calls
}

// applyScenario makes the change of a scenario. If that is a drain, it returns the time until the last new request at the
// drained upstream.
func (b *Benchmark) applyScenario(ctx context.Context, scenario Scenario, target fleet.UpstreamID) (time.Duration, error) {
	switch scenario {
	case RestartDaemons:
		return 0, b.replaceDaemons(ctx)
	case LoseServer:
		return 0, b.fleet.CrashUpstream(target)
	case LoseAssigner:
		// Wait until the deputy that took over in the previous run has chosen a new deputy: the loss of two assigners within seconds
		// is not measured here.
		if err := timer.Wait(ctx, timer.System{}, 2*settleTime); err != nil {
			return 0, err
		}
		id, err := b.fleet.WaitAssigner(ctx, keyedService)
		if err == nil {
			err = b.fleet.SimulateHostLoss(id)
		}
		return 0, err
	case DrainServer:
		return b.drainUpstream(ctx, target)
	case DrainUpstream:
		return b.drainUpstream(ctx, b.fleet.Upstreams(unkeyedService)[0])
	}
	return 0, nil
}

// replaceDaemons stops one daemon after the other and starts a new one for each.
func (b *Benchmark) replaceDaemons(ctx context.Context) error {
	for _, host := range b.fleet.Hosts() {
		if err := b.fleet.StopDaemon(host); err != nil {
			return err
		}
		if _, err := b.fleet.AddDaemon(ctx); err != nil {
			return err
		}
	}
	return nil
}

// drainUpstream drains an upstream and returns the time until the last new request that reaches it.
func (b *Benchmark) drainUpstream(ctx context.Context, id fleet.UpstreamID) (time.Duration, error) {
	client, err := b.fleet.OperatorClient(b.fleet.Hosts()[0])
	if err != nil {
		return 0, err
	}
	began := time.Now()
	if _, err := client.DrainUpstream(ctx, connect.NewRequest(&api.DrainUpstreamRequest{Upstream: string(id)})); err != nil {
		return 0, err
	}
	seenCount, lastArrival := int64(-1), began
	for time.Since(began) < 2*settleTime {
		count, err := b.fleet.ArrivedRequests(id)
		if err != nil {
			return 0, err
		}
		if count != seenCount {
			seenCount, lastArrival = count, time.Now()
		}
		if err := timer.Wait(ctx, timer.System{}, time.Millisecond); err != nil {
			return 0, err
		}
	}
	return lastArrival.Sub(began), nil
}

// restore reverts the change of a scenario and waits until the partitions are balanced and an assigner is acting.
func (b *Benchmark) restore(ctx context.Context, scenario Scenario, target fleet.UpstreamID) error {
	var err error
	switch scenario {
	case RestartDaemons:
	case LoseServer:
		err = b.fleet.RestartUpstream(ctx, target)
	case LoseAssigner:
		_, err = b.fleet.AddDaemon(ctx)
	case DrainServer:
		err = b.undrainUpstream(ctx, target)
	case DrainUpstream:
		err = b.undrainUpstream(ctx, b.fleet.Upstreams(unkeyedService)[0])
	}
	for err == nil && b.fleet.OwnedPartitions(target) == 0 {
		err = timer.Wait(ctx, timer.System{}, callerPause)
	}
	if err == nil {
		err = b.fleet.WaitBalanced(ctx, keyedService)
	}
	if err == nil {
		_, err = b.fleet.WaitAssigner(ctx, keyedService)
	}
	return err
}

// undrainUpstream makes an upstream receive requests again.
func (b *Benchmark) undrainUpstream(ctx context.Context, id fleet.UpstreamID) error {
	client, err := b.fleet.OperatorClient(b.fleet.Hosts()[0])
	if err == nil {
		_, err = client.UndrainUpstream(ctx, connect.NewRequest(&api.UndrainUpstreamRequest{Upstream: string(id)}))
	}
	return err
}

// summarize computes the result of a run from the responses that the callers got.
func (b *Benchmark) summarize(answers []dev.Answer) Result {
	result := Result{Requests: len(answers), Contradictions: len(b.fleet.FindContradictions(answers))}
	type callerPath struct {
		host fleet.HostID
		path string
	}
	lastEnded := make(map[callerPath]time.Time)
	for i := range answers { // ordered by time for each caller
		answer := &answers[i]
		switch {
		case answer.Complete():
			key := callerPath{answer.Host, answer.Path}
			if previous, found := lastEnded[key]; found {
				result.LongestResponseGap = max(result.LongestResponseGap, answer.EndedAt.Sub(previous))
			}
			lastEnded[key] = answer.EndedAt
			result.MaxLatency = max(result.MaxLatency, answer.EndedAt.Sub(answer.StartedAt))
		case answer.Outcome == cause.NotRun && answer.Cause == cause.DaemonStopping:
			result.Rejected++
			result.RejectedByStopping++
		case answer.Outcome == cause.NotRun:
			result.Rejected++
			result.Failures = append(result.Failures, answer.String())
		default:
			result.UnknownOutcome++
			result.Failures = append(result.Failures, answer.String())
		}
	}
	return result
}
