package forward_test

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
	"rosemarywick.example/rosemarywick/internal/upstream/standin"
)

// countedRoom is room for a limited number of bytes.
type countedRoom struct {
	mu          sync.Mutex
	limit, held int64
}

func (r *countedRoom) Reserve(n int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held+n > r.limit {
		return false
	}
	r.held += n
	return true
}

func (r *countedRoom) Release(n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held -= n
}

func (r *countedRoom) total() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held
}

// awaitTrue waits until a condition holds.
func awaitTrue(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); {
		if time.Now().After(end) {
			t.Fatal("condition does not hold")
		}
		_ = timer.Wait(t.Context(), timer.System{}, time.Millisecond)
	}
}

// Guards against a streamed response that loses or repeats bytes when room is short, that is not read from the upstream
// although there is room, or that keeps its room or its connection after its end.
func TestSpoolWithinRoom(t *testing.T) {
	const length = 200_000
	for name, limit := range map[string]int64{"no room": 0, "one block": 40_000, "some": 100_000, "enough": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := newClient(t, &standin.Worker{})
			room := &countedRoom{limit: limit}
			send := func() forward.Responded {
				download := newRequest("d", http.MethodGet, 0)
				download.Target, download.Room = "/download/a/200000", room
				download.Deadline = time.Now().Add(time.Minute)
				result, ok := client.Send(t.Context(), download).(forward.Responded)
				is.True(ok && !result.Buffered)
				return result
			}
			completed := make(chan struct{})
			first := send()
			first.Body.(forward.CompletingBody).OnComplete(func() { close(completed) })
			if limit > length {
				<-completed // before any of it is taken
			}
			content, err := io.ReadAll(first.Body)
			is.NoErr(err)
			is.Equal(len(content), length)
			<-completed
			is.NoErr(first.Body.Close())
			is.Equal(room.total(), int64(0))

			second := send()
			again, err := io.ReadAll(io.LimitReader(second.Body, 50_000))
			is.NoErr(err)
			is.Equal(string(again), string(content[:50_000]))
			is.NoErr(second.Body.Close()) // the rest is given up
			awaitTrue(t, func() bool { return room.total() == 0 })
			third, err := io.ReadAll(send().Body)
			is.NoErr(err)
			is.Equal(string(third), string(content))
		})
	}
}

// Guards against a short response that is held although there is no room for it, or that keeps its room.
func TestShortResponseWithinRoom(t *testing.T) {
	for name, limit := range map[string]int64{"no room": 0, "room": 1 << 10} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := newClient(t, &standin.Worker{})
			room := &countedRoom{limit: limit}
			request := newRequest("r", http.MethodPost, 100_000)
			request.Room = room
			result, ok := client.Send(t.Context(), request).(forward.Responded)
			is.True(ok)
			is.Equal(result.Buffered, limit > 0)
			content, err := io.ReadAll(result.Body)
			is.NoErr(err)
			is.True(len(content) > 0)
			is.NoErr(result.Body.Close())
			is.Equal(room.total(), int64(0))
		})
	}
}
