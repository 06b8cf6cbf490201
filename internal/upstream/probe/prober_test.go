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

// fakeUpstream responds to probes with its status.
type fakeUpstream struct{ status atomic.Int64 }

func (u *fakeUpstream) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: int(u.status.Load()), Body: http.NoBody}, nil
}

// Guards against an upstream that counts as dead after a single failed probe, and against one that stays dead after it recovered.
func TestProber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		target := &fakeUpstream{}
		target.status.Store(http.StatusOK)
		prober := &probe.Prober{Timer: timer.System{}, Interval: time.Second, Transport: target}
		prober.SetUpstreams([]fleet.Upstream{{ID: "plans-01", Address: netip.MustParseAddrPort("127.0.0.1:1")}})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- prober.Run(ctx) }()
		aliveAfter := func(delay time.Duration) int {
			is.NoErr(timer.Wait(t.Context(), timer.System{}, delay))
			synctest.Wait()
			return len(prober.Alive())
		}
		is.Equal(aliveAfter(1500*time.Millisecond), 1)
		target.status.Store(http.StatusServiceUnavailable)
		is.Equal(aliveAfter(2*time.Second), 1) // two probes have failed
		is.Equal(aliveAfter(time.Second), 0)   // the third consecutive failure
		target.status.Store(http.StatusOK)
		is.Equal(aliveAfter(time.Second), 1)
		prober.SetUpstreams(nil)
		is.Equal(aliveAfter(time.Second), 0)
		cancel()
		is.NoErr(<-ended)
	})
}
