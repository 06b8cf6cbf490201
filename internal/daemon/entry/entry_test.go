package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
	"rosemarywick.example/rosemarywick/internal/platform/table"
	"rosemarywick.example/rosemarywick/internal/upstream/rangegrants"
	"rosemarywick.example/rosemarywick/internal/upstream/registry"
)

// decodeVersion decodes a configuration of one byte, which is its version.
func decodeVersion(value []byte) (*document.Document, error) {
	if len(value) != 1 {
		return nil, errors.New("unreadable")
	}
	return &document.Document{Version: uint64(value[0]), Services: []document.Service{{Name: "s"}}}, nil
}

// Guards against a configuration that reverts to an older version, or is lost because a later row is older, deleted or cannot
// be decoded.
func TestConfigurationNeverReverts(t *testing.T) {
	is := is.New(t)
	upstreams := &registry.Registry{Clock: timer.System{}, Log: zerolog.Nop()}
	var adopted []uint64
	c := &configuration{
		log: zerolog.Nop(), decode: decodeVersion, rowName: "op/config", registry: upstreams,
		onAdopted: func(declared *document.Document) { adopted = append(adopted, declared.Version) },
	}
	is.Equal(c.Current(), nil)
	for _, step := range []struct {
		row  table.Row
		want byte
	}{
		{table.Row{Name: "op/config", Value: []byte("b")}, 'b'},
		{table.Row{Name: "op/config", Value: []byte("a")}, 'b'},  // older
		{table.Row{Name: "op/config", Value: []byte("??")}, 'b'}, // unreadable
		{table.Row{Name: "op/config"}, 'b'},                      // deleted
		{table.Row{Name: "op/other", Value: []byte("z")}, 'b'},   // another row
		{table.Row{Name: "op/config", Value: []byte("c")}, 'c'},
	} {
		c.applyRows([]table.Row{step.row})
		is.Equal(c.Current().Version, uint64(step.want))
	}
	is.Equal(adopted, []uint64{'b', 'c'})
	upstreams.Put(registry.Entry{ID: "u", Service: "s", Slots: 6})
	c.mu.Lock()
	c.rebuild()
	c.mu.Unlock()
	is.Equal(len(c.Current().Services[0].Upstreams), 1)
	is.Equal(c.Current().Services[0].Slots, 6)
}

// encodeTableRow returns the row of a range table that assigns all keys to one owner.
func encodeTableRow(version table.Version, fence ranges.Fence, owner fleet.UpstreamID, formers ...ranges.FormerOwner) table.Row {
	rangeTable := &ranges.Table{Fence: fence, Assignments: []ranges.Assignment{{
		Range: fleet.KeyRange{Last: fleet.MaxNumericKey}, Owner: ranges.Owner{ID: owner}, Fence: fence, FormerOwners: formers,
	}}}
	return table.Row{Name: rangegrants.TableRow("s"), Version: version, Value: rangeTable.Encode()}
}

// Guards against a range table that is replaced by an older one, and against keys that count as moving forever when the table
// that ends the move does not arrive.
func TestOwnershipMap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := &ownershipMap{clock: timer.System{}, log: zerolog.Nop(), onAdopted: func(fleet.ServiceName, *ranges.Table) {}}
		_, ok := o.Locate("s", 7)
		is.True(!ok)
		o.applyRows([]table.Row{encodeTableRow(2, 2, "b", ranges.FormerOwner{GrantsExpireAt: time.Hour})})
		o.applyRows([]table.Row{encodeTableRow(1, 1, "a")})                      // older
		o.applyRows([]table.Row{encodeTableRow(table.NewVersion(1, 1), 1, "a")}) // came back from a copy of the store
		o.applyRows([]table.Row{{Name: rangegrants.TableRow("s"), Version: 3, Value: []byte("?")}})
		got, ok := o.Locate("s", 7)
		is.True(ok)
		is.Equal(got.Owner, fleet.UpstreamID("b"))
		is.True(got.Moving)
		is.NoErr(timer.Wait(t.Context(), timer.System{}, maxMoveDuration))
		got, _ = o.Locate("s", 7)
		is.True(!got.Moving)
	})
}

// Guards against a key that is taken for free while a former owner that cannot be reached may own it, and against one that counts
// as moving forever after that.
func TestUnreachableFormerOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := time.Now()
		o := &ownershipMap{
			clock: timer.System{}, log: zerolog.Nop(), onAdopted: func(fleet.ServiceName, *ranges.Table) {},
			storeTime: func() time.Duration { return time.Hour + time.Since(started) },
		}
		o.applyRows([]table.Row{encodeTableRow(2, 2, "b",
			ranges.FormerOwner{GrantsExpireAt: time.Hour + 10*time.Second},
			ranges.FormerOwner{GrantsExpireAt: time.Hour + 3*time.Second, Unreachable: true},
		)})
		for _, step := range []struct {
			after, freeIn time.Duration
			moving        bool
		}{
			{0, 3 * time.Second, true},
			{2 * time.Second, time.Second, true},
			{time.Second, 0, true}, // the table that ends the move is on its way
			{maxMoveDuration, 0, false},
		} {
			is.NoErr(timer.Wait(t.Context(), timer.System{}, step.after))
			got, ok := o.Locate("s", 7)
			is.True(ok)
			is.Equal(got.FreeIn, step.freeIn)
			is.Equal(got.Moving, step.moving)
		}
	})
}

// Guards against a batch delay of the upstreams table that grows with a long drain timeout. An assigner makes the
// first range table once the entries have not changed for a second, so a long delay would leave upstreams out of it.
func TestUpstreamsDelayIsBounded(t *testing.T) {
	for drain, want := range map[time.Duration]time.Duration{
		2500 * time.Millisecond: 250 * time.Millisecond,
		time.Minute:             maxUpstreamsDelay,
	} {
		t.Run(drain.String(), func(t *testing.T) {
			is := is.New(t)
			daemon := &Daemon{Limits: Limits{DrainTimeout: drain}}
			is.Equal(daemon.upstreamsDelay(), want)
		})
	}
}

// Guards against unlimited log lines about individual requests, and against log lines for requests that went as expected.
func TestLogLinesPerRequestAreLimited(t *testing.T) {
	is := is.New(t)
	lines := &writeCounter{}
	start := time.Unix(1000, 0)
	daemon := &Daemon{Log: zerolog.New(lines), loadTracker: &loadTracker{}}
	o := newObserver(daemon)
	o.now = func() time.Time { return start }
	o.Record(cause.Record{Outcome: cause.Complete, Cause: cause.OK})
	is.Equal(lines.count, 0)
	for range 10 * logLineBurst {
		o.Record(cause.Record{Request: "r", Outcome: cause.NotRun, Cause: cause.QueueFull})
	}
	is.Equal(lines.count, logLineBurst)
	served := httptest.NewRecorder()
	o.metrics.Handler().ServeHTTP(served, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	// Omitted lines are counted in a metric.
	is.True(strings.Contains(served.Body.String(), fmt.Sprintf("\nrosemarywick_log_lines_omitted_total %d\n", 9*logLineBurst)))
}

// writeCounter counts the writes to it.
type writeCounter struct{ count int }

func (c *writeCounter) Write(p []byte) (int, error) {
	c.count++
	return len(p), nil
}

// Pattern: many moves at once. Guards against a relay whose link is filled by range tables, so that everything else reaches its
// subscribers seconds late: however fast tables follow each other, they may use a part of the link only.
func TestRangeTablesArePaced(t *testing.T) {
	for _, test := range []struct {
		linkRate    float64
		subscribers int
		size        int
	}{{20e6, 49, 15_000}, {200e6, 49, 15_000}, {20e6, 200, 60_000}, {1e9, 3, 15_000}} {
		is := is.New(t)
		daemon := &Daemon{LinkRate: test.linkRate}
		daemon.ownershipMap = &ownershipMap{tables: map[fleet.ServiceName]*versionedTable{"s": {size: test.size}}}
		delay := daemon.rangesDelayFor(test.subscribers)
		used := float64(8*test.size*test.subscribers) / delay.Seconds()
		is.True(used <= test.linkRate/2)
	}
	unknown := &Daemon{}
	is.New(t).Equal(unknown.rangesDelayFor(100), time.Duration(0))
}

// Guards against hosts with slow links that become relays although faster ones wait as well.
func TestSlowLinksOfferThemselvesLater(t *testing.T) {
	is := is.New(t)
	slow, fast, unknown := &Daemon{LinkRate: 10e6}, &Daemon{LinkRate: 200e6}, &Daemon{}
	is.True(slow.linkDelay() >= fast.linkDelay()+startSpread)
	is.Equal(slow.linkDelay(), maxLinkDelay)
	is.Equal(unknown.linkDelay(), time.Duration(0))
}
