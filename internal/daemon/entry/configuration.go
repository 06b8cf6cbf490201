package entry

import (
	"context"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/platform/table"
	"rosemarywick.example/rosemarywick/internal/upstream/registry"
)

// configuration builds the document in force from the operators' configuration and the registered upstreams.
type configuration struct {
	log      zerolog.Logger
	decode   func([]byte) (*document.Document, error)
	rowName  string
	registry *registry.Registry
	// onAdopted is called, with mu held, with each configuration of the operators that comes into force.
	onAdopted func(*document.Document)

	mu sync.Mutex
	// declared is guarded by mu: the operators' newest configuration, without upstreams. Its version never decreases.
	declared *document.Document
	// current is guarded by mu: declared combined with the registered upstreams, or nil before the first configuration.
	current *document.Document
	// changed is guarded by mu and closed at the next change.
	changed chan struct{}
}

// Current returns the document in force, or nil.
func (c *configuration) Current() *document.Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// Changed returns a channel that is closed at the next change.
func (c *configuration) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// applyRows adopts the newest configuration among changed rows of the operators' table. Rows that cannot be decoded, deleted
// rows and rows of other names are skipped.
func (c *configuration) applyRows(rows []table.Row) {
	for _, row := range slices.Backward(rows) {
		if row.Name != c.rowName || row.Value == nil {
			continue
		}
		next, err := c.decode(row.Value)
		if err != nil {
			c.log.Error().Err(err).Uint64("row", uint64(row.Version)).Msg("configuration cannot be read; the last one stays in force")
			continue
		}
		c.adopt(next)
		return
	}
}

// adopt puts a configuration into force unless the one in force has the same or a higher version.
func (c *configuration) adopt(next *document.Document) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.declared != nil && next.Version <= c.declared.Version {
		if next.Version < c.declared.Version {
			c.log.Warn().Uint64("version", next.Version).Uint64("in-force", c.declared.Version).Msg("older configuration ignored")
		}
		return
	}
	c.log.Info().Uint64("version", next.Version).Int("services", len(next.Services)).Int("entries", len(next.Entries)).
		Msg("configuration adopted")
	c.declared = next
	c.onAdopted(next)
	c.rebuild()
}

// follow rebuilds the document at each change of the registered upstreams, until ctx ends.
func (c *configuration) follow(ctx context.Context) error {
	for {
		changed := c.registry.Changed()
		c.mu.Lock()
		c.rebuild()
		c.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// rebuild makes the document in force from declared and the registered upstreams, and signals the change. A service gets
// the highest number of slots that one of its upstreams registered. The caller holds mu.
func (c *configuration) rebuild() {
	if c.declared == nil {
		return
	}
	next := *c.declared
	next.Services = append([]document.Service(nil), c.declared.Services...)
	upstreams := c.registry.Upstreams()
	for i := range next.Services {
		service := &next.Services[i]
		service.Upstreams = upstreams[service.Name]
		for _, upstream := range service.Upstreams {
			service.Slots = max(service.Slots, upstream.Slots)
		}
	}
	c.current = &next
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}
