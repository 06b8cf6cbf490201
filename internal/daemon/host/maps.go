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

// mapPrefix begins the names of the items that carry the maps: "map/SERVICE/CHUNK".
const mapPrefix = "map/"

// chunkName names one chunk of a service's map.
type chunkName struct {
	service fleet.ServiceName
	index   int
}

// maps holds the maps of all keyed services, merges what this daemon's assigners and its peers publish, and passes on
// what its own assigners changed.
type ownershipMaps struct {
	daemon  *Daemon
	log     zerolog.Logger
	metrics *metrics.Metrics

	mu sync.RWMutex
	// current is guarded by mu; its maps are immutable.
	current map[fleet.ServiceName]*keymap.Map
	// changed is guarded by mu; it is closed and replaced when a map changes.
	changed chan struct{}
	// dirty is guarded by mu and lists the chunks that publish has still to pass on.
	dirty map[chunkName]struct{}
	// wake tells publish that dirty is not empty.
	wake chan struct{}
	// published counts the chunks that were passed on and belongs to publish.
	published uint64
}

func newOwnershipMaps(d *Daemon) *ownershipMaps {
	return &ownershipMaps{
		daemon: d, log: d.Log, metrics: metrics.New(d.Timer),
		current: make(map[fleet.ServiceName]*keymap.Map), changed: make(chan struct{}),
		dirty: make(map[chunkName]struct{}), wake: make(chan struct{}, 1),
	}
}

// configure prepares an empty map for each keyed service that has none.
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

// Locate returns the assignment of a key. For a service whose servers check no orders only a confirmed map counts.
func (m *ownershipMaps) Locate(service fleet.ServiceName, key fleet.KeyHash) (fleet.Assignment, bool) {
	if edge := m.daemon.unguardedServices.runnerOf(service); edge != nil {
		assignment, _, confirmed := edge.Locate(key)
		return assignment, confirmed
	}
	current := m.get(service)
	if current == nil {
		return fleet.Assignment{}, false
	}
	return current.Locate(key), true
}

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

// Publish takes the assignments that an assigner of this daemon decided.
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

// chunkOf returns the chunk of an assignment; the hot keys stand in the one after the hash ranges. The caller holds mu.
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
			// The entry was removed. Its key is served from the hash range and is not without an owner.
			m.metrics.ForgetPartition(service, assignment.Partition)
			continue
		}
		m.metrics.ObserveAssignment(service, assignment)
	}
	return applied
}

// publish passes on the chunks that this daemon's assigners changed, until ctx ends.
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

// publishChunk passes on one chunk. Its version is the epoch in which this daemon acted last and a counter: grants are
// confirmed in another order than that of their fences, so the highest fence of a chunk does not order its states.
func (m *ownershipMaps) publishChunk(name chunkName, assignments []fleet.Assignment) {
	value, highest, err := keymap.EncodeChunk(name.index, assignments)
	if err != nil {
		m.log.Error().Err(err).Str("service", string(name.service)).Msg("map not encoded")
		return
	}
	m.published++
	item := gossip.Item{
		Name:    fmt.Sprintf("%s%s/%d", mapPrefix, name.service, name.index),
		Version: gossip.Version{Major: uint64(max(m.daemon.assigners.lastEpoch(name.service), highest.Epoch)), Minor: m.published},
		Value:   value,
	}
	if _, err := m.daemon.peers.gossip.Publish(item); err != nil {
		m.log.Error().Err(err).Str("item", item.Name).Msg("map not published")
	}
}

// follow merges the maps that peers pass on, until ctx ends.
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

func (m *ownershipMaps) mergeItem(item gossip.Item) {
	service, _, _ := strings.Cut(strings.TrimPrefix(item.Name, mapPrefix), "/")
	_, assignments, err := keymap.DecodeChunk(item.Value)
	if err != nil {
		m.log.Warn().Err(err).Str("item", item.Name).Msg("map not understood")
		return
	}
	m.merge(fleet.ServiceName(service), assignments)
}

// replay merges the maps that arrived before their service was configured.
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

// served reports whether every partition of every keyed service has an owner.
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
