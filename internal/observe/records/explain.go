package records

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/platform/objects"
)

const (
	// maxRecordsPerRequest bounds the records of one request that a search returns, so that an explanation fits on a screen.
	maxRecordsPerRequest = 4
	// maxConcurrentQueries bounds the hosts that one search queries at the same time.
	maxConcurrentQueries = 64
	// peerQueryTimeout bounds the query to one host; a host that has failed does not respond at all.
	peerQueryTimeout = time.Second
	// maxBatchesRead bounds the batches that one search reads. At about 5 ms each, 1,000 batches take 5 s. They are read one
	// after the other, so that a search makes a tenth of the 2,000 reads a second that the platform accepts.
	maxBatchesRead = 1000
	// maxClockSkew is the largest assumed difference between the clocks of the hosts and of whoever makes a query.
	maxClockSkew = 5 * time.Minute
	// maxRecordDelay is how long after a request its record is searched for. A record is stored with the next batch, or
	// later if the object store is down.
	maxRecordDelay = time.Hour
)

// Query selects the request to search for and limits where to search.
type Query struct {
	Request fleet.RequestID
	// Host limits the search to one host. Empty means all hosts.
	Host fleet.HostID
	// ReceivedAround is the approximate time at which the request was received, or zero if it is unknown. A search reads a
	// bounded number of batches, so that in a large fleet Host or ReceivedAround is needed to find a request in them.
	ReceivedAround time.Time
}

// Peers queries the other daemons of the fleet for records.
type Peers interface {
	// Others returns the hosts that are believed to be alive, except this one.
	Others() []fleet.HostID
	// Find returns the records of a request in the ring of a host.
	Find(ctx context.Context, host fleet.HostID, request fleet.RequestID) ([]cause.Record, error)
}

// Source is the place where a record was found.
type Source string

const (
	// SourceRing means the ring of the host that made the search.
	SourceRing Source = "ring"
	// SourcePeer means the ring of another host.
	SourcePeer Source = "peer"
	// SourceBatch means a batch in the object store.
	SourceBatch Source = "batch"
	// SourceNone means that no record was found.
	SourceNone Source = "none"
)

// Explanation is the result of a search for a request, with the places that could not be searched.
type Explanation struct {
	Request fleet.RequestID
	// Records are the records of the request. A request that succeeded in time at the first attempt has none.
	Records []cause.Record
	Source  Source
	// Unreachable are the hosts that were queried and failed to respond.
	Unreachable []fleet.HostID
	// BatchesRead is the number of batches that were read.
	BatchesRead int
	// SearchedSince is the start of the earliest hour whose batches were searched. It is zero if none were.
	SearchedSince time.Time
	// Dropped is the number of dropped records according to the batches that were read.
	Dropped uint64
	// Truncated is set if the search ended at the limit of batches before it had read all of them.
	Truncated bool
	// DamagedBatches are the names of batches that could be decoded only in part, with no record of the request in that part.
	DamagedBatches []string
	// StoreError is the error that ended the search of the object store, or nil.
	StoreError error
}

// Finder searches for the records of a request. Its fields are set before use.
type Finder struct {
	Ring  *Ring
	Peers Peers
	Store objects.Store
	Clock timer.Clock
	// Lookback is how far back batches are searched. Zero means DefaultRetention.
	Lookback time.Duration
}

// Explain searches the ring of this host, then the rings of the other hosts, then the batches, either from the newest to the
// oldest or, if the query has a time, from that time on. It ends at the first place that has records of the request. If ctx
// ends first, the explanation has the hosts or the store that could not be searched in Unreachable and StoreError.
func (f *Finder) Explain(ctx context.Context, query Query) *Explanation {
	result := &Explanation{Request: query.Request, Source: SourceNone}
	if result.setRecords(SourceRing, f.Ring.Find(query.Request)) {
		return result
	}
	records, unreachable := f.queryPeers(ctx, query)
	result.Unreachable = unreachable
	if !result.setRecords(SourcePeer, records) {
		f.searchBatches(ctx, query, result)
	}
	return result
}

// setRecords sets the records of the request and where they were found. It reports whether there are any.
func (e *Explanation) setRecords(source Source, records []cause.Record) bool {
	if len(records) == 0 {
		return false
	}
	e.Source, e.Records = source, records[:min(len(records), maxRecordsPerRequest)]
	return true
}

// peerResponse is the result of the query to one host.
type peerResponse struct {
	host    fleet.HostID
	records []cause.Record
	err     error
}

// queryPeers queries the hosts concurrently until one of them has records of the request. It also returns the hosts that
// failed to respond until then.
func (f *Finder) queryPeers(ctx context.Context, query Query) ([]cause.Record, []fleet.HostID) {
	hosts := slices.DeleteFunc(f.Peers.Others(), func(host fleet.HostID) bool {
		return query.Host != "" && host != query.Host
	})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	responses := make(chan peerResponse, len(hosts))
	go f.queryHosts(ctx, hosts, query.Request, responses)
	var unreachable []fleet.HostID
	for range hosts {
		switch response := <-responses; {
		case response.err != nil:
			unreachable = append(unreachable, response.host)
		case len(response.records) > 0:
			return response.records, unreachable
		}
	}
	return nil, unreachable
}

// queryHosts queries each host and sends its response to responses, which has room for all of them.
func (f *Finder) queryHosts(ctx context.Context, hosts []fleet.HostID, request fleet.RequestID, responses chan<- peerResponse) {
	slots := make(chan struct{}, maxConcurrentQueries)
	var queries sync.WaitGroup
	defer queries.Wait()
	for _, host := range hosts {
		slots <- struct{}{}
		queries.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
			defer cancel()
			records, err := f.Peers.Find(ctx, host, request)
			responses <- peerResponse{host: host, records: records, err: err}
		})
	}
}

// searchWindow returns the times between which batches are searched, and whether the search starts with the oldest batch.
func (f *Finder) searchWindow(query Query) (first, last time.Time, forward bool) {
	now := f.Clock.Now().Add(maxClockSkew)
	if query.ReceivedAround.IsZero() {
		return now.Add(-durationOrDefault(f.Lookback, DefaultRetention)).Truncate(time.Hour), now, false
	}
	last = query.ReceivedAround.Add(maxRecordDelay)
	if last.After(now) {
		last = now
	}
	return query.ReceivedAround.Add(-maxClockSkew), last, true
}

// searchBatches searches the batches of the search window hour by hour, until one has records of the request.
func (f *Finder) searchBatches(ctx context.Context, query Query, result *Explanation) {
	first, last, forward := f.searchWindow(query)
	firstName, lastName := objectName(first, ""), objectName(last, "~")
	hour, step, remaining := last.Truncate(time.Hour), -time.Hour, last.Truncate(time.Hour).Sub(first.Truncate(time.Hour))
	if forward {
		hour, step = first.Truncate(time.Hour), time.Hour
	}
	for ; remaining >= 0; remaining -= time.Hour {
		names, err := f.Store.List(ctx, hourPrefix(hour))
		if err != nil {
			result.StoreError = err
			return
		}
		if result.SearchedSince.IsZero() || hour.Before(result.SearchedSince) {
			result.SearchedSince = hour
		}
		names = slices.DeleteFunc(names, func(name string) bool {
			return name < firstName || name > lastName || query.Host != "" && !isBatchOf(name, query.Host)
		})
		if !forward {
			slices.Reverse(names)
		}
		if f.searchObjects(ctx, names, result) {
			return
		}
		hour = hour.Add(step)
	}
}

// searchObjects searches the named batches in order. It reports whether the whole search has ended.
func (f *Finder) searchObjects(ctx context.Context, names []string, result *Explanation) bool {
	for _, name := range names {
		if result.BatchesRead == maxBatchesRead {
			result.Truncated = true
			return true
		}
		if f.searchBatch(ctx, name, result) || result.StoreError != nil {
			return true
		}
	}
	return false
}

// searchBatch reports whether a batch has records of the request. A batch that a sweep has just deleted has none.
func (f *Finder) searchBatch(ctx context.Context, name string, result *Explanation) bool {
	content, err := f.Store.Get(ctx, name)
	if errors.Is(err, objects.ErrNotFound) {
		return false
	}
	if err != nil {
		result.StoreError = err
		return false
	}
	result.BatchesRead++
	batch, err := Decode(content)
	result.Dropped += batch.Dropped
	var records []cause.Record
	for i := range batch.Records {
		if batch.Records[i].Request == result.Request {
			records = append(records, batch.Records[i])
		}
	}
	if !result.setRecords(SourceBatch, records) && err != nil {
		result.DamagedBatches = append(result.DamagedBatches, name)
	}
	return result.Source == SourceBatch
}
