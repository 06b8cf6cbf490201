package standin_test

import (
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/platform/contract"
	"rosemarywick.example/rosemarywick/internal/platform/hosts"
	"rosemarywick.example/rosemarywick/internal/platform/objects"
	"rosemarywick.example/rosemarywick/internal/platform/standin"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

func serve(t *testing.T) (*standin.Platform, netip.AddrPort) {
	platform := standin.NewPlatform(timer.System{})
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	return platform, netip.MustParseAddrPort(server.Listener.Addr().String())
}

// Guards against a fake or a client that breaks the contract of its interface.
func TestContracts(t *testing.T) {
	t.Run("table fake", func(t *testing.T) {
		contract.RunTableTests(t, func(*testing.T) (table.Store, *standin.Table) {
			fake := standin.NewTable(timer.System{})
			return fake, fake
		})
	})
	t.Run("table client", func(t *testing.T) {
		contract.RunTableTests(t, func(t *testing.T) (table.Store, *standin.Table) {
			platform, address := serve(t)
			client := &table.Client{Address: address}
			t.Cleanup(client.Close)
			return client, platform.Table
		})
	})
	t.Run("objects fake", func(t *testing.T) {
		contract.RunObjectsTests(t, func(*testing.T) (objects.Store, *standin.Objects) {
			fake := standin.NewObjects(timer.System{})
			return fake, fake
		})
	})
	t.Run("objects client", func(t *testing.T) {
		contract.RunObjectsTests(t, func(t *testing.T) (objects.Store, *standin.Objects) {
			platform, address := serve(t)
			client := &objects.Client{Address: address}
			t.Cleanup(client.Close)
			return client, platform.Objects
		})
	})
	t.Run("hosts fake", func(t *testing.T) {
		contract.RunHostsTests(t, func(*testing.T) (hosts.List, *standin.Hosts) {
			fake := standin.NewHosts(timer.System{})
			return fake, fake
		})
	})
	t.Run("hosts client", func(t *testing.T) {
		contract.RunHostsTests(t, func(t *testing.T) (hosts.List, *standin.Hosts) {
			platform, address := serve(t)
			client := &hosts.Client{Address: address}
			t.Cleanup(client.Close)
			return client, platform.Hosts
		})
	})
}

// Guards against a commit that is reported as unknown although no connection was made.
func TestCommitWithoutService(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(nil)
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	server.Close()
	client := &table.Client{Address: address}
	defer client.Close()
	err := client.Commit(t.Context(), table.Change{Name: "a", Write: true, Value: []byte("1")})
	is.True(errors.Is(err, table.ErrUnavailable))
}

// Guards against a host list that shows a change before its delay has passed.
func TestHostsDelay(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(time.Unix(0, 0))
	list := standin.NewHosts(clock)
	list.SetDelay(time.Minute)
	list.SetState(fleet.Host{ID: "a"}, hosts.Live)
	count := func() int {
		entries, err := list.Hosts(t.Context())
		is.NoErr(err)
		return len(entries)
	}
	is.Equal(count(), 0)
	clock.Advance(time.Minute)
	is.Equal(count(), 1)
	list.Remove("a")
	clock.Advance(59 * time.Second)
	is.Equal(count(), 1) // the list still shows the host
	clock.Advance(time.Second)
	is.Equal(count(), 0)
}
