package requests

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/routing/admission"
	"rosemarywick.example/rosemarywick/internal/routing/router"
	"rosemarywick.example/rosemarywick/internal/upstream/standin"
)

// Shape is the size of a service and of its workers.
type ServiceSize struct {
	Workers, Slots, Connections int
	Keyed                       bool
	// Work is how long a request occupies a slot.
	ServiceTime time.Duration
}

// Capacity returns the requests that the workers can run in a second.
func (s ServiceSize) Capacity() float64 {
	return float64(s.Workers*s.Slots) / s.ServiceTime.Seconds()
}

// String names the shape.
func (s ServiceSize) String() string {
	kind := "unkeyed"
	if s.Keyed {
		kind = "keyed"
	}
	return fmt.Sprintf("%s %d x %d slots, %d connections", kind, s.Workers, s.Slots, s.Connections)
}

// Fleet is a set of workers and of daemons' request paths in this process.
type Fleet struct {
	Size     ServiceSize
	Document *document.Document
	Workers  []*standin.Worker
	Routers  []*router.Router

	changed chan struct{}
	cancel  context.CancelFunc
	// sent and repeated count the requests that were sent and their further sendings.
	sent, retries atomic.Int64
}

// Record counts the sendings of one request beyond the first, or takes back one that was never sent.
func (f *Fleet) Record(record cause.Record) {
	f.retries.Add(int64(len(record.Attempts)) - 1)
	if len(record.Attempts) == 0 {
		f.sent.Add(-1)
		f.retries.Add(1)
	}
}

// Attempts returns the sendings as a multiple of the requests that were sent at all.
func (f *Fleet) AttemptsPerRequest() float64 {
	return 1 + float64(f.retries.Load())/float64(max(1, f.sent.Load()))
}

// deadline is the timeout of the requests in the measurements.
const requestTimeout = 250 * time.Millisecond

// service is the name of the measured service.
const serviceName = "work"

// NewFleet starts workers and hosts routers. limit is nil for the adaptive limit.
func NewFleet(ctx context.Context, shape ServiceSize, hosts int, limit func(*document.Service) admission.Limit) (*Fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	result := &Fleet{Size: shape, changed: make(chan struct{}), cancel: cancel}
	declared := document.Service{
		Name: serviceName, Timeout: requestTimeout, LatencyTarget: time.Second, Slots: shape.Slots, MaxConnections: shape.Connections,
		QueueLimit: 64,
	}
	if shape.Keyed {
		declared.Key, declared.Partitions, declared.Guard = document.KeyHeader{Name: "Key"}, 4096, fleet.GuardFenced
	}
	for i := range shape.Workers {
		worker := &standin.Worker{
			ID: fleet.UpstreamID(fmt.Sprintf("w-%02d", i)), Slots: shape.Slots, QueueLimit: shape.Slots, MaxConnections: shape.Connections,
			ServiceTime: func(*http.Request) time.Duration { return shape.ServiceTime },
		}
		if err := worker.Start(ctx); err != nil {
			result.Close()
			return nil, errors.Wrap(err, "requests: start worker")
		}
		result.Workers = append(result.Workers, worker)
		declared.Upstreams = append(declared.Upstreams, document.Upstream{ID: worker.ID, Address: worker.Address()})
	}
	result.Document = &document.Document{Services: []document.Service{declared}}
	for i := range hosts {
		path := &router.Router{
			Host: fleet.Host{ID: fleet.HostID(fmt.Sprintf("host-%02d", i))}, Clock: timer.System{}, Config: result, OwnershipMap: result,
			HostCount: func() int { return hosts }, NewLimit: limit, Recorder: result,
		}
		go func() { _ = path.Run(ctx) }()
		result.Routers = append(result.Routers, path)
	}
	return result, nil
}

// Close stops the fleet.
func (f *Fleet) Close() {
	f.cancel()
	for _, path := range f.Routers {
		path.Close()
	}
	for _, worker := range f.Workers {
		worker.Stop()
	}
}

// Current returns the document of the fleet.
func (f *Fleet) Current() *document.Document { return f.Document }

// Locate returns the fixed owner of a key.
func (f *Fleet) Locate(_ fleet.ServiceName, key fleet.KeyHash) (fleet.Assignment, bool) {
	partition := key.Partition(4096)
	owner := f.Workers[int(partition)%len(f.Workers)].ID
	return fleet.Assignment{Partition: partition, Owner: owner, Fence: fleet.Fence{Epoch: 1, Counter: 1}}, true
}

// Changed returns a channel that is never closed, since the map of a measurement is fixed.
func (f *Fleet) Changed() <-chan struct{} { return f.changed }

// Send sends one request through the router of a host.
func (f *Fleet) Send(ctx context.Context, host, number int, delivery document.Delivery) Outcome {
	f.sent.Add(1) // Record takes it back if the request is rejected before it is sent
	answer := f.Routers[host].Do(ctx, &router.Request{
		ID: fleet.RequestID(fmt.Sprint(number)), Service: serviceName, Key: fmt.Sprint(number), Delivery: delivery,
		Method: http.MethodPost, Target: "/", Body: []byte("x"),
	})
	switch answer := answer.(type) {
	case *router.UpstreamResponse:
		if answer.Copy(io.Discard) == nil {
			return Served
		}
	case router.Rejected:
		if answer.Cause == cause.RetryBudget || answer.Cause == cause.UpstreamRefused {
			return Shed
		}
		if answer.Outcome == cause.NotRun {
			return Rejected
		}
	}
	return Failed
}

// Get fetches a URL and reads the whole answer. The key serves a keyed service.
func Get(ctx context.Context, client *http.Client, url, key string) Outcome {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Failed
	}
	request.Header.Set("Key", key)
	response, err := client.Do(request)
	if err != nil {
		return Failed
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return Failed
	}
	switch response.StatusCode {
	case http.StatusOK:
		return Served
	case http.StatusServiceUnavailable:
		return Rejected
	}
	return Failed
}

// url returns the base URL of an address.
func url(address netip.AddrPort) string {
	return "http://" + address.String()
}
