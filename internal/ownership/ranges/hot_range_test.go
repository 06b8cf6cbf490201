package ranges_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
)

// hotRange is a load in which some adjacent keys get a share of all requests for a while.
type hotRange struct {
	servers, slots int
	// serviceTime is the mean duration of a request.
	serviceTime time.Duration
	// requests is the number of requests a second, share the part of them on the hot keys, and keys the number of these.
	requests, share float64
	keys            int
	// interval is the time between two collections of the load, each followed by a plan.
	interval time.Duration
}

// capacity returns the number of requests a second that one server can run.
func (h hotRange) capacity() float64 { return float64(h.slots) / h.serviceTime.Seconds() }

// run plays a quiet lead and then the hot range, and returns for each interval of the heat the part of the requests that their
// owners run or queue. A server queues as many requests as it runs in a second. A move takes effect at the next interval.
func (h hotRange) run(lead, heat time.Duration) (served []float64, table *ranges.Table) {
	table, _ = newPlanner(h.list(), &ranges.Load{}).Next(&ranges.Table{})
	return h.play(withoutFormerOwners(table), lead, heat)
}

// continueWith plays on from a table, without heat, and returns the last one.
func (h hotRange) continueWith(table *ranges.Table, duration time.Duration) *ranges.Table {
	_, table = h.play(table, duration, 0)
	return table
}

func (h hotRange) list() []ranges.Server {
	var ids []int
	for id := range h.servers {
		ids = append(ids, id)
	}
	return servers(ids...)
}

// play is run from a given table on.
func (h hotRange) play(table *ranges.Table, lead, heat time.Duration) (served []float64, last *ranges.Table) {
	random := rand.New(rand.NewPCG(7, 7))
	const firstHot = 30_000
	list, load := h.list(), &ranges.Load{}
	perInterval := h.requests * h.interval.Seconds()
	queued := make(map[fleet.UpstreamID]float64)
	for elapsed := time.Duration(0); elapsed < lead+heat; elapsed += h.interval {
		counts := make(ranges.BucketCounts)
		arrived := make(map[fleet.UpstreamID]float64)
		for range int(perInterval) {
			key := fleet.NumericKey(random.IntN(int(fleet.MaxNumericKey) + 1))
			if elapsed >= lead && random.Float64() < h.share {
				key = fleet.NumericKey(firstHot + random.IntN(h.keys))
			}
			counts.Add(key)
			arrived[table.Locate(key).Owner.ID]++
		}
		room := h.capacity() * h.interval.Seconds()
		fitting := 0.0
		for i := range list {
			id := list[i].ID
			accepted := min(arrived[id], room+h.capacity()-queued[id])
			fitting += accepted
			list[i].Utilization = (queued[id] + accepted) / room
			queued[id] = max(0, queued[id]+accepted-room)
		}
		if elapsed >= lead {
			served = append(served, fitting/perInterval)
		}
		load.AddReport(time.Unix(0, int64(elapsed)), counts)
		next, _ := newPlanner(list, load).Next(table)
		table = withoutFormerOwners(next)
	}
	return served, table
}

// Pattern: hot range. A part of all requests falls on a few adjacent keys for some seconds, more than their owners can run and far
// less than the service can. Guards against owners that stay overloaded while others are idle: after one second, in which the heat is
// seen and keys are moved, and another one, in which the queues of the former owners drain, nine of ten requests must have an owner
// that runs or queues them.
func TestHotRangeIsSpread(t *testing.T) {
	for name, load := range map[string]hotRange{
		"200 keys, 342 servers": {
			servers: 342, slots: 6, serviceTime: 430 * time.Millisecond, requests: 2799, share: 0.35, keys: 200,
		},
		"200 keys, 63 servers": {
			servers: 63, slots: 6, serviceTime: 220 * time.Millisecond, requests: 1003, share: 0.35, keys: 200,
		},
		"200 keys, 14 servers": {
			servers: 14, slots: 6, serviceTime: 220 * time.Millisecond, requests: 190, share: 0.35, keys: 200,
		},
		"60 keys, 132 servers of 2 slots": {
			servers: 132, slots: 2, serviceTime: 160 * time.Millisecond, requests: 966, share: 0.3, keys: 60,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			load.interval = 500 * time.Millisecond
			served, _ := load.run(10*time.Second, 5*time.Second)
			t.Logf("served by interval: %.2f", served)
			for i, part := range served {
				if time.Duration(i)*load.interval >= 2*time.Second {
					is.True(part >= 0.9)
				}
			}
		})
	}
}

// Pattern: hot range, again and again. Guards against a table that grows with each hot range until it does not fit into a row of the
// store, of which a deployment allows 64 KiB: when the heat is over, the pieces are joined again.
func TestPiecesAreJoinedAfterHeat(t *testing.T) {
	is := is.New(t)
	load := hotRange{
		servers: 342, slots: 6, serviceTime: 430 * time.Millisecond, requests: 2799, share: 0.35, keys: 200,
		interval: 500 * time.Millisecond,
	}
	_, hot := load.run(5*time.Second, 5*time.Second)
	is.True(len(hot.Assignments) > 400)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range hot.Assignments { // as large as in a deployment, with each range on the move
		id := fleet.UpstreamID(fmt.Sprintf("i-%08x", random.Uint32()))
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(random.IntN(256)), byte(random.IntN(256))}), 8741)
		hot.Assignments[i].Owner = ranges.Owner{ID: id, Incarnation: "1791234567890", Address: address}
		hot.Assignments[i].FormerOwners = []ranges.FormerOwner{{
			Owner: hot.Assignments[random.IntN(i+1)].Owner, GrantsExpireAt: time.Duration(random.Int64N(1 << 42)),
			Unreachable: random.IntN(2) == 0,
		}}
	}
	is.True(len(hot.Encode()) < 64<<10)

	load.share = 0
	_, cold := load.run(0, 0)
	load.share = 0.35
	_, table := load.run(5*time.Second, 5*time.Second)
	is.True(len(table.Assignments) > len(cold.Assignments))
	load.share = 0
	quiet := load.continueWith(table, 20*time.Second)
	is.True(len(quiet.Assignments) <= 2*load.servers)
}

// Guards against a table of an earlier release that cannot be read, and against a compact table that names an unknown owner.
func TestTableFormats(t *testing.T) {
	is := is.New(t)
	want, _ := newPlanner(servers(1, 2, 3), loadOn(1000, 10, 100)).Next(&ranges.Table{})
	moved, _ := newPlanner(servers(1, 2), loadOn(1000, 10, 100)).Next(want)
	text, err := json.Marshal(moved)
	is.NoErr(err)
	for _, content := range [][]byte{text, moved.Encode()} {
		got, err := ranges.Parse(content)
		is.NoErr(err)
		is.Equal(got, moved)
	}
	_, err = ranges.Parse(moved.Encode()[:20])
	is.True(errors.Is(err, ranges.ErrMalformed))
}

// FuzzParse passes arbitrary rows to the decoder.
func FuzzParse(f *testing.F) {
	table, _ := newPlanner(servers(1, 2, 3), &ranges.Load{}).Next(&ranges.Table{})
	f.Add(table.Encode())
	f.Add([]byte(`{"fence":1,"holdings":[{"range":{"First":0,"Last":65535},"fence":1}]}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		if read, err := ranges.Parse(content); err == nil {
			if _, err := ranges.Parse(read.Encode()); err != nil {
				t.Fatal(err)
			}
		}
	})
}
