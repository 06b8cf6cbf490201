package dissemination_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/bench/dissemination"
)

// Guards against a change that is in force later, or control traffic that is higher, than the targets at 12 daemons
// allow: 1 s, and 2 KB/s without changes.
func TestTargetsAtTwelveDaemons(t *testing.T) {
	is := is.New(t)
	fleet := &dissemination.Fleet{Settings: dissemination.Settings{Daemons: 12, PeerCount: 6, ItemBytes: 1000}}
	is.NoErr(fleet.Start(t.Context()))
	defer fleet.Stop()
	delays, err := fleet.MeasureDelays(t.Context(), 5, 2)
	is.NoErr(err)
	if worst := delays.AdoptedByAll[len(delays.AdoptedByAll)-1]; worst > time.Second {
		t.Errorf("in force everywhere after %s", worst)
	}
	cost, err := fleet.MeasureCost(t.Context(), 3*time.Second, 0, 0)
	is.NoErr(err)
	if cost.SentBytes > 2000 || cost.ReceivedBytes > 2000 {
		t.Errorf("%.0f bytes/s sent, %.0f received", cost.SentBytes, cost.ReceivedBytes)
	}
}
