package dissemination

import (
	"context"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/peer/gossip"
	"rosemarywick.example/rosemarywick/internal/peer/mesh"
)

// headerBytes is the size of the IPv4 and UDP headers of a packet, which QUIC does not count.
const headerBytes = 28

// Delays are the times from the publication of a change.
type PropagationDelays struct {
	// Held is the time until every daemon held the change, and Counted the time until the publisher counted every
	// daemon as having it in force.
	HeldByAll, AdoptedByAll []time.Duration
}

// Delays publishes changes one after the other, each at another daemon, beginning with version first.
func (f *Fleet) MeasureDelays(ctx context.Context, changes int, first uint64) (PropagationDelays, error) {
	var delays PropagationDelays
	for i := range changes {
		at, version := i*7%len(f.daemons), first+uint64(i)
		begin := time.Now()
		if err := f.publish(at, version); err != nil {
			return delays, err
		}
		held := time.Duration(0)
		for {
			if held == 0 && f.heldByAll(version) {
				held = time.Since(begin)
			}
			if count, total := f.daemons[at].runner.CountAdopted(version); held > 0 && count == total {
				break
			}
			if err := timer.Wait(ctx, timer.System{}, time.Millisecond); err != nil {
				return delays, errors.Wrapf(err, "bench: version %d is not in force everywhere", version)
			}
		}
		delays.HeldByAll, delays.AdoptedByAll = append(delays.HeldByAll, held), append(delays.AdoptedByAll, time.Since(begin))
		// The next change does not find the traffic of this one.
		if err := timer.Wait(ctx, timer.System{}, 300*time.Millisecond); err != nil {
			return delays, errors.Wrap(err, "bench: stopped")
		}
	}
	slices.Sort(delays.HeldByAll)
	slices.Sort(delays.AdoptedByAll)
	return delays, nil
}

// Cost is what one daemon takes on average, and the traffic of the daemon with the most.
type Cost struct {
	// SentBytes and ReceivedBytes are bytes a second, with the headers of UDP and IP.
	SentBytes, ReceivedBytes float64
	// MostBytes is the larger of the two at the daemon with the most.
	MaxBytes float64
	// SentPackets is packets a second.
	SentPackets float64
	// Kinds holds the messages and bytes of each kind that one daemon sends in a second, before QUIC adds its own.
	ByKind map[gossip.Kind]KindCost
	// Core is the share of one processor core, in the process as a whole divided by its daemons.
	CPUCores float64
	// HeapBytes is the live heap after a collection, and ResidentBytes the memory obtained from the system for the
	// heap and the stacks.
	HeapBytes, ResidentBytes float64
	// Connections is the mean and MostConnections the largest number of connections.
	Connections    float64
	MaxConnections int
}

// KindCost is the part of one kind of message.
type KindCost struct {
	Messages, Bytes float64
}

// Cost measures for a time in which versions are published at an interval; zero means none.
func (f *Fleet) MeasureCost(ctx context.Context, span, interval time.Duration, first uint64) (Cost, error) {
	before, kinds, began, used := f.traffic(), f.sentByKind(), time.Now(), cpuTime()
	published := uint64(0)
	for time.Since(began) < span {
		pause := span - time.Since(began)
		if interval > 0 {
			pause = min(pause, time.Duration(published+1)*interval-time.Since(began))
		}
		if err := timer.Wait(ctx, timer.System{}, pause); err != nil {
			return Cost{}, errors.Wrap(err, "bench: stopped")
		}
		if interval > 0 && time.Since(began) >= time.Duration(published+1)*interval {
			if err := f.publish(int(published*7)%len(f.daemons), first+published); err != nil {
				return Cost{}, err
			}
			published++
		}
	}
	seconds := time.Since(began).Seconds()
	cost := f.averageCost(before, f.traffic(), seconds, cpuTime()-used)
	cost.ByKind = make(map[gossip.Kind]KindCost)
	for kind, sent := range f.sentByKind() {
		share := 1 / seconds / float64(len(f.daemons))
		cost.ByKind[kind] = KindCost{
			Messages: float64(sent.Messages-kinds[kind].Messages) * share,
			Bytes:    float64(sent.Bytes-kinds[kind].Bytes) * share,
		}
	}
	return cost, nil
}

func (f *Fleet) averageCost(before, after []mesh.Traffic, seconds float64, used time.Duration) Cost {
	var cost Cost
	count := float64(len(f.daemons))
	for i := range after {
		packets := float64(after[i].PacketsSent - before[i].PacketsSent)
		sent := float64(after[i].BytesSent-before[i].BytesSent) + headerBytes*packets
		received := float64(after[i].BytesReceived-before[i].BytesReceived) +
			headerBytes*float64(after[i].PacketsReceived-before[i].PacketsReceived)
		cost.SentBytes += sent / seconds / count
		cost.ReceivedBytes += received / seconds / count
		cost.SentPackets += packets / seconds / count
		cost.MaxBytes = max(cost.MaxBytes, sent/seconds, received/seconds)
		links := len(f.daemons[i].mesh.Links())
		cost.Connections += float64(links) / count
		cost.MaxConnections = max(cost.MaxConnections, links)
	}
	cost.CPUCores = used.Seconds() / seconds / count
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	cost.HeapBytes = float64(memory.HeapAlloc) / count
	cost.ResidentBytes = float64(memory.HeapSys-memory.HeapReleased+memory.StackSys) / count
	return cost
}

func (f *Fleet) traffic() []mesh.Traffic {
	traffic := make([]mesh.Traffic, len(f.daemons))
	for i, d := range f.daemons {
		traffic[i] = d.mesh.TotalTraffic()
	}
	return traffic
}

// kinds returns what all daemons have sent of each kind of message.
func (f *Fleet) sentByKind() map[gossip.Kind]gossip.MessageStats {
	total := make(map[gossip.Kind]gossip.MessageStats)
	for _, d := range f.daemons {
		for kind, sent := range d.runner.SentByKind() {
			sum := total[kind]
			total[kind] = gossip.MessageStats{Messages: sum.Messages + sent.Messages, Bytes: sum.Bytes + sent.Bytes}
		}
	}
	return total
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
