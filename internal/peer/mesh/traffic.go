package mesh

import (
	"slices"
	"strings"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Traffic counts the bytes and packets that QUIC sent and received, excluding UDP and IP headers.
type Traffic struct {
	BytesSent, BytesReceived     uint64
	PacketsSent, PacketsReceived uint64
}

func (t *Traffic) add(other Traffic) {
	t.BytesSent += other.BytesSent
	t.BytesReceived += other.BytesReceived
	t.PacketsSent += other.PacketsSent
	t.PacketsReceived += other.PacketsReceived
}

// Link describes the connection to one host.
type Link struct {
	Host fleet.HostID
	// Peer is set if one of the two hosts wants the other as a peer. Otherwise the connection was made on demand.
	Peer    bool
	Traffic Traffic
}

// Links returns the current connections, sorted by host.
func (m *Mesh) Links() []Link {
	m.mu.Lock()
	defer m.mu.Unlock()
	links := make([]Link, 0, len(m.links))
	for id, l := range m.links {
		links = append(links, Link{Host: id, Peer: l.peerUp, Traffic: trafficOf(l)})
	}
	slices.SortFunc(links, func(a, b Link) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return links
}

// TotalTraffic returns the traffic of all connections since Run started, including closed ones.
func (m *Mesh) TotalTraffic() Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := m.closedTraffic
	for l := range m.openLinks {
		total.add(trafficOf(l))
	}
	return total
}

// addClosedTraffic adds the traffic of a link that is no longer read to the total of closed links.
func (m *Mesh) addClosedTraffic(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.openLinks, l)
	m.closedTraffic.add(trafficOf(l))
}

func trafficOf(l *link) Traffic {
	stats := l.conn.ConnectionStats()
	return Traffic{
		BytesSent: stats.BytesSent, BytesReceived: stats.BytesReceived,
		PacketsSent: stats.PacketsSent, PacketsReceived: stats.PacketsReceived,
	}
}
