package entry

import (
	"time"

	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/peer/relay"
	"rosemarywick.example/rosemarywick/internal/platform/table"
	"rosemarywick.example/rosemarywick/internal/routing/evacuation"
	"rosemarywick.example/rosemarywick/internal/upstream/registry"
)

// Evacuations says how operators evacuate failure domains. The zero value means that they do not.
type Evacuations struct {
	// Timeout is the time after the store's acknowledgement of the order from which no request may reach an upstream of the
	// domain. Zero means that evacuations are not in use.
	Timeout time.Duration
	// Domains are the failure domains of the deployment.
	Domains map[fleet.FailureDomain]bool
	// Decode decodes a row of the table of the configuration. It returns nil for a row that is no order to evacuate a domain.
	Decode func(row table.Row) evacuation.Change
}

// maxAdoptionFraction is the fraction of Timeout within which every daemon must have adopted an evacuation. The registry lets
// owners be used for the other half.
const maxAdoptionFraction = 0.5

// evacuations adopts the operators' orders to evacuate failure domains.
type evacuations struct {
	clock    timer.Clock
	log      zerolog.Logger
	decode   func(row table.Row) evacuation.Change
	set      *evacuation.Set
	registry *registry.Registry
	// silence returns for how long this daemon was without contact to the store before the present changes.
	silence func() time.Duration
	// onEnded is called when the evacuation of a domain has ended, before its upstreams are used again.
	onEnded func(fleet.FailureDomain)
}

// prepareEvacuations connects the evacuations to the registry, if they are in use. It is called before any table is followed.
func (d *Daemon) prepareEvacuations() {
	if d.Evacuations.Timeout <= 0 {
		return
	}
	set := &evacuation.Set{Timeout: d.Evacuations.Timeout, Domains: d.Evacuations.Domains}
	d.evacuations = &evacuations{
		clock: d.Timer, log: d.Log, decode: d.Evacuations.Decode, set: set, registry: d.registry,
		silence: func() time.Duration { return d.node.Silence() }, onEnded: d.assumeColdIn,
	}
	d.registry.EvacuatedSince, d.registry.EvacuationTimeout = set.Since, d.Evacuations.Timeout
}

// configurationTable returns the table that the operators write, with its consumers. Evacuations are adopted before the
// configuration, so that no request is routed by a configuration without them.
func (d *Daemon) configurationTable() relay.Table {
	result := relay.Table{
		Name:       d.Tables.ConfigurationTable,
		Consumer:   relay.Consumer{Reset: d.configuration.applyRows, Apply: d.configuration.applyRows},
		ApplyLimit: d.Limits.ApplyTimeout,
	}
	if d.evacuations == nil {
		return result
	}
	result.Reset = func(rows []table.Row) {
		d.evacuations.reset(rows)
		d.configuration.applyRows(rows)
	}
	result.Apply = func(rows []table.Row) {
		d.evacuations.apply(rows)
		d.configuration.applyRows(rows)
	}
	result.Restored = d.evacuations.set.Restored
	limit := scaled(d.Evacuations.Timeout, maxAdoptionFraction)
	if result.ApplyLimit <= 0 || limit < result.ApplyLimit {
		result.ApplyLimit = limit
	}
	return result
}

// reset adopts the rows of the first snapshot of the table.
func (e *evacuations) reset(rows []table.Row) {
	e.note(e.set.Reset(e.clock.Now(), e.decodeRows(rows)...), 0)
}

// apply adopts changed rows. Those that follow a silence count as written at its start.
func (e *evacuations) apply(rows []table.Row) {
	now, age := e.clock.Now(), e.silence()
	e.note(e.set.Apply(now, now.Add(-age), e.decodeRows(rows)...), age)
}

// decodeRows decodes the rows that are orders to evacuate a domain.
func (e *evacuations) decodeRows(rows []table.Row) []evacuation.Change {
	var result []evacuation.Change
	for _, row := range rows {
		if change := e.decode(row); change != nil {
			result = append(result, change)
		}
	}
	return result
}

// note logs what happened, with the greatest age that the update can have, and puts it into effect.
func (e *evacuations) note(events []evacuation.Event, age time.Duration) {
	for _, event := range events {
		switch event := event.(type) {
		case evacuation.Began:
			e.log.Warn().Str("evacuated", string(event.Domain)).Uint64("version", event.Version.Number()).Dur("age", age).
				Bool("in-snapshot", event.InSnapshot).Msg("failure domain is evacuated")
		case evacuation.Ended:
			e.log.Warn().Str("evacuated", string(event.Domain)).Uint64("version", event.Version.Number()).Dur("age", age).
				Dur("lasted", event.Lasted).Msg("evacuation of failure domain has ended")
			e.onEnded(event.Domain)
		case evacuation.Kept:
			e.log.Warn().Str("evacuated", string(event.Domain)).Uint32("era", uint32(event.Version.Era())).
				Msg("order to evacuate failure domain was lost by the store; it stays in force until it is written or deleted again")
		case evacuation.Unknown:
			e.log.Error().Str("evacuated", string(event.Domain)).Uint64("version", event.Version.Number()).
				Msg("order to evacuate a failure domain that the settings do not name; it has no effect")
		case evacuation.Ignored:
			e.log.Error().Err(event.Err).Str("row", event.Row).Uint64("version", event.Version.Number()).
				Msg("order to evacuate a failure domain cannot be read; it has no effect")
		}
	}
	if len(events) > 0 {
		e.registry.NoteEvacuation()
	}
}
