// Package requests measures the request path of daemons against fake workers on loopback: throughput and added latency,
// overload, retries, and the choice among upstreams. Figures on design pages come from its command.
package requests

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// Load is an open loop: requests arrive at random times at a mean rate, whether earlier ones have ended or not.
type LoadGenerator struct {
	Clock timer.Clock
	// Rate is the mean number of arrivals in a second.
	Rate float64
	// Warmup precedes Duration and is not counted.
	Warmup, Duration time.Duration
	// Bound is the largest number of requests outstanding; arrivals beyond it are counted as Overrun and not sent.
	MaxOutstanding int
	Seed           uint64
}

// Ending is what became of one request of a load.
type Outcome string

const (
	// Served means that the request was answered completely.
	Served Outcome = "served"
	// Rejected means that the request was rejected before it was sent.
	Rejected Outcome = "rejected"
	// Shed means that the request was rejected after a worker had rejected it.
	Shed Outcome = "shed"
	// Failed means everything else.
	Failed Outcome = "failed"
)

// Sample is the result of one load. Latencies are counted from the time at which the request was due, so that a late
// generator does not hide waiting.
type Sample struct {
	Served, Rejected, Shed, Failed, Overrun int
	// Prompt counts the requests rejected within 5 ms.
	PromptlyRejected int
	// ServedIn and RejectedIn hold microseconds.
	ServedLatency, RejectedLatency *hdrhistogram.Histogram
	Duration                       time.Duration
}

// prompt is the time within which a request that cannot meet its deadline must be rejected.
const promptRejectionLimit = 5 * time.Millisecond

// Goodput returns the requests served in a second.
func (s *Sample) Goodput() float64 {
	return float64(s.Served) / s.Duration.Seconds()
}

// Quantile returns a quantile, in percent, of a histogram of microseconds.
func Quantile(histogram *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond
}

// tally collects a sample from many goroutines.
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

func (t *sampleCollector) add(ending Outcome, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	value := max(1, took.Microseconds())
	switch ending {
	case Served:
		t.sample.Served++
		_ = t.sample.ServedLatency.RecordValue(value)
	case Rejected:
		t.sample.Rejected++
		if took <= promptRejectionLimit {
			t.sample.PromptlyRejected++
		}
		_ = t.sample.RejectedLatency.RecordValue(value)
	case Shed:
		t.sample.Shed++
	case Failed:
		t.sample.Failed++
	}
}

// Run sends requests until the duration has passed and waits for those outstanding. send gets the number of the request.
func (l *LoadGenerator) Run(ctx context.Context, send func(ctx context.Context, number int) Outcome) *Sample {
	result := newSampleCollector(l.Duration)
	random := rand.New(rand.NewPCG(l.Seed, 0))
	room := make(chan struct{}, l.MaxOutstanding)
	var outstanding sync.WaitGroup
	start := l.Clock.Now()
	counted, end := start.Add(l.Warmup), start.Add(l.Warmup+l.Duration)
	due := start
	for number := 0; due.Before(end) && ctx.Err() == nil; number++ {
		due = due.Add(time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second)))
		l.waitUntil(ctx, due)
		counts := !due.Before(counted)
		select {
		case room <- struct{}{}:
		default:
			if counts {
				result.sample.Overrun++ // only this goroutine counts overruns
			}
			continue
		}
		arrival := due
		outstanding.Go(func() {
			defer func() { <-room }()
			ending := send(ctx, number)
			if counts {
				result.add(ending, l.Clock.Now().Sub(arrival))
			}
		})
	}
	outstanding.Wait()
	return &result.sample
}

// until waits until a request is due. The clock wakes up to a millisecond late; requests that became due meanwhile are
// sent at once.
func (l *LoadGenerator) waitUntil(ctx context.Context, due time.Time) {
	if left := due.Sub(l.Clock.Now()); left > 0 {
		_ = timer.Wait(ctx, l.Clock, left)
	}
}
