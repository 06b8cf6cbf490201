package host

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// Guards against a removed hot-key entry that the metrics count as a partition without an owner.
func TestRemovedHotKeyIsNotCountedWithoutOwner(t *testing.T) {
	is := is.New(t)
	doc := &document.Document{Services: []document.Service{
		{Name: "catalogue", Key: document.KeyHeader{Name: "Key"}, Partitions: 4},
	}}
	m := newOwnershipMaps(&Daemon{Timer: timer.System{}})
	m.metrics.Configure(doc)
	m.configure(doc)
	entry := fleet.Assignment{Partition: 4, Key: 7, Owner: "catalogue-01", Fence: fleet.Fence{Epoch: 1, Counter: 1}}
	is.Equal(len(m.merge("catalogue", []fleet.Assignment{entry})), 1)
	entry.Owner, entry.Fence.Counter = "", 2
	is.Equal(len(m.merge("catalogue", []fleet.Assignment{entry})), 1)
	response := httptest.NewRecorder()
	m.metrics.Handler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	is.True(!strings.Contains(response.Body.String(), `rosemarywick_partitions_without_owner{service="catalogue"} 1`))
}
