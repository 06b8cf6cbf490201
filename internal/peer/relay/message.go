package relay

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rosemarywick.example/rosemarywick/internal/peer/wire"
	"rosemarywick.example/rosemarywick/internal/platform/table"
)

const (
	// maxTableBytes limits the rows of one update after decompression.
	maxTableBytes = 32 << 20
	// maxCachedUpdates limits the encoded updates that are kept. Subscribers mostly need the same ones.
	maxCachedUpdates = 8
)

// errMalformed means that a peer's message could not be decoded or exceeds a limit.
var errMalformed = errors.New("relay: malformed message")

// updateKey identifies the content of an update.
type updateKey struct {
	table          string
	whole          bool
	after, version table.Version
}

// encoder encodes updates and keeps the rows of the latest ones, since all subscribers get the same changes.
type encoder struct {
	mu sync.Mutex
	// cached is guarded by mu and holds compressed rows. order lists its keys, the oldest first.
	cached map[updateKey][]byte
	order  []updateKey
}

// encode returns the message that carries an update. sinceMs is how long ago, in milliseconds, the store had not acknowledged it,
// or zero if that is not known.
func (e *encoder) encode(u update, sinceMs uint64) ([]byte, error) {
	rows, err := e.compress(u)
	if err != nil {
		return nil, err
	}
	return encodeMessage(&wire.Relay{Body: &wire.Relay_Update{Update: &wire.Update{
		Table: u.table, After: uint64(u.after), Version: uint64(u.version), Rows: rows, SinceMs: sinceMs,
	}}})
}

// compress returns the compressed rows of an update.
func (e *encoder) compress(u update) ([]byte, error) {
	key := updateKey{table: u.table, whole: u.whole, after: u.after, version: u.version}
	e.mu.Lock()
	defer e.mu.Unlock()
	if content, ok := e.cached[key]; ok {
		return content, nil
	}
	content, err := compressRows(u.rows)
	if err != nil {
		return nil, err
	}
	if e.cached == nil {
		e.cached = make(map[updateKey][]byte)
	}
	e.cached[key] = content
	e.order = append(e.order, key)
	if len(e.order) > maxCachedUpdates {
		delete(e.cached, e.order[0])
		e.order = e.order[1:]
	}
	return content, nil
}

// compressRows encodes and compresses rows.
func compressRows(changed []table.Row) ([]byte, error) {
	rows := &wire.TableRows{}
	for _, row := range changed {
		rows.Rows = append(rows.Rows, encodeRow(row))
	}
	content, err := proto.Marshal(rows)
	if err != nil {
		return nil, errors.Wrap(err, "relay: encode rows")
	}
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "relay: compress rows")
	}
	if _, err := writer.Write(content); err != nil {
		return nil, errors.Wrap(err, "relay: compress rows")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "relay: compress rows")
	}
	return compressed.Bytes(), nil
}

// decodeUpdate decodes an update. One after version zero holds the whole table.
func decodeUpdate(message *wire.Update) (update, error) {
	reader := flate.NewReader(bytes.NewReader(message.GetRows()))
	content, err := io.ReadAll(io.LimitReader(reader, maxTableBytes+1))
	if err != nil {
		return update{}, errors.Wrapf(errMalformed, "decompress rows: %v", err)
	}
	if len(content) > maxTableBytes {
		return update{}, errors.Wrapf(errMalformed, "rows exceed %d bytes", maxTableBytes)
	}
	rows := &wire.TableRows{}
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(content, rows); err != nil {
		return update{}, errors.Wrapf(errMalformed, "rows: %v", err)
	}
	result := update{
		table: message.GetTable(), whole: message.GetAfter() == 0, after: table.Version(message.GetAfter()),
		version: table.Version(message.GetVersion()),
	}
	for _, row := range rows.GetRows() {
		result.rows = append(result.rows, decodeRow(row))
	}
	return result, nil
}

func encodeRow(row table.Row) *wire.TableRow {
	return &wire.TableRow{Name: row.Name, Version: uint64(row.Version), Value: row.Value, Deleted: row.Value == nil}
}

func decodeRow(row *wire.TableRow) table.Row {
	decoded := table.Row{Name: row.GetName(), Version: table.Version(row.GetVersion())}
	if !row.GetDeleted() {
		decoded.Value = append([]byte{}, row.GetValue()...)
	}
	return decoded
}

// encodeMessage encodes a message.
func encodeMessage(message *wire.Relay) ([]byte, error) {
	content, err := proto.Marshal(message)
	return content, errors.Wrap(err, "relay: encode message")
}

// decodeMessage decodes a message. One of a type that this release does not know has no body; it is not an error.
func decodeMessage(content []byte) (*wire.Relay, error) {
	message := &wire.Relay{}
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(content, message); err != nil {
		return nil, errors.Wrapf(errMalformed, "%v", err)
	}
	return message, nil
}
