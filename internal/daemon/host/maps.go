package host

import (
	"context"
	"fmt"
	stdmaps "maps"
	"slices"
	"strings"
	"sync"

	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/observe/metrics"
	"rosemarywick.example/rosemarywick/internal/ownership/keymap"
	"rosemarywick.example/rosemarywick/internal/peer/gossip"
)

// mapPrefix is the prefix of the gossip items that carry the chunks of ownership maps: "map/SERVICE/CHUNK".
const mapPrefix = "map/"

// chunkName identifies one chunk of a service's ownership map.
type chunkName struct {
	service fleet.ServiceName
	index   int
}

// ownershipMaps holds the ownership maps of all keyed services. It merges the assignments that this daemon's assigners and its
// peers publish, and publishes the chunks that its own assigners changed.
type ownershipMaps struct {
	daemon  *Daemon
	log     zerolog.Logger
	metrics *metrics.Metrics

	mu sync.RWMutex
	// current is guarded by mu; its maps are immutable.
	current map[fleet.ServiceName]*keymap.Map
	// changed is guarded by mu; it is closed and replaced when a map changes.
	changed chan struct{}
	// dirty is guarded by mu: the chunks that publish has yet to send.
	dirty map[chunkName]struct{}
	// wake tells publish that dirty is not empty.
	wake chan struct{}
	// published counts the published chunks. Only publish uses it.
	published uint64
}

func newOwnershipMaps(d *Daemon) *ownershipMaps {
	return &ownershipMaps{
		daemon: d, log: d.Log, metrics: metrics.New(d.Timer),
		current: make(map[fleet.ServiceName]*keymap.Map), changed: make(chan struct{}),
		dirty: make(map[chunkName]struct{}), wake: make(chan struct{}, 1),
	}
}

// configure creates an empty map for each keyed service that has none.
func (m *ownershipMaps) configure(doc *document.Document) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range doc.Services {
		service := &doc.Services[i]
		if service.Keyed() && m.current[service.Name] == nil {
			m.current[service.Name] = keymap.New(service.Partitions)
		}
	}
}

// Locate returns the assignment of a key, or false if the service has no map. For an unguarded service, whose servers do not
// check ownership, it uses only a confirmed map.
func (m *ownershipMaps) Locate(service fleet.ServiceName, key fleet.KeyHash) (fleet.Assignment, bool) {
	if runner := m.daemon.unguardedServices.runnerOf(service); runner != nil {
		assignment, _, confirmed := runner.Locate(key)
		return assignment, confirmed
	}
	current := m.get(service)
	if current == nil {
		return fleet.Assignment{}, false
	}
	return current.Locate(key), true
}

// get returns the current map of a service, or nil.
func (m *ownershipMaps) get(service fleet.ServiceName) *keymap.Map {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.current[service]
}

// services returns the keyed services in the order of their names.
func (m *ownershipMaps) services() []fleet.ServiceName {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.Sorted(stdmaps.Keys(m.current))
}

// Changed returns a channel that is closed at the next change of any map.
func (m *ownershipMaps) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// Publish merges assignments of this daemon's assigner for a service, and schedules the changed chunks for publication.
func (m *ownershipMaps) Publish(service fleet.ServiceName, assignments []fleet.Assignment) {
	applied := m.merge(service, assignments)
	if len(applied) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, assignment := range applied {
		m.dirty[chunkName{service: service, index: m.chunkIndex(service, assignment)}] = struct{}{}
	}
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// chunkIndex returns the chunk of an assignment. The hot keys are in the chunk after those of the hash ranges. The caller
// holds mu.
func (m *ownershipMaps) chunkIndex(service fleet.ServiceName, assignment fleet.Assignment) int {
	if assignment.Key != 0 {
		return m.current[service].Chunks()
	}
	return int(assignment.Partition) / keymap.ChunkSize
}

// merge applies newer assignments to a map and returns those that were applied.
func (m *ownershipMaps) merge(service fleet.ServiceName, assignments []fleet.Assignment) []fleet.Assignment {
	m.mu.Lock()
	defer m.mu.Unlock()
	next, applied := m.current[service].Merge(assignments)
	if len(applied) == 0 {
		return nil
	}
	m.current[service] = next
	close(m.changed)
	m.changed = make(chan struct{})
	for _, assignment := range applied {
		if assignment.Key != 0 && assignment.Owner == "" {
			// The hot-key entry was removed. The owner of its hash range serves the key, so it is not without an owner.
			m.metrics.ForgetPartition(service, assignment.Partition)
			continue
		}
		m.metrics.ObserveAssignment(service, assignment)
	}
	return applied
}

// publish sends the chunks that this daemon's assigners changed to the peers, until ctx ends.
func (m *ownershipMaps) publish(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.wake:
		}
		for name, assignments := range m.takeDirty() {
			m.publishChunk(name, assignments)
		}
	}
}

// takeDirty returns the assignments of the dirty chunks and marks them as clean.
func (m *ownershipMaps) takeDirty() map[chunkName][]fleet.Assignment {
	m.mu.Lock()
	defer m.mu.Unlock()
	chunks := make(map[chunkName][]fleet.Assignment, len(m.dirty))
	for name := range m.dirty {
		current := m.current[name.service]
		if name.index < current.Chunks() {
			chunks[name] = current.Chunk(name.index)
		} else {
			chunks[name] = current.HotKeys()
		}
	}
	clear(m.dirty)
	return chunks
}

// publishChunk sends one chunk to the peers. Its version is the epoch in which this daemon last acted as assigner, and a counter.
// The highest fence of a chunk would not order its versions, because grants are not confirmed in the order of their fences.
func (m *ownershipMaps) publishChunk(name chunkName, assignments []fleet.Assignment) {
	value, highest, err := keymap.EncodeChunk(name.index, assignments)
	if err != nil {
		m.log.Error().Err(err).Str("service", string(name.service)).Msg("encode map chunk: not publishing it")
		return
	}
	m.published++
	item := gossip.Item{
		Name:    fmt.Sprintf("%s%s/%d", mapPrefix, name.service, name.index),
		Version: gossip.Version{Major: uint64(max(m.daemon.assigners.lastEpoch(name.service), highest.Epoch)), Minor: m.published},
		Value:   value,
	}
	if _, err := m.daemon.peers.gossip.Publish(item); err != nil {
		m.log.Error().Err(err).Str("item", item.Name).Msg("publish map chunk to peers: not retried until it changes")
	}
}

// followPeers merges the map chunks that peers publish, until ctx ends.
func (m *ownershipMaps) followPeers(ctx context.Context) error {
	watch := m.daemon.peers.gossip.Watch(mapPrefix)
	defer watch.Stop()
	for {
		item, err := watch.Next(ctx)
		if err != nil {
			return err
		}
		m.mergeItem(item)
	}
}

// mergeItem decodes and merges a map chunk.
func (m *ownershipMaps) mergeItem(item gossip.Item) {
	service, _, _ := strings.Cut(strings.TrimPrefix(item.Name, mapPrefix), "/")
	_, assignments, err := keymap.DecodeChunk(item.Value)
	if err != nil {
		m.log.Warn().Err(err).Str("item", item.Name).Msg("decode map chunk of peer: ignoring it")
		return
	}
	m.merge(fleet.ServiceName(service), assignments)
}

// mergeStored merges the chunks that arrived before their service was configured.
func (m *ownershipMaps) mergeStored(doc *document.Document) {
	for i := range doc.Services {
		service := &doc.Services[i]
		if !service.Keyed() {
			continue
		}
		for index := range m.get(service.Name).Chunks() + 1 {
			if item, found := m.daemon.peers.gossip.Get(fmt.Sprintf("%s%s/%d", mapPrefix, service.Name, index)); found {
				m.mergeItem(item)
			}
		}
	}
}

// allOwned reports whether there is a keyed service and every partition of every keyed service has an owner.
func (m *ownershipMaps) allOwned() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, current := range m.current {
		for index := range current.Chunks() {
			for _, assignment := range current.Chunk(index) {
				if assignment.Owner == "" {
					return false
				}
			}
		}
	}
	return len(m.current) > 0
}
