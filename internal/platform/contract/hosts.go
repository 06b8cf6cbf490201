package contract

import (
	"net/netip"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/platform/hosts"
	"rosemarywick.example/rosemarywick/internal/platform/standin"
)

// Hosts checks a host list. open returns an empty one and the fake behind it.
func RunHostsTests(t *testing.T, open func(t *testing.T) (hosts.List, *standin.Hosts)) {
	host := func(id fleet.HostID) fleet.Host {
		return fleet.Host{
			ID: id, Locality: fleet.Locality{Region: "r", Domain: "d"}, PeerAddress: netip.MustParseAddrPort("127.0.0.1:7001"),
		}
	}
	t.Run("shows hosts, wrong entries and omissions", func(t *testing.T) {
		is := is.New(t)
		list, fake := open(t)
		for _, id := range []fleet.HostID{"a", "b", "gone"} {
			fake.SetState(host(id), hosts.Live)
		}
		fake.SetState(host("b"), hosts.Leaving)
		fake.Remove("gone")
		entries, err := list.Hosts(t.Context())
		is.NoErr(err)
		is.Equal(entries, []hosts.Entry{{Host: host("a"), State: hosts.Live}, {Host: host("b"), State: hosts.Leaving}})

		fake.Misreport(host("a"), "")
		fake.Misreport(host("ghost"), hosts.Live)
		entries, err = list.Hosts(t.Context())
		is.NoErr(err)
		is.Equal(entries, []hosts.Entry{{Host: host("b"), State: hosts.Leaving}, {Host: host("ghost"), State: hosts.Live}})
	})
	t.Run("outage is unavailable", func(t *testing.T) {
		is := is.New(t)
		list, fake := open(t)
		fake.SetOutage(standin.OutageRefused)
		_, err := list.Hosts(t.Context())
		is.True(errors.Is(err, hosts.ErrUnavailable)) // and not an empty fleet
	})
}
