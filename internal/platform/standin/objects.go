package standin

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/platform/objects"
)

// Objects is a fake of the object store.
type Objects struct {
	faults

	clock timer.Clock

	mu sync.Mutex
	// contents is guarded by mu and maps names to contents.
	contents map[string][]byte
}

var _ objects.Store = (*Objects)(nil)

// NewObjects returns an empty object store.
func NewObjects(clock timer.Clock) *Objects {
	return &Objects{clock: clock, contents: make(map[string][]byte)}
}

// Put stores an object under a name and replaces an existing one.
func (o *Objects) Put(ctx context.Context, name string, content []byte) error {
	return o.do(ctx, func() { o.contents[name] = slices.Clone(content) })
}

// Get returns the content of an object, or ErrNotFound.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	var content []byte
	var found bool
	if err := o.do(ctx, func() { content, found = o.contents[name] }); err != nil {
		return nil, err
	}
	if !found {
		return nil, objects.ErrNotFound
	}
	return slices.Clone(content), nil
}

// List returns the names that begin with prefix, sorted.
func (o *Objects) List(ctx context.Context, prefix string) ([]string, error) {
	var names []string
	err := o.do(ctx, func() {
		for name := range o.contents {
			if strings.HasPrefix(name, prefix) {
				names = append(names, name)
			}
		}
	})
	slices.Sort(names)
	return names, err
}

// Delete removes an object. It returns no error if the object does not exist.
func (o *Objects) Delete(ctx context.Context, name string) error {
	return o.do(ctx, func() { delete(o.contents, name) })
}

// do applies the effect of a request with the latency and the faults of the store. It holds mu while effect runs.
func (o *Objects) do(ctx context.Context, effect func()) error {
	halfLatency, err := o.admit(ctx)
	if err == nil {
		err = wait(ctx, o.clock, halfLatency)
	}
	if err != nil {
		return errors.Wrapf(objects.ErrUnavailable, "standin: %v", err)
	}
	o.mu.Lock()
	effect()
	o.mu.Unlock()
	if err := wait(ctx, o.clock, halfLatency); err != nil {
		return errors.Wrapf(objects.ErrUnavailable, "standin: %v", err)
	}
	return nil
}
