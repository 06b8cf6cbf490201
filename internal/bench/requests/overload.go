package requests

import (
	"context"
	"net/http"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/routing/admission"
)

// OverloadBenchmark measures a fleet under an offered load that may exceed the capacity of its workers.
type OverloadBenchmark struct {
	ServiceSize ServiceSize
	Hosts       int
	// LoadFactor is the offered load as a multiple of the capacity of all workers.
	LoadFactor float64
	// Skew is the part of the arrivals, from 0 to 1, that all go to one host. The others are distributed evenly.
	Skew float64
	// StaticLimit divides the slots evenly among the hosts instead of using the adaptive limit.
	StaticLimit bool
	// Delivery states whether requests may be retried.
	Delivery         document.Delivery
	Warmup, Duration time.Duration
	// SlowHalfway makes all workers four times as slow in the second half of Duration.
	SlowHalfway bool
	// StoppedWorkers is the number of workers that are stopped before the load starts.
	StoppedWorkers int
}

// OverloadResult is the outcome of one run.
type OverloadResult struct {
	*Sample
	// RelativeGoodput is the goodput divided by the capacity of the running workers.
	RelativeGoodput float64
	// MeanAttempts is the mean number of attempts of the requests that were sent at least once.
	MeanAttempts float64
}

// Run starts a fleet, applies the load and returns the result.
func (o OverloadBenchmark) Run(ctx context.Context, seed uint64) (*OverloadResult, error) {
	var limit func(*document.Service) admission.Limit
	if o.StaticLimit {
		limit = func(s *document.Service) admission.Limit {
			return admission.StaticLimit{Slots: s.Slots, Hosts: o.Hosts}
		}
	}
	f, err := NewFleet(ctx, o.ServiceSize, o.Hosts, limit)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	for _, worker := range f.Workers[:o.StoppedWorkers] {
		worker.Stop()
	}
	if o.SlowHalfway {
		slowFrom := timer.System{}.Now().Add(o.Warmup + o.Duration/2)
		for _, worker := range f.Workers {
			worker.ServiceTime = func(*http.Request) time.Duration {
				if (timer.System{}).Now().After(slowFrom) {
					return 4 * o.ServiceSize.ServiceTime
				}
				return o.ServiceSize.ServiceTime
			}
		}
	}
	alive := o.ServiceSize
	alive.Workers -= o.StoppedWorkers
	load := LoadGenerator{
		Clock: timer.System{}, Rate: o.LoadFactor * o.ServiceSize.Capacity(), Warmup: o.Warmup, Duration: o.Duration,
		MaxInFlight: 8192, Seed: seed,
	}
	sample := load.Run(ctx, func(ctx context.Context, number int) Outcome {
		return f.Send(ctx, o.entryHost(number), number, o.Delivery)
	})
	return &OverloadResult{Sample: sample, RelativeGoodput: sample.Goodput() / alive.Capacity(), MeanAttempts: f.MeanAttempts()}, nil
}

// entryHost returns the index of the host at which a request arrives.
func (o OverloadBenchmark) entryHost(number int) int {
	if number*7919%100 < int(o.Skew*100) { // 7919 is coprime to 100, so it scatters the skewed arrivals
		return 0
	}
	return number % o.Hosts
}
