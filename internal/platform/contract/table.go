// Package contract holds one suite of tests for each interface of the platform. Every implementation runs the same
// suite, so that the fakes and the clients over the network cannot drift apart.
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

// timeout is the context timeout of the cases in which a service does not respond.
const timeout = 100 * time.Millisecond

// transactionRows is a number of rows that one transaction of every implementation can hold.
const transactionRows = 100

// Table checks a table. open returns an empty one and the faults of the fake behind it.
func RunTableTests(t *testing.T, open func(t *testing.T) (table.Store, *standin.Table)) {
	for name, run := range map[string]func(*testing.T, table.Store, *standin.Table){
		"commit is all or nothing":               commitAllOrNothing,
		"version never returns after a deletion": versionAfterDelete,
		"scan is ordered and limited to prefix":  scanOrder,
		"commit with lost response is unknown":   lostResponse,
		"refused commit is unavailable":          refusedCommit,
		"unanswered commit is unknown":           silentCommit,
		"slow commit past its time is unknown":   slowCommit,
		"writer resolves a lost response":        writerResolves,
		"writer reports an overwritten commit":   writerOverwritten,
		"large transaction is rejected":          largeCommit,
		"overload rejects or delays":             overload,
	} {
		t.Run(name, func(t *testing.T) {
			store, faults := open(t)
			run(t, store, faults)
		})
	}
}

func write(name string, expected table.Version, value string) table.Change {
	return table.Change{Name: name, Expected: expected, Write: true, Value: []byte(value)}
}

func commitAllOrNothing(t *testing.T, store table.Store, _ *standin.Table) {
	is := is.New(t)
	is.NoErr(store.Commit(t.Context(), write("a", 0, "1"), write("b", 0, "1")))
	rows, err := store.Read(t.Context(), "a", "missing", "b")
	is.NoErr(err)
	is.Equal(len(rows), 2) // the missing row is left out
	a, b := rows[0], rows[1]

	err = store.Commit(t.Context(), write("a", a.Version, "2"), table.Change{Name: "b", Expected: b.Version + 1})
	is.True(errors.Is(err, table.ErrConflict)) // a row that is only checked conflicts too
	is.NoErr(store.Commit(t.Context(), write("a", a.Version, ""), table.Change{Name: "b", Expected: b.Version}))
	rows, err = store.Read(t.Context(), "a", "b")
	is.NoErr(err)
	is.Equal(len(rows), 2)               // an empty value is no deletion
	is.True(rows[0].Version > a.Version) // a write raises the version
	is.Equal(rows[1].Version, b.Version) // a check does not
	is.Equal(string(rows[1].Value), "1") // and writes nothing
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

func lostResponse(t *testing.T, store table.Store, faults *standin.Table) {
	is := is.New(t)
	faults.LoseResponses(1)
	err := store.Commit(t.Context(), write("a", 0, "1"))
	is.True(errors.Is(err, table.ErrUnknown))      // the caller cannot know
	is.True(!errors.Is(err, table.ErrUnavailable)) // and must not be told that nothing was written
	is.Equal(string(readOne(t, store, "a").Value), "1")
}

func refusedCommit(t *testing.T, store table.Store, faults *standin.Table) {
	is := is.New(t)
	faults.SetOutage(standin.OutageRefused)
	is.True(errors.Is(store.Commit(t.Context(), write("a", 0, "1")), table.ErrUnavailable))
	_, err := store.Read(t.Context(), "a")
	is.True(errors.Is(err, table.ErrUnavailable))
	_, err = store.Scan(t.Context(), "")
	is.True(errors.Is(err, table.ErrUnavailable))
	faults.SetOutage(standin.OutageNone)
	rows, err := store.Read(t.Context(), "a")
	is.NoErr(err)
	is.Equal(len(rows), 0) // unavailable means that nothing was written
}

func silentCommit(t *testing.T, store table.Store, faults *standin.Table) {
	is := is.New(t)
	faults.SetOutage(standin.OutageSilent)
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	is.True(errors.Is(store.Commit(ctx, write("a", 0, "1")), table.ErrUnknown))
	_, err := store.Read(ctx, "a")
	is.True(errors.Is(err, table.ErrUnavailable))
}

func slowCommit(t *testing.T, store table.Store, faults *standin.Table) {
	is := is.New(t)
	faults.SetLatency(3 * timeout)
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	is.True(errors.Is(store.Commit(ctx, write("a", 0, "1")), table.ErrUnknown))
}

func writerResolves(t *testing.T, store table.Store, faults *standin.Table) {
	is := is.New(t)
	writer := &table.Writer{Store: store, Clock: timer.System{}, RetryInterval: time.Millisecond}
	faults.LoseResponses(2)
	token := table.NewToken()
	is.NoErr(writer.Commit(t.Context(), token, write("a", 0, token), write("b", 0, "")))
	first := readOne(t, store, "a")

	faults.LoseResponses(1)
	other := table.NewToken()
	err := writer.Commit(t.Context(), other, write("a", first.Version, other), write("b", 0, ""))
	is.True(errors.Is(err, table.ErrConflict))                                               // another row conflicts: nothing was written
	is.Equal(readOne(t, store, "a").Version, first.Version)                                  // the marked row is as before
	is.True(writer.Commit(t.Context(), token, write("a", first.Version, "no token")) != nil) // a write without its token is refused
}

func writerOverwritten(t *testing.T, store table.Store, faults *standin.Table) {
	is := is.New(t)
	faults.LoseResponses(1)
	token := table.NewToken()
	writer := &table.Writer{Store: overwriting{store}, Clock: timer.System{}, RetryInterval: time.Millisecond}
	err := writer.Commit(t.Context(), token, write("a", 0, token))
	is.True(errors.Is(err, table.ErrUnknown)) // the write may have taken effect before it was overwritten
}

// overwriting is a store in which another writer changes a row between a lost response and the read that follows.
type overwriting struct{ table.Store }

func (o overwriting) Read(ctx context.Context, names ...string) ([]table.Row, error) {
	rows, err := o.Store.Read(ctx, names...)
	if err != nil {
		return nil, err
	}
	if err := o.Commit(ctx, write(rows[0].Name, rows[0].Version, "another writer")); err != nil {
		return nil, err
	}
	return o.Store.Read(ctx, names...)
}

func largeCommit(t *testing.T, store table.Store, _ *standin.Table) {
	is := is.New(t)
	err := store.Commit(t.Context(), write("a", 0, string(make([]byte, standin.MaxTransactionBytes+1))))
	is.True(errors.Is(err, table.ErrTooLarge))
}

func overload(t *testing.T, store table.Store, faults *standin.Table) {
	is := is.New(t)
	faults.SetRates(1, 1)
	changes := make([]table.Change, standin.MaxTransactionRows)
	for i := range changes {
		changes[i] = table.Change{Name: string(rune('a' + i)), Write: true, Value: []byte("1")}
	}
	for part := range slices.Chunk(changes, transactionRows) { // uses up what the limit allows at once
		is.NoErr(store.Commit(t.Context(), part...))
	}
	rows, err := store.Scan(t.Context(), "")
	is.NoErr(err)
	is.Equal(len(rows), standin.MaxTransactionRows)
	faults.SetOverload(standin.OverloadRejected)
	is.True(errors.Is(store.Commit(t.Context(), write("z", 0, "")), table.ErrUnavailable))
	_, err = store.Read(t.Context(), "z")
	is.True(errors.Is(err, table.ErrUnavailable)) // reads have a limit of their own
	faults.SetOverload(standin.OverloadDelayed)
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	is.True(errors.Is(store.Commit(ctx, write("z", 0, "")), table.ErrUnknown)) // it waits for longer than the caller does
}

func readOne(t *testing.T, store table.Store, name string) table.Row {
	t.Helper()
	rows, err := store.Read(t.Context(), name)
	if err != nil || len(rows) != 1 {
		t.Fatalf("read %s: %d rows, %v", name, len(rows), err)
	}
	return rows[0]
}
