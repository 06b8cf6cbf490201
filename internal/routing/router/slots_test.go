package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/document"
	"rosemarywick.example/rosemarywick/internal/routing/admission"
)

// Guards against more requests in flight at an upstream than it registered slots for, because another one registered far more.
func TestSlotsOfOneUpstream(t *testing.T) {
	is := is.New(t)
	r := &Router{HostCount: func() int { return 1 }}
	service := &document.Service{
		Slots: 4000, MaxConnections: 5000, Upstreams: []document.Upstream{{ID: "a", Slots: 6}, {ID: "odd", Slots: 4000}, {ID: "b"}},
	}
	now := time.Now()
	is.Equal(admission.MaxInFlight(r.newLimit(service, "a"), now), 6)
	is.Equal(admission.MaxInFlight(r.newLimit(service, "odd"), now), 4000)
	is.Equal(admission.MaxInFlight(r.newLimit(service, "b"), now), 4000) // the service's number
}
