package requests

import (
	"context"
	"net/http"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/routing/admission"
)

// Overload is a measurement of offered load above the capacity of the workers.
type OverloadBenchmark struct {
	ServiceSize ServiceSize
	Hosts       int
	// Times is the offered load as a multiple of the capacity.
	LoadFactor float64
	// Skew is the part of the arrivals that one host gets beyond its even share, from 0 to 1.
	Skew float64
	// Static chooses the static split of slots instead of the adaptive limit.
	StaticLimit bool
	// Delivery is how requests may be treated.
	Delivery         document.Delivery
	Warmup, Duration time.Duration
	// Slump makes all workers four times as slow in the second half of the run.
	SlowHalfway bool
	// Stop is the number of workers that are stopped before the load.
	StoppedWorkers int
}

// Result is what one run showed.
type OverloadResult struct {
	*Sample
	// Share is the goodput as a part of the capacity of the workers that run.
	RelativeGoodput float64
	// Attempts is the number of sendings, as a multiple of the requests that were sent at all.
	AttemptsPerRequest float64
}

// Run does one run.
func (o OverloadBenchmark) Run(ctx context.Context, seed uint64) (*OverloadResult, error) {
	var limit func(*document.Service) admission.Limit
	if o.StaticLimit {
		limit = func(s *document.Service) admission.Limit {
			return admission.StaticLimit{Slots: s.Slots, Hosts: o.Hosts}
		}
	}
	fleet, err := NewFleet(ctx, o.ServiceSize, o.Hosts, limit)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	for _, worker := range fleet.Workers[:o.StoppedWorkers] {
		worker.Stop()
	}
	if o.SlowHalfway {
		after := timer.System{}.Now().Add(o.Warmup + o.Duration/2)
		for _, worker := range fleet.Workers {
			worker.ServiceTime = func(*http.Request) time.Duration {
				if (timer.System{}).Now().After(after) {
					return 4 * o.ServiceSize.ServiceTime
				}
				return o.ServiceSize.ServiceTime
			}
		}
	}
	alive := o.ServiceSize
	alive.Workers -= o.StoppedWorkers
	load := LoadGenerator{
		Clock: timer.System{}, Rate: o.LoadFactor * o.ServiceSize.Capacity(), Warmup: o.Warmup, Duration: o.Duration, MaxOutstanding: 8192, Seed: seed,
	}
	sample := load.Run(ctx, func(ctx context.Context, number int) Outcome {
		return fleet.Send(ctx, o.entryHost(number), number, o.Delivery)
	})
	return &OverloadResult{Sample: sample, RelativeGoodput: sample.Goodput() / alive.Capacity(), AttemptsPerRequest: fleet.AttemptsPerRequest()}, nil
}

// host returns the entry host of a request.
func (o OverloadBenchmark) entryHost(number int) int {
	if number*7919%100 < int(o.Skew*100) { // 7919 is prime to 100 and spreads the chosen arrivals
		return 0
	}
	return number % o.Hosts
}
