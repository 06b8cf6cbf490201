package rolling_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/bench/rolling"
	"rosemarywick.example/rosemarywick/internal/daemon/dev"
)

// Guards against a measurement that does not notice the loss of a server, or that counts answers which contradict what
// was run as good ones.
func TestLossIsMeasured(t *testing.T) {
	is := is.New(t)
	bench := &rolling.Benchmark{Shape: dev.Ceibal, Daemons: 3}
	is.NoErr(bench.Start(t.Context()))
	defer func() { is.NoErr(bench.Stop()) }()
	result, err := bench.Run(t.Context(), rolling.LoseServer)
	is.NoErr(err)
	is.True(result.Requests > 0)
	is.Equal(result.Contradictions, 0)
	is.Equal(result.DoubleOwnerSamples, 0)
	is.True(result.LongestUnowned > 100*time.Millisecond)         // an unexpired lease of the lost server is waited for
	is.True(result.LongestResponseGap >= result.LongestUnowned/2) // its keys got no answer meanwhile
}
