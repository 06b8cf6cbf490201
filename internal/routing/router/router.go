// Package router takes one request along the straight path from its caller to an upstream and back: owner or choice of
// upstream, admission, sending, verdict, and a record of what was decided. It exists so that every front end answers
// callers by the same rules.
package router

import (
	"context"
	"sync"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/routing/admission"
	"rosemarywick.example/rosemarywick/internal/routing/balance"
	"rosemarywick.example/rosemarywick/internal/routing/idempotency"
	"rosemarywick.example/rosemarywick/internal/routing/retry"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
)

// Owners is the map of the keyed services as this daemon knows it.
type OwnershipMap interface {
	// Locate returns the assignment of a key, and false if the service has no map yet.
	Locate(service fleet.ServiceName, key fleet.KeyHash) (fleet.Assignment, bool)
	// Changed returns a channel that is closed at the next change of any map.
	Changed() <-chan struct{}
}

// Confirmations says until when a map may be used for servers that check nothing.
type MapConfirmations interface {
	// Confirmed returns the time until which the assigner confirmed the map of a service.
	ConfirmedUntil(service fleet.ServiceName) time.Time
}

// Configuration is the configuration in force.
type Configuration interface {
	// Current returns the current document, which is never changed. It is nil until one is known.
	Current() *document.Document
}

// Claims records idempotency keys.
type Claims interface {
	// Claim takes the key for a request, or says why not.
	Claim(ctx context.Context, key idempotency.Key, request fleet.RequestID) idempotency.ClaimResult
	// Finish records what became of a claimed request. It does not wait for the table.
	Finish(key idempotency.Key, ending idempotency.RequestResult)
}

// Loads learns which keyed requests were served, from which the load of keys and the speed of servers follow.
type LoadObserver interface {
	Served(service fleet.ServiceName, server fleet.UpstreamID, key fleet.KeyHash, took time.Duration)
}

// Recorder learns of each request that has ended.
type Recorder interface {
	Record(record cause.Record)
}

// Router routes requests. The exported fields are set before Run; Run must be running while Do is used.
type Router struct {
	Host   fleet.Host
	Clock  timer.Clock
	Config Configuration
	// Owners may be nil if no service has keys.
	OwnershipMap OwnershipMap
	// Stale is called when a request meets an entry of the map that is out of date or being changed. It may be nil, and must
	// not block.
	OnStaleMap func()
	// Confirmations may be nil if no keyed service has the guard "none"; requests to such a service are rejected then.
	MapConfirmations MapConfirmations
	// Claims may be nil; requests with an idempotency key for an at-most-once route are rejected then.
	Claims Claims
	// Recorder may be nil.
	Recorder Recorder
	// Loads may be nil.
	LoadObserver LoadObserver
	// Dialect translates to the headers of the upstreams. Nil stands for the product's own.
	Dialect forward.Dialect
	// WholeLimit is the longest answer that is read before any of it is passed on; see forward.Client.
	MaxBufferedBytes int64
	// NewBudget makes the retry budget of a service. Nil stands for the default budget.
	NewBudget func() *retry.Budget
	// Hosts returns the number of daemons that share the upstreams. Nil stands for one.
	HostCount func() int
	// NewLimit makes the limit of this daemon for one upstream. Nil stands for an adaptive limit.
	NewLimit func(service *document.Service) admission.Limit

	mu sync.Mutex
	// services is guarded by mu and built from document.
	services map[fleet.ServiceName]*service
	document *document.Document

	inProgress inProgress
}

// Run abandons attempts at servers that lost the partition of a repeatable request, until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	if r.OwnershipMap == nil {
		<-ctx.Done()
		return nil
	}
	for {
		changed := r.OwnershipMap.Changed()
		r.inProgress.superseded(r.OwnershipMap)
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// Do routes one request. The answer must be copied or closed. ctx ends when the caller goes away.
func (r *Router) Do(ctx context.Context, request *Request) Response {
	now := r.Clock.Now()
	p := &pending{router: r, request: request, caller: ctx, started: now}
	p.record = cause.Record{
		Request: request.ID, Host: r.Host.ID, Service: request.Service, Tenant: request.Tenant, Started: now,
	}
	p.service = r.service(request.Service)
	if p.service == nil {
		return p.refuse(refusal{outcome: cause.NotRun, cause: cause.NoSuchService})
	}
	p.record.ConfigVersion = p.service.version
	timeout := request.Timeout
	if timeout <= 0 {
		timeout = p.service.Timeout
	}
	p.deadline = now.Add(timeout)
	var cancel context.CancelFunc
	p.ctx, cancel = context.WithDeadline(ctx, p.deadline)
	p.cancel = cancel
	if p.service.Keyed() {
		if request.Key == "" {
			return p.refuse(refusal{outcome: cause.NotRun, cause: cause.MissingKey})
		}
		key, err := hash(p.service.Key, request.Key)
		if err != nil {
			return p.refuse(refusal{outcome: cause.NotRun, cause: cause.BadRequest})
		}
		p.key, p.record.Key, p.record.Keyed = key, key, true
	}
	if refused := p.claim(); refused != nil {
		return p.refuse(*refused)
	}
	return p.run()
}

// hash returns the hash by which the map knows a key: a numbered key stands for itself.
func hash(source document.KeySource, key string) (fleet.KeyHash, error) {
	if _, numbered := source.(document.KeyNumericHeader); !numbered {
		return fleet.HashKey(key), nil
	}
	number, err := fleet.ParseNumericKey(key)
	return fleet.KeyHash(number), err
}

// Reported takes in the load that an upstream reported at a time.
func (r *Router) RecordLoad(name fleet.ServiceName, id fleet.UpstreamID, load balance.Load, at time.Time) {
	if service := r.service(name); service != nil {
		service.pool.RecordLoad(at, id, load)
	}
}

// Leaving keeps an upstream of a service without keys out until a time, because another part of the daemon learned that it
// leaves. What an upstream says itself when it rejects a request is noticed without this.
func (r *Router) MarkLeaving(name fleet.ServiceName, id fleet.UpstreamID, until time.Time) {
	if service := r.service(name); service != nil {
		service.pool.MarkLeaving(until, id)
	}
}

// Close closes the idle connections to all upstreams.
func (r *Router) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, service := range r.services {
		for _, upstream := range service.upstreams {
			upstream.client.Close()
		}
	}
}

// service returns the state of a service under the current configuration, or nil.
func (r *Router) service(name fleet.ServiceName) *service {
	current := r.Config.Current()
	r.mu.Lock()
	defer r.mu.Unlock()
	if current != r.document {
		r.adopt(current)
	}
	return r.services[name]
}

// adopt builds the services of a new document and keeps the estimates of those that stay. The caller holds mu.
func (r *Router) adopt(current *document.Document) {
	before := r.services
	r.services = make(map[fleet.ServiceName]*service)
	r.document = current
	if current == nil {
		return
	}
	for i := range current.Services {
		name := current.Services[i].Name
		r.services[name] = r.renew(before[name], &current.Services[i], current)
	}
}
