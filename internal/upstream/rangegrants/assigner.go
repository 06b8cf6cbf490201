// Package rangegrants runs the assigner of a service whose servers take grants of key ranges for a bounded time. One daemon
// at a time is the assigner, by a lease in the platform's table. It writes who is to hold what into the table first, and
// then grants, renews and releases at the servers, one goroutine for each.
package rangegrants

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// Answer is a server's answer to an order. It is one of Taken, Superseded, Absent and Silent.
type Response interface {
	response()
}

// Taken means that the server has carried the order out.
type Accepted struct {
	// Handover is what the next owner of a released range needs to be warm at once; it is empty if there is none.
	Handover string
}

// Superseded means that the server has seen a higher fence and has done nothing.
type Superseded struct{}

// Absent means that no process listens at the address, or one that is not the server meant.
type ProcessGone struct{}

// Silent means that no answer came. The order may have been carried out, or may be yet, unless it was not sent.
type NoResponse struct {
	// Unsent is set when no byte of the order was sent.
	NotSent bool
	Err     error
}

func (Accepted) response()    {}
func (Superseded) response()  {}
func (ProcessGone) response() {}
func (NoResponse) response()  {}

// Grant is the order to hold a range.
type Grant struct {
	Range    fleet.KeyRange
	Fence    ranges.Fence
	Duration time.Duration
	Handover string
}

// Orders sends orders to servers. A call returns when the context ends; bytes that are still under way then must not
// arrive later. Another server that has got the address of the one meant does not carry out a grant: it has not seen the
// fences of that one, so that they would not bar it.
type ServerClient interface {
	Grant(ctx context.Context, server ranges.Owner, grant Grant) Response
	Release(ctx context.Context, server ranges.Owner, keys fleet.KeyRange, fence ranges.Fence) Response
	// Probe reports whether the server at the address is the one meant and takes work.
	Probe(ctx context.Context, server ranges.Owner) bool
}

// Server is a server of the service as the registry describes it.
type Server struct {
	ranges.Owner
	Slots   int
	Leaving bool
}

// Registry knows the servers of a service.
type Registry interface {
	Servers(service fleet.ServiceName) []Server
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Pace is what daemons observe of one server.
type ServerStats struct {
	// Mean is the mean duration of a request.
	MeanDuration time.Duration
	// Running is the mean number of requests of all daemons at the server, running and waiting there.
	Concurrency float64
}

// Observed is what all daemons report together.
type AggregateLoad struct {
	Load  *ranges.Load
	Stats map[fleet.UpstreamID]ServerStats
	// Daemons is the number of daemons that report.
	Daemons int
}

// Loads sums the load that daemons report.
type LoadSource interface {
	// Collect reads the reports of all daemons.
	Collect(ctx context.Context, service fleet.ServiceName) AggregateLoad
}

const (
	// drift bounds by how much a server's clock runs slow: a hold lasts up to 1/(1-drift) of its length.
	drift = 0.02
	// orderTimeout bounds one order. A server in another failure domain answers within 20 ms, a busy one within 100 ms.
	orderTimeout = 400 * time.Millisecond
	// releaseTimeout bounds one release, which waits for the requests in flight; the release is repeated.
	releaseTimeout = 700 * time.Millisecond
	// storeTimeout bounds one call to the store; a slow one answers within 400 ms.
	storeTimeout = time.Second
	// pollEvery is the mean time between two looks at a lease that may have ended, by any standby of the fleet.
	pollEvery = 300 * time.Millisecond
	// renewalsPerHold and renewalsPerLease are how often a hold and the lease are renewed before they would end, so that
	// two lost renewals do no harm.
	renewalsPerHold  = 4
	renewalsPerLease = 3
	// suspectAfter is how long a server may be silent before its ranges are given away.
	suspectAfter = 1500 * time.Millisecond
	// absentAgain is the pause before a connection refused is believed: a single refusal may be a restart in progress.
	absentAgain = 150 * time.Millisecond
	// planEvery is how often the load is looked at, and shiftEvery how often ranges may move because of it: a move has to
	// show in the load before the next one.
	planEvery  = time.Second
	shiftEvery = 900 * time.Millisecond
	// settlePause is how long the planning waits for more moves to end before it writes that one has ended. Requests for the
	// range wait meanwhile.
	settlePause = 60 * time.Millisecond
	// gatherTime is how long the servers have to be the same before the first table is made.
	gatherTime = time.Second
	// probeEvery is how often a server that did not answer is asked whether it is back.
	probeEvery = time.Second
	// retryPause is the pause before a call to the store is repeated.
	retryPause = 100 * time.Millisecond
)

// Assigner is one daemon's part in assigning the ranges of one service. The exported fields are set before Run.
type Assigner struct {
	Service fleet.ServiceName
	// Daemon names the host and this run of the daemon, as "HOST/RUN". No other run has the same name, and no two runs on a
	// host overlap.
	Daemon     string
	Store      table.TimedStore
	Registry   Registry
	Client     ServerClient
	LoadSource LoadSource
	Clock      timer.Clock
	Uptime     timer.UptimeClock
	Log        zerolog.Logger
	// Table returns the latest table of the service that this daemon knows, or nil.
	KnownTable func() *ranges.Table
	// Hold is the usual length of a grant, and LongHold the one while the store does not answer, so that owners outlast
	// an outage in which no assigner can be elected.
	GrantDuration, OutageGrantDuration time.Duration
	// Lease is how long the assigner may act without renewing its lease.
	LeaseDuration time.Duration
}

// Names of the rows of a service.
func (a *Assigner) leaseRow() string { return LeaseTable + "/" + string(a.Service) }

// TableRow returns the name of the row that holds the table of a service.
func TableRow(service fleet.ServiceName) string { return RangesTable + "/" + string(service) }

const (
	// LeaseTable holds the leases of the assigners.
	LeaseTable = "assigners"
	// RangesTable holds the tables of the services.
	RangesTable = "ranges"
)

// freeAfter returns the longest time for which a grant of the length may hold.
func freeAfter(hold time.Duration) time.Duration {
	return time.Duration(float64(hold)/(1-drift)) + time.Millisecond
}

// Run takes part in the election until ctx ends, and serves the terms that it wins. A term that ends with ctx gives the
// lease back.
func (a *Assigner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		lease := a.elect(ctx)
		if lease == nil {
			break
		}
		a.Log.Info().Str("service", string(a.Service)).Dur("until", lease.until).Msg("assigner elected")
		a.serve(ctx, lease)
		a.Log.Info().Str("service", string(a.Service)).Bool("stopping", ctx.Err() != nil).Msg("assigner term ended")
	}
	return nil
}

// serve runs one term.
func (a *Assigner) serve(ctx context.Context, lease *lease) {
	acting, end := context.WithCancel(ctx)
	defer end()
	term := newTerm(a, lease)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer end()
		term.keepLease(acting)
	}()
	if term.begin(acting) {
		term.run(acting)
	}
	end()
	<-done
	term.tasks.Wait()
	if ctx.Err() != nil {
		term.resign(context.WithoutCancel(ctx))
	}
}
