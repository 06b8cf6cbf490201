// Package records stores the records of late, rejected, retried and misrouted requests, so that an operator can find the
// cause of each. The latest records of a host stay in a ring buffer in memory. All of them are also written in batches to
// the platform's object store, where they outlive the host. Finder.Explain searches both.
package records

import (
	"sync"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// DefaultCapacity is the capacity of a ring whose Capacity is zero. A record takes about 400 bytes, so that a full ring
// takes about a tenth of the 32 MB that a daemon may use for control.
const DefaultCapacity = 8192

// Filter selects records by field values. An empty field matches every value.
type Filter struct {
	Cause   cause.Cause
	Service fleet.ServiceName
	Tenant  fleet.TenantName
}

// Matches reports whether the filter selects the record.
func (f Filter) Matches(record *cause.Record) bool {
	return (f.Cause == "" || f.Cause == record.Cause) &&
		(f.Service == "" || f.Service == record.Service) &&
		(f.Tenant == "" || f.Tenant == record.Tenant)
}

// Ring is a ring buffer of the latest records of one host. Its zero value has the default capacity. Its methods may be
// called concurrently.
type Ring struct {
	// Capacity is the largest number of records. It is set before the first Add; zero means DefaultCapacity.
	Capacity int

	mu sync.Mutex
	// entries is guarded by mu and grows to the capacity.
	entries []cause.Record
	// next is guarded by mu and is the index of the oldest record once the ring is full.
	next int
}

// Add stores a record. A full ring overwrites its oldest one.
func (r *Ring) Add(record cause.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	capacity := r.Capacity
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	if len(r.entries) < capacity {
		r.entries = append(r.entries, record)
		return
	}
	r.entries[r.next] = record
	r.next = (r.next + 1) % capacity
}

// Find returns the newest records of a request, newest first.
func (r *Ring) Find(request fleet.RequestID) []cause.Record {
	return r.search(maxRecordsPerRequest, func(record *cause.Record) bool { return record.Request == request })
}

// Recent returns the newest records that the filter selects, at most limit of them, newest first.
func (r *Ring) Recent(filter Filter, limit int) []cause.Record {
	return r.search(limit, filter.Matches)
}

func (r *Ring) search(limit int, matches func(*cause.Record) bool) []cause.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []cause.Record
	for i := range r.entries {
		record := &r.entries[(r.next+len(r.entries)-1-i)%len(r.entries)]
		if len(found) == limit {
			break
		}
		if matches(record) {
			found = append(found, *record)
		}
	}
	return found
}
