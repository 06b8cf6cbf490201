// Package slopes measures what one unit of state or work costs a daemon: the memory and the encoded size of the ownership map
// for each partition, the traffic and processor time of lease renewals for each server, the processor time of a placement, and
// the memory of a request record. The capacity page multiplies these costs by the numbers for which the system is designed.
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

// The size of the service for which the costs are measured.
const (
	partitions = 65536
	servers    = 48
)

// UnitCost is the measured cost of one unit of state or work.
type UnitCost struct {
	// Name says what was measured and for which unit.
	Name string
	// Value is in Unit.
	Value float64
	Unit  string
}

// MeasureAll measures all costs.
func MeasureAll(ctx context.Context) ([]UnitCost, error) {
	costs := []UnitCost{measureMapMemory(), measureRecordMemory()}
	encoded, err := measureEncodedMap()
	if err != nil {
		return nil, err
	}
	costs = append(costs, encoded, measurePlacement())
	renewal, err := measureRenewals(ctx)
	if err != nil {
		return nil, err
	}
	return append(costs, renewal...), nil
}

// fullAssignments returns an assignment for every partition, as after a takeover by a new assigner.
func fullAssignments() []fleet.Assignment {
	assignments := make([]fleet.Assignment, partitions)
	for i := range assignments {
		assignments[i] = fleet.Assignment{
			Partition: fleet.PartitionID(i), Owner: serverID(i), Standby: serverID(i + 1),
			Fence: fleet.Fence{Epoch: 1000, Counter: uint64(i + 1)},
		}
	}
	return assignments
}

var serverIDs = func() [servers]fleet.UpstreamID {
	var ids [servers]fleet.UpstreamID
	for i := range ids {
		ids[i] = fleet.UpstreamID("catalogue-" + string(rune('a'+i/26)) + string(rune('a'+i%26)))
	}
	return ids
}()

// serverID returns the ID of server number i, counted modulo the number of servers.
func serverID(i int) fleet.UpstreamID {
	return serverIDs[i%servers]
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// cpuTime returns the processor time that the process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureMapMemory measures the memory of an ownership map.
func measureMapMemory() UnitCost {
	assignments := fullAssignments()
	before := heapBytes()
	ownershipMap, _ := keymap.New(partitions).Merge(assignments)
	after := heapBytes()
	runtime.KeepAlive(assignments)
	runtime.KeepAlive(ownershipMap)
	return UnitCost{Name: "memory of the map, for each partition", Value: (after - before) / partitions, Unit: "bytes"}
}

// measureEncodedMap measures the size of an encoded ownership map.
func measureEncodedMap() (UnitCost, error) {
	ownershipMap, _ := keymap.New(partitions).Merge(fullAssignments())
	total := 0
	for index := range ownershipMap.Chunks() {
		content, _, err := keymap.EncodeChunk(index, ownershipMap.Chunk(index))
		if err != nil {
			return UnitCost{}, errors.Wrap(err, "slopes: encode chunk")
		}
		total += len(content)
	}
	return UnitCost{Name: "encoded map, for each partition", Value: float64(total) / partitions, Unit: "bytes"}, nil
}

// measureRecordMemory measures the memory of a record in the ring buffer.
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

// measurePlacement measures the processor time of placing all partitions after the loss of one server.
func measurePlacement() UnitCost {
	input := placement.Input{Partitions: partitions}
	for i := range servers {
		input.Servers = append(input.Servers, placement.Server{ID: serverID(i), Domain: fleet.FailureDomain(rune('a' + i%11))})
	}
	input.Current = placement.Policy{}.Place(input)
	input.Servers = input.Servers[1:]
	const rounds = 10
	before := cpuTime()
	for range rounds {
		placement.Policy{}.Place(input)
	}
	cpuPerPlacement := (cpuTime() - before) / rounds
	return UnitCost{
		Name:  "placement of 65,536 partitions after a loss, for each loss",
		Value: float64(cpuPerPlacement.Microseconds()) / 1000, Unit: "ms of processor",
	}
}
