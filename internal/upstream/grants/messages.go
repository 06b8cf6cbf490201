package grants

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
)

// wireMessage is a message between the assigners of a service. Exactly one field is set.
type wireMessage struct {
	Heartbeat        *wireHeartbeat `json:"heartbeat,omitempty"`
	Readiness        *wireReadiness `json:"readiness,omitempty"`
	HeartbeatRequest *struct{}      `json:"question,omitempty"`
}

type wireHeartbeat struct {
	Epoch      uint64 `json:"epoch"`
	Version    uint64 `json:"version"`
	Placements uint64 `json:"placements"`
	Majority   bool   `json:"majority"`
	HandOver   bool   `json:"hand-over,omitempty"`
}

type wireReadiness struct {
	Version uint64 `json:"version"`
	Ready   bool   `json:"ready"`
}

func encodeMessage(message assigner.Message) ([]byte, error) {
	var wire wireMessage
	switch message := message.(type) {
	case assigner.Heartbeat:
		wire.Heartbeat = &wireHeartbeat{
			Epoch: uint64(message.Epoch), Version: uint64(message.Version), Placements: message.PlacementWrites,
			Majority: message.Majority, HandOver: message.HandOver,
		}
	case assigner.Readiness:
		wire.Readiness = &wireReadiness{Version: uint64(message.Version), Ready: message.Ready}
	case assigner.HeartbeatRequest:
		wire.HeartbeatRequest = &struct{}{}
	}
	encoded, err := json.Marshal(wire)
	return encoded, errors.Wrap(err, "grants: encode message")
}

func decodeMessage(payload []byte) (assigner.Message, error) {
	var wire wireMessage
	if err := decode(bytes.NewReader(payload), &wire); err != nil {
		return nil, err
	}
	switch {
	case wire.Heartbeat != nil:
		return assigner.Heartbeat{
			Epoch: fleet.Epoch(wire.Heartbeat.Epoch), Version: assigner.Version(wire.Heartbeat.Version),
			PlacementWrites: wire.Heartbeat.Placements, Majority: wire.Heartbeat.Majority, HandOver: wire.Heartbeat.HandOver,
		}, nil
	case wire.Readiness != nil:
		return assigner.Readiness{Version: assigner.Version(wire.Readiness.Version), Ready: wire.Readiness.Ready}, nil
	case wire.HeartbeatRequest != nil:
		return assigner.HeartbeatRequest{}, nil
	default:
		return nil, errors.Wrap(ErrMalformed, "empty message")
	}
}
