// Package router takes one request from its caller to an upstream and its response back: it looks up the owner or selects
// an upstream, waits for admission, sends the request, decides whether to retry, and records every decision. All front ends
// use it, so that callers get the same behavior from each of them.
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
	"rosemarywick.example/rosemarywick/internal/routing/ratelimit"
	"rosemarywick.example/rosemarywick/internal/routing/retry"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
	"rosemarywick.example/rosemarywick/internal/upstream/notices"
)

// OwnershipMap is this daemon's copy of the maps that assign the keys of keyed services to servers.
type OwnershipMap interface {
	// Locate returns the current assignment of a key. It returns false if the service has no map yet.
	Locate(service fleet.ServiceName, key fleet.KeyHash) (fleet.Assignment, bool)
	// Changed returns a channel that is closed at the next change of any map.
	Changed() <-chan struct{}
}

// MapConfirmations tells how long the ownership map may be used for servers that don't check fencing tokens.
type MapConfirmations interface {
	// ConfirmedUntil returns the time until which the assigner has confirmed the map of a service.
	ConfirmedUntil(service fleet.ServiceName) time.Time
}

// Configuration provides the configuration in force.
type Configuration interface {
	// Current returns the current document, which is immutable. It is nil until the first document is known.
	Current() *document.Document
}

// Claims ensures that a request with an idempotency key runs at most once.
type Claims interface {
	// Claim claims the key for a request, or returns why the request must not be sent.
	Claim(ctx context.Context, key idempotency.Key, request fleet.RequestID) idempotency.ClaimResult
	// Finish records the result of a request that holds a claim. It does not wait for the table service.
	Finish(key idempotency.Key, result idempotency.RequestResult)
}

// LoadObserver is told of keyed requests: when each arrives, and where it was served and how long that took. The load of keys and
// the speed of servers are derived from that.
type LoadObserver interface {
	// Arrived is told of each request once, before it has an owner, so that keys whose owner is full count with all their load.
	Arrived(service fleet.ServiceName, key fleet.KeyHash)
	Served(service fleet.ServiceName, server fleet.UpstreamID, key fleet.KeyHash, took time.Duration)
	// Limited is told of a request that was not sent, because its server limits the requests that it takes.
	Limited(service fleet.ServiceName, server fleet.UpstreamID, key fleet.KeyHash)
	// ServedUnkeyed is told of a request of a service without keys that an upstream answered.
	ServedUnkeyed(service fleet.ServiceName, upstream fleet.UpstreamID, took time.Duration)
	// Rejected is told of a request that its owner refused because it was full.
	Rejected(service fleet.ServiceName, server fleet.UpstreamID)
}

// Recorder receives the record of each request that has ended.
type Recorder interface {
	Record(record cause.Record)
}

// Router routes requests to upstreams. The exported fields must be set before Run, and Run must be running while Do is
// called.
type Router struct {
	Host   fleet.Host
	Clock  timer.Clock
	Config Configuration
	// OwnershipMap may be nil if no service has keys.
	OwnershipMap OwnershipMap
	// OnStaleMap is called when a request finds that an entry of the ownership map is out of date or being changed. It may
	// be nil and must not block.
	OnStaleMap func()
	// MapConfirmations may be nil if no keyed service has the guard "none". Requests to such a service are rejected if it
	// is nil.
	MapConfirmations MapConfirmations
	// Claims may be nil. Requests with an idempotency key for an at-most-once route are rejected in that case.
	Claims Claims
	// Recorder may be nil.
	Recorder Recorder
	// LoadObserver may be nil.
	LoadObserver LoadObserver
	// Notices holds what upstreams state about themselves, and RateLimits admits requests to those that have named a limit. Either
	// may be nil; limits are not regarded then.
	Notices    *notices.Book
	RateLimits RateLimits
	// StatedAllowance is what counts as obeying a limit that an upstream names, and ColdAllowance the limit of a cold one. The zero
	// ColdAllowance means that cold upstreams are not limited.
	StatedAllowance, ColdAllowance ratelimit.Allowance
	// Probe asks an upstream for its health. It is used instead of a request to try an unreachable upstream that may be cold. Nil
	// means that requests are used.
	Probe func(ctx context.Context, upstream document.Upstream) bool
	// HoldFull makes daemons send nothing for a time to a keyed server that is full. On the two deployments of
	// docs/measurements.md it refuses more than it saves, so the entry daemon leaves it off.
	HoldFull bool
	// OnConnectionEvent is called with changes in how connections to an upstream are used. It may be nil and must not block.
	OnConnectionEvent func(fleet.ServiceName, fleet.UpstreamID, forward.Event)
	// OnAdmissionEvent is called with what the queue of a server notices. It may be nil and must not block.
	OnAdmissionEvent func(fleet.ServiceName, fleet.UpstreamID, admission.Event)
	// Dialect translates requests and responses to the headers that the upstreams use. Nil selects the headers of this
	// product.
	Dialect forward.Dialect
	// BufferLimit is the size in bytes up to which a response is read completely before any of it is passed on; see
	// forward.Client.
	BufferLimit int64
	// NewBudget creates the retry budget of a service. Nil selects the default budget.
	NewBudget func() *retry.Budget
	// HostCount returns the number of daemons that share the upstreams. Nil means one.
	HostCount func() int
	// NewLimit creates this daemon's concurrency limit for one upstream. Nil selects an adaptive limit.
	NewLimit func(service *document.Service) admission.Limit

	mu sync.Mutex
	// services is guarded by mu and built from document, which is guarded by mu too.
	services map[fleet.ServiceName]*serviceState
	document *document.Document

	// acceptUntil and endBy are guarded by mu and set by Stop, and zero before. acceptUntil is not after endBy.
	acceptUntil, endBy time.Time

	endOnce sync.Once
	// ended is a context that ends at endBy. endOnce creates it; see lifetime.
	ended context.Context
	end   context.CancelFunc

	attempts attemptTracker

	// trialSignal wakes RunTrials. trialOnce creates it; see trialWake.
	trialOnce   sync.Once
	trialSignal chan struct{}
}

// Stop makes every request end by a time, because the daemon stops then. Requests that are not expected to end by then are
// refused before they are sent; one that is at an upstream at that time ends with an unknown outcome. What arrives after
// acceptUntil, and what must not be repeated and has not been sent by then, is refused unless its own deadline ends it in time:
// an expectation is not enough for those.
func (r *Router) Stop(acceptUntil, endBy time.Time) {
	ended := r.lifetime()
	r.mu.Lock()
	r.acceptUntil, r.endBy = acceptUntil, endBy
	for _, service := range r.services {
		service.setStop(acceptUntil, endBy)
	}
	r.mu.Unlock()
	timeout := r.Clock.After(endBy.Sub(r.Clock.Now()))
	go func() {
		defer timeout.Stop()
		select {
		case <-timeout.C:
			r.end()
		case <-ended.Done():
		}
	}()
}

// lifetime returns a context that ends with the time set by Stop, or with Close.
func (r *Router) lifetime() context.Context {
	r.endOnce.Do(func() { r.ended, r.end = context.WithCancel(context.Background()) })
	return r.ended
}

// Run cancels attempts that a newer ownership map has superseded, until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	if r.OwnershipMap == nil {
		<-ctx.Done()
		return nil
	}
	for {
		changed := r.OwnershipMap.Changed()
		r.attempts.cancelSuperseded(r.OwnershipMap)
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// Do routes one request. The caller must copy or close an UpstreamResponse. ctx ends when the caller disconnects.
func (r *Router) Do(ctx context.Context, request *Request) Response {
	now := r.Clock.Now()
	p := &pendingRequest{router: r, request: request, callerCtx: ctx, started: now}
	p.record = cause.Record{
		Request: request.ID, Host: r.Host.ID, Service: request.Service, Tenant: request.Tenant, Started: now,
	}
	p.service = r.currentService(request.Service)
	if p.service == nil {
		return p.reject(rejection{outcome: cause.NotRun, cause: cause.NoSuchService})
	}
	p.record.ConfigVersion = p.service.version
	timeout := request.Timeout
	if timeout <= 0 {
		timeout = p.service.Timeout
	}
	var arrivedLate bool
	p.deadline, p.endsWithStop, arrivedLate = r.capDeadline(now, now.Add(timeout))
	if arrivedLate && p.endsWithStop {
		return p.reject(rejection{outcome: cause.NotRun, cause: cause.DaemonStopping, retryAfter: admission.StoppingRetryAfter})
	}
	var cancel context.CancelFunc
	p.ctx, cancel = context.WithDeadline(ctx, p.deadline)
	detach := context.AfterFunc(r.lifetime(), cancel)
	p.cancel = func() { detach(); cancel() }
	if p.service.Keyed() {
		if request.Key == "" {
			return p.reject(rejection{outcome: cause.NotRun, cause: cause.MissingKey})
		}
		key, err := hashKey(p.service.Key, request.Key)
		if err != nil {
			return p.reject(rejection{outcome: cause.NotRun, cause: cause.BadRequest})
		}
		p.key, p.record.Key, p.record.Keyed = key, key, true
		if r.LoadObserver != nil {
			r.LoadObserver.Arrived(request.Service, key)
		}
	}
	if rejected := p.claimIdempotencyKey(); rejected != nil {
		return p.reject(*rejected)
	}
	return p.runAttempts()
}

// capDeadline returns the deadline of a request that arrives now, or the end set by Stop if that is earlier, and whether it is.
// arrivedLate is set if requests are no longer accepted.
func (r *Router) capDeadline(now, deadline time.Time) (capped time.Time, endsWithStop, arrivedLate bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.endBy.IsZero() {
		return deadline, false, false
	}
	arrivedLate = now.After(r.acceptUntil)
	if r.endBy.Before(deadline) {
		return r.endBy, true, arrivedLate
	}
	return deadline, false, arrivedLate
}

// hashKey returns the hash under which the ownership map knows a key. A numeric key is its own hash.
func hashKey(source document.KeySource, key string) (fleet.KeyHash, error) {
	if _, numeric := source.(document.KeyNumericHeader); !numeric {
		return fleet.HashKey(key), nil
	}
	number, err := fleet.ParseNumericKey(key)
	return fleet.KeyHash(number), err
}

// RecordLoad records the load that an upstream reported at a time. One that came with the response to a request is recorded
// before the request ends.
func (r *Router) RecordLoad(name fleet.ServiceName, id fleet.UpstreamID, load balance.Load, at time.Time) {
	if service := r.currentService(name); service != nil {
		service.pool.RecordLoad(at, id, load)
		service.recordServerLoad(at, id, load)
	}
}

// MarkLeaving excludes an upstream of a service without keys until a time, because another part of the daemon learned that
// it is shutting down. The router itself notices when an upstream rejects a request for that reason.
func (r *Router) MarkLeaving(name fleet.ServiceName, id fleet.UpstreamID, until time.Time) {
	if service := r.currentService(name); service != nil {
		service.pool.MarkLeaving(until, id)
	}
}

// Close closes the idle connections to all upstreams and ends the requests that are left.
func (r *Router) Close() {
	r.lifetime()
	r.end()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, service := range r.services {
		for _, upstream := range service.upstreams {
			upstream.client.Close()
		}
	}
}

// currentService returns the state of a service under the current configuration, or nil if the service is not declared.
func (r *Router) currentService(name fleet.ServiceName) *serviceState {
	current := r.Config.Current()
	r.mu.Lock()
	defer r.mu.Unlock()
	if current != r.document {
		r.rebuildServices(current)
	}
	return r.services[name]
}

// rebuildServices builds the states of the services of a new document, and keeps the runtime state of those that are still
// declared. The caller must hold mu.
func (r *Router) rebuildServices(current *document.Document) {
	previous := r.services
	r.services = make(map[fleet.ServiceName]*serviceState)
	r.document = current
	if current == nil {
		return
	}
	present := make(map[fleet.UpstreamID]fleet.Incarnation)
	for i := range current.Services {
		name := current.Services[i].Name
		r.services[name] = r.buildService(previous[name], &current.Services[i], current)
		for _, upstream := range current.Services[i].Upstreams {
			present[upstream.ID] = upstream.Incarnation
		}
	}
	if r.Notices != nil {
		r.Notices.Retain(present)
	}
}
