// Package slopes measures what one unit of state or work costs a daemon: memory and bytes of the map for each partition,
// bytes and processor time of a renewal for each server and of the assigner's decisions, and memory of a record. The
// capacity page multiplies them by the numbers of the design scale.
package slopes

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/observe/records"
	"rosemarywick.example/rosemarywick/internal/ownership/keymap"
	"rosemarywick.example/rosemarywick/internal/ownership/placement"
)

// The sizes at which the slopes are taken.
const (
	partitions = 65536
	servers    = 48
)

// Slope is one measured cost.
type UnitCost struct {
	// Name says what was measured and for which unit.
	Name string
	// Value is in Unit.
	Value float64
	Unit  string
}

// All measures every slope.
func MeasureAll(ctx context.Context) ([]UnitCost, error) {
	slopes := []UnitCost{measureMapMemory(), measureRecordMemory()}
	encoded, err := measureEncodedMap()
	if err != nil {
		return nil, err
	}
	slopes = append(slopes, encoded, measurePlacement())
	renewal, err := measureRenewals(ctx)
	if err != nil {
		return nil, err
	}
	return append(slopes, renewal...), nil
}

// assignments returns a full map's worth of assignments, as after a takeover.
func fullAssignments() []fleet.Assignment {
	list := make([]fleet.Assignment, partitions)
	for i := range list {
		list[i] = fleet.Assignment{
			Partition: fleet.PartitionID(i), Owner: serverID(i), Standby: serverID(i + 1),
			Fence: fleet.Fence{Epoch: 1000, Counter: uint64(i + 1)},
		}
	}
	return list
}

var serverIDs = func() [servers]fleet.UpstreamID {
	var ids [servers]fleet.UpstreamID
	for i := range ids {
		ids[i] = fleet.UpstreamID("catalogue-" + string(rune('a'+i/26)) + string(rune('a'+i%26)))
	}
	return ids
}()

func serverID(i int) fleet.UpstreamID {
	return serverIDs[i%servers]
}

// heap returns the bytes that are reachable after a collection.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// cpu returns the processor time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func measureMapMemory() UnitCost {
	list := fullAssignments()
	before := heapBytes()
	current, _ := keymap.New(partitions).Merge(list)
	after := heapBytes()
	runtime.KeepAlive(list)
	runtime.KeepAlive(current)
	return UnitCost{Name: "memory of the map, for each partition", Value: (after - before) / partitions, Unit: "bytes"}
}

func measureEncodedMap() (UnitCost, error) {
	current, _ := keymap.New(partitions).Merge(fullAssignments())
	total := 0
	for index := range current.Chunks() {
		content, _, err := keymap.EncodeChunk(index, current.Chunk(index))
		if err != nil {
			return UnitCost{}, errors.Wrap(err, "encode chunk")
		}
		total += len(content)
	}
	return UnitCost{Name: "encoded map, for each partition", Value: float64(total) / partitions, Unit: "bytes"}, nil
}

func measureRecordMemory() UnitCost {
	const count = 8192
	before := heapBytes()
	ring := &records.Ring{Capacity: count}
	for i := range count {
		ring.Add(cause.Record{
			Request: fleet.RequestID("request-" + time.Duration(i).String()), Cause: cause.SlowUpstream,
			Attempts: []cause.Attempt{{Upstream: serverID(i)}}, Detail: "",
		})
	}
	after := heapBytes()
	runtime.KeepAlive(ring)
	return UnitCost{Name: "memory of the ring, for each record", Value: (after - before) / count, Unit: "bytes"}
}

// placementTime places all partitions after the loss of one server.
func measurePlacement() UnitCost {
	state := placement.Input{Partitions: partitions}
	for i := range servers {
		state.Servers = append(state.Servers, placement.Server{ID: serverID(i), Domain: fleet.FailureDomain(rune('a' + i%11))})
	}
	state.Current = placement.Policy{}.Place(state)
	state.Servers = state.Servers[1:]
	const rounds = 10
	before := cpuTime()
	for range rounds {
		placement.Policy{}.Place(state)
	}
	spent := (cpuTime() - before) / rounds
	return UnitCost{
		Name:  "placement of 65,536 partitions after a loss, for each loss",
		Value: float64(spent.Microseconds()) / 1000, Unit: "ms of processor",
	}
}
