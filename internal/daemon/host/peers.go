package host

import (
	"bytes"
	"context"
	"slices"
	"sync"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/peer/gossip"
	"rosemarywick.example/rosemarywick/internal/peer/membership"
	"rosemarywick.example/rosemarywick/internal/peer/mesh"
)

// assignerTopic is the mesh topic of the messages between the assigners of all services. The mesh accepts handlers only before
// it runs, but services are added and removed while it runs, so each message begins with a topic of its own.
const assignerTopic = "assigner"

// peers connects the daemon to the other daemons of the fleet through the mesh and the gossip protocol.
type peers struct {
	mesh   *mesh.Mesh
	gossip *gossip.Runner

	mu sync.Mutex
	// receivers is guarded by mu: the handlers of the topics within assignerTopic.
	receivers map[string]func(from fleet.HostID, payload []byte)
}

func newPeers(d *Daemon) *peers {
	p := &peers{receivers: make(map[string]func(fleet.HostID, []byte))}
	view := &membership.View{
		Self: d.Settings.Host, Incarnation: d.incarnation, PeerCount: d.Settings.PeerCount, Timing: membership.DefaultTiming,
	}
	p.mesh = &mesh.Mesh{
		Local: d.Settings.Host, Incarnation: d.incarnation, TLS: d.certificates.PeerConfig(), Clock: d.Timer, Log: d.Log,
		Socket: d.PeerSocket,
	}
	p.gossip = &gossip.Runner{Transport: p.mesh, View: view, HostList: d.hosts, Clock: d.Timer, Log: d.Log}
	p.mesh.Resolve = p.gossip.Resolve
	p.mesh.PeerUp, p.mesh.PeerDown = p.gossip.PeerUp, p.gossip.PeerDown
	p.mesh.Handle(gossip.Topic, p.gossip.Receive)
	p.mesh.Handle(assignerTopic, p.receive)
	return p
}

// hasRole reports whether this daemon is among the count members that rank highest for a role.
func (p *peers) hasRole(role string, count int) bool {
	return slices.ContainsFunc(p.gossip.TopRanked(role, count), func(member fleet.Host) bool { return member.ID == p.mesh.Local.ID })
}

// Send sends a message to the handler that the host to has registered for a topic with Handle.
func (p *peers) Send(ctx context.Context, to fleet.HostID, topic string, payload []byte) error {
	message := make([]byte, 0, len(topic)+1+len(payload))
	message = append(message, topic...)
	message = append(message, 0)
	return p.mesh.Send(ctx, to, assignerTopic, append(message, payload...))
}

// Handle registers the receiver of a topic and replaces an earlier one.
func (p *peers) Handle(topic string, receive func(from fleet.HostID, payload []byte)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.receivers[topic] = receive
}

// receive passes a message to the receiver of its topic. Messages of unknown topics are dropped.
func (p *peers) receive(_ context.Context, from fleet.HostID, message []byte) {
	topic, payload, found := bytes.Cut(message, []byte{0})
	if !found {
		return
	}
	p.mu.Lock()
	receive := p.receivers[string(topic)]
	p.mu.Unlock()
	if receive != nil {
		receive(from, payload)
	}
}
