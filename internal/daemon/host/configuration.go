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
	// configItem is the name under which the revision in force is passed on.
	configItem = "config"
	// readerRole and readers choose the daemons that read the table for all.
	tableReaderRole = "table-reader"
	readerCount     = 3
)

// errIncompatible means that a document changes what must stay as it is while a service exists. A host that takes over
// waits as long as the authority that it knows, so that another value on the former host would give two owners.
var errIncompatible = errors.New("configuration: partitions, guard and authority of a keyed service cannot change")

// configuration puts revisions into force on this daemon and passes them on.
type configuration struct {
	daemon   *Daemon
	store    *config.Store
	keeper   *config.Keeper
	follower *config.Follower
	// current is the document in force; it is never changed once it is stored here.
	current atomic.Pointer[document.Document]
}

func newConfiguration(d *Daemon) *configuration {
	c := &configuration{daemon: d}
	c.store = &config.Store{Table: d.table, Timer: d.Timer}
	c.keeper = &config.Keeper{Apply: c.apply}
	c.follower = &config.Follower{
		Store: c.store, Keeper: c.keeper, Timer: d.Timer, Log: d.Log, Reads: c.isTableReader, Adopted: c.announceAdopted,
	}
	return c
}

// Current returns the document in force, or nil.
func (c *configuration) Current() *document.Document {
	return c.current.Load()
}

// reads reports whether this daemon is among those that read the table for all.
func (c *configuration) isTableReader() bool {
	return c.daemon.peers.hasRole(tableReaderRole, readerCount)
}

// apply puts a document into force, or refuses it and leaves everything as it was.
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

// adopted passes on a revision that was put into force.
func (c *configuration) announceAdopted(revision *config.Revision) {
	c.daemon.peers.gossip.AnnounceAdopted(revision.Version)
	value, err := revision.Encode()
	if err == nil {
		_, err = c.daemon.peers.gossip.Publish(gossip.Item{
			Name: configItem, Version: gossip.Version{Major: revision.Version}, Value: value,
		})
	}
	if err != nil {
		c.daemon.Log.Error().Err(err).Uint64("version", revision.Version).Msg("configuration not passed on")
	}
}

// follow takes in the revisions that peers pass on, until ctx ends.
func (c *configuration) followPeers(ctx context.Context) error {
	watch := c.daemon.peers.gossip.Watch(configItem)
	defer watch.Stop()
	for {
		item, err := watch.Next(ctx)
		if err != nil {
			return err
		}
		c.offer(item.Value)
	}
}

func (c *configuration) offer(content []byte) {
	switch verdict := c.keeper.OfferBytes(content).(type) {
	case config.Adopted:
		c.daemon.Log.Info().Str("event", "configuration-adopted").Uint64("version", verdict.Revision.Version).
			Str("author", verdict.Revision.Author).Msg("")
		c.announceAdopted(verdict.Revision)
	case config.Rejected:
		c.daemon.Log.Error().Err(verdict.Reason).Uint64("version", verdict.Version).Msg("configuration rejected")
	case config.Outdated:
	}
}

// fleetSize returns the number of daemons that share the upstreams.
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
