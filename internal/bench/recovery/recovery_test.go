package recovery_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/bench/recovery"
)

// Guards against a measurement that loses no owner, and so measures nothing, or that ends before all have one again.
func TestRun(t *testing.T) {
	is := is.New(t)
	setup := recovery.Benchmark{Partitions: 256, Log: zerolog.New(zerolog.NewTestWriter(t))}
	result, err := setup.Run(t.Context(), recovery.ServerLost)
	is.NoErr(err)
	is.True(result.Affected > 0) // how many depends on which servers answered first, which the placer here does not even out
	is.Equal(result.UnownedAtEnd, 0)
}
