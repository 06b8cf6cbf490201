package dev

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
	"rosemarywick.example/rosemarywick/internal/upstream/grants"
	upstream "rosemarywick.example/rosemarywick/internal/upstream/standin"
)

// worker is one fake upstream.
type worker struct {
	upstream fleet.Upstream
	fake     *upstream.Worker
}

// startWorkers starts the upstreams of all services, spread evenly over the failure domains.
func (f *Fleet) startWorkers(ctx context.Context) error {
	for i := range f.deployment.services {
		service := &f.deployment.services[i]
		for index := range service.workers {
			one := f.newWorker(service, index)
			if err := one.fake.Start(ctx); err != nil {
				return err
			}
			one.upstream.Address = one.fake.Address()
			f.workers = append(f.workers, one)
		}
	}
	return nil
}

func (f *Fleet) newWorker(service *serviceShape, index int) *worker {
	domains := f.deployment.domains
	one := &worker{upstream: fleet.Upstream{
		ID: upstreamID(service.name, index), Service: service.name,
		Place: fleet.Place{Region: f.deployment.region, Domain: domains[index%len(domains)]},
	}}
	one.fake = &upstream.Worker{
		ID: one.upstream.ID, Clock: f.Timer, Slots: f.deployment.slots, Queue: f.deployment.slots,
		Connections: f.deployment.connections,
		Work:        func(*http.Request) time.Duration { return service.serviceTime },
	}
	if service.key != "" {
		server := &grants.Server{Timer: f.Timer, Guard: &lease.Guard{
			Service: service.name, Partitions: devPartitions,
			Incarnation: fleet.Incarnation(strconv.FormatInt(f.Timer.Now().UnixNano(), 36)),
		}}
		one.fake.Ownership, one.fake.Orders = server, server
	}
	return one
}
