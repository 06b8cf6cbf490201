package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/observe/metrics"
)

const (
	// maxLogLinesPerSecond and logLineBurst limit the log lines about individual requests.
	maxLogLinesPerSecond = 20
	logLineBurst         = 100
)

// observer records metrics for each request that has ended, and logs those that did not go as expected.
type observer struct {
	log        zerolog.Logger
	metrics    *metrics.Metrics
	logLimiter *rate.Limiter
	now        func() time.Time
}

func newObserver(d *Daemon) *observer {
	return &observer{
		log: d.Log, metrics: metrics.New(d.Timer), logLimiter: rate.NewLimiter(maxLogLinesPerSecond, logLineBurst), now: d.Timer.Now,
	}
}

// Record records metrics for every request, and logs notable ones within the limit. Log lines beyond the limit are counted in
// a metric.
func (o *observer) Record(record cause.Record) {
	o.metrics.Observe(&metrics.Request{
		Service: record.Service, Tenant: record.Tenant, QueueTime: record.QueueTime, ConnectTime: record.TotalConnectTime(),
		UpstreamTime: record.TotalUpstreamTime(), TotalTime: record.TotalTime, Outcome: record.Outcome, Cause: record.Cause,
	})
	if !record.IsNotable() {
		return
	}
	if !o.logLimiter.AllowN(o.now(), 1) {
		o.metrics.ObserveOmittedLogLine()
		return
	}
	event := o.log.Info().Str("request", string(record.Request)).Str("service", string(record.Service)).
		Str("class", string(record.Tenant)).Uint64("config", record.ConfigVersion).Dur("queued", record.QueueTime).
		Dur("took", record.TotalTime).Str("outcome", string(record.Outcome)).Str("cause", string(record.Cause))
	if !record.Fence.IsZero() {
		event = event.Uint64("key", uint64(record.Key)).Str("fence", record.Fence.String())
	}
	for i, attempt := range record.Attempts {
		if i == maxLoggedAttempts {
			break
		}
		event = event.Str(attemptFields[i], string(attempt.Upstream)+" "+string(attempt.Cause)+" "+attempt.Duration.String())
	}
	event.Msg("request ended")
}

// maxLoggedAttempts limits the attempts that the log line of a request lists.
const maxLoggedAttempts = 4

var attemptFields = [maxLoggedAttempts]string{"attempt-1", "attempt-2", "attempt-3", "attempt-4"}

// serveMetrics serves the metrics until ctx ends. It only waits if the address is not valid.
func (o *observer) serveMetrics(ctx context.Context, address netip.AddrPort) error {
	if !address.IsValid() {
		<-ctx.Done()
		return nil
	}
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", address.String())
	if err != nil {
		return errors.Wrap(err, "entry: listen for metrics")
	}
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: o.metrics.Handler()}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "entry: serve metrics")
	}
	return nil
}
