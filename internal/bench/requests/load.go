// Package requests measures the request path of daemons with fake workers on loopback: throughput and added latency, behavior
// under overload, retries, and load balancing policies. The figures on the design pages come from its command.
package requests

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// LoadGenerator is an open-loop generator: requests arrive as a Poisson process, whether or not earlier ones have ended.
type LoadGenerator struct {
	Clock timer.Clock
	// Rate is the mean number of arrivals per second.
	Rate float64
	// Warmup precedes Duration. Requests that arrive during it are not counted.
	Warmup, Duration time.Duration
	// MaxInFlight limits the requests in flight. Arrivals beyond it are not sent and count as Sample.Overrun.
	MaxInFlight int
	Seed        uint64
}

// Outcome is how one request ended.
type Outcome string

const (
	// Served means that the complete response arrived.
	Served Outcome = "served"
	// Rejected means that the router rejected the request without sending it to a worker.
	Rejected Outcome = "rejected"
	// Shed means that a worker rejected the request and the router could not retry it.
	Shed Outcome = "shed"
	// Failed means any other outcome.
	Failed Outcome = "failed"
)

// Sample is the result of one run of a LoadGenerator. Latencies are measured from the time at which a request was due, so
// that they include the waiting time of requests that the generator sent late.
type Sample struct {
	Served, Rejected, Shed, Failed, Overrun int
	// PromptlyRejected counts the requests that were rejected within promptRejectionLimit.
	PromptlyRejected int
	// ServedLatency and RejectedLatency are in microseconds.
	ServedLatency, RejectedLatency *hdrhistogram.Histogram
	Duration                       time.Duration
}

// promptRejectionLimit is the time within which a request that cannot meet its deadline must be rejected.
const promptRejectionLimit = 5 * time.Millisecond

// Goodput returns the number of requests served per second.
func (s *Sample) Goodput() float64 {
	return float64(s.Served) / s.Duration.Seconds()
}

// Quantile returns a percentile of a histogram of microseconds.
func Quantile(histogram *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond
}

// sampleCollector collects a Sample from concurrent requests.
type sampleCollector struct {
	mu sync.Mutex
	// sample is guarded by mu.
	sample Sample
}

func newSampleCollector(duration time.Duration) *sampleCollector {
	return &sampleCollector{sample: Sample{
		ServedLatency: hdrhistogram.New(1, 60_000_000, 3), RejectedLatency: hdrhistogram.New(1, 60_000_000, 3), Duration: duration,
	}}
}

func (c *sampleCollector) add(outcome Outcome, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	micros := max(1, took.Microseconds())
	switch outcome {
	case Served:
		c.sample.Served++
		_ = c.sample.ServedLatency.RecordValue(micros)
	case Rejected:
		c.sample.Rejected++
		if took <= promptRejectionLimit {
			c.sample.PromptlyRejected++
		}
		_ = c.sample.RejectedLatency.RecordValue(micros)
	case Shed:
		c.sample.Shed++
	case Failed:
		c.sample.Failed++
	}
}

// Run generates requests until the duration has passed, and waits for those in flight. It calls send in a new goroutine for each
// request, with the number of the request.
func (l *LoadGenerator) Run(ctx context.Context, send func(ctx context.Context, number int) Outcome) *Sample {
	collector := newSampleCollector(l.Duration)
	random := rand.New(rand.NewPCG(l.Seed, 0))
	inFlight := make(chan struct{}, l.MaxInFlight)
	var tasks sync.WaitGroup
	start := l.Clock.Now()
	measureFrom, end := start.Add(l.Warmup), start.Add(l.Warmup+l.Duration)
	due := start
	for number := 0; due.Before(end) && ctx.Err() == nil; number++ {
		due = due.Add(time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second)))
		l.waitUntil(ctx, due)
		measured := !due.Before(measureFrom)
		select {
		case inFlight <- struct{}{}:
		default:
			if measured {
				collector.sample.Overrun++ // accessed by this goroutine only
			}
			continue
		}
		dueAt := due
		tasks.Go(func() {
			defer func() { <-inFlight }()
			outcome := send(ctx, number)
			if measured {
				collector.add(outcome, l.Clock.Now().Sub(dueAt))
			}
		})
	}
	tasks.Wait()
	return &collector.sample
}

// waitUntil waits until a request is due. The timer may fire up to a millisecond late; requests that became due in the
// meantime are then sent at once.
func (l *LoadGenerator) waitUntil(ctx context.Context, due time.Time) {
	if wait := due.Sub(l.Clock.Now()); wait > 0 {
		_ = timer.Wait(ctx, l.Clock, wait)
	}
}
