package entry

import (
	"math/rand/v2"
	"strings"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/peer/relay"
	"rosemarywick.example/rosemarywick/internal/platform/table"
	"rosemarywick.example/rosemarywick/internal/routing/ratelimit"
	"rosemarywick.example/rosemarywick/internal/upstream/rangegrants"
	"rosemarywick.example/rosemarywick/internal/upstream/registry"
)

const (
	// upstreamsDelayFraction is the batch delay between a change in the upstreams table and the next poll, as a fraction of
	// DrainTimeout. Many entries change together when a service starts or is replaced.
	upstreamsDelayFraction = 0.1
	// maxUpstreamsDelay limits that delay. An assigner makes the first range table once the entries have not changed for a
	// second, so a longer delay would look as if all upstreams had started.
	maxUpstreamsDelay = 300 * time.Millisecond
	// startSpread is the time over which the first calls of a new deployment's daemons to the store are spread.
	startSpread = 300 * time.Millisecond
	// slowLinkDelay is how much later a host whose link has slowLinkRate, in bits a second, offers itself as a relay, and
	// maxLinkDelay the longest such delay.
	slowLinkDelay = time.Second
	maxLinkDelay  = time.Second
	slowLinkRate  = 20e6
	// rangesLinkFraction is the fraction of a relay's link that range tables may use.
	rangesLinkFraction = 0.4
)

// newNode returns the part of the daemon that receives the tables of the store.
func (d *Daemon) newNode() *relay.Node {
	node := &relay.Node{
		Local: d.Host, Process: d.runID, Store: d.Store, Feed: d.Store, Clock: d.Timer, Log: d.Log, StartDelay: d.startDelay,
		ClaimDelay: d.linkDelay(),
		Daemons:    d.daemonCount, OnRecovered: d.registry.StoreRecovered, Reporter: d.loadTracker, Serve: d.runAssigners,
		Limiter: &ratelimit.Limiter{}, Loads: d.loadTracker.fleet,
		Tables: []relay.Table{
			d.configurationTable(),
			{
				Name: d.Tables.UpstreamsTable,
				Consumer: relay.Consumer{
					Reset: d.resetUpstreams, Apply: d.applyUpstreams, Restored: func(table.Version) { d.registry.StoreRestored() },
					Since: d.registry.SetChangesSince,
				},
				BatchDelay: d.upstreamsDelay, ApplyLimit: d.Limits.DrainTimeout,
			},
			{
				Name:       rangegrants.RangesTable,
				Consumer:   relay.Consumer{Reset: d.ownershipMap.applyRows, Apply: d.ownershipMap.applyRows},
				BatchDelay: d.rangesDelay,
			},
		},
	}
	node.Prepare()
	return node
}

// upstreamsDelay returns the batch delay of the upstreams table.
func (d *Daemon) upstreamsDelay() time.Duration {
	return min(maxUpstreamsDelay, scaled(d.Limits.DrainTimeout, upstreamsDelayFraction))
}

// rangesDelay returns the batch delay of the range tables.
func (d *Daemon) rangesDelay() time.Duration { return d.rangesDelayFor(d.node.Subscribers()) }

// rangesDelayFor returns the batch delay of the range tables with a number of subscribers. Each change sends the whole row to
// each of them, so a relay waits for as long as that occupies rangesLinkFraction of its link.
func (d *Daemon) rangesDelayFor(subscribers int) time.Duration {
	if d.LinkRate <= 0 {
		return 0
	}
	bits := 8 * float64(d.ownershipMap.rowBytes()) * float64(subscribers)
	return time.Duration(bits / (d.LinkRate * rangesLinkFraction) * float64(time.Second))
}

// refreshTables makes a daemon that follows the store for itself alone read it at once. One with subscribers keeps its batch
// delays.
func (d *Daemon) refreshTables() {
	if d.node.Subscribers() == 0 {
		d.node.PollNow()
	}
}

// linkDelay returns how much later than a host with a fast link this one offers itself as a relay.
func (d *Daemon) linkDelay() time.Duration {
	if d.LinkRate <= 0 {
		return 0
	}
	return min(maxLinkDelay, time.Duration(float64(slowLinkDelay)*slowLinkRate/d.LinkRate))
}

// startDelay returns the pause of a new deployment before the first call to the store. The daemon that calls first becomes the
// relay of its failure domain, so a host with a slow link waits longer.
func (d *Daemon) startDelay() time.Duration {
	if !d.FirstStart {
		return 0
	}
	return rand.N(startSpread) + d.linkDelay()
}

// resetUpstreams replaces the registry by a snapshot of the upstreams table.
func (d *Daemon) resetUpstreams(rows []table.Row) {
	var entries []registry.Entry
	for _, row := range rows {
		if entry, ok := d.decodeUpstream(row); ok {
			entries = append(entries, entry)
		}
	}
	d.registry.Reset(entries)
}

// applyUpstreams applies changed rows of the upstreams table to the registry.
func (d *Daemon) applyUpstreams(rows []table.Row) {
	for _, row := range rows {
		if row.Value == nil {
			_, id, _ := strings.Cut(row.Name, "/")
			d.registry.Remove(fleet.UpstreamID(id))
			continue
		}
		if entry, ok := d.decodeUpstream(row); ok {
			d.registry.Put(entry)
		}
	}
}

// decodeUpstream decodes an upstream's row. A row that cannot be decoded is logged and leaves the registry unchanged.
func (d *Daemon) decodeUpstream(row table.Row) (registry.Entry, bool) {
	entry, err := d.DecodeUpstream(row)
	if err != nil {
		d.Log.Warn().Err(err).Str("row", row.Name).Uint64("version", uint64(row.Version)).
			Msg("decode upstream's entry: keeping the last known entry")
		return registry.Entry{}, false
	}
	return entry, true
}
