package relay

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// newReal returns a node with real connections on loopback.
func newReal(store *memoryStore, id fleet.HostID) *daemon {
	d := &daemon{rows: map[string]table.Row{}, highest: map[string]table.Version{}}
	d.Node = &Node{
		Local: fleet.Host{
			ID: id, Locality: fleet.Locality{Region: "r", Domain: "d"}, PeerAddress: netip.MustParseAddrPort("127.0.0.1:0"),
		},
		Process: string(id) + "/1", Store: view{store, id}, Feed: view{store, id}, Clock: timer.System{}, Log: zerolog.Nop(),
		Tables:     []Table{{Name: "t", Consumer: Consumer{Reset: d.reset, Apply: d.apply}}},
		StartDelay: func() time.Duration { return 0 }, Daemons: func() int { return 3 }, OnRecovered: func() {}, Reporter: d,
		Serve: func(ctx context.Context) { <-ctx.Done() },
	}
	return d
}

// runReal runs a node until the end of the test.
func runReal(t *testing.T, d *daemon) {
	d.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("node %s: %v", d.Local.ID, err)
		}
	})
}

// startReal starts a node with real connections on loopback.
func startReal(t *testing.T, store *memoryStore, id fleet.HostID) *daemon {
	d := newReal(store, id)
	runReal(t, d)
	return d
}

// await waits until a condition holds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		sleep(10 * time.Millisecond)
	}
	t.Fatalf("timeout: %s", what)
}

// Guards against daemons that do not find or authenticate each other over QUIC, so that each would read the store itself.
func TestChangesOverQUIC(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	store.write("t/a", "1")
	first := startReal(t, store, "h0")
	await(t, "relay", first.holdsRole)
	second, third := startReal(t, store, "h1"), startReal(t, store, "h2")
	await(t, "subscribers", func() bool { return first.Subscribers() == 2 })
	store.write("t/a", "2")
	await(t, "change", func() bool { return second.value("t/a") == "2" && third.value("t/a") == "2" })
	is.True(!second.followsStore() && !third.followsStore())
	is.Equal(second.Relays(), 1)
}

// Guards against a peer that is trusted without knowing the authority's key, which proves that it may use the store.
func TestPeerWithOtherAuthorityIsRefused(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	store.write("t/a", "1")
	first := startReal(t, store, "h0")
	await(t, "relay", first.holdsRole)
	other := newMemoryStore()
	for range 10 { // the other store's versions are higher
		other.write("t/a", "forged")
	}
	store.mu.Lock()
	other.set(func() {
		other.rows[relayRowPrefix+"d"] = store.rows[relayRowPrefix+"d"]
		other.rows[authorityRow] = table.Row{Name: authorityRow, Version: 11, Value: make([]byte, 32)}
	})
	store.mu.Unlock()
	stranger := startReal(t, other, "h1")
	await(t, "fallback to the own store", func() bool { return stranger.value("t/a") == "forged" })
	is.Equal(first.Subscribers(), 0)
	is.Equal(first.value("t/a"), "1")
}

// Guards against a process that ends, or serves nobody, because it can't open its address for peers.
func TestAddressInUse(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	store.write("t/a", "1")
	taken, err := new(net.ListenConfig).ListenPacket(t.Context(), "udp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = taken.Close() }()
	d := newReal(store, "h0")
	d.Local.PeerAddress = taken.LocalAddr().(*net.UDPAddr).AddrPort()
	runReal(t, d)
	await(t, "table", func() bool { return d.value("t/a") == "1" })
	store.write("t/a", "2")
	await(t, "change", func() bool { return d.value("t/a") == "2" })
}

// Guards against an unreadable seed of the authority that keeps all daemons from finding each other.
func TestUnreadableSeedIsReplaced(t *testing.T) {
	store := newMemoryStore()
	store.write("t/a", "1")
	store.write(authorityRow, "short")
	first, second := startReal(t, store, "h0"), startReal(t, store, "h1")
	await(t, "subscriber", func() bool { return first.Subscribers()+second.Subscribers() == 1 })
	await(t, "table", func() bool { return first.value("t/a") == "1" && second.value("t/a") == "1" })
}
