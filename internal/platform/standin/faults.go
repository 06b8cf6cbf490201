// Package standin holds small in-memory fakes of the platform's table, object store and host list, with faults that a
// test or a development fleet switches on and off, and an HTTP handler that serves all three on one address. The
// fakes keep nothing beyond the life of the process.
package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// Outage says how a service fails.
type Outage string

const (
	// OutageNone means that the service works.
	OutageNone Outage = "none"
	// OutageRefused means that the service rejects each request at once.
	OutageRefused Outage = "refused"
	// OutageSilent means that requests are neither run nor answered until the outage ends.
	OutageSilent Outage = "silent"
)

var errRefused = errors.New("standin: service refuses requests")

// faults holds the faults that the three services have in common.
type faults struct {
	mu sync.Mutex
	// latency and outage are guarded by mu.
	latency time.Duration
	outage  Outage
	// changed is guarded by mu and closed when the outage changes.
	changed chan struct{}
}

// SetLatency sets how long each request takes; a long one makes the service slow.
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

// admit waits until the service takes a request, and returns half of the latency, which the caller waits out before
// and after the effect of the request.
func (f *faults) admit(ctx context.Context) (time.Duration, error) {
	for {
		latency, outage, changed := f.state()
		switch outage {
		case OutageRefused:
			return 0, errRefused
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

func (f *faults) state() (time.Duration, Outage, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.latency, f.outage, f.changed
}

func wait(ctx context.Context, clock timer.Clock, delay time.Duration) error {
	if delay <= 0 {
		return nil
	}
	return timer.Wait(ctx, clock, delay)
}
