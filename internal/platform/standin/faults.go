// Package standin has in-memory fakes of the platform's table, object store and host list, with faults that a test or a
// development fleet can inject, and an HTTP handler that serves all three on one address. The fakes store nothing on disk.
package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// Outage is the way in which a service is unavailable.
type Outage string

const (
	// OutageNone means that the service works.
	OutageNone Outage = "none"
	// OutageRefused means that the service rejects each request at once.
	OutageRefused Outage = "refused"
	// OutageSilent means that requests are neither processed nor responded to until the outage ends.
	OutageSilent Outage = "silent"
)

var errRejected = errors.New("standin: service rejects requests")

// faults injects the faults that all three services have. The zero value has none.
type faults struct {
	mu sync.Mutex
	// latency and outage are guarded by mu.
	latency time.Duration
	outage  Outage
	// changed is guarded by mu. It is closed and set to nil when the outage changes.
	changed chan struct{}
}

// SetLatency sets how long each request takes.
func (f *faults) SetLatency(latency time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latency = latency
}

// SetOutage starts or ends an outage.
func (f *faults) SetOutage(outage Outage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage = outage
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// admit waits until the service accepts a request. It returns half of the latency; the caller waits for this time both before
// and after the request takes effect.
func (f *faults) admit(ctx context.Context) (time.Duration, error) {
	for {
		latency, outage, changed := f.state()
		switch outage {
		case OutageRefused:
			return 0, errRejected
		case OutageSilent:
			select {
			case <-changed:
			case <-ctx.Done():
				return 0, context.Cause(ctx)
			}
		case OutageNone, "":
			return latency / 2, nil
		}
	}
}

// state returns the faults in force and a channel that is closed when the outage changes.
func (f *faults) state() (time.Duration, Outage, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.latency, f.outage, f.changed
}

// wait waits for a delay, or returns an error if ctx ends first.
func wait(ctx context.Context, clock timer.Clock, delay time.Duration) error {
	if delay <= 0 {
		return nil
	}
	return timer.Wait(ctx, clock, delay)
}
