package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
	"rosemarywick.example/rosemarywick/internal/platform/table"
	"rosemarywick.example/rosemarywick/internal/upstream/registry"
)

// Guards against requests that are counted for another service, and against churn, time without an owner and load imbalance
// that are missing in the metrics.
func TestExportedMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &Daemon{Timer: timer.System{}, Log: zerolog.Nop()}
		d.configuration = &configuration{
			decode: decodeVersion, rowName: "op/config", registry: &registry.Registry{Clock: timer.System{}, Log: zerolog.Nop()},
		}
		d.ownershipMap, d.loadTracker = &ownershipMap{clock: timer.System{}}, &loadTracker{}
		d.observer = newObserver(d)
		d.connectMetrics()
		d.configuration.applyRows([]table.Row{{Name: "op/config", Version: 1, Value: []byte("a")}})
		d.observer.Record(cause.Record{Service: "s", Outcome: cause.Complete, Cause: cause.OK})
		d.ownershipMap.applyRows([]table.Row{encodeTableRow(1, 1, "a")})
		d.ownershipMap.applyRows([]table.Row{encodeTableRow(2, 2, "b", ranges.FormerOwner{GrantsExpireAt: time.Hour})})
		is.NoErr(timer.Wait(t.Context(), timer.System{}, time.Second))
		d.ownershipMap.applyRows([]table.Row{encodeTableRow(3, 2, "b")})
		d.observeLoad("s", &ranges.Load{})
		d.observePlan("s", []ranges.MoveSum{{Reason: ranges.ReasonOverload, Moves: 3, Splits: 2, Keys: 40}}, 1.5, 0.5)
		response := httptest.NewRecorder()
		d.observer.metrics.Handler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
		for _, want := range []string{
			`rosemarywick_requests_total{outcome="complete",service="s",tenant="other"} 1`,
			`rosemarywick_partitions_moved_total{service="s"} 1024`,
			`rosemarywick_partitions_without_owner{service="s"} 0`,
			`rosemarywick_unavailable_partition_seconds_total{service="s"} 1024`,
			`rosemarywick_load_imbalance_ratio{service="s"} 1`,
			`rosemarywick_server_utilization_ratio{server="busiest",service="s"} 1.5`,
			`rosemarywick_range_changes_total{change="key",reason="overload",service="s"} 40`,
		} {
			if !strings.Contains(response.Body.String(), "\n"+want+"\n") {
				t.Errorf("%s is missing in\n%s", want, response.Body)
			}
		}
	})
}
