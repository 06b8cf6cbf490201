package records_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/observe/records"
	"rosemarywick.example/rosemarywick/internal/platform/objects"
)

// fakeStore is an in-memory object store that can be unavailable or lose the responses of its calls.
type fakeStore struct {
	mu      sync.Mutex
	objects map[string][]byte
	puts    int
	down    bool
	// losesResponses is set if calls take effect and return ErrUnavailable.
	losesResponses bool
}

// do runs a call as the faults of the store allow.
func (s *fakeStore) do(call func()) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return objects.ErrUnavailable
	}
	call()
	if s.losesResponses {
		return objects.ErrUnavailable
	}
	return nil
}

func (s *fakeStore) Put(_ context.Context, name string, content []byte) error {
	s.mu.Lock()
	s.puts++
	s.mu.Unlock()
	return s.do(func() { s.objects[name] = content })
}

func (s *fakeStore) Get(_ context.Context, name string) (content []byte, err error) {
	err = s.do(func() { content = s.objects[name] })
	if err == nil && content == nil {
		return nil, objects.ErrNotFound
	}
	return content, err
}

func (s *fakeStore) List(_ context.Context, prefix string) (names []string, err error) {
	err = s.do(func() {
		for _, name := range slices.Sorted(maps.Keys(s.objects)) {
			if strings.HasPrefix(name, prefix) {
				names = append(names, name)
			}
		}
	})
	return names, err
}

func (s *fakeStore) Delete(_ context.Context, name string) error {
	return s.do(func() { delete(s.objects, name) })
}

func (s *fakeStore) setFaults(down, losesResponses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.losesResponses = down, losesResponses
}

// record returns a record with a value in each field and the request ID "r" plus id.
func record(id int) cause.Record {
	return cause.Record{
		Request: fleet.RequestID(fmt.Sprintf("r%d", id)), Host: "entry-1", Service: "catalogue", Tenant: "technicians",
		Key: 7, Partition: 3, Fence: fleet.Fence{Epoch: 4, Counter: 2}, ConfigVersion: 9,
		Started: time.Date(2026, 12, 4, 7, 0, id, 0, time.UTC), QueueTime: time.Millisecond, TotalTime: 2500 * time.Microsecond,
		Attempts: []cause.Attempt{{
			Upstream: "catalogue-01", Started: time.Date(2026, 12, 4, 7, 0, id, 5, time.UTC),
			Duration: time.Millisecond, Cause: cause.NotOwner,
		}},
		Outcome: cause.NotRun, Cause: cause.NoOwner, Detail: "no map with an owner came in time",
	}
}

// requestIDs returns the IDs of the requests of records, separated by blanks.
func requestIDs(found []cause.Record) string {
	var ids []string
	for _, record := range found {
		ids = append(ids, string(record.Request))
	}
	return strings.Join(ids, " ")
}

// Guards against a ring that loses its newest records or returns them in the wrong order after it wraps around.
func TestRingKeepsNewest(t *testing.T) {
	for _, test := range []struct {
		added int
		want  string
	}{{0, ""}, {2, "r1 r0"}, {3, "r2 r1 r0"}, {4, "r3 r2 r1"}, {8, "r7 r6 r5"}} {
		is := is.New(t)
		ring := records.Ring{Capacity: 3}
		for i := range test.added {
			ring.Add(record(i))
		}
		is.Equal(requestIDs(ring.Recent(records.Filter{}, 10)), test.want)
		is.Equal(len(ring.Find("r0")) == 1, test.added > 0 && test.added <= 3)
	}
}

// Guards against filters that select records of another cause, service or tenant.
func TestRingFilters(t *testing.T) {
	ring := records.Ring{}
	for i, change := range []func(*cause.Record){
		func(*cause.Record) {},
		func(r *cause.Record) { r.Cause = cause.QueueFull },
		func(r *cause.Record) { r.Service = "stock" },
		func(r *cause.Record) { r.Tenant = "sales" },
	} {
		added := record(i)
		change(&added)
		ring.Add(added)
	}
	for _, test := range []struct {
		filter records.Filter
		limit  int
		want   string
	}{
		{records.Filter{}, 2, "r3 r2"},
		{records.Filter{Cause: cause.QueueFull}, 9, "r1"},
		{records.Filter{Service: "stock"}, 9, "r2"},
		{records.Filter{Tenant: "sales"}, 9, "r3"},
		{records.Filter{Cause: cause.QueueFull, Service: "stock"}, 9, ""},
	} {
		is.New(t).Equal(requestIDs(ring.Recent(test.filter, test.limit)), test.want)
	}
}

// Guards against fields that are lost or changed by encoding and decoding a batch.
func TestBatchRoundTrip(t *testing.T) {
	is := is.New(t)
	batch := records.Batch{
		Host: "entry-1", Written: time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC), Dropped: 5,
		Records: []cause.Record{record(1), {Request: "bare", Started: time.Date(2026, 12, 4, 7, 0, 0, 0, time.UTC)}},
	}
	content, err := batch.Encode()
	is.NoErr(err)
	got, err := records.Decode(content)
	is.NoErr(err)
	is.Equal(got, &batch)
	truncated, err := records.Decode(content[:len(content)-12])
	is.True(err != nil) // a truncated object gives an error
	is.Equal(truncated.Host, fleet.HostID("entry-1"))
}

// newArchive returns an archive with a buffer of three records and an interval of one minute.
func newArchive(store objects.Store) *records.Archive {
	return &records.Archive{
		Host: "entry-1", Store: store, Clock: timer.System{}, Log: zerolog.Nop(), Interval: time.Minute, Buffer: 3,
	}
}

// storedRequests returns the request IDs of all stored batches, in the order of the object names, and the sum of their dropped
// counts.
func storedRequests(t *testing.T, store *fakeStore) (requests string, dropped uint64) {
	t.Helper()
	var all []cause.Record
	for _, name := range slices.Sorted(maps.Keys(store.objects)) {
		batch, err := records.Decode(store.objects[name])
		is.New(t).NoErr(err)
		all = append(all, batch.Records...)
		dropped += batch.Dropped
	}
	return requestIDs(all), dropped
}

// Guards against records that are lost, stored twice, or dropped without being counted while the store fails.
func TestArchiveUnderFailures(t *testing.T) {
	for _, test := range []struct {
		name                 string
		down, losesResponses bool
		add                  int
		want                 string
		dropped              uint64
		puts                 int
	}{
		{"store works", false, false, 3, "r0 r1 r2", 0, 1},
		{"store down", true, false, 2, "r0 r1", 0, 3},
		{"response lost", false, true, 2, "r0 r1", 0, 3},
		{"store down, buffer full", true, false, 8, "r0 r1 r2", 5, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := &fakeStore{objects: map[string][]byte{}, down: test.down, losesResponses: test.losesResponses}
				archive := newArchive(store)
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error)
				go func() { done <- archive.Run(ctx) }()
				for i := range test.add {
					archive.Add(record(i))
				}
				is.NoErr(timer.Wait(ctx, timer.System{}, 150*time.Second))
				store.setFaults(false, false)
				is.NoErr(timer.Wait(ctx, timer.System{}, time.Minute))
				cancel()
				is.True(errors.Is(<-done, context.Canceled))
				requests, dropped := storedRequests(t, store)
				is.Equal(requests, test.want)
				is.Equal(dropped, test.dropped)
				is.Equal(archive.Dropped(), test.dropped)
				is.Equal(store.puts, test.puts) // at 60 s and 120 s while the store fails, and once when it works
			})
		})
	}
}

// Guards against the loss of buffered records when a daemon is stopped.
func TestArchiveStoresAtStop(t *testing.T) {
	is := is.New(t)
	store := &fakeStore{objects: map[string][]byte{}}
	archive := newArchive(store)
	archive.Add(record(1))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(errors.Is(archive.Run(ctx), context.Canceled))
	requests, _ := storedRequests(t, store)
	is.Equal(requests, "r1")
}

// Guards against batches that are never deleted, or are deleted before the end of their retention.
func TestArchiveRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &fakeStore{objects: map[string][]byte{}}
		archive := newArchive(store)
		archive.Retention = 2 * time.Hour
		ctx, cancel := context.WithTimeout(t.Context(), 6*time.Hour+30*time.Minute)
		defer cancel()
		go func() {
			for i := range 6 {
				archive.Add(record(i))
				_ = timer.Wait(ctx, timer.System{}, time.Hour)
			}
		}()
		is.True(errors.Is(archive.Run(ctx), context.DeadlineExceeded))
		requests, _ := storedRequests(t, store)
		is.Equal(requests, "r4 r5")
	})
}

// peers holds the records in the rings of the other hosts. A host without an entry is unreachable.
type peers map[fleet.HostID][]cause.Record

func (p peers) Others() []fleet.HostID { return []fleet.HostID{"entry-2", "entry-3"} }

func (p peers) Find(_ context.Context, host fleet.HostID, request fleet.RequestID) ([]cause.Record, error) {
	stored, alive := p[host]
	if !alive {
		return nil, errors.New("unreachable")
	}
	return slices.DeleteFunc(slices.Clone(stored), func(r cause.Record) bool { return r.Request != request }), nil
}

// Guards against a search that skips a source, reads more batches than necessary, or does not report what it could not search.
func TestExplain(t *testing.T) {
	now := time.Date(2026, 12, 4, 9, 30, 0, 0, time.UTC)
	entry3Down := peers{"entry-2": nil}
	for _, test := range []struct {
		name        string
		query       records.Query
		peers       peers
		down        bool
		source      records.Source
		unreachable string
		batches     int
	}{
		{"own ring", records.Query{Request: "r1"}, peers{}, true, records.SourceRing, "[]", 0},
		{"peer ring", records.Query{Request: "r2"}, peers{"entry-2": nil, "entry-3": {record(2)}}, true, records.SourcePeer, "[]", 0},
		{"host down, newest batch", records.Query{Request: "r5"}, entry3Down, false, records.SourceBatch, "[entry-3]", 1},
		{"host down, oldest batch", records.Query{Request: "r3"}, entry3Down, false, records.SourceBatch, "[entry-3]", 3},
		{
			"by time",
			records.Query{Request: "r3", ReceivedAround: now.Add(-151 * time.Minute)},
			entry3Down, false,
			records.SourceBatch, "[entry-3]", 1,
		},
		{
			"by wrong time",
			records.Query{Request: "r3", ReceivedAround: now.Add(-9 * time.Minute)},
			entry3Down, false,
			records.SourceNone, "[entry-3]", 1,
		},
		{"by host", records.Query{Request: "r3", Host: "entry-1"}, entry3Down, false, records.SourceBatch, "[]", 3},
		{"by wrong host", records.Query{Request: "r3", Host: "entry-2"}, entry3Down, false, records.SourceNone, "[]", 0},
		{"by end of host name", records.Query{Request: "r3", Host: "1"}, entry3Down, false, records.SourceNone, "[]", 0},
		{"unknown request", records.Query{Request: "r9"}, peers{"entry-2": nil, "entry-3": nil}, false, records.SourceNone, "[]", 3},
		{"store down", records.Query{Request: "r3"}, entry3Down, true, records.SourceNone, "[entry-3]", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			ring, store := &records.Ring{}, &fakeStore{objects: map[string][]byte{}}
			ring.Add(record(1))
			for i, age := range []time.Duration{150 * time.Minute, 20 * time.Minute, time.Minute} {
				archive := newArchive(store)
				archive.Clock = timer.NewManual(now.Add(-age))
				archive.Add(record(3 + i))
				ctx, cancel := context.WithCancel(t.Context())
				cancel()
				is.True(archive.Run(ctx) != nil)
			}
			store.setFaults(test.down, false)
			finder := records.Finder{Ring: ring, Peers: test.peers, Store: store, Clock: timer.NewManual(now)}
			got := finder.Explain(t.Context(), test.query)
			is.Equal(got.Source, test.source)
			is.Equal(len(got.Records) > 0, test.source != records.SourceNone)
			is.Equal(fmt.Sprint(got.Unreachable), test.unreachable)
			is.Equal(got.BatchesRead, test.batches)
			is.Equal(got.StoreError != nil, test.down && test.source == records.SourceNone)
		})
	}
}

// Guards against a cause without an explanation for operators.
func TestEveryCauseHasMeaning(t *testing.T) {
	for _, value := range []cause.Cause{
		cause.OK, cause.NoSuchService, cause.MissingKey, cause.BadRequest, cause.NoOwner, cause.NotOwner, cause.Moving,
		cause.MapUnconfirmed, cause.QueueFull, cause.DeadlineUnmeetable, cause.DeadlinePassed, cause.TenantShare,
		cause.UpstreamRefused, cause.UpstreamUnreachable, cause.UpstreamReset, cause.ResponseTruncated, cause.UpstreamDraining, cause.DomainEvacuated,
		cause.NoUpstream, cause.RetryBudget, cause.DuplicateRequest, cause.ClaimUnavailable, cause.CallerGone,
		cause.DaemonStopping, cause.SlowUpstream, cause.ResumedElsewhere, cause.NoRoom,
	} {
		if !records.IsKnownCause(value) {
			t.Errorf("no meaning for %q", value)
		}
	}
}
