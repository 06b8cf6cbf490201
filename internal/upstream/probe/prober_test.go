package probe_test

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/upstream/probe"
)

// upstream answers probes with its status.
type upstream struct{ status atomic.Int64 }

func (u *upstream) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: int(u.status.Load()), Body: http.NoBody}, nil
}

// Guards against an upstream that is given up after one lost probe, and against one that stays given up.
func TestProber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		target := &upstream{}
		target.status.Store(http.StatusOK)
		prober := &probe.Prober{Timer: timer.System{}, Interval: time.Second, Transport: target}
		prober.SetUpstreams([]fleet.Upstream{{ID: "plans-01", Address: netip.MustParseAddrPort("127.0.0.1:1")}})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- prober.Run(ctx) }()
		after := func(delay time.Duration) int {
			is.NoErr(timer.Wait(t.Context(), timer.System{}, delay))
			synctest.Wait()
			return len(prober.Alive())
		}
		is.Equal(after(1500*time.Millisecond), 1)
		target.status.Store(http.StatusServiceUnavailable)
		is.Equal(after(2*time.Second), 1) // two probes failed
		is.Equal(after(time.Second), 0)   // the third in a row
		target.status.Store(http.StatusOK)
		is.Equal(after(time.Second), 1)
		prober.SetUpstreams(nil)
		is.Equal(after(time.Second), 0)
		cancel()
		is.NoErr(<-ended)
	})
}
