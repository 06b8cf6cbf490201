package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
	"rosemarywick.example/rosemarywick/internal/upstream/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T, worker *standin.Worker) *forward.Client {
	is.New(t).NoErr(worker.Start(t.Context()))
	client := &forward.Client{Address: worker.Address(), Clock: timer.System{}, MaxConnections: 4}
	t.Cleanup(func() { worker.Stop(); client.Close() })
	return client
}

func request(id, method string, body int) *forward.Request {
	return &forward.Request{
		ID: fleet.RequestID(id), Method: method, Target: "/x", Body: make([]byte, body), Deadline: time.Now().Add(time.Second),
		Header: http.Header{"Idempotency-Key": {"i"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-End": {"2"}},
	}
}

// Guards against a result that claims more than is known: each fault must give exactly its class.
func TestSend(t *testing.T) {
	cases := []struct {
		fault standin.Fault
		want  forward.Result
	}{
		{standin.FaultNone, forward.Responded{}},
		{standin.FaultReject, forward.Rejected{}},
		{standin.FaultNotOwner, forward.NotOwner{}},
		{standin.FaultResetBeforeBody, forward.NoResponse{}},
		{standin.FaultResetAfterBody, forward.NoResponse{}},
		{standin.FaultResetAfterRun, forward.NoResponse{}},
		{standin.FaultTruncate, forward.Truncated{}},
		{standin.FaultNoResponse, forward.NoResponse{}},
	}
	for _, test := range cases {
		t.Run("fault "+string(test.fault), func(t *testing.T) {
			is := is.New(t)
			client := start(t, &standin.Worker{InjectFault: func(*http.Request) standin.Fault { return test.fault }})
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			got := client.Send(ctx, request("r", http.MethodPost, 100))
			is.Equal(fmt.Sprintf("%T", got), fmt.Sprintf("%T", test.want))
			if lost, ok := got.(forward.NoResponse); ok {
				is.Equal(lost.ContextDone, test.fault == standin.FaultNoResponse) // only the silent worker was given up on this side
			}
		})
	}
}

// Guards against net/http repeating a request by itself: it does so for requests without a body and for those with an
// idempotency key when a reused connection fails.
func TestSendOnce(t *testing.T) {
	for _, body := range []int{0, 100} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			is := is.New(t)
			var spoil atomic.Bool
			worker := &standin.Worker{InjectFault: func(*http.Request) standin.Fault {
				if spoil.Load() {
					return standin.FaultResetAfterRun
				}
				return standin.FaultNone
			}}
			client := start(t, worker)
			_, ok := client.Send(t.Context(), request("first", method, body)).(forward.Responded)
			is.True(ok) // leaves a connection to reuse
			spoil.Store(true)
			_, lost := client.Send(t.Context(), request("second", method, body)).(forward.NoResponse)
			is.True(lost)
			is.Equal(worker.Runs("second").Effects, 1)
		}
	}
}

// Guards against a refused connection that is told as a request that may have run, and a local end told as a fault.
func TestNotSent(t *testing.T) {
	is := is.New(t)
	worker := &standin.Worker{}
	client := start(t, worker)
	worker.Stop()
	refused, ok := client.Send(t.Context(), request("r", http.MethodPost, 100)).(forward.NotSent)
	is.True(ok && !refused.ContextDone)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	local, ok := client.Send(ctx, request("r", http.MethodPost, 100)).(forward.NotSent)
	is.True(ok && local.ContextDone)
}

// Guards against a long answer that ends early and reads as complete.
func TestTruncatedStream(t *testing.T) {
	is := is.New(t)
	client := start(t, &standin.Worker{InjectFault: func(*http.Request) standin.Fault { return standin.FaultTruncate }})
	download := request("d", http.MethodGet, 0)
	download.Target = "/download/a/200000"
	got, ok := client.Send(t.Context(), download).(forward.Responded)
	is.True(ok)
	_, err := io.Copy(io.Discard, got.Body)
	is.True(errors.Is(err, forward.ErrTruncated))
	is.NoErr(got.Body.Close())
}

// Guards against headers of one connection that reach the next, and against lost deadlines, partitions and fences.
func TestHeaders(t *testing.T) {
	is := is.New(t)
	var seen http.Header
	client := start(t, &standin.Worker{InjectFault: func(r *http.Request) standin.Fault { seen = r.Header; return standin.FaultNone }})
	keyed := request("r", http.MethodPost, 1)
	keyed.Keyed, keyed.Partition, keyed.Fence = true, 7, fleet.Fence{Epoch: 3, Counter: 9}
	client.Send(t.Context(), keyed)
	is.Equal([]string{seen.Get("X-Hop"), seen.Get("X-End")}, []string{"", "2"})
	is.Equal([]string{seen.Get("Rosemarywick-Partition"), seen.Get("Rosemarywick-Fence")}, []string{"7", "3.9"})
	left, err := time.ParseDuration(seen.Get("Rosemarywick-Timeout"))
	is.NoErr(err)
	is.True(left > 0 && left <= time.Second)
}
