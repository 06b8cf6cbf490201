// Package contract has one test suite for each interface of the platform: the table, the object store and the host list. Each
// implementation of an interface runs the same suite, so that the in-memory fakes and the network clients behave alike.
package contract

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/platform/standin"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// timeout is the context timeout in tests in which a service responds late or not at all.
const timeout = 100 * time.Millisecond

// transactionRows is a number of rows that fits in one transaction of every implementation.
const transactionRows = 100

// RunTableTests runs the suite for table.Store. open returns an empty store and the fake that serves it, which injects faults.
func RunTableTests(t *testing.T, open func(t *testing.T) (table.Store, *standin.Table)) {
	for name, test := range map[string]func(*testing.T, table.Store, *standin.Table){
		"commit is all or nothing":               commitAllOrNothing,
		"version never returns after a deletion": versionAfterDelete,
		"scan is ordered and limited to prefix":  scanOrder,
		"commit with lost response is unknown":   lostResponse,
		"refused commit is unavailable":          refusedCommit,
		"unanswered commit is unknown":           silentCommit,
		"commit after the timeout is unknown":    slowCommit,
		"writer resolves a lost response":        writerResolves,
		"writer reports an overwritten commit":   writerOverwritten,
		"large transaction is rejected":          largeCommit,
		"overload rejects or delays":             overload,
	} {
		t.Run(name, func(t *testing.T) {
			store, fake := open(t)
			test(t, store, fake)
		})
	}
}

// write returns a change that writes a value to a row.
func write(name string, expected table.Version, value string) table.Change {
	return table.Change{Name: name, Expected: expected, Write: true, Value: []byte(value)}
}

func commitAllOrNothing(t *testing.T, store table.Store, _ *standin.Table) {
	is := is.New(t)
	is.NoErr(store.Commit(t.Context(), write("a", 0, "1"), write("b", 0, "1")))
	rows, err := store.Read(t.Context(), "a", "missing", "b")
	is.NoErr(err)
	is.Equal(len(rows), 2) // the missing row is omitted
	a, b := rows[0], rows[1]

	err = store.Commit(t.Context(), write("a", a.Version, "2"), table.Change{Name: "b", Expected: b.Version + 1})
	is.True(errors.Is(err, table.ErrConflict)) // a row that is only checked can conflict too
	is.NoErr(store.Commit(t.Context(), write("a", a.Version, ""), table.Change{Name: "b", Expected: b.Version}))
	rows, err = store.Read(t.Context(), "a", "b")
	is.NoErr(err)
	is.Equal(len(rows), 2)               // an empty value does not delete the row
	is.True(rows[0].Version > a.Version) // a write raises the version
	is.Equal(rows[1].Version, b.Version) // a check must not raise it
	is.Equal(string(rows[1].Value), "1") // nor write a value
	is.Equal(string(rows[0].Value), "")  // the second write took effect, the first did not
	is.True(rows[0].Version != rows[1].Version)
}

func versionAfterDelete(t *testing.T, store table.Store, _ *standin.Table) {
	is := is.New(t)
	is.NoErr(store.Commit(t.Context(), write("a", 0, "1")))
	before := readOne(t, store, "a")
	is.NoErr(store.Commit(t.Context(), table.Change{Name: "a", Expected: before.Version, Write: true}))
	rows, err := store.Read(t.Context(), "a")
	is.NoErr(err)
	is.Equal(len(rows), 0)
	is.NoErr(store.Commit(t.Context(), write("a", 0, "2")))
	is.True(readOne(t, store, "a").Version > before.Version)
}

func scanOrder(t *testing.T, store table.Store, _ *standin.Table) {
	is := is.New(t)
	is.NoErr(store.Commit(t.Context(), write("p/2", 0, ""), write("q/1", 0, ""), write("p/1", 0, ""), write("o", 0, "")))
	rows, err := store.Scan(t.Context(), "p/")
	is.NoErr(err)
	is.Equal(len(rows), 2)
	is.Equal(rows[0].Name+" "+rows[1].Name, "p/1 p/2")
}

func lostResponse(t *testing.T, store table.Store, fake *standin.Table) {
	is := is.New(t)
	fake.LoseResponses(1)
	err := store.Commit(t.Context(), write("a", 0, "1"))
	is.True(errors.Is(err, table.ErrUnknown))      // the caller does not know the outcome
	is.True(!errors.Is(err, table.ErrUnavailable)) // ErrUnavailable would mean that nothing was written
	is.Equal(string(readOne(t, store, "a").Value), "1")
}

func refusedCommit(t *testing.T, store table.Store, fake *standin.Table) {
	is := is.New(t)
	fake.SetOutage(standin.OutageRefused)
	is.True(errors.Is(store.Commit(t.Context(), write("a", 0, "1")), table.ErrUnavailable))
	_, err := store.Read(t.Context(), "a")
	is.True(errors.Is(err, table.ErrUnavailable))
	_, err = store.Scan(t.Context(), "")
	is.True(errors.Is(err, table.ErrUnavailable))
	fake.SetOutage(standin.OutageNone)
	rows, err := store.Read(t.Context(), "a")
	is.NoErr(err)
	is.Equal(len(rows), 0) // unavailable means that nothing was written
}

func silentCommit(t *testing.T, store table.Store, fake *standin.Table) {
	is := is.New(t)
	fake.SetOutage(standin.OutageSilent)
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	is.True(errors.Is(store.Commit(ctx, write("a", 0, "1")), table.ErrUnknown))
	_, err := store.Read(ctx, "a")
	is.True(errors.Is(err, table.ErrUnavailable))
}

func slowCommit(t *testing.T, store table.Store, fake *standin.Table) {
	is := is.New(t)
	fake.SetLatency(3 * timeout)
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	is.True(errors.Is(store.Commit(ctx, write("a", 0, "1")), table.ErrUnknown))
}

func writerResolves(t *testing.T, store table.Store, fake *standin.Table) {
	is := is.New(t)
	writer := &table.Writer{Store: store, Clock: timer.System{}, RetryInterval: time.Millisecond}
	fake.LoseResponses(2)
	token := table.NewToken()
	is.NoErr(writer.Commit(t.Context(), token, write("a", 0, token), write("b", 0, "")))
	first := readOne(t, store, "a")

	fake.LoseResponses(1)
	secondToken := table.NewToken()
	err := writer.Commit(t.Context(), secondToken, write("a", first.Version, secondToken), write("b", 0, ""))
	is.True(errors.Is(err, table.ErrConflict))                                               // the other row conflicts
	is.Equal(readOne(t, store, "a").Version, first.Version)                                  // the row with the token is unchanged
	is.True(writer.Commit(t.Context(), token, write("a", first.Version, "no token")) != nil) // the token is missing
}

func writerOverwritten(t *testing.T, store table.Store, fake *standin.Table) {
	is := is.New(t)
	fake.LoseResponses(1)
	token := table.NewToken()
	writer := &table.Writer{Store: overwritingStore{store}, Clock: timer.System{}, RetryInterval: time.Millisecond}
	err := writer.Commit(t.Context(), token, write("a", 0, token))
	is.True(errors.Is(err, table.ErrUnknown)) // the write may have taken effect before it was overwritten
}

// overwritingStore is a store in which another writer changes a row between a lost response and the read that follows.
type overwritingStore struct{ table.Store }

func (s overwritingStore) Read(ctx context.Context, names ...string) ([]table.Row, error) {
	rows, err := s.Store.Read(ctx, names...)
	if err != nil {
		return nil, err
	}
	if err := s.Commit(ctx, write(rows[0].Name, rows[0].Version, "another writer")); err != nil {
		return nil, err
	}
	return s.Store.Read(ctx, names...)
}

func largeCommit(t *testing.T, store table.Store, _ *standin.Table) {
	is := is.New(t)
	err := store.Commit(t.Context(), write("a", 0, string(make([]byte, standin.MaxTransactionBytes+1))))
	is.True(errors.Is(err, table.ErrTooLarge))
}

func overload(t *testing.T, store table.Store, fake *standin.Table) {
	is := is.New(t)
	fake.SetRates(1, 1)
	changes := make([]table.Change, standin.MaxTransactionRows)
	for i := range changes {
		changes[i] = table.Change{Name: string(rune('a' + i)), Write: true, Value: []byte("1")}
	}
	for chunk := range slices.Chunk(changes, transactionRows) { // uses up the burst of the rate limit
		is.NoErr(store.Commit(t.Context(), chunk...))
	}
	rows, err := store.Scan(t.Context(), "")
	is.NoErr(err)
	is.Equal(len(rows), standin.MaxTransactionRows)
	fake.SetOverload(standin.OverloadRejected)
	is.True(errors.Is(store.Commit(t.Context(), write("z", 0, "")), table.ErrUnavailable))
	_, err = store.Read(t.Context(), "z")
	is.True(errors.Is(err, table.ErrUnavailable)) // reads have a separate limit
	fake.SetOverload(standin.OverloadDelayed)
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	is.True(errors.Is(store.Commit(ctx, write("z", 0, "")), table.ErrUnknown)) // the delay is longer than the caller's timeout
}

// readOne returns the row with the name, and fails the test if there is none.
func readOne(t *testing.T, store table.Store, name string) table.Row {
	t.Helper()
	rows, err := store.Read(t.Context(), name)
	if err != nil || len(rows) != 1 {
		t.Fatalf("read %s: %d rows, %v", name, len(rows), err)
	}
	return rows[0]
}
