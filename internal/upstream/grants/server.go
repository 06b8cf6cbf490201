package grants

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/ownership/lease"
)

// Server lets the requests and the orders of one fenced server share a guard. It is the http.Handler for Path.
type Server struct {
	// Guard decides. It is set before first use and used by nothing else.
	Guard *lease.Guard
	// Timer is the server's clock. It is set before first use.
	Timer timer.Clock

	// mu guards Guard and start. The clock is read while it is held, so that the guard never sees time go back.
	mu    sync.Mutex
	start time.Time
}

var _ http.Handler = (*Server)(nil)

// reading returns the server's monotonic clock reading. The caller holds mu.
func (s *Server) clockReading() time.Duration {
	now := s.Timer.Now()
	if s.start.IsZero() {
		s.start = now
	}
	return now.Sub(s.start)
}

// Admit decides whether a request for key may start. If it may, Done must be called with the ticket when it has ended.
func (s *Server) Admit(key fleet.KeyHash) (lease.Ticket, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Guard.Admit(s.clockReading(), key)
}

// MayApply decides whether the effect of an admitted request may be applied now.
func (s *Server) MayApply(ticket lease.Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Guard.MayApply(s.clockReading(), ticket)
}

// Done ends an admitted request.
func (s *Server) Done(ticket lease.Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Guard.Done(s.clockReading(), ticket)
}

// Holds reports whether requests of a partition would be admitted.
func (s *Server) Holds(partition fleet.PartitionID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Guard.Admits(s.clockReading(), partition)
}

// Leave asks the assigner to move all partitions away, because the server is about to stop.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Guard.Leaving = true
}

// ServeHTTP applies one order and answers with the report.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "an order must be sent with POST", http.StatusMethodNotAllowed)
		return
	}
	var wire wireOrder
	if err := decode(r.Body, &wire); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	order, err := decodeOrder(wire)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	report := s.apply(order)
	w.Header().Set("Content-Type", "application/json")
	// An error means that the connection broke; the assigner then sends another order.
	_ = json.NewEncoder(w).Encode(encodeReport(report))
}

func (s *Server) apply(order fleet.Order) fleet.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Guard.Apply(s.clockReading(), order)
}
