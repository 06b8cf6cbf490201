// Package rangegrants assigns the key ranges of a service whose servers accept time-limited grants. One daemon at a time is
// the assigner; it is elected by a lease in the platform's table. The assigner writes each assignment to the table before it
// grants the range to the server, and runs one goroutine per server that grants and renews, and one per release of a range.
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

// Response is the outcome of a grant or release request: one of Accepted, Superseded, AddressTaken, Unavailable, Reconnected and
// NoResponse.
type Response interface {
	response()
}

// Accepted means that the server has applied the request.
type Accepted struct {
	// Handover is the state that a server passes to the next owner when it releases a range, so that the next owner starts
	// warm. It is empty if there is none.
	Handover string
}

// Superseded means that the server ignored the request because it has seen a higher fence.
type Superseded struct{}

// AddressTaken means that another server responded at the address, so that the process that had it has ended.
type AddressTaken struct{}

// Unavailable means that the server's host refused the connection, or that the response is not one to the request. The request
// was not applied. The process may still run and own its ranges: a network that is cut off can refuse connections, too.
type Unavailable struct {
	Err error
}

// Reconnected means that no connection to the server has been open since Grant.ConnectedBefore. Nothing was sent: the process at
// the address may be a later start of the server, which must be granted keys with a higher fence only.
type Reconnected struct{}

// NoResponse means that no response arrived. Unless NotSent is set, the server may have applied the request or may still do so.
type NoResponse struct {
	// NotSent is set when no byte of the request was sent.
	NotSent bool
	Err     error
}

func (Accepted) response()     {}
func (Superseded) response()   {}
func (AddressTaken) response() {}
func (Unavailable) response()  {}
func (Reconnected) response()  {}
func (NoResponse) response()   {}

// Grant allows a server to own a range for a limited time.
type Grant struct {
	Range    fleet.KeyRange
	Fence    ranges.Fence
	Duration time.Duration
	// Handover is the state that the previous owner returned when it released the range.
	Handover string
	// ConnectedBefore, if set, is a time at which the server is known to have accepted a grant with this fence. A renewal is sent
	// only on a connection that was opened before: one that ended shows that the server may have started again.
	ConnectedBefore time.Time
}

// ServerClient sends requests to servers. A call returns when its context ends, and bytes that are still in flight then must
// not arrive later. A server that took over the address of another one must not apply a grant meant for that one: it has not
// seen the other server's fences, so it would not reject an outdated grant.
type ServerClient interface {
	Grant(ctx context.Context, server ranges.Owner, grant Grant) Response
	Release(ctx context.Context, server ranges.Owner, keys fleet.KeyRange, fence ranges.Fence) Response
	// Probe reports whether the process at the address is the given server and accepts requests.
	Probe(ctx context.Context, server ranges.Owner) bool
}

// Server describes a registered server of the service.
type Server struct {
	ranges.Owner
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Leaving is set when the server is shutting down or is evacuated.
	Leaving bool
	// DrainDeadline is the time until which a leaving server gets requests, or zero if its ranges are to move at once.
	DrainDeadline time.Time
}

// Registry lists the servers of a service.
type Registry interface {
	Servers(service fleet.ServiceName) []Server
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// ServerStats is what daemons measure at one server.
type ServerStats struct {
	// MeanDuration is the mean duration of a request.
	MeanDuration time.Duration
	// Concurrency is the mean number of requests at the server, running or queued, summed over all daemons.
	Concurrency float64
	// Rate is the number of requests a second for the server, those that were not sent because of RateLimit included.
	Rate float64
	// Rise is by how much Concurrency has risen since the previous collection.
	Rise float64
	// Latest is what was measured since the previous collection, and Rejected the number of requests that the server refused since
	// then because it was full.
	Latest   ranges.Measured
	Rejected int
	// RateLimit is the number of requests a second that the server may get, or nil if it has named no limit.
	RateLimit *float64
}

// AggregateLoad combines the load reports of all daemons.
type AggregateLoad struct {
	Load  *ranges.Load
	Stats map[fleet.UpstreamID]ServerStats
	// Daemons is the number of daemons that report.
	Daemons int
}

// LoadSource provides the load that daemons report.
type LoadSource interface {
	// Collect reads the reports of all daemons.
	Collect(ctx context.Context, service fleet.ServiceName) AggregateLoad
}

const (
	// maxClockDrift bounds by how much a server's clock runs slow: a grant lasts up to 1/(1-maxClockDrift) of its duration.
	maxClockDrift = 0.02
	// requestTimeout bounds a grant or a probe. A server in another failure domain responds within 20 ms, a busy one within
	// 100 ms.
	requestTimeout = 400 * time.Millisecond
	// releaseTimeout bounds one release request. The server responds when its requests in flight have ended; the release
	// is retried until then.
	releaseTimeout = 700 * time.Millisecond
	// storeTimeout bounds one call to the store. A slow call takes up to 400 ms.
	storeTimeout = time.Second
	// meanLeasePollInterval is the mean interval at which the daemons without the lease, taken together, poll it once it can
	// have expired.
	meanLeasePollInterval = 300 * time.Millisecond
	// renewalsPerGrant and renewalsPerLease are the number of renewals within the duration of a grant and of the lease. Two
	// failed renewals in a row are tolerated.
	renewalsPerGrant = 4
	renewalsPerLease = 3
	// maxSilence is how long a server may fail to respond before its ranges are reassigned.
	maxSilence = 1500 * time.Millisecond
	// confirmDelay is the pause before a second attempt confirms AddressTaken or Unavailable: a single refused connection may
	// be caused by a restart in progress.
	confirmDelay = 150 * time.Millisecond
	// loadInterval is the interval at which the load is collected. minRebalanceInterval is the time between two moves that
	// are caused by load: the effect of a move has to show in the load before the next one.
	loadInterval         = 400 * time.Millisecond
	minRebalanceInterval = 350 * time.Millisecond
	// moveBatchDelay is how long the planner waits for further moves to end before it writes the end of one to the table.
	// Requests for the range wait meanwhile.
	moveBatchDelay = 60 * time.Millisecond
	// registryQuietPeriod is how long the registry has to be unchanged before the initial table is computed.
	registryQuietPeriod = time.Second
	// probeInterval is the interval at which a server that is down is probed.
	probeInterval = time.Second
	// storeRetryDelay is the pause before a call to the store is retried.
	storeRetryDelay = 100 * time.Millisecond
)

// Assigner takes part in the election of the assigner of one service, and assigns its ranges while it is elected. The exported
// fields are set before Run.
type Assigner struct {
	Service fleet.ServiceName
	// Daemon identifies the host and the process of the daemon as "HOST/RUN". No other process has the same name, and no two
	// daemon processes on a host overlap in time.
	Daemon   string
	Store    table.TimedStore
	Registry Registry
	Client   ServerClient
	// LoadSource is polled during a term.
	LoadSource LoadSource
	Clock      timer.Clock
	Uptime     timer.UptimeClock
	Log        zerolog.Logger
	// Candidates returns the number of daemons that take part in the election.
	Candidates func() int
	// Paused reports whether a server has asked this daemon to send nothing for some time. It is not probed then; grants and
	// releases go on, since ownership depends on them. Nil means that none has.
	Paused func(ranges.Owner) bool
	// GrantDuration is the usual duration of a grant. OutageGrantDuration is used while the store does not respond, so that
	// grants outlast an outage during which no assigner can be elected.
	GrantDuration, OutageGrantDuration time.Duration
	// LeaseDuration is how long the assigner may act without renewing its lease.
	LeaseDuration time.Duration
	// FirstStart is set if the whole deployment starts for the first time, so that nobody has held the lease.
	FirstStart bool
	// Known returns the newest table that this daemon has received, or nil. It may be newer than that of a store which came back
	// from an older copy. Known may be nil.
	Known func() *ranges.Table
	// OnPlan is called after each plan with its moves and the highest and the mean utilization of the servers. It may be nil.
	OnPlan func(moves []ranges.MoveSum, highest, mean float64)

	// The fields below are used only by Run. era is the latest era of the store, which was first seen at eraSeenAt, an uptime;
	// eras counts those seen.
	era       table.Era
	eraSeenAt time.Duration
	eras      int
	// heldUntil is the time of the store's clock until which the lease of this daemon's last term excluded others.
	heldUntil time.Duration
	// lastTable is the last table that this daemon has written, or nil.
	lastTable *ranges.Table
}

// leaseRow returns the name of the row that holds the assigner's lease.
func (a *Assigner) leaseRow() string { return LeaseTable + "/" + string(a.Service) }

// TableRow returns the name of the row that holds the table of a service.
func TableRow(service fleet.ServiceName) string { return RangesTable + "/" + string(service) }

const (
	// LeaseTable is the prefix of the rows that hold the leases of the assigners.
	LeaseTable = "assigners"
	// RangesTable is the prefix of the rows that hold the tables of the services.
	RangesTable = "ranges"
)

// Run takes part in the election until ctx ends, and runs each term that it wins. When ctx ends during a term, Run releases the
// lease.
func (a *Assigner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		lease := a.acquireLease(ctx)
		if lease == nil {
			break
		}
		a.Log.Info().Str("service", string(a.Service)).Dur("until", lease.expiresAt).Msg("assigner elected")
		a.runTerm(ctx, lease)
		a.Log.Info().Str("service", string(a.Service)).Bool("stopping", ctx.Err() != nil).Msg("assigner term ended")
	}
	return nil
}

// runTerm runs one term until the lease is lost or ctx ends.
func (a *Assigner) runTerm(ctx context.Context, lease *heldLease) {
	termCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	term := newTerm(a, lease)
	defer func() {
		a.lastTable = term.table
		lease.mu.Lock()
		defer lease.mu.Unlock()
		a.heldUntil = lease.expiresAt
	}()
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer cancel()
		term.keepLease(termCtx)
	}()
	if term.claimTable(termCtx) {
		term.run(termCtx)
	}
	cancel()
	<-done
	term.tasks.Wait()
	if ctx.Err() != nil {
		term.releaseLease(context.WithoutCancel(ctx))
	}
}
