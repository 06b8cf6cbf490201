package entry

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/peer/relay"
	"rosemarywick.example/rosemarywick/internal/platform/table"
	"rosemarywick.example/rosemarywick/internal/routing/evacuation"
	"rosemarywick.example/rosemarywick/internal/upstream/registry"
)

// decodeOrder decodes rows whose names end with a domain after "op/e/".
func decodeOrder(row table.Row) evacuation.Change {
	domain, ok := strings.CutPrefix(row.Name, "op/e/")
	switch {
	case !ok:
		return nil
	case row.Value == nil:
		return evacuation.Deleted{Domain: fleet.FailureDomain(domain), Version: row.Version}
	}
	return evacuation.Written{Domain: fleet.FailureDomain(domain), Version: row.Version}
}

// Guards against a configuration that is in force before the evacuations of the same snapshot, against an evacuation that is lost
// with the store's rows, and against events that operators cannot see.
func TestEvacuationsOfConfigurationTable(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	d := &Daemon{
		Timer: timer.System{}, Log: zerolog.New(&log), Tables: Tables{ConfigurationTable: "op", ConfigurationRow: "op/config"},
		Limits:      Limits{ApplyTimeout: 4e9},
		Evacuations: Evacuations{Timeout: 5e9, Domains: map[fleet.FailureDomain]bool{"a": true}, Decode: decodeOrder},
		node:        &relay.Node{Clock: timer.System{}},
	}
	d.registry = &registry.Registry{Clock: d.Timer, Log: zerolog.Nop()}
	d.prepareEvacuations()
	d.configuration = &configuration{decode: decodeVersion, rowName: "op/config", registry: d.registry, onAdopted: func(*document.Document) {}}
	d.registry.Put(registry.Entry{ID: "u", Service: "s", Locality: fleet.Locality{Domain: "a"}})
	operators := d.configurationTable()
	is.Equal(operators.ApplyLimit.Seconds(), 2.5) // the other half is for owners that are still used
	operators.Reset([]table.Row{{Name: "op/config", Version: 1, Value: []byte("a")}, {Name: "op/e/a", Version: 2, Value: []byte("{}")}})
	is.True(d.configuration.Current().Services[0].Upstreams[0].Evacuated)
	operators.Apply([]table.Row{{Name: "op/e/z", Version: 3, Value: []byte("{}")}})
	at := table.NewVersion(1, 1)
	operators.Restored(at)
	operators.Apply([]table.Row{{Name: "op/e/a", Version: at}})
	is.True(d.registry.Upstreams()["s"][0].Evacuated)
	d.observer = newObserver(d)
	d.observer.metrics.ExposeEvacuations(d.evacuations.set)
	response := httptest.NewRecorder()
	d.observer.metrics.Handler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	is.True(strings.Contains(response.Body.String(), "\nrosemarywick_evacuated_domains 1\n"))
	is.True(strings.Contains(response.Body.String(), "\nrosemarywick_unknown_evacuations 1\n"))
	operators.Apply([]table.Row{{Name: "op/e/a", Version: at + 1}})
	is.True(!d.registry.Upstreams()["s"][0].Evacuated)
	for _, want := range []string{"failure domain is evacuated", "that the settings do not name", "was lost by the store", "has ended"} {
		is.Equal(strings.Count(log.String(), want), 1)
	}
}
