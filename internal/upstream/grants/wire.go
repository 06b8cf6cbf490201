// Package grants implements the grant protocol between assigners and fenced servers over HTTP, and runs assigners: it
// performs the actions that package ownership/assigner decides on.
package grants

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// OrdersPath is the URL path at which a fenced server accepts orders.
const OrdersPath = "/ownership/orders"

// maxMessageSize limits an order or a report, in bytes. 65,536 grants of about 60 bytes each fit.
const maxMessageSize = 8 << 20

// ErrMalformed means that a message does not follow the protocol.
var ErrMalformed = errors.New("grants: malformed message")

// All durations below are encoded in nanoseconds, since clock readings are compared for equality.

type wireFence struct {
	Epoch   uint64 `json:"epoch"`
	Counter uint64 `json:"counter"`
}

type wireGrant struct {
	Partition uint32    `json:"partition"`
	Fence     wireFence `json:"fence"`
	Key       uint64    `json:"key,omitempty,string"`
}

type wireRenewal struct {
	Reading       time.Duration `json:"reading"`
	LeaseDuration time.Duration `json:"term"`
}

type wireHotKey struct {
	Key       uint64 `json:"key,string"`
	Partition uint32 `json:"partition"`
}

type wireOrder struct {
	Service      string        `json:"service"`
	Epoch        uint64        `json:"epoch"`
	Sequence     uint64        `json:"sequence"`
	Incarnation  string        `json:"incarnation,omitempty"`
	Renewal      *wireRenewal  `json:"renewal,omitempty"`
	Grants       []wireGrant   `json:"grants,omitempty"`
	Revokes      []uint32      `json:"revokes,omitempty"`
	HotKeys      *[]wireHotKey `json:"entries,omitempty"`
	WantHoldings bool          `json:"want-holdings,omitempty"`
}

type wireReport struct {
	Incarnation  string        `json:"incarnation"`
	Reading      time.Duration `json:"reading"`
	HighestEpoch uint64        `json:"highest-epoch"`
	Refusal      string        `json:"refusal,omitempty"`
	LeaseLeft    time.Duration `json:"lease-left"`
	Holdings     []wireGrant   `json:"holdings,omitempty"`
	Released     []uint32      `json:"released,omitempty"`
	InFlight     int           `json:"in-flight"`
	Leaving      bool          `json:"leaving,omitempty"`
}

// decode reads a single JSON value of at most maxMessageSize bytes. It rejects unknown fields and trailing content.
func decode(body io.Reader, value any) error {
	limited := io.LimitReader(body, maxMessageSize+1)
	content, err := io.ReadAll(limited)
	if err != nil {
		return errors.Wrap(err, "grants: read message")
	}
	if len(content) > maxMessageSize {
		return errors.Wrapf(ErrMalformed, "message exceeds %d bytes", maxMessageSize)
	}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return errors.Mark(errors.Wrap(err, "grants: decode message"), ErrMalformed)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.Wrap(ErrMalformed, "content after the message")
	}
	return nil
}

func encodeOrder(order fleet.Order) wireOrder {
	wire := wireOrder{
		Service: string(order.Service), Epoch: uint64(order.Epoch), Sequence: uint64(order.Sequence),
		Incarnation: string(order.Incarnation), Grants: encodeGrants(order.Grants),
		Revokes: encodePartitions(order.Revokes), WantHoldings: order.WantHoldings,
	}
	if order.Renewal != nil {
		wire.Renewal = &wireRenewal{Reading: order.Renewal.ClockReading, LeaseDuration: order.Renewal.LeaseDuration}
	}
	if order.HotKeys != nil {
		entries := make([]wireHotKey, 0, len(order.HotKeys.List))
		for _, entry := range order.HotKeys.List {
			entries = append(entries, wireHotKey{Key: uint64(entry.Key), Partition: uint32(entry.Partition)})
		}
		wire.HotKeys = &entries
	}
	return wire
}

func decodeOrder(wire wireOrder) (fleet.Order, error) {
	order := fleet.Order{
		Service: fleet.ServiceName(wire.Service), Epoch: fleet.Epoch(wire.Epoch), Sequence: fleet.Sequence(wire.Sequence),
		Incarnation: fleet.Incarnation(wire.Incarnation), Grants: decodeGrants(wire.Grants),
		Revokes: decodePartitions(wire.Revokes), WantHoldings: wire.WantHoldings,
	}
	if wire.Renewal != nil {
		order.Renewal = &fleet.Renewal{ClockReading: wire.Renewal.Reading, LeaseDuration: wire.Renewal.LeaseDuration}
		if order.Renewal.ClockReading < 0 || order.Renewal.LeaseDuration <= 0 {
			return order, errors.Wrap(ErrMalformed, "renewal: reading must not be negative and term must be positive")
		}
	}
	if wire.HotKeys != nil {
		order.HotKeys = &fleet.HotKeyList{List: make([]fleet.HotKey, 0, len(*wire.HotKeys))}
		for _, entry := range *wire.HotKeys {
			order.HotKeys.List = append(order.HotKeys.List,
				fleet.HotKey{Key: fleet.KeyHash(entry.Key), Partition: fleet.PartitionID(entry.Partition)})
		}
	}
	return order, nil
}

func encodeReport(report fleet.Report) wireReport {
	return wireReport{
		Incarnation: string(report.Incarnation), Reading: report.ClockReading, HighestEpoch: uint64(report.HighestEpoch),
		Refusal: string(report.Refusal), LeaseLeft: report.LeaseRemaining, Holdings: encodeGrants(report.Holdings),
		Released: encodePartitions(report.Released), InFlight: report.InFlight, Leaving: report.Leaving,
	}
}

func decodeReport(wire wireReport) fleet.Report {
	return fleet.Report{
		Incarnation: fleet.Incarnation(wire.Incarnation), ClockReading: wire.Reading,
		HighestEpoch: fleet.Epoch(wire.HighestEpoch), Refusal: fleet.Refusal(wire.Refusal), LeaseRemaining: wire.LeaseLeft,
		Holdings: decodeGrants(wire.Holdings), Released: decodePartitions(wire.Released),
		InFlight: wire.InFlight, Leaving: wire.Leaving,
	}
}

func encodeGrants(grants []fleet.Grant) []wireGrant {
	wire := make([]wireGrant, 0, len(grants))
	for _, grant := range grants {
		wire = append(wire, wireGrant{
			Partition: uint32(grant.Partition), Key: uint64(grant.Key),
			Fence: wireFence{Epoch: uint64(grant.Fence.Epoch), Counter: grant.Fence.Counter},
		})
	}
	return wire
}

func decodeGrants(wire []wireGrant) []fleet.Grant {
	var grants []fleet.Grant
	for _, grant := range wire {
		grants = append(grants, fleet.Grant{
			Partition: fleet.PartitionID(grant.Partition), Key: fleet.KeyHash(grant.Key),
			Fence: fleet.Fence{Epoch: fleet.Epoch(grant.Fence.Epoch), Counter: grant.Fence.Counter},
		})
	}
	return grants
}

func encodePartitions(partitions []fleet.PartitionID) []uint32 {
	wire := make([]uint32, 0, len(partitions))
	for _, partition := range partitions {
		wire = append(wire, uint32(partition))
	}
	return wire
}

func decodePartitions(wire []uint32) []fleet.PartitionID {
	var partitions []fleet.PartitionID
	for _, partition := range wire {
		partitions = append(partitions, fleet.PartitionID(partition))
	}
	return partitions
}
