package rolling_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/bench/rolling"
	"rosemarywick.example/rosemarywick/internal/daemon/dev"
)

// Guards against a measurement that does not detect the failure of a server, or that misses responses that are inconsistent
// with what the upstreams ran.
func TestServerLossIsMeasured(t *testing.T) {
	is := is.New(t)
	benchmark := &rolling.Benchmark{Shape: dev.Ceibal, Daemons: 3}
	is.NoErr(benchmark.Start(t.Context()))
	defer func() { is.NoErr(benchmark.Stop()) }()
	result, err := benchmark.Run(t.Context(), rolling.LoseServer)
	is.NoErr(err)
	is.True(result.Requests > 0)
	is.Equal(result.Contradictions, 0)
	is.Equal(result.DoubleOwnerSamples, 0)
	is.True(result.LongestUnowned > 100*time.Millisecond)         // its partitions are reassigned only after its lease has expired
	is.True(result.LongestResponseGap >= result.LongestUnowned/2) // its keys got no response in that time
}
