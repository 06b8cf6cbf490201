package registry

// sameRegistration reports whether two entries differ only in the remaining cold time, which changes with each write and does
// not concern the use of the upstream otherwise.
func (e Entry) sameRegistration(other Entry) bool {
	other.ColdFor, other.Revision = e.ColdFor, e.Revision
	return e == other
}

// noteCold passes on for how long an upstream is cold, unless the entry is of an earlier start.
func (r *Registry) noteCold(entry Entry) {
	if r.NoteCold == nil {
		return
	}
	r.mu.Lock()
	earlier := entry.Incarnation.Precedes(r.latestStart(entry.ID))
	r.mu.Unlock()
	if !earlier {
		r.NoteCold(entry)
	}
}
