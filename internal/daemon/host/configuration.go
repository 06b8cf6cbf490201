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
	readerRole = "table-reader"
	readers    = 3
)

// errIncompatible means that a document changes what must stay as it is while a service exists. A host that takes over
// waits as long as the authority that it knows, so that another value on the former host would give two owners.
var errIncompatible = errors.New("configuration: partitions, guard and authority of a keyed service cannot change")

// configuration puts revisions into force on this daemon and passes them on.
type configuration struct {
	daemon   *Daemon
	store    *config.Store
	keeper   *config.Adopter
	follower *config.Poller
	// current is the document in force; it is never changed once it is stored here.
	current atomic.Pointer[document.Document]
}

func newConfiguration(d *Daemon) *configuration {
	c := &configuration{daemon: d}
	c.store = &config.Store{Table: d.table, Clock: d.Timer}
	c.keeper = &config.Adopter{Apply: c.apply}
	c.follower = &config.Poller{
		Store: c.store, Adopter: c.keeper, Clock: d.Timer, Log: d.Log, ShouldPoll: c.reads, OnAdopted: c.adopted,
	}
	return c
}

// Current returns the document in force, or nil.
func (c *configuration) Current() *document.Document {
	return c.current.Load()
}

// reads reports whether this daemon is among those that read the table for all.
func (c *configuration) reads() bool {
	return c.daemon.peers.hasRole(readerRole, readers)
}

// apply puts a document into force, or refuses it and leaves everything as it was.
func (c *configuration) apply(doc *document.Document) error {
	if err := compatible(c.Current(), doc); err != nil {
		return err
	}
	c.daemon.maps.configure(doc)
	c.current.Store(doc)
	c.daemon.maps.metrics.Configure(doc)
	c.daemon.maps.replay(doc)
	c.daemon.assigners.configure(doc)
	c.daemon.unguarded.configure(doc)
	return nil
}

func compatible(before, after *document.Document) error {
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
func (c *configuration) adopted(revision *config.Revision) {
	c.daemon.peers.spread.AnnounceAdopted(revision.Version)
	value, err := revision.Encode()
	if err == nil {
		_, err = c.daemon.peers.spread.Publish(gossip.Item{
			Name: configItem, Version: gossip.Version{Major: revision.Version}, Value: value,
		})
	}
	if err != nil {
		c.daemon.Log.Error().Err(err).Uint64("version", revision.Version).Msg("configuration not passed on")
	}
}

// follow takes in the revisions that peers pass on, until ctx ends.
func (c *configuration) follow(ctx context.Context) error {
	watch := c.daemon.peers.spread.Watch(configItem)
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
	switch verdict := c.keeper.OfferEncoded(content).(type) {
	case config.Adopted:
		c.daemon.Log.Info().Str("event", "configuration-adopted").Uint64("version", verdict.Revision.Version).
			Str("author", verdict.Revision.Author).Msg("")
		c.adopted(verdict.Revision)
	case config.Rejected:
		c.daemon.Log.Error().Err(verdict.Reason).Uint64("version", verdict.Version).Msg("configuration rejected")
	case config.Outdated:
	}
}

// fleetSize returns the number of daemons that share the upstreams.
func (c *configuration) fleetSize() int {
	return max(1, len(c.daemon.peers.spread.Members()))
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
