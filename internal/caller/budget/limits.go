// Package budget decides how much a daemon may hold for callers and upstreams, and which connection is closed when room is
// short. It does no I/O.
package budget

import "time"

const (
	// heapFraction is the fraction of the memory limit of the process that the Go heap may use. The rest is for the program
	// itself (15 MB), for what the kernel has received, and for garbage that is allocated while a collection runs.
	heapFraction = 0.6
	// atRest is what the heap holds without callers, with the garbage of ordinary requests: 16 MB, of the 21 to 24 MB at which
	// processes were measured to peak on small traffic.
	atRest = 16 << 20
	// leastRoom is used on hosts with less memory than the product is meant for.
	leastRoom = 4 << 20
	// smallFraction is the fraction of the room that is kept for holders of at most SmallSize.
	smallFraction = 1.0 / 16
	// receivedFraction is the fraction of the memory limit that bytes may use which the kernel has received for callers and
	// which are not read yet.
	receivedFraction = 0.2
	// ReceiveBuffer is the size of the receive buffer that is asked for on each connection of a caller. The kernel was measured
	// to accept twice as much from a sender that is not read. With 16 KiB, senders on a link with packets of 64 KiB waited for
	// 0.2 s again and again.
	ReceiveBuffer = 32 << 10
	// LargeReceiveBuffer is asked for while a body above LargeBody is read: 200 Mbit/s with a round trip of 6 ms need 150 KB.
	LargeReceiveBuffer = 128 << 10
	// LargeBody is the size in bytes above which a body is worth a larger buffer.
	LargeBody = 1 << 20
	// connectionCost is what a connection takes on the heap: two buffers of 4 KB, the stacks of two goroutines, a head of a
	// request.
	connectionCost = 24 << 10
	// SmallSize is the largest amount in bytes for which room is kept, for example of a body.
	SmallSize = 64 << 10
	// stallTimeout is the time without progress after which a connection may be closed when room is short. A segment that was
	// lost is sent again within that time.
	stallTimeout = time.Second
	// RetryAfter is the time after which room is likely to be free: connections without progress have been closed by then.
	RetryAfter = stallTimeout
	// reservedDescriptors are not available for connections; the platform reserves them for files.
	reservedDescriptors = 200
	// callerDescriptors is the fraction of the other descriptors that connections of callers may use. The rest is for upstreams,
	// other daemons and the store.
	callerDescriptors = 0.6
)

// Limits are the limits of a Budget.
type Limits struct {
	// Room is how many bytes may be held. Zero means that there is no limit.
	Room int64
	// SmallRoom is the part of Room that only holders of at most SmallSize may use.
	SmallRoom int64
	// Connections is the number of connections of callers. Zero means that there is no limit.
	Connections int
}

// HeapLimit returns the soft limit of the Go heap for a process with a memory limit in bytes.
func HeapLimit(memory int64) int64 { return int64(float64(memory) * heapFraction) }

// LimitsFor returns the limits for a process with limits of memory in bytes and of descriptors, either of which may be zero
// for none.
func LimitsFor(memory int64, descriptors int) Limits {
	var limits Limits
	if memory > 0 {
		limits.Room = max(HeapLimit(memory)-atRest, leastRoom)
		limits.SmallRoom = int64(float64(limits.Room) * smallFraction)
		limits.Connections = max(int(float64(memory)*receivedFraction)/(2*ReceiveBuffer), 1)
	}
	if descriptors > 0 {
		connections := max(int(float64(descriptors-reservedDescriptors)*callerDescriptors), 1)
		if limits.Connections == 0 || connections < limits.Connections {
			limits.Connections = connections
		}
	}
	return limits
}
