package entry

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/peer/relay"
	"rosemarywick.example/rosemarywick/internal/routing/balance"
)

// unkeyedReport is what was measured at the upstreams of services without keys.
type unkeyedReport map[fleet.ServiceName]map[fleet.UpstreamID]unkeyedCount

// unkeyedCount is the number of requests that an upstream answered, and the sum of their durations in milliseconds.
type unkeyedCount [2]int

// add adds requests of an upstream. Invalid counts are ignored.
func (u unkeyedReport) add(service fleet.ServiceName, upstream fleet.UpstreamID, count unkeyedCount) {
	if count[0] < 0 || count[1] < 0 {
		return
	}
	if u[service] == nil {
		u[service] = make(map[fleet.UpstreamID]unkeyedCount)
	}
	sum := u[service][upstream]
	u[service][upstream] = unkeyedCount{sum[0] + count[0], sum[1] + count[1]}
}

// merge adds another report.
func (u unkeyedReport) merge(other unkeyedReport) {
	for service, upstreams := range other {
		for id, count := range upstreams {
			u.add(service, id, count)
		}
	}
}

// fleetLoads sums what the daemons of all failure domains measure at the upstreams of services without keys. On a relay, Add and
// AddDomain receive it; on every daemon, Adopt passes the sums to the balancer.
type fleetLoads struct {
	clock timer.Clock
	log   zerolog.Logger
	// upstreams returns the upstreams of the services without keys.
	upstreams func() map[fleet.ServiceName][]fleet.UpstreamID
	// onSums is called with the load of the upstreams of a service.
	onSums func(fleet.ServiceName, map[fleet.UpstreamID]balance.FleetLoad)

	mu sync.Mutex
	// domain is guarded by mu: what the daemons of this domain measured since the last TakeDomain. all is that of all domains since
	// the last Sums.
	domain, all unkeyedReport
	// sums is guarded by mu.
	sums map[fleet.ServiceName]*balance.FleetSum
}

var _ relay.LoadSums = (*fleetLoads)(nil)

// Add adds the report of a daemon of this failure domain.
func (f *fleetLoads) Add(report unkeyedReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.prepare()
	f.domain.merge(report)
	f.all.merge(report)
}

// prepare creates what is missing. The caller holds mu.
func (f *fleetLoads) prepare() {
	if f.domain == nil {
		f.domain = make(unkeyedReport)
	}
	if f.all == nil {
		f.all = make(unkeyedReport)
	}
	if f.sums == nil {
		f.sums = make(map[fleet.ServiceName]*balance.FleetSum)
	}
}

// TakeDomain returns what this failure domain measured since the last call.
func (f *fleetLoads) TakeDomain() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	taken := f.domain
	f.domain = nil
	if len(taken) == 0 {
		return nil
	}
	table := make(loadTable)
	for service, upstreams := range taken {
		for id, count := range upstreams {
			table.set(service, id, uint64(count[0]), uint64(count[1]))
		}
	}
	return table.encode()
}

// AddDomain adds what another failure domain measured.
func (f *fleetLoads) AddDomain(content []byte) {
	report := make(unkeyedReport)
	for service, upstreams := range f.decode(content) {
		for id, values := range upstreams {
			report.add(service, id, unkeyedCount{int(values[0]), int(values[1])})
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.prepare()
	f.all.merge(report)
}

// tenths is the unit in which mean numbers of requests are sent.
const tenths = 10

// Sums returns the load of the upstreams: the mean duration in milliseconds and the requests in flight in tenths.
func (f *fleetLoads) Sums() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.prepare()
	now := f.clock.Now()
	for service := range f.all {
		if f.sums[service] == nil {
			f.sums[service] = &balance.FleetSum{}
		}
	}
	table := make(loadTable)
	for service, sum := range f.sums {
		measured := make(map[fleet.UpstreamID]balance.Measured)
		for id, count := range f.all[service] {
			measured[id] = balance.Measured{Requests: count[0], Total: time.Duration(count[1]) * time.Millisecond}
		}
		sum.Add(now, measured)
		loads := sum.Loads()
		if len(loads) == 0 && len(measured) == 0 {
			delete(f.sums, service)
		}
		for id, load := range loads {
			table.set(service, id, uint64(load.MeanDuration.Round(time.Millisecond).Milliseconds()),
				uint64(math.Round(load.InFlight*tenths)))
		}
	}
	f.all = nil
	if len(table) == 0 {
		return nil
	}
	return table.encode()
}

// Adopt passes sums to the balancer.
func (f *fleetLoads) Adopt(content []byte) {
	for service, upstreams := range f.decode(content) {
		loads := make(map[fleet.UpstreamID]balance.FleetLoad, len(upstreams))
		for id, values := range upstreams {
			loads[id] = balance.FleetLoad{
				MeanDuration: time.Duration(values[0]) * time.Millisecond, InFlight: float64(values[1]) / tenths,
			}
		}
		f.onSums(service, loads)
	}
}

// loadTable is the compact form of loads: two values for each upstream, which is named by a hash of its ID. 115 upstreams take
// about 800 bytes. Two upstreams of a service with the same hash, of which there is one pair in 600,000 such services, are both
// left out.
type loadTable map[fleet.ServiceName]map[uint32][2]uint64

func hashUpstream(id fleet.UpstreamID) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return hash.Sum32()
}

func (t loadTable) set(service fleet.ServiceName, id fleet.UpstreamID, first, second uint64) {
	if t[service] == nil {
		t[service] = make(map[uint32][2]uint64)
	}
	t[service][hashUpstream(id)] = [2]uint64{first, second}
}

func (t loadTable) encode() []byte {
	var content []byte
	for _, service := range slices.Sorted(maps.Keys(t)) {
		content = binary.AppendUvarint(content, uint64(len(service)))
		content = append(content, service...)
		content = binary.AppendUvarint(content, uint64(len(t[service])))
		for hash, values := range t[service] {
			content = binary.LittleEndian.AppendUint32(content, hash)
			content = binary.AppendUvarint(content, values[0])
			content = binary.AppendUvarint(content, values[1])
		}
	}
	return content
}

// errMalformedLoads means that the loads of upstreams could not be decoded.
var errMalformedLoads = errors.New("entry: malformed loads of upstreams")

// decodeLoads decodes a loadTable.
func decodeLoads(content []byte) (loadTable, error) {
	table := make(loadTable)
	uvarint := func() (uint64, bool) {
		value, size := binary.Uvarint(content)
		content = content[max(0, size):]
		return value, size > 0
	}
	for len(content) > 0 {
		length, ok := uvarint()
		if !ok || length > uint64(len(content)) {
			return nil, errMalformedLoads
		}
		service := fleet.ServiceName(content[:length])
		content = content[length:]
		count, ok := uvarint()
		if !ok {
			return nil, errMalformedLoads
		}
		table[service] = make(map[uint32][2]uint64)
		for range count {
			if len(content) < 4 { // the size of a hash
				return nil, errMalformedLoads
			}
			hash := binary.LittleEndian.Uint32(content)
			content = content[4:]
			first, ok1 := uvarint()
			second, ok2 := uvarint()
			if !ok1 || !ok2 || max(first, second) > maxLoadValue {
				return nil, errMalformedLoads
			}
			table[service][hash] = [2]uint64{first, second}
		}
	}
	return table, nil
}

// maxLoadValue bounds the values of a loadTable, so that sums stay representable.
const maxLoadValue = 1 << 31

// decode returns the two values of each upstream that this daemon knows. Malformed content is logged and ignored.
func (f *fleetLoads) decode(content []byte) map[fleet.ServiceName]map[fleet.UpstreamID][2]uint64 {
	table, err := decodeLoads(content)
	if err != nil {
		f.log.Warn().Err(err).Msg("decode loads of upstreams: ignoring them")
		return nil
	}
	result := make(map[fleet.ServiceName]map[fleet.UpstreamID][2]uint64)
	for service, ids := range f.upstreams() {
		seen := make(map[uint32]int)
		for _, id := range ids {
			seen[hashUpstream(id)]++
		}
		for _, id := range ids {
			values, known := table[service][hashUpstream(id)]
			if !known || seen[hashUpstream(id)] > 1 {
				continue
			}
			if result[service] == nil {
				result[service] = make(map[fleet.UpstreamID][2]uint64)
			}
			result[service][id] = values
		}
	}
	return result
}

// unkeyedUpstreams returns the upstreams of the services without keys.
func (d *Daemon) unkeyedUpstreams() map[fleet.ServiceName][]fleet.UpstreamID {
	result := make(map[fleet.ServiceName][]fleet.UpstreamID)
	current := d.configuration.Current()
	if current == nil {
		return result
	}
	for i := range current.Services {
		service := &current.Services[i]
		if service.Keyed() {
			continue
		}
		for _, upstream := range service.Upstreams {
			result[service.Name] = append(result[service.Name], upstream.ID)
		}
	}
	return result
}
