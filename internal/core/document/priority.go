package document

// HasPriorities reports whether the configuration tells requests apart by priority.
func (d *Document) HasPriorities() bool {
	if d == nil {
		return false
	}
	for i := range d.Entries {
		if d.Entries[i].Priority != d.Entries[0].Priority {
			return true
		}
	}
	return false
}
