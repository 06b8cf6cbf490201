package idempotency

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

const (
	// batchLimit bounds the rows of one transaction. The table takes several hundred transactions a second from the
	// whole fleet; claims that arrive while one is under way share the next.
	batchLimit = 64
	// tries bounds how often a transaction is sent whose rows are in conflict or whose answer was lost.
	tries = 4
	// tryTime bounds one call of the table.
	tryTime = time.Second
	// finishRetry is the pause before endings are recorded again after the table failed.
	finishRetry = 500 * time.Millisecond
	// finishRoom bounds the endings that wait for the table.
	finishRoom = 4096
)

// ErrStopped means that no claim is taken because Run has ended.
var ErrStopped = errors.New("once: claims have stopped")

// Table keeps claims in the table service. The exported fields are set before Run; claims are taken while Run runs.
type Registry struct {
	Store table.Store
	Clock timer.Clock
	Host  fleet.HostID

	setup   sync.Once
	claims  chan *claim
	endings chan ending
	stopped chan struct{}

	mu sync.Mutex
	// tokens is guarded by mu and holds the token of each claim of this daemon that has not ended.
	tokens map[string]string
}

// row is the value of a claim's row.
type row struct {
	Token   string          `json:"token"`
	Host    fleet.HostID    `json:"host"`
	Request fleet.RequestID `json:"request"`
	Taken   time.Time       `json:"taken"`
	// Ending is nil until it is recorded.
	Result *RequestResult `json:"ending,omitempty"`
}

// claim is one claim that waits for its verdict.
type claim struct {
	name    string
	value   row
	verdict chan ClaimResult
}

// ending is the end of a claimed request.
type ending struct {
	name, token string
	RequestResult
}

func (t *Registry) open() {
	t.claims = make(chan *claim)
	t.endings = make(chan ending, finishRoom)
	t.stopped = make(chan struct{})
	t.tokens = make(map[string]string)
}

// Run takes claims and records endings until ctx ends. It then makes one attempt to record the endings that wait.
func (t *Registry) Run(ctx context.Context) error {
	t.setup.Do(t.open)
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		t.recordAll(ctx)
	}()
	t.claimAll(ctx)
	close(t.stopped)
	<-recorded
	return nil
}

// Claim takes the key for a request. It blocks until the table has answered or ctx ends.
func (t *Registry) Claim(ctx context.Context, key Key, request fleet.RequestID) ClaimResult {
	t.setup.Do(t.open)
	value := row{Token: rand.Text(), Host: t.Host, Request: request, Taken: t.Clock.Now().UTC()}
	one := &claim{name: key.row(), value: value, verdict: make(chan ClaimResult, 1)}
	select {
	case t.claims <- one:
	case <-t.stopped:
		return Unavailable{Err: ErrStopped}
	case <-ctx.Done():
		return Unavailable{Err: context.Cause(ctx)}
	}
	select {
	case verdict := <-one.verdict:
		if _, ok := verdict.(Claimed); ok {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.tokens[one.name] = value.Token
		}
		return verdict
	case <-ctx.Done():
		go t.disown(one)
		return Unavailable{Err: context.Cause(ctx)}
	}
}

// disown gives a claim back that was taken after its request had been rejected.
func (t *Registry) disown(one *claim) {
	if _, taken := (<-one.verdict).(Claimed); taken {
		t.push(ending{name: one.name, token: one.value.Token, RequestResult: RequestResult{Outcome: cause.NotRun}})
	}
}

// Finish records what became of a claimed request. A request that was not run gives its key back. Finish does not wait for
// the table; until the ending is recorded, a repetition is told that the outcome is unknown.
func (t *Registry) Finish(key Key, end RequestResult) {
	name := key.row()
	t.mu.Lock()
	token := t.tokens[name]
	delete(t.tokens, name)
	t.mu.Unlock()
	t.push(ending{name: name, token: token, RequestResult: end})
}

// push queues an ending. An ending that finds no room is dropped, and repetitions are told "unknown" for good.
func (t *Registry) push(end ending) {
	select {
	case t.endings <- end:
	default:
	}
}

func (t *Registry) claimAll(ctx context.Context) {
	for {
		select {
		case first := <-t.claims:
			t.settle(ctx, t.gather(first))
		case <-ctx.Done():
			return
		}
	}
}

// gather returns the claims that wait, by row. A second claim of the same row is a duplicate of the first.
func (t *Registry) gather(first *claim) map[string]*claim {
	batch := map[string]*claim{first.name: first}
	for len(batch) < batchLimit {
		select {
		case next := <-t.claims:
			if batch[next.name] != nil {
				next.verdict <- Duplicate{Result: RequestResult{Outcome: cause.Unknown}}
				continue
			}
			batch[next.name] = next
		default:
			return batch
		}
	}
	return batch
}

// settle inserts the rows of a batch and gives every claim its verdict. Rows that exist and writes without an answer are
// resolved by reading the tokens; sending an insertion again is safe, since it expects that no row exists.
func (t *Registry) settle(ctx context.Context, batch map[string]*claim) {
	var err error
	for range tries {
		err = t.insert(ctx, batch)
		if err == nil {
			for _, one := range batch {
				one.verdict <- Claimed{}
			}
			return
		}
		if !errors.Is(err, table.ErrConflict) && !errors.Is(err, table.ErrUnknown) {
			break
		}
		if failed := t.resolve(ctx, batch); failed != nil {
			err = failed
			break
		}
		if len(batch) == 0 {
			return
		}
	}
	for _, one := range batch {
		one.verdict <- Unavailable{Err: errors.Wrap(err, "once: claim")}
		// The insertion may have taken effect, or may yet.
		t.push(ending{name: one.name, token: one.value.Token, RequestResult: RequestResult{Outcome: cause.NotRun}})
	}
}

func (t *Registry) insert(ctx context.Context, batch map[string]*claim) error {
	ctx, cancel := context.WithTimeout(ctx, tryTime)
	defer cancel()
	changes := make([]table.Change, 0, len(batch))
	for name, one := range batch {
		value, err := json.Marshal(one.value)
		if err != nil {
			return errors.Wrap(err, "once: encode claim")
		}
		changes = append(changes, table.Change{Name: name, Write: true, Value: value})
	}
	return t.Store.Commit(ctx, changes...)
}

// resolve settles the claims whose rows exist and leaves the others in the batch.
func (t *Registry) resolve(ctx context.Context, batch map[string]*claim) error {
	rows, err := t.read(ctx, batchNames(batch))
	if err != nil {
		return err
	}
	for name, found := range rows {
		one := batch[name]
		if one == nil {
			continue
		}
		delete(batch, name)
		switch {
		case found.value.Token == one.value.Token:
			one.verdict <- Claimed{}
		case found.value.Result != nil:
			one.verdict <- Duplicate{Result: *found.value.Result}
		default:
			one.verdict <- Duplicate{Result: RequestResult{Outcome: cause.Unknown}}
		}
	}
	return nil
}

func batchNames(batch map[string]*claim) []string {
	names := make([]string, 0, len(batch))
	for name := range batch {
		names = append(names, name)
	}
	return names
}

// stored is a row as it was read.
type stored struct {
	version table.Version
	value   row
}

func (t *Registry) read(ctx context.Context, names []string) (map[string]stored, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTime)
	defer cancel()
	rows, err := t.Store.Read(ctx, names...)
	if err != nil {
		return nil, err
	}
	result := make(map[string]stored, len(rows))
	for _, one := range rows {
		var value row
		if json.Unmarshal(one.Value, &value) != nil {
			value = row{} // an unreadable row carries nobody's token and stands for a request that may have run
		}
		result[one.Name] = stored{version: one.Version, value: value}
	}
	return result, nil
}
