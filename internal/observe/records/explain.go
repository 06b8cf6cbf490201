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
	// maxFound bounds the records of one request that a search returns, so that an explanation fits one screen.
	maxFound = 4
	// askedAtOnce bounds the hosts that one search asks at the same time.
	askedAtOnce = 64
	// askTimeout bounds the question to one host; a host that is lost does not answer at all.
	askTimeout = time.Second
	// maxBatches bounds the batches that one search reads. At about 5 ms each, 1,000 batches take 5 s. They are read one
	// after the other, which is a tenth of the 2,000 reads a second that the platform takes.
	maxBatches = 1000
	// clockMargin is how far the clocks of hosts and of those who ask may differ.
	clockMargin = 5 * time.Minute
	// delayMargin is how long after the request its record is looked for. A record waits for the next batch, and longer
	// while the object store is down.
	delayMargin = time.Hour
)

// Query says what to search for.
type Query struct {
	Request fleet.RequestID
	// Host limits the search to one host. Empty stands for all.
	Host fleet.HostID
	// At is about when the request was received. The zero time stands for an unknown time. In a large fleet, host or
	// time are needed to find a request in the batches, of which one search reads a bounded number.
	ReceivedAround time.Time
}

// Peers asks the other daemons of the fleet for records.
type Peers interface {
	// Others returns the hosts that are believed to be alive, without this one.
	Others() []fleet.HostID
	// Find returns the records of a request in the ring of a host.
	Find(ctx context.Context, host fleet.HostID, request fleet.RequestID) ([]cause.Record, error)
}

// Source says where a record was found.
type Source string

const (
	// SourceRing means the ring of the host that was asked.
	SourceRing Source = "ring"
	// SourcePeer means the ring of another host.
	SourcePeer Source = "peer"
	// SourceBatch means a batch in the object store.
	SourceBatch Source = "batch"
	// SourceNone means that no record was found.
	SourceNone Source = "none"
)

// Explanation is what a search for a request found, and where it could not look.
type Explanation struct {
	Request fleet.RequestID
	// Records are the records of the request. A request that ran as expected and in time has none.
	Records []cause.Record
	Source  Source
	// Unreachable are the hosts that did not answer.
	Unreachable []fleet.HostID
	// Batches is the number of batches that were read.
	BatchesRead int
	// Oldest is the start of the hour back to which batches were searched. It is zero if none had to be.
	SearchedSince time.Time
	// Dropped is the number of records that hosts state to have dropped in the batches that were read.
	Dropped uint64
	// Truncated is set when the search ended before all batches were read.
	Truncated bool
	// Damaged are the names of batches that could be read only in part and had no record of the request before the damage.
	DamagedBatches []string
	// StoreError is why the object store could not be searched, or nil.
	StoreError error
}

// Finder searches for the records of a request. Its fields are set before use.
type Finder struct {
	Ring  *Ring
	Peers Peers
	Store objects.Store
	Clock timer.Clock
	// Lookback is how far back batches are searched. Zero stands for the default retention.
	Lookback time.Duration
}

// Explain searches the ring of this host, then those of the other hosts, then the batches from the newest to the oldest,
// or from the time of the query on. It ends with the first place that has records of the request. It stops early when
// ctx ends and says so.
func (f *Finder) Explain(ctx context.Context, query Query) *Explanation {
	result := &Explanation{Request: query.Request, Source: SourceNone}
	if result.found(SourceRing, f.Ring.Find(query.Request)) {
		return result
	}
	records, unreachable := f.askPeers(ctx, query)
	result.Unreachable = unreachable
	if !result.found(SourcePeer, records) {
		f.searchBatches(ctx, query, result)
	}
	return result
}

func (e *Explanation) found(source Source, records []cause.Record) bool {
	if len(records) == 0 {
		return false
	}
	e.Source, e.Records = source, records[:min(len(records), maxFound)]
	return true
}

// answer is what one host said.
type answer struct {
	host    fleet.HostID
	records []cause.Record
	err     error
}

// askPeers asks the hosts concurrently and ends with the first that has the request. Only hosts that were asked and
// failed count as unreachable.
func (f *Finder) askPeers(ctx context.Context, query Query) ([]cause.Record, []fleet.HostID) {
	hosts := slices.DeleteFunc(f.Peers.Others(), func(host fleet.HostID) bool {
		return query.Host != "" && host != query.Host
	})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, len(hosts))
	go f.ask(ctx, hosts, query.Request, answers)
	var unreachable []fleet.HostID
	for range hosts {
		switch got := <-answers; {
		case got.err != nil:
			unreachable = append(unreachable, got.host)
		case len(got.records) > 0:
			return got.records, unreachable
		}
	}
	return nil, unreachable
}

func (f *Finder) ask(ctx context.Context, hosts []fleet.HostID, request fleet.RequestID, answers chan<- answer) {
	slots := make(chan struct{}, askedAtOnce)
	var asked sync.WaitGroup
	defer asked.Wait()
	for _, host := range hosts {
		slots <- struct{}{}
		asked.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			records, err := f.Peers.Find(ctx, host, request)
			answers <- answer{host: host, records: records, err: err}
		})
	}
}

// span returns the time over which batches are searched, and whether from its start on.
func (f *Finder) span(query Query) (first, last time.Time, forward bool) {
	now := f.Clock.Now().Add(clockMargin)
	if query.ReceivedAround.IsZero() {
		return now.Add(-orDuration(f.Lookback, DefaultRetention)).Truncate(time.Hour), now, false
	}
	last = query.ReceivedAround.Add(delayMargin)
	if last.After(now) {
		last = now
	}
	return query.ReceivedAround.Add(-clockMargin), last, true
}

func (f *Finder) searchBatches(ctx context.Context, query Query, result *Explanation) {
	first, last, forward := f.span(query)
	from, to := objectName(first, ""), objectName(last, "~")
	hour, step, left := last.Truncate(time.Hour), -time.Hour, last.Truncate(time.Hour).Sub(first.Truncate(time.Hour))
	if forward {
		hour, step = first.Truncate(time.Hour), time.Hour
	}
	for ; left >= 0; left -= time.Hour {
		names, err := f.Store.List(ctx, hourPrefix(hour))
		if err != nil {
			result.StoreError = err
			return
		}
		if result.SearchedSince.IsZero() || hour.Before(result.SearchedSince) {
			result.SearchedSince = hour
		}
		names = slices.DeleteFunc(names, func(name string) bool {
			return name < from || name > to || query.Host != "" && !writtenBy(name, query.Host)
		})
		if !forward {
			slices.Reverse(names)
		}
		if f.searchNames(ctx, names, result) {
			return
		}
		hour = hour.Add(step)
	}
}

// searchNames reports whether the search is over.
func (f *Finder) searchNames(ctx context.Context, names []string, result *Explanation) bool {
	for _, name := range names {
		if result.BatchesRead == maxBatches {
			result.Truncated = true
			return true
		}
		if f.searchBatch(ctx, name, result) || result.StoreError != nil {
			return true
		}
	}
	return false
}

// searchBatch reports whether the batch has records of the request. A batch that a sweep has deleted meanwhile has none.
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
	if !result.found(SourceBatch, records) && err != nil {
		result.DamagedBatches = append(result.DamagedBatches, name)
	}
	return result.Source == SourceBatch
}
