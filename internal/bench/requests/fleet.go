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
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
	"rosemarywick.example/rosemarywick/internal/upstream/standin"
)

// ServiceSize is the number of workers of a service and their capacity. Slots and Connections are limits of each worker.
type ServiceSize struct {
	Workers, Slots, Connections int
	Keyed                       bool
	// ServiceTime is how long a request occupies a slot of a worker.
	ServiceTime time.Duration
}

// Capacity returns the number of requests that the workers can run per second.
func (s ServiceSize) Capacity() float64 {
	return float64(s.Workers*s.Slots) / s.ServiceTime.Seconds()
}

// String returns the label of the size in tables.
func (s ServiceSize) String() string {
	kind := "unkeyed"
	if s.Keyed {
		kind = "keyed"
	}
	return fmt.Sprintf("%s %d x %d slots, %d connections", kind, s.Workers, s.Slots, s.Connections)
}

// Fleet is the workers of one service and the router of each host, all in this process. It is also the configuration, the
// ownership map and the recorder of the routers.
type Fleet struct {
	Size     ServiceSize
	Document *document.Document
	Workers  []*standin.Worker
	Routers  []*router.Router

	changed chan struct{}
	cancel  context.CancelFunc
	// sent counts the requests that were sent to a worker, retries their further attempts.
	sent, retries atomic.Int64
}

// Record counts the retries of a request. For a request that was rejected without an attempt, it reverts the increment of sent.
func (f *Fleet) Record(record cause.Record) {
	f.retries.Add(int64(len(record.Attempts)) - 1)
	if len(record.Attempts) == 0 {
		f.sent.Add(-1)
		f.retries.Add(1)
	}
}

// MeanAttempts returns the mean number of attempts of the requests that were sent at least once.
func (f *Fleet) MeanAttempts() float64 {
	return 1 + float64(f.retries.Load())/float64(max(1, f.sent.Load()))
}

// requestTimeout is the timeout of each request.
const requestTimeout = 250 * time.Millisecond

// serviceName is the name of the service that all requests use.
const serviceName = "work"

// NewFleet starts the workers and one router for each of the given number of hosts. A nil limit selects the adaptive limit.
func NewFleet(ctx context.Context, size ServiceSize, hosts int, limit func(*document.Service) admission.Limit) (*Fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	result := &Fleet{Size: size, changed: make(chan struct{}), cancel: cancel}
	config := document.Service{
		Name: serviceName, Timeout: requestTimeout, LatencyTarget: time.Second, Slots: size.Slots, MaxConnections: size.Connections,
		QueueLimit: 64,
	}
	if size.Keyed {
		config.Key, config.Partitions, config.Guard = document.KeyHeader{Name: "Key"}, 4096, fleet.GuardFenced
	}
	for i := range size.Workers {
		worker := &standin.Worker{
			ID: fleet.UpstreamID(fmt.Sprintf("w-%02d", i)), Slots: size.Slots, QueueLimit: size.Slots, MaxConnections: size.Connections,
			ServiceTime: func(*http.Request) time.Duration { return size.ServiceTime },
		}
		if err := worker.Start(ctx); err != nil {
			result.Close()
			return nil, errors.Wrap(err, "requests: start worker")
		}
		result.Workers = append(result.Workers, worker)
		config.Upstreams = append(config.Upstreams, document.Upstream{ID: worker.ID, Address: worker.Address()})
	}
	result.Document = &document.Document{Services: []document.Service{config}}
	for i := range hosts {
		hostRouter := &router.Router{
			Host: fleet.Host{ID: fleet.HostID(fmt.Sprintf("host-%02d", i))}, Clock: timer.System{}, Config: result, OwnershipMap: result,
			HostCount: func() int { return hosts }, NewLimit: limit, Recorder: result,
		}
		go func() { _ = hostRouter.Run(ctx) }()
		result.Routers = append(result.Routers, hostRouter)
	}
	return result, nil
}

// Close stops the routers and the workers.
func (f *Fleet) Close() {
	f.cancel()
	for _, hostRouter := range f.Routers {
		hostRouter.Close()
	}
	for _, worker := range f.Workers {
		worker.Stop()
	}
}

// Current returns the configuration document of the fleet.
func (f *Fleet) Current() *document.Document { return f.Document }

// Locate returns the owner of a key, which never changes.
func (f *Fleet) Locate(_ fleet.ServiceName, key fleet.KeyHash) (fleet.Assignment, bool) {
	partition := key.Partition(4096)
	owner := f.Workers[int(partition)%len(f.Workers)].ID
	return fleet.Assignment{Partition: partition, Owner: owner, Fence: fleet.Fence{Epoch: 1, Counter: 1}}, true
}

// Changed returns a channel that is never closed, since the ownership map is fixed.
func (f *Fleet) Changed() <-chan struct{} { return f.changed }

// Send sends one request through the router of a host and reads the whole response.
func (f *Fleet) Send(ctx context.Context, host, number int, delivery document.Delivery) Outcome {
	f.sent.Add(1) // Record reverts this if the request is rejected without an attempt
	response := f.Routers[host].Do(ctx, &router.Request{
		ID: fleet.RequestID(fmt.Sprint(number)), Service: serviceName, Key: fmt.Sprint(number), Delivery: delivery,
		Method: http.MethodPost, Target: "/", Body: forward.Body{[]byte("x")},
	})
	switch response := response.(type) {
	case *router.UpstreamResponse:
		if response.Copy(io.Discard) == nil {
			return Served
		}
	case router.Rejected:
		if response.Cause == cause.RetryBudget || response.Cause == cause.UpstreamRefused {
			return Shed
		}
		if response.Outcome == cause.NotRun {
			return Rejected
		}
	}
	return Failed
}

// Get fetches a URL and reads the whole response. The key is sent as a header, which only keyed services use.
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
