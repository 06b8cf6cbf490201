package registry

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/document"
)

// evacuationUseFraction is the fraction of EvacuationTimeout for which owners in an evacuated domain may still be used, so that
// keys move in several steps. The other half is for a late adoption of the evacuation and for requests on their way.
const evacuationUseFraction = 0.5

// NoteEvacuation notes that EvacuatedSince has changed.
func (r *Registry) NoteEvacuation() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notify()
}

// applyEvacuation makes an upstream of an evacuated domain one that leaves. An upstream that leaves earlier anyway keeps its
// deadline.
func (r *Registry) applyEvacuation(upstream *document.Upstream) {
	if r.EvacuatedSince == nil {
		return
	}
	since := r.EvacuatedSince(upstream.Locality.Domain)
	if since.IsZero() {
		return
	}
	upstream.Evacuated = true
	deadline := since.Add(time.Duration(float64(r.EvacuationTimeout) * evacuationUseFraction))
	if upstream.DrainDeadline.IsZero() || deadline.Before(upstream.DrainDeadline) {
		upstream.DrainDeadline = deadline
	}
}
