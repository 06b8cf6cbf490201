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
	// maxBatchRows is the maximum number of rows in one transaction. The table service can run several hundred transactions
	// a second for all daemons together, so that claims which arrive during a transaction share the next one.
	maxBatchRows = 64
	// maxTries is the maximum number of times that a transaction is sent, if its rows are in conflict or its response was
	// lost.
	maxTries = 4
	// callTimeout is the timeout of one call of the table service.
	callTimeout = time.Second
	// recordRetryDelay is the delay before results are written again after the table service failed.
	recordRetryDelay = 500 * time.Millisecond
	// updateQueueSize is the maximum number of results that wait to be written.
	updateQueueSize = 4096
)

// ErrStopped means that the key was not claimed because Run has ended.
var ErrStopped = errors.New("idempotency: claims have stopped")

// Registry claims keys and records results in the table service. The exported fields must be set before Run. Claim succeeds
// only while Run is running.
type Registry struct {
	Store table.Store
	Clock timer.Clock
	Host  fleet.HostID

	setup   sync.Once
	claims  chan *pendingClaim
	updates chan resultUpdate
	stopped chan struct{}

	mu sync.Mutex
	// heldTokens is guarded by mu and holds, by row, the token of each claim of this daemon whose request has not ended.
	heldTokens map[string]string
}

// claimRow is the content of a row in the table.
type claimRow struct {
	Token     string          `json:"token"`
	Host      fleet.HostID    `json:"host"`
	Request   fleet.RequestID `json:"request"`
	ClaimedAt time.Time       `json:"taken"`
	// Result is nil until the result is recorded.
	Result *RequestResult `json:"ending,omitempty"`
}

// pendingClaim is a claim whose row has not been written yet.
type pendingClaim struct {
	row     string
	content claimRow
	result  chan ClaimResult
}

// resultUpdate is the result of a claimed request that is to be recorded, and the token that the row must have.
type resultUpdate struct {
	row, token string
	RequestResult
}

func (r *Registry) initialize() {
	r.claims = make(chan *pendingClaim)
	r.updates = make(chan resultUpdate, updateQueueSize)
	r.stopped = make(chan struct{})
	r.heldTokens = make(map[string]string)
}

// Run processes claims and records results until ctx ends. It then makes one attempt to record the results that are queued.
func (r *Registry) Run(ctx context.Context) error {
	r.setup.Do(r.initialize)
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		r.recordResults(ctx)
	}()
	r.processClaims(ctx)
	close(r.stopped)
	<-recorded
	return nil
}

// Claim claims the key for a request. It blocks until the table service has responded or ctx ends.
func (r *Registry) Claim(ctx context.Context, key Key, request fleet.RequestID) ClaimResult {
	r.setup.Do(r.initialize)
	content := claimRow{Token: rand.Text(), Host: r.Host, Request: request, ClaimedAt: r.Clock.Now().UTC()}
	claim := &pendingClaim{row: key.rowName(), content: content, result: make(chan ClaimResult, 1)}
	select {
	case r.claims <- claim:
	case <-r.stopped:
		return Unavailable{Err: ErrStopped}
	case <-ctx.Done():
		return Unavailable{Err: context.Cause(ctx)}
	}
	select {
	case result := <-claim.result:
		if _, ok := result.(Claimed); ok {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.heldTokens[claim.row] = content.Token
		}
		return result
	case <-ctx.Done():
		go r.releaseAbandoned(claim)
		return Unavailable{Err: context.Cause(ctx)}
	}
}

// releaseAbandoned waits for the result of a claim whose request was rejected in the meantime, and releases the key if it
// was claimed.
func (r *Registry) releaseAbandoned(claim *pendingClaim) {
	if _, claimed := (<-claim.result).(Claimed); claimed {
		r.enqueueUpdate(resultUpdate{row: claim.row, token: claim.content.Token, RequestResult: RequestResult{Outcome: cause.NotRun}})
	}
}

// Finish queues the result of a claimed request for recording. A request that did not run releases its key. Finish does not
// wait for the table service. Until the result is recorded, repetitions of the request get the outcome "unknown".
func (r *Registry) Finish(key Key, result RequestResult) {
	name := key.rowName()
	r.mu.Lock()
	token := r.heldTokens[name]
	delete(r.heldTokens, name)
	r.mu.Unlock()
	r.enqueueUpdate(resultUpdate{row: name, token: token, RequestResult: result})
}

// enqueueUpdate queues a result. If the queue is full, it drops the result, and repetitions get the outcome "unknown"
// permanently.
func (r *Registry) enqueueUpdate(update resultUpdate) {
	select {
	case r.updates <- update:
	default:
	}
}

// processClaims inserts the rows of waiting claims in batches until ctx ends.
func (r *Registry) processClaims(ctx context.Context) {
	for {
		select {
		case first := <-r.claims:
			r.insertBatch(ctx, r.gatherClaims(first))
		case <-ctx.Done():
			return
		}
	}
}

// gatherClaims returns first and the waiting claims, by row, up to the size of a batch. Another claim of the same row is a
// duplicate of the one in the batch.
func (r *Registry) gatherClaims(first *pendingClaim) map[string]*pendingClaim {
	batch := map[string]*pendingClaim{first.row: first}
	for len(batch) < maxBatchRows {
		select {
		case next := <-r.claims:
			if batch[next.row] != nil {
				next.result <- Duplicate{Result: RequestResult{Outcome: cause.Unknown}}
				continue
			}
			batch[next.row] = next
		default:
			return batch
		}
	}
	return batch
}

// insertBatch inserts the rows of a batch and returns a result to every claim. If rows exist already or the response to the
// write was lost, it reads the rows and compares their tokens. Sending an insertion again is safe, since it succeeds only
// if the row does not exist.
func (r *Registry) insertBatch(ctx context.Context, batch map[string]*pendingClaim) {
	var err error
	for range maxTries {
		err = r.insertRows(ctx, batch)
		if err == nil {
			for _, claim := range batch {
				claim.result <- Claimed{}
			}
			return
		}
		if !errors.Is(err, table.ErrConflict) && !errors.Is(err, table.ErrUnknown) {
			break
		}
		if readErr := r.resolveExisting(ctx, batch); readErr != nil {
			err = readErr
			break
		}
		if len(batch) == 0 {
			return
		}
	}
	for _, claim := range batch {
		claim.result <- Unavailable{Err: errors.Wrap(err, "idempotency: claim")}
		// The insertion may have taken effect or may still take effect.
		r.enqueueUpdate(resultUpdate{row: claim.row, token: claim.content.Token, RequestResult: RequestResult{Outcome: cause.NotRun}})
	}
}

func (r *Registry) insertRows(ctx context.Context, batch map[string]*pendingClaim) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	changes := make([]table.Change, 0, len(batch))
	for name, claim := range batch {
		content, err := json.Marshal(claim.content)
		if err != nil {
			return errors.Wrap(err, "idempotency: encode claim")
		}
		changes = append(changes, table.Change{Name: name, Write: true, Value: content})
	}
	return r.Store.Commit(ctx, changes...)
}

// resolveExisting returns results to the claims whose rows exist, and leaves the others in the batch.
func (r *Registry) resolveExisting(ctx context.Context, batch map[string]*pendingClaim) error {
	rows, err := r.readRows(ctx, rowNames(batch))
	if err != nil {
		return err
	}
	for name, stored := range rows {
		claim := batch[name]
		if claim == nil {
			continue
		}
		delete(batch, name)
		switch {
		case stored.content.Token == claim.content.Token:
			claim.result <- Claimed{}
		case stored.content.Result != nil:
			claim.result <- Duplicate{Result: *stored.content.Result}
		default:
			claim.result <- Duplicate{Result: RequestResult{Outcome: cause.Unknown}}
		}
	}
	return nil
}

func rowNames(batch map[string]*pendingClaim) []string {
	names := make([]string, 0, len(batch))
	for name := range batch {
		names = append(names, name)
	}
	return names
}

// storedClaim is a row as it was read from the table.
type storedClaim struct {
	version table.Version
	content claimRow
}

func (r *Registry) readRows(ctx context.Context, names []string) (map[string]storedClaim, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := r.Store.Read(ctx, names...)
	if err != nil {
		return nil, err
	}
	result := make(map[string]storedClaim, len(rows))
	for _, row := range rows {
		var content claimRow
		if json.Unmarshal(row.Value, &content) != nil {
			content = claimRow{} // an unreadable row matches no token and counts as a request that may have run
		}
		result[row.Name] = storedClaim{version: row.Version, content: content}
	}
	return result, nil
}
