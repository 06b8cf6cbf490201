package recovery_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/bench/recovery"
)

// Guards against a scenario that takes the owner of no partition, so that nothing is measured, and against a run that ends
// before all partitions have an owner again.
func TestServerLossIsMeasuredUntilRecovery(t *testing.T) {
	is := is.New(t)
	benchmark := recovery.Benchmark{Partitions: 256, Log: zerolog.New(zerolog.NewTestWriter(t))}
	result, err := benchmark.Run(t.Context(), recovery.ServerLost)
	is.NoErr(err)
	is.True(result.Affected > 0) // the number depends on which servers answered first, since the placer does not balance them
	is.Equal(result.UnownedAtEnd, 0)
}
