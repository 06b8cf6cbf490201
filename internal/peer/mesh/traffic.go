package mesh

import (
	"slices"
	"strings"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Traffic counts what QUIC sent and received, without the headers of UDP and IP.
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

// Link describes one connection.
type Link struct {
	Host fleet.HostID
	// Peer is set when either side wants the connection as a peer's; otherwise it was made on demand.
	Peer    bool
	Traffic Traffic
}

// Links returns the present connections in the order of their hosts.
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

// Total returns the traffic of all connections since Run began, those that have ended included.
func (m *Mesh) TotalTraffic() Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := m.closedTraffic
	for l := range m.openLinks {
		total.add(trafficOf(l))
	}
	return total
}

// count adds the traffic of a connection that has ended to the total.
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
