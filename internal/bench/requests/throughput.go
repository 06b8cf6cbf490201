package requests

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/caller/front"
	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// ThroughputBenchmark compares requests through one daemon with requests sent to the workers directly, all in this process.
type ThroughputBenchmark struct {
	Rate             float64
	Warmup, Duration time.Duration
	// Keyed selects a service with keys.
	Keyed bool
}

// unlimitedSize has enough slots and connections never to limit the throughput.
var unlimitedSize = ServiceSize{Workers: 4, Slots: 1000, Connections: 1000, ServiceTime: time.Microsecond}

// Run returns the sample of the requests to the workers and that of the requests through the daemon.
func (t ThroughputBenchmark) Run(ctx context.Context, seed uint64) (direct, routed *Sample, err error) {
	size := unlimitedSize
	size.Keyed = t.Keyed
	fleet, err := NewFleet(ctx, size, 1, nil)
	if err != nil {
		return nil, nil, err
	}
	defer fleet.Close()
	for _, worker := range fleet.Workers {
		worker.ServiceTime = nil
	}
	address, stop, err := startFrontend(ctx, fleet)
	if err != nil {
		return nil, nil, err
	}
	defer stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}}
	defer client.CloseIdleConnections()
	load := LoadGenerator{Clock: timer.System{}, Rate: t.Rate, Warmup: t.Warmup, Duration: t.Duration, MaxInFlight: 1024, Seed: seed}
	direct = load.Run(ctx, func(ctx context.Context, number int) Outcome {
		return Get(ctx, client, url(fleet.Workers[number%len(fleet.Workers)].Address())+"/read", fmt.Sprint(number))
	})
	routed = load.Run(ctx, func(ctx context.Context, number int) Outcome {
		return Get(ctx, client, url(address)+"/"+serviceName+"/read", fmt.Sprint(number))
	})
	return direct, routed, nil
}

// startFrontend starts an HTTP front end for the first router. It returns the address and a function that stops it.
func startFrontend(ctx context.Context, fleet *Fleet) (netip.AddrPort, func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	listening := make(chan netip.AddrPort, 1)
	frontend := &front.Frontend{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Router: fleet.Routers[0], Config: fleet, Clock: timer.System{},
		Listening: func(address netip.AddrPort) { listening <- address },
	}
	stopped := make(chan error, 1)
	go func() { stopped <- frontend.Run(ctx) }()
	select {
	case address := <-listening:
		return address, func() {
			cancel()
			if err := <-stopped; err != nil {
				panic(err) // a canceled front end returns an error only because of a bug
			}
		}, nil
	case err := <-stopped:
		cancel()
		return netip.AddrPort{}, nil, errors.Wrap(err, "requests: run front end")
	}
}
