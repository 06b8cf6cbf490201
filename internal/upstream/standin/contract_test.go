package standin_test

import (
	"net/http"
	"strconv"
	"testing"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
	"rosemarywick.example/rosemarywick/internal/upstream/contract"
	"rosemarywick.example/rosemarywick/internal/upstream/grants"
	"rosemarywick.example/rosemarywick/internal/upstream/standin"
)

// Guards against a fake worker that treats orders unlike a fenced server.
func TestGrantContract(t *testing.T) {
	contract.RunGrantTests(t, func(t *testing.T) contract.Server {
		guard := &grants.Server{Timer: timer.System{}, Guard: &lease.Guard{Service: "catalogue", Incarnation: "r1", Partitions: 8}}
		worker := &standin.Worker{ID: "catalogue-01", Clock: timer.System{}, Slots: 2, Ownership: guard, OrderHandler: guard}
		if err := worker.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(worker.Stop)
		return contract.Server{
			Address: worker.Address(), Service: "catalogue", Partitions: 8,
			Request: func(t *testing.T, key string) bool {
				t.Helper()
				url := "http://" + worker.Address().String() + "/plans"
				request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
				if err != nil {
					t.Fatal(err)
				}
				request.Header.Set("Rosemarywick-Key-Hash", strconv.FormatUint(uint64(fleet.HashKey(key)), 16))
				response, err := http.DefaultClient.Do(request)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = response.Body.Close() }()
				if response.StatusCode != http.StatusOK && response.Header.Get("Not-Owner") != "true" {
					t.Fatalf("status %d without the statement that the key is not owned", response.StatusCode)
				}
				return response.StatusCode == http.StatusOK
			},
		}
	})
}
