package registry

import (
	"slices"
	"strings"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

const (
	// drainUseFraction is the fraction of DrainTimeout for which a draining upstream may still be used for keys that have not
	// moved to another upstream.
	drainUseFraction = 0.75
	// lateUseFraction is the fraction of DrainTimeout for which it may still be used if its leaving was learned late, from the time
	// before which the store had not acknowledged it. The rest is for requests on their way.
	lateUseFraction = 0.9
)

// Upstreams returns the usable upstreams of each service, ordered by ID.
func (r *Registry) Upstreams() map[fleet.ServiceName][]document.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := make(map[fleet.ServiceName][]document.Upstream)
	for _, rec := range r.records {
		upstream := document.Upstream{
			ID: rec.ID, Address: rec.Address, Locality: rec.Locality, Incarnation: rec.Incarnation, Slots: rec.Slots,
		}
		if leavingSince := r.leavingSince(rec); !leavingSince.IsZero() {
			upstream.DrainDeadline = r.useUntil(rec, leavingSince)
		}
		r.applyEvacuation(&upstream)
		result[rec.Service] = append(result[rec.Service], upstream)
	}
	for _, upstreams := range result {
		slices.SortFunc(upstreams, func(a, b document.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	return result
}

// SetChangesSince sets a time before which the store had not acknowledged the changes that are passed next, or zero if none is
// known.
func (r *Registry) SetChangesSince(since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changesSince = since
}

// useUntil returns until when an upstream may be used that is known to leave, or to be missing, since a time. News of it that
// came late leaves less of DrainTimeout, which counts from the store's acknowledgement. The caller holds mu.
func (r *Registry) useUntil(rec *record, since time.Time) time.Time {
	until := since.Add(time.Duration(float64(r.DrainTimeout) * drainUseFraction))
	if rec.acknowledgedAfter.IsZero() {
		return until
	}
	latest := rec.acknowledgedAfter.Add(time.Duration(float64(r.DrainTimeout) * lateUseFraction))
	if latest.Before(until) {
		return latest
	}
	return until
}
