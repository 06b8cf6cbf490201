package host

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/operator/config"
	"rosemarywick.example/rosemarywick/internal/peer/gossip"
)

const (
	// configItem is the name of the gossip item that carries the revision in force.
	configItem = "config"
	// tableReaderRole and readerCount select the daemons that read the configuration from the table. The others receive it
	// from their peers.
	tableReaderRole = "table-reader"
	readerCount     = 3
)

// errIncompatible means that a document changes a property that is fixed while a service exists. A host that takes over waits
// for the authority duration that it knows; if the former host used a longer one, a key could have two owners.
var errIncompatible = errors.New("configuration: partitions, guard and authority of a keyed service cannot change")

// configuration puts configuration revisions into force on this daemon and publishes them to its peers.
type configuration struct {
	daemon  *Daemon
	store   *config.Store
	adopter *config.Adopter
	poller  *config.Poller
	// current is the document in force, which is immutable.
	current atomic.Pointer[document.Document]
}

func newConfiguration(d *Daemon) *configuration {
	c := &configuration{daemon: d}
	c.store = &config.Store{Table: d.table, Clock: d.Timer}
	c.adopter = &config.Adopter{Apply: c.apply}
	c.poller = &config.Poller{
		Store: c.store, Adopter: c.adopter, Clock: d.Timer, Log: d.Log, ShouldPoll: c.isTableReader, OnAdopted: c.announceAdopted,
	}
	return c
}

// Current returns the document in force, or nil.
func (c *configuration) Current() *document.Document {
	return c.current.Load()
}

// isTableReader reports whether this daemon is among those that read the configuration from the table.
func (c *configuration) isTableReader() bool {
	return c.daemon.peers.hasRole(tableReaderRole, readerCount)
}

// apply puts a document into force. An incompatible one is rejected and changes nothing.
func (c *configuration) apply(doc *document.Document) error {
	if err := checkCompatible(c.Current(), doc); err != nil {
		return err
	}
	c.daemon.ownershipMaps.configure(doc)
	c.current.Store(doc)
	c.daemon.ownershipMaps.metrics.Configure(doc)
	c.daemon.ownershipMaps.mergeStored(doc)
	c.daemon.assigners.configure(doc)
	c.daemon.unguardedServices.configure(doc)
	return nil
}

// checkCompatible returns errIncompatible if a keyed service in both documents has another number of partitions, guard or
// authority duration.
func checkCompatible(before, after *document.Document) error {
	if before == nil {
		return nil
	}
	for i := range before.Services {
		old := &before.Services[i]
		next := after.FindService(old.Name)
		if next == nil || !old.Keyed() || !next.Keyed() {
			continue
		}
		if next.Partitions != old.Partitions || next.Guard != old.Guard || next.AuthorityDuration != old.AuthorityDuration {
			return errors.Wrapf(errIncompatible, "service %q", string(old.Name))
		}
	}
	return nil
}

// announceAdopted publishes a revision that was put into force to the peers.
func (c *configuration) announceAdopted(revision *config.Revision) {
	c.daemon.peers.gossip.AnnounceAdopted(revision.Version)
	value, err := revision.Encode()
	if err == nil {
		_, err = c.daemon.peers.gossip.Publish(gossip.Item{
			Name: configItem, Version: gossip.Version{Major: revision.Version}, Value: value,
		})
	}
	if err != nil {
		c.daemon.Log.Error().Err(err).Uint64("version", revision.Version).Msg("publish configuration to peers: not retried")
	}
}

// followPeers adopts the revisions that peers publish, until ctx ends.
func (c *configuration) followPeers(ctx context.Context) error {
	watch := c.daemon.peers.gossip.Watch(configItem)
	defer watch.Stop()
	for {
		item, err := watch.Next(ctx)
		if err != nil {
			return err
		}
		c.adoptEncoded(item.Value)
	}
}

// adoptEncoded puts an encoded revision into force if it is newer than the one in force and valid.
func (c *configuration) adoptEncoded(content []byte) {
	switch result := c.adopter.OfferEncoded(content).(type) {
	case config.Adopted:
		c.daemon.Log.Info().Str("event", "configuration-adopted").Uint64("version", result.Revision.Version).
			Str("author", result.Revision.Author).Msg("")
		c.announceAdopted(result.Revision)
	case config.Rejected:
		c.daemon.Log.Error().Err(result.Reason).Uint64("version", result.Version).Msg("configuration rejected")
	case config.Outdated:
	}
}

// daemonCount returns the number of daemons that share the upstreams, at least one.
func (c *configuration) daemonCount() int {
	return max(1, len(c.daemon.peers.gossip.Members()))
}

// pins returns the pins of a service that are in force.
func (c *configuration) pins(service fleet.ServiceName) []document.Pin {
	var pins []document.Pin
	if doc := c.Current(); doc != nil {
		for _, pin := range doc.Pins {
			if pin.Service == service {
				pins = append(pins, pin)
			}
		}
	}
	return pins
}
