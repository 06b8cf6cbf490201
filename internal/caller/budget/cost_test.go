package budget_test

import (
	"testing"

	"rosemarywick.example/rosemarywick/internal/caller/budget"
	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// BenchmarkWrite measures what the budget costs a write to a caller, among many connections that wait for theirs.
func BenchmarkWrite(b *testing.B) {
	held := &budget.Budget{Limits: budget.LimitsFor(284<<20, 4100), Clock: timer.System{}}
	for range 400 {
		held.Open(func() {})
	}
	holder, ok := held.Open(func() {})
	if !ok {
		b.Fatal("no room")
	}
	holder.Await(false)
	b.ReportAllocs()
	for b.Loop() {
		holder.BeginWrite()
		holder.EndWrite()
	}
}
