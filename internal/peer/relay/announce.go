package relay

import (
	"context"
	"strings"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/peer/wire"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// announce sends the row of this daemon, which has become a relay, to the relay that it has replaced and to all others. Those
// that don't reach the store learn of it in no other way, and neither do the daemons that follow them.
func (n *Node) announce(ctx context.Context, replaced member, own table.Row) {
	if n.links == nil { // before the start no connection exists
		return
	}
	receivers := n.members.ranked(n.Local)
	if replaced.Host != "" && replaced.Host != n.Local.ID {
		receivers = append(receivers, replaced)
	}
	message := relaysMessage([]table.Row{own})
	for _, receiver := range receivers {
		n.tasks.Go(func() {
			if err := n.send(ctx, receiver.Host, message); err != nil {
				n.Log.Debug().Err(err).Str("relay", string(receiver.Host)).Msg("announce new relay")
			}
		})
	}
}

// sendRelays sends the list of relays to a subscriber. It returns false if that fails.
func (n *Node) sendRelays(ctx context.Context, host fleet.HostID) bool {
	if err := n.send(ctx, host, relaysMessage(n.members.rows())); err != nil {
		n.Log.Debug().Err(err).Str("subscriber", string(host)).Msg("send list of relays")
		return false
	}
	return true
}

// handleRelays adopts rows of a peer's list of relays that are newer than the known ones. Rows of any other kind are ignored.
func (n *Node) handleRelays(from fleet.HostID, rows []*wire.TableRow) {
	var relays []table.Row
	for _, row := range rows {
		if strings.HasPrefix(row.GetName(), relayRowPrefix) {
			relays = append(relays, decodeRow(row))
		}
	}
	if n.members.adopt(relays) {
		n.Log.Info().Str("peer", string(from)).Msg("peer reports a new relay")
	}
}

// refreshRelays reads the list of relays from the store.
func (n *Node) refreshRelays(ctx context.Context) {
	reader := n.newSource(ctx)
	reader.onOutcome = nil
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := reader.Snapshot(callCtx, PeersTable); err != nil {
		n.Log.Debug().Err(err).Msg("read list of relays")
	}
}

func relaysMessage(rows []table.Row) *wire.Relay {
	message := &wire.Relays{}
	for _, row := range rows {
		message.Rows = append(message.Rows, encodeRow(row))
	}
	return &wire.Relay{Body: &wire.Relay_Relays{Relays: message}}
}
