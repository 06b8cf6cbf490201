package records

import (
	"context"
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
	// maxBatches bounds the batches that one search reads. At about 5 ms each, 1,000 batches take 5 s.
	maxBatches = 1000
)

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
	Batches int
	// Oldest is the start of the hour back to which batches were searched. It is zero if none had to be.
	Oldest time.Time
	// Dropped is the number of records that hosts state to have dropped in the batches that were read.
	Dropped uint64
	// Truncated is set when the search ended before all batches were read.
	Truncated bool
	// Damaged are the names of batches that could be read only in part and had no record of the request before the damage.
	Damaged []string
	// StoreError is why the object store could not be searched, or nil.
	StoreError error
}

// Finder searches for the records of a request. Its fields are set before use.
type Finder struct {
	Ring  *Ring
	Peers Peers
	Store objects.Store
	Timer timer.Service
	// Lookback is how far back batches are searched. Zero stands for the default retention.
	Lookback time.Duration
}

// Explain searches the ring of this host, then those of the other hosts, then the batches from the newest to the oldest.
// It ends with the first place that has records of the request. It stops early when ctx ends and says so.
func (f *Finder) Explain(ctx context.Context, request fleet.RequestID) *Explanation {
	result := &Explanation{Request: request, Source: SourceNone}
	if result.found(SourceRing, f.Ring.Find(request)) {
		return result
	}
	records, unreachable := f.askPeers(ctx, request)
	result.Unreachable = unreachable
	if !result.found(SourcePeer, records) {
		f.searchBatches(ctx, result)
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
func (f *Finder) askPeers(ctx context.Context, request fleet.RequestID) ([]cause.Record, []fleet.HostID) {
	hosts := f.Peers.Others()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, len(hosts))
	go f.ask(ctx, hosts, request, answers)
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

func (f *Finder) searchBatches(ctx context.Context, result *Explanation) {
	now := f.Timer.Now()
	oldest := now.Add(-orDuration(f.Lookback, DefaultRetention)).Truncate(time.Hour)
	for hour := now.Truncate(time.Hour); !hour.Before(oldest); hour = hour.Add(-time.Hour) {
		names, err := f.Store.List(ctx, hourPrefix(hour))
		if err != nil {
			result.StoreError = err
			return
		}
		result.Oldest = hour
		for i := len(names) - 1; i >= 0; i-- {
			if result.Batches == maxBatches {
				result.Truncated = true
				return
			}
			if f.searchBatch(ctx, names[i], result) || result.StoreError != nil {
				return
			}
		}
	}
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
	result.Batches++
	batch, err := Decode(content)
	result.Dropped += batch.Dropped
	var records []cause.Record
	for i := range batch.Records {
		if batch.Records[i].Request == result.Request {
			records = append(records, batch.Records[i])
		}
	}
	if !result.found(SourceBatch, records) && err != nil {
		result.Damaged = append(result.Damaged, name)
	}
	return result.Source == SourceBatch
}
