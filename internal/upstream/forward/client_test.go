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

func newClient(t *testing.T, worker *standin.Worker) *forward.Client {
	is.New(t).NoErr(worker.Start(t.Context()))
	client := &forward.Client{Address: worker.Address(), Clock: timer.System{}, MaxConnections: 4}
	t.Cleanup(func() { worker.Stop(); client.Close() })
	return client
}

func newRequest(id, method string, body int) *forward.Request {
	return &forward.Request{
		ID: fleet.RequestID(id), Method: method, Target: "/x", Body: forward.Body{make([]byte, body)}, Deadline: time.Now().Add(time.Second),
		Header: http.Header{"Idempotency-Key": {"i"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-End": {"2"}},
	}
}

// Guards against a result that claims more than is known: each fault of the upstream must yield exactly one type of result.
func TestSendClassifiesFaults(t *testing.T) {
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
			client := newClient(t, &standin.Worker{InjectFault: func(*http.Request) standin.Fault { return test.fault }})
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			got := client.Send(ctx, newRequest("r", http.MethodPost, 100))
			is.Equal(fmt.Sprintf("%T", got), fmt.Sprintf("%T", test.want))
			if result, ok := got.(forward.NoResponse); ok {
				is.Equal(result.ContextDone, test.fault == standin.FaultNoResponse) // only the attempt at a silent worker times out
			}
		})
	}
}

// Guards against automatic retries: net/http repeats requests that have no body or an idempotency key when a reused
// connection fails, which would run them twice.
func TestSendDoesNotRetry(t *testing.T) {
	for _, body := range []int{0, 100} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			is := is.New(t)
			var failing atomic.Bool
			worker := &standin.Worker{InjectFault: func(*http.Request) standin.Fault {
				if failing.Load() {
					return standin.FaultResetAfterRun
				}
				return standin.FaultNone
			}}
			client := newClient(t, worker)
			_, ok := client.Send(t.Context(), newRequest("first", method, body)).(forward.Responded)
			is.True(ok) // leaves an idle connection for reuse
			failing.Store(true)
			_, noResponse := client.Send(t.Context(), newRequest("second", method, body)).(forward.NoResponse)
			is.True(noResponse)
			is.Equal(worker.Runs("second").Effects, 1)
		}
	}
}

// Guards against a refused connection reported as a request that may have run, and a canceled context reported as a fault
// of the upstream.
func TestNotSent(t *testing.T) {
	is := is.New(t)
	worker := &standin.Worker{}
	client := newClient(t, worker)
	worker.Stop()
	refused, ok := client.Send(t.Context(), newRequest("r", http.MethodPost, 100)).(forward.NotSent)
	is.True(ok && !refused.ContextDone)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	cancelled, ok := client.Send(ctx, newRequest("r", http.MethodPost, 100)).(forward.NotSent)
	is.True(ok && cancelled.ContextDone)
}

// Guards against a streamed response that ends early and is read as complete.
func TestTruncatedStream(t *testing.T) {
	is := is.New(t)
	client := newClient(t, &standin.Worker{InjectFault: func(*http.Request) standin.Fault { return standin.FaultTruncate }})
	download := newRequest("d", http.MethodGet, 0)
	download.Target = "/download/a/200000"
	got, ok := client.Send(t.Context(), download).(forward.Responded)
	is.True(ok)
	_, err := io.Copy(io.Discard, got.Body)
	is.True(errors.Is(err, forward.ErrTruncated))
	is.NoErr(got.Body.Close())
}

// Guards against forwarding hop-by-hop headers, and against omitting the deadline, partition or fence.
func TestHeaders(t *testing.T) {
	is := is.New(t)
	var received http.Header
	client := newClient(t, &standin.Worker{InjectFault: func(r *http.Request) standin.Fault {
		received = r.Header
		return standin.FaultNone
	}})
	keyed := newRequest("r", http.MethodPost, 1)
	keyed.Keyed, keyed.Partition, keyed.Fence = true, 7, fleet.Fence{Epoch: 3, Counter: 9}
	client.Send(t.Context(), keyed)
	is.Equal([]string{received.Get("X-Hop"), received.Get("X-End")}, []string{"", "2"})
	is.Equal([]string{received.Get("Rosemarywick-Partition"), received.Get("Rosemarywick-Fence")}, []string{"7", "3.9"})
	left, err := time.ParseDuration(received.Get("Rosemarywick-Timeout"))
	is.NoErr(err)
	is.True(left > 0 && left <= time.Second)
}
