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

// headerBytes is the size of the IPv4 and UDP headers of a packet. The QUIC statistics do not include them.
const headerBytes = 28

// PropagationDelays are the times from the publication of each change, sorted.
type PropagationDelays struct {
	// HeldByAll is the time until every daemon held the change. AdoptedByAll is the time until the publishing daemon knew that
	// every daemon had adopted it.
	HeldByAll, AdoptedByAll []time.Duration
}

// MeasureDelays publishes the given number of changes one after the other, at different daemons. Version first is the first.
func (f *Fleet) MeasureDelays(ctx context.Context, changes int, first uint64) (PropagationDelays, error) {
	var delays PropagationDelays
	for i := range changes {
		at, version := i*7%len(f.daemons), first+uint64(i)
		begin := time.Now()
		if err := f.publish(at, version); err != nil {
			return delays, err
		}
		heldAfter := time.Duration(0)
		for {
			if heldAfter == 0 && f.heldByAll(version) {
				heldAfter = time.Since(begin)
			}
			if adopted, total := f.daemons[at].runner.CountAdopted(version); heldAfter > 0 && adopted == total {
				break
			}
			if err := timer.Wait(ctx, timer.System{}, time.Millisecond); err != nil {
				return delays, errors.Wrapf(err, "dissemination: wait until all daemons have adopted version %d", version)
			}
		}
		delays.HeldByAll, delays.AdoptedByAll = append(delays.HeldByAll, heldAfter), append(delays.AdoptedByAll, time.Since(begin))
		// Let the traffic of this change end before the next one.
		if err := timer.Wait(ctx, timer.System{}, 300*time.Millisecond); err != nil {
			return delays, errors.Wrap(err, "dissemination: wait between changes")
		}
	}
	slices.Sort(delays.HeldByAll)
	slices.Sort(delays.AdoptedByAll)
	return delays, nil
}

// Cost is the resource usage of a daemon: the mean of all daemons, and for traffic and connections also the maximum.
type Cost struct {
	// SentBytes and ReceivedBytes are bytes per second, including UDP and IP headers.
	SentBytes, ReceivedBytes float64
	// MaxBytes is the largest value of either at any daemon.
	MaxBytes float64
	// SentPackets is packets per second.
	SentPackets float64
	// ByKind holds the messages of each kind that a daemon sends, without the overhead of QUIC.
	ByKind map[gossip.Kind]KindCost
	// CPUCores is the processor time per second of wall time, in cores.
	CPUCores float64
	// HeapBytes is the live heap after a garbage collection. ResidentBytes is the memory obtained from the operating system for
	// the heap and the stacks.
	HeapBytes, ResidentBytes float64
	// Connections is the mean and MaxConnections the largest number of connections.
	Connections    float64
	MaxConnections int
}

// KindCost is the number and size of the messages of one kind, per second.
type KindCost struct {
	Messages, Bytes float64
}

// MeasureCost measures the cost over a span of time. It publishes a version in each interval, beginning with version first; with
// an interval of zero it publishes none.
func (f *Fleet) MeasureCost(ctx context.Context, span, interval time.Duration, first uint64) (Cost, error) {
	trafficBefore, sentBefore, began, cpuBefore := f.traffic(), f.sentByKind(), time.Now(), cpuTime()
	published := uint64(0)
	for time.Since(began) < span {
		pause := span - time.Since(began)
		if interval > 0 {
			pause = min(pause, time.Duration(published+1)*interval-time.Since(began))
		}
		if err := timer.Wait(ctx, timer.System{}, pause); err != nil {
			return Cost{}, errors.Wrap(err, "dissemination: measure cost")
		}
		if interval > 0 && time.Since(began) >= time.Duration(published+1)*interval {
			if err := f.publish(int(published*7)%len(f.daemons), first+published); err != nil {
				return Cost{}, err
			}
			published++
		}
	}
	seconds := time.Since(began).Seconds()
	cost := f.averageCost(trafficBefore, f.traffic(), seconds, cpuTime()-cpuBefore)
	cost.ByKind = make(map[gossip.Kind]KindCost)
	for kind, sent := range f.sentByKind() {
		perDaemonSecond := 1 / seconds / float64(len(f.daemons))
		cost.ByKind[kind] = KindCost{
			Messages: float64(sent.Messages-sentBefore[kind].Messages) * perDaemonSecond,
			Bytes:    float64(sent.Bytes-sentBefore[kind].Bytes) * perDaemonSecond,
		}
	}
	return cost, nil
}

// averageCost computes the cost from the traffic before and after, and the processor time used in between.
func (f *Fleet) averageCost(before, after []mesh.Traffic, seconds float64, cpu time.Duration) Cost {
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
	cost.CPUCores = cpu.Seconds() / seconds / count
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	cost.HeapBytes = float64(memory.HeapAlloc) / count
	cost.ResidentBytes = float64(memory.HeapSys-memory.HeapReleased+memory.StackSys) / count
	return cost
}

// traffic returns the traffic of each daemon since its start.
func (f *Fleet) traffic() []mesh.Traffic {
	traffic := make([]mesh.Traffic, len(f.daemons))
	for i, d := range f.daemons {
		traffic[i] = d.mesh.TotalTraffic()
	}
	return traffic
}

// sentByKind returns the messages of each kind that all daemons have sent since their start.
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

// cpuTime returns the processor time that the process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
