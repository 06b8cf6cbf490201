package dissemination_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/bench/dissemination"
)

// Guards against regressions beyond the targets for 12 daemons: all daemons adopt a change within 1 s, and the control traffic
// of a daemon is at most 2 KB/s in each direction while nothing changes.
func TestTargetsAtTwelveDaemons(t *testing.T) {
	is := is.New(t)
	fleet := &dissemination.Fleet{Settings: dissemination.Settings{Daemons: 12, PeerCount: 6, ItemBytes: 1000}}
	is.NoErr(fleet.Start(t.Context()))
	defer fleet.Stop()
	delays, err := fleet.MeasureDelays(t.Context(), 5, 2)
	is.NoErr(err)
	if worst := delays.AdoptedByAll[len(delays.AdoptedByAll)-1]; worst > time.Second {
		t.Errorf("a change was adopted by all daemons after %s, want at most 1s", worst)
	}
	cost, err := fleet.MeasureCost(t.Context(), 3*time.Second, 0, 0)
	is.NoErr(err)
	if cost.SentBytes > 2000 || cost.ReceivedBytes > 2000 {
		t.Errorf("control traffic is %.0f bytes/s sent and %.0f received, want at most 2000", cost.SentBytes, cost.ReceivedBytes)
	}
}
