package shutdown_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/daemon/shutdown"
)

// Guards against requests that are accepted so late that breaking them off at the end of the stop is a fault, however long the stop
// may take, against requests that are broken off earlier than in the last sixth of the stop, and against a stop that takes longer
// than it may.
func TestSchedule(t *testing.T) {
	is := is.New(t)
	for timeout := 100 * time.Millisecond; timeout <= 2*time.Minute; timeout += 100 * time.Millisecond {
		for _, grace := range []time.Duration{0, timeout / 10, timeout / 2, timeout} {
			for _, completeFrom := range []time.Duration{0, time.Second, 3 * time.Second} {
				got := shutdown.NewSchedule(shutdown.Bounds{Timeout: timeout, BalancerGrace: grace, CompleteFrom: completeFrom})
				is.True(got.Accept >= 0 && got.Accept <= grace)
				is.True(completeFrom == 0 || got.Accept < completeFrom)
				is.True(got.Accept <= got.End)
				is.True(got.End >= timeout-timeout/6)
				is.True(got.End < got.Close)
				is.True(got.Close < timeout)
			}
		}
	}
}
