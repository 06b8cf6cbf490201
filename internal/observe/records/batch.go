package records

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/tomlfile"
)

// maxBatchBytes bounds the uncompressed size of a batch that is decoded, so that a corrupt object cannot exhaust memory.
const maxBatchBytes = 64 << 20

// Batch holds the records of one host that are stored as one object. The object is gzip-compressed JSON lines: a header and
// one line for each record.
type Batch struct {
	Host    fleet.HostID
	Written time.Time
	// Dropped is the number of records that the host has dropped since its previous batch because its buffer was full.
	Dropped uint64
	Records []cause.Record
}

type headerLine struct {
	Host    fleet.HostID `json:"host"`
	Written time.Time    `json:"written"`
	Dropped uint64       `json:"dropped,omitempty"`
}

type recordLine struct {
	Request       fleet.RequestID   `json:"request"`
	Host          fleet.HostID      `json:"host"`
	Service       fleet.ServiceName `json:"service"`
	Tenant        fleet.TenantName  `json:"tenant,omitempty"`
	Key           fleet.KeyHash     `json:"key-hash,omitempty"`
	Partition     fleet.PartitionID `json:"partition,omitempty"`
	Epoch         fleet.Epoch       `json:"fence-epoch,omitempty"`
	Counter       uint64            `json:"fence-counter,omitempty"`
	ConfigVersion uint64            `json:"config-version"`
	Started       time.Time         `json:"started"`
	Queued        tomlfile.Duration `json:"queued"`
	Total         tomlfile.Duration `json:"total"`
	Attempts      []attemptLine     `json:"attempts,omitempty"`
	Outcome       cause.Outcome     `json:"outcome"`
	Cause         cause.Cause       `json:"cause"`
	Detail        string            `json:"detail,omitempty"`
}

type attemptLine struct {
	Upstream fleet.UpstreamID  `json:"upstream"`
	Started  time.Time         `json:"started"`
	Duration tomlfile.Duration `json:"duration"`
	Cause    cause.Cause       `json:"cause"`
}

func newRecordLine(record *cause.Record) *recordLine {
	line := &recordLine{
		Request: record.Request, Host: record.Host, Service: record.Service, Tenant: record.Tenant, Key: record.Key,
		Partition: record.Partition, Epoch: record.Fence.Epoch, Counter: record.Fence.Counter,
		ConfigVersion: record.ConfigVersion, Started: record.Started.UTC(), Queued: tomlfile.Duration(record.QueueTime),
		Total: tomlfile.Duration(record.TotalTime), Outcome: record.Outcome, Cause: record.Cause, Detail: record.Detail,
	}
	for _, attempt := range record.Attempts {
		line.Attempts = append(line.Attempts, attemptLine{
			Upstream: attempt.Upstream, Started: attempt.Started.UTC(),
			Duration: tomlfile.Duration(attempt.Duration), Cause: attempt.Cause,
		})
	}
	return line
}

func (l *recordLine) toRecord() cause.Record {
	record := cause.Record{
		Request: l.Request, Host: l.Host, Service: l.Service, Tenant: l.Tenant, Key: l.Key, Partition: l.Partition,
		Fence: fleet.Fence{Epoch: l.Epoch, Counter: l.Counter}, ConfigVersion: l.ConfigVersion, Started: l.Started,
		QueueTime: time.Duration(l.Queued), TotalTime: time.Duration(l.Total), Outcome: l.Outcome, Cause: l.Cause,
		Detail: l.Detail,
	}
	for _, attempt := range l.Attempts {
		record.Attempts = append(record.Attempts, cause.Attempt{
			Upstream: attempt.Upstream, Started: attempt.Started,
			Duration: time.Duration(attempt.Duration), Cause: attempt.Cause,
		})
	}
	return record
}

// Encode returns the batch as the content of an object.
func (b *Batch) Encode() ([]byte, error) {
	var content bytes.Buffer
	compressor := gzip.NewWriter(&content)
	encoder := json.NewEncoder(compressor)
	if err := encoder.Encode(headerLine{Host: b.Host, Written: b.Written.UTC(), Dropped: b.Dropped}); err != nil {
		return nil, errors.Wrap(err, "encode batch header")
	}
	for i := range b.Records {
		if err := encoder.Encode(newRecordLine(&b.Records[i])); err != nil {
			return nil, errors.Wrap(err, "encode record")
		}
	}
	if err := compressor.Close(); err != nil {
		return nil, errors.Wrap(err, "compress batch")
	}
	return content.Bytes(), nil
}

// Decode parses the content of an object that holds a batch. For a corrupt object it returns the records before the
// corrupt part together with an error.
func Decode(content []byte) (*Batch, error) {
	batch := &Batch{}
	decompressor, err := gzip.NewReader(bytes.NewReader(content))
	if err != nil {
		return batch, errors.Wrap(err, "decompress batch")
	}
	decoder := json.NewDecoder(io.LimitReader(decompressor, maxBatchBytes))
	var header headerLine
	if err := decoder.Decode(&header); err != nil {
		return batch, errors.Wrap(err, "decode batch header")
	}
	batch.Host, batch.Written, batch.Dropped = header.Host, header.Written, header.Dropped
	for {
		var line recordLine
		err := decoder.Decode(&line)
		if errors.Is(err, io.EOF) {
			return batch, nil
		}
		if err != nil {
			return batch, errors.Wrap(err, "decode record")
		}
		batch.Records = append(batch.Records, line.toRecord())
	}
}

const (
	namePrefix = "records/"
	hourLayout = "2006-01-02T15"
	// timeLayout has a fixed length, so that the host name can be located after it.
	timeLayout = "04-05.000000000"
	nameSuffix = ".jsonl.gz"
)

// hourPrefix returns the common prefix of the names of all batches written in the hour of written. Listing one hour at a time
// keeps each listing small: at 2,200 hosts and a batch a minute an hour has up to 132,000 names and a week 22 million.
func hourPrefix(written time.Time) string {
	return namePrefix + written.UTC().Format(hourLayout) + "/"
}

// objectName returns the name of the object that holds a batch. Names sort by time and then by host.
func objectName(written time.Time, host fleet.HostID) string {
	return hourPrefix(written) + written.UTC().Format(timeLayout) + "-" + string(host) + nameSuffix
}

// isBatchOf reports whether an object name is that of a batch of the host.
func isBatchOf(name string, host fleet.HostID) bool {
	hourLength := len(namePrefix) + len(hourLayout) + len("/")
	return len(name) > hourLength+len(timeLayout) && name[hourLength+len(timeLayout):] == "-"+string(host)+nameSuffix
}
