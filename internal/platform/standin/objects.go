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
	// content is guarded by mu.
	content map[string][]byte
}

var _ objects.Store = (*Objects)(nil)

// NewObjects returns an empty object store.
func NewObjects(clock timer.Clock) *Objects {
	return &Objects{clock: clock, content: make(map[string][]byte)}
}

// Put stores an object under a name, in place of an older one of that name.
func (o *Objects) Put(ctx context.Context, name string, content []byte) error {
	return o.call(ctx, func() { o.content[name] = slices.Clone(content) })
}

// Get returns the content of an object, or ErrNotFound.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	var content []byte
	var found bool
	if err := o.call(ctx, func() { content, found = o.content[name] }); err != nil {
		return nil, err
	}
	if !found {
		return nil, objects.ErrNotFound
	}
	return slices.Clone(content), nil
}

// List returns the names that begin with prefix, in their order.
func (o *Objects) List(ctx context.Context, prefix string) ([]string, error) {
	var names []string
	err := o.call(ctx, func() {
		for name := range o.content {
			if strings.HasPrefix(name, prefix) {
				names = append(names, name)
			}
		}
	})
	slices.Sort(names)
	return names, err
}

// Delete removes an object. Removing one that does not exist is no error.
func (o *Objects) Delete(ctx context.Context, name string) error {
	return o.call(ctx, func() { delete(o.content, name) })
}

func (o *Objects) call(ctx context.Context, effect func()) error {
	half, err := o.admit(ctx)
	if err == nil {
		err = wait(ctx, o.clock, half)
	}
	if err != nil {
		return errors.Wrapf(objects.ErrUnavailable, "standin: %v", err)
	}
	o.mu.Lock()
	effect()
	o.mu.Unlock()
	if err := wait(ctx, o.clock, half); err != nil {
		return errors.Wrapf(objects.ErrUnavailable, "standin: %v", err)
	}
	return nil
}
