package relay

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

const (
	// PeersTable holds the relays and the seed of the peers' certificate authority.
	PeersTable   = "peers"
	authorityRow = PeersTable + "/authority"
	// relayRowPrefix and the name of a failure domain form the name of the row of the domain's relay.
	relayRowPrefix = PeersTable + "/relay."
)

// Relay is a daemon that follows the store for the daemons of its failure domain.
type Relay struct {
	Host fleet.HostID `json:"host"`
	// Run identifies the process.
	Run string `json:"run"`
	// Address is where the daemon accepts QUIC connections from its peers.
	Address netip.AddrPort `json:"address"`
	// Era is the store's era in which the row was written. A row that is stored in a later era came back from a copy.
	Era table.Era `json:"era,omitempty"`
}

// member is a relay with the version of its row, which is zero if the row was lost with the latest writes to the store.
type member struct {
	Relay
	domain  fleet.FailureDomain
	version table.Version
}

// members holds the content of PeersTable.
type members struct {
	log zerolog.Logger

	mu sync.Mutex
	// seed is guarded by mu: the seed of the authority's key, or nil if there is none that can be used. seedVersion is the
	// version of its row.
	seed        []byte
	seedVersion table.Version
	// seedLost is guarded by mu and set while the store lacks the seed that is known, because it came back from an older copy.
	seedLost bool
	// relays is guarded by mu and holds the relay of each failure domain.
	relays map[fleet.FailureDomain]member
	// versions is guarded by mu: the version of each row that was adopted. An older one is ignored.
	versions map[fleet.FailureDomain]table.Version
	// changed is guarded by mu and closed at the next change. changes is guarded by mu and counts the changes.
	changed chan struct{}
	changes int
}

// consumer returns the consumer of PeersTable.
func (m *members) consumer() Consumer {
	return Consumer{Reset: m.reset, Apply: m.apply}
}

func (m *members) reset(rows []table.Row) {
	m.mu.Lock()
	m.relays = nil
	m.mu.Unlock()
	m.apply(rows)
}

// apply adopts changed rows.
func (m *members) apply(rows []table.Row) { m.adopt(rows) }

// adopt adopts rows that are newer than the known ones, and reports whether there are any. A relay's row that cannot be decoded
// counts as deleted, so that another daemon replaces it.
func (m *members) adopt(rows []table.Row) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	news := false
	if m.relays == nil {
		m.relays = make(map[fleet.FailureDomain]member)
	}
	if m.versions == nil {
		m.versions = make(map[fleet.FailureDomain]table.Version)
	}
	for _, row := range rows {
		if row.Name == authorityRow {
			news = m.applySeed(row) || news
			continue
		}
		domain, found := strings.CutPrefix(row.Name, relayRowPrefix)
		if !found {
			continue
		}
		next := member{domain: fleet.FailureDomain(domain), version: row.Version}
		if row.Version < m.versions[next.domain] {
			continue
		}
		news = news || row.Version > m.versions[next.domain]
		before := m.versions[next.domain]
		m.versions[next.domain] = row.Version
		if row.Value == nil {
			m.remove(next.domain, row.Version.Era() > before.Era())
			continue
		}
		if err := json.Unmarshal(row.Value, &next.Relay); err != nil {
			m.log.Error().Err(err).Str("row", row.Name).Msg("relay's row cannot be read; the relay is not used")
			next.Relay = Relay{}
		}
		if known, ok := m.relays[next.domain]; ok && next.Era < row.Version.Era() {
			next.Relay = known.Relay
		}
		m.relays[next.domain] = next
	}
	// Daemons send each other their lists at each change, so that what is known already must not count as one.
	if news {
		m.notify()
	}
	return news
}

// remove removes the relay of a failure domain. One whose row was lost, because the store came back from an older copy, stays
// until another one takes its place. The caller holds mu.
func (m *members) remove(domain fleet.FailureDomain, lost bool) {
	known, ok := m.relays[domain]
	if !lost || !ok {
		delete(m.relays, domain)
		return
	}
	known.version = 0
	m.relays[domain] = known
}

// lost reports whether the store lacks the row of the relay that is known for a failure domain, or the seed of the authority,
// because it came back from an older copy.
func (m *members) lost(domain fleet.FailureDomain) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.seedLost || m.relays[domain].Era < m.versions[domain].Era()
}

// rows returns the rows of the relays, and those that were deleted, without the seed of the authority.
func (m *members) rows() []table.Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	var result []table.Row
	for domain, version := range m.versions {
		row := table.Row{Name: relayRowPrefix + string(domain), Version: version}
		if relay, ok := m.relays[domain]; ok {
			row.Value, _ = json.Marshal(relay.Relay) // never fails
		}
		result = append(result, row)
	}
	return result
}

// applySeed adopts the seed of the authority's key, and reports whether it is newer than the known one. A seed of the wrong size
// is replaced by the next relay. The caller holds mu.
func (m *members) applySeed(row table.Row) bool {
	if row.Version < m.seedVersion {
		return false
	}
	news := row.Version > m.seedVersion
	m.seedVersion = row.Version
	if m.seedLost = row.Value == nil && m.seed != nil; m.seedLost {
		return news // peers prove their identity with it
	}
	m.seed = row.Value
	if len(row.Value) != ed25519.SeedSize {
		m.log.Error().Int("bytes", len(row.Value)).Msg("seed of the peers' authority cannot be used")
		m.seed = nil
	}
	return news
}

// notify wakes those that wait for a change. The caller holds mu.
func (m *members) notify() {
	m.changes++
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// changedChannel returns a channel that is closed at the next change.
func (m *members) changedChannel() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

// generation returns the number of changes so far.
func (m *members) generation() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changes
}

// authority returns the seed of the authority's key, or nil, and the version of its row, which is zero if there is none.
func (m *members) authority() ([]byte, table.Version) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.seedLost {
		return m.seed, 0
	}
	return m.seed, m.seedVersion
}

// of returns the relay of a failure domain. It is zero if there is none.
func (m *members) of(domain fleet.FailureDomain) member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.relays[domain]
}

// count returns the number of relays.
func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.relays)
}

// ranked returns the relays that a daemon may follow, its own domain's first. The order of the others differs between daemons, so
// that those of a lost relay spread over the rest.
func (m *members) ranked(local fleet.Host) []member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var result []member
	for _, relay := range m.relays {
		if relay.Host != "" && relay.Host != local.ID {
			result = append(result, relay)
		}
	}
	rank := func(relay member) uint64 {
		if relay.domain == local.Locality.Domain {
			return 0
		}
		return xxhash.Sum64String(string(local.ID) + " " + string(relay.Host))
	}
	slices.SortFunc(result, func(a, b member) int {
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	return result
}

// address returns the address of a relay.
func (m *members) address(host fleet.HostID) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, relay := range m.relays {
		if relay.Host == host {
			return relay.Address, true
		}
	}
	return netip.AddrPort{}, false
}

// claim writes this daemon as the relay of its failure domain, provided that the relay known so far has not been replaced. It
// creates the authority if there is none.
func (n *Node) claim(ctx context.Context) error {
	domain := n.Local.Locality.Domain
	before := n.members.of(domain)
	peersVersion, _ := n.replica.position(PeersTable)
	own := Relay{Host: n.Local.ID, Run: n.Process, Address: n.address, Era: peersVersion.Era()}
	value, err := json.Marshal(own)
	if err != nil {
		return errors.Wrap(err, "relay: encode row")
	}
	changes := []table.Change{{Name: relayRowPrefix + string(domain), Expected: before.version, Write: true, Value: value}}
	seed, seedVersion := n.members.authority()
	seedLost := seed != nil && seedVersion == 0
	create := seed == nil
	if create {
		seed = make([]byte, ed25519.SeedSize)
		_, _ = rand.Read(seed) // never fails
	}
	if create || seedLost {
		changes = append(changes, table.Change{Name: authorityRow, Expected: seedVersion, Write: true, Value: seed})
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := n.Store.CommitVersion(callCtx, changes...)
	if err != nil {
		return errors.Wrap(err, "relay: claim role")
	}
	rows := []table.Row{{Name: relayRowPrefix + string(domain), Version: version, Value: value}}
	if len(changes) > 1 {
		rows = append(rows, table.Row{Name: authorityRow, Version: version, Value: seed})
	}
	n.members.apply(rows)
	n.announce(ctx, before, rows[0])
	n.mu.Lock()
	n.claimedAt = n.Clock.Now()
	n.mu.Unlock()
	n.Log.Info().Str("domain", string(domain)).Str("before", string(before.Host)).
		Msg("daemon becomes the relay of its failure domain")
	return nil
}

// resign deletes this daemon's row, so that another daemon becomes the relay.
func (n *Node) resign(ctx context.Context) {
	own := n.members.of(n.Local.Locality.Domain)
	if !n.isOwn(own) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := n.Store.Commit(callCtx, table.Change{
		Name: relayRowPrefix + string(own.domain), Expected: own.version, Write: true,
	})
	n.Log.Info().Err(err).Msg("relay gives up its role")
}

// isOwn reports whether a relay is this process.
func (n *Node) isOwn(relay member) bool {
	return relay.Host == n.Local.ID && relay.Run == n.Process
}
