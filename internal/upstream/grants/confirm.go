package grants

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/assigner"
	"rosemarywick.example/rosemarywick/internal/ownership/keymap"
)

// wireConfirmMessage is a router's request to confirm its map, or the response. Exactly one field is set.
type wireConfirmMessage struct {
	Request      *wireConfirmationRequest `json:"question,omitempty"`
	Confirmation *wireConfirmation        `json:"answer,omitempty"`
}

type wireConfirmationRequest struct {
	Number  uint64 `json:"number"`
	Epoch   uint64 `json:"epoch"`
	Counter uint64 `json:"counter"`
}

type wireConfirmation struct {
	Number  uint64 `json:"number"`
	Epoch   uint64 `json:"epoch"`
	Counter uint64 `json:"counter"`
	// Duration is in nanoseconds.
	Duration time.Duration `json:"term"`
	// Changes is an encoded chunk of the map. It is absent if nothing changed.
	Changes []byte `json:"changes,omitempty"`
	// Holder is sent instead of the other fields by a host without authority. It names the host that has it.
	Holder string `json:"holder,omitempty"`
}

// confirmTopic returns the topic of the messages between the routers and the assigner of an unguarded service.
func confirmTopic(service fleet.ServiceName) string {
	return "ownership-confirm/" + string(service)
}

func encodeConfirmationRequest(request assigner.ConfirmationRequest) ([]byte, error) {
	encoded, err := json.Marshal(wireConfirmMessage{Request: &wireConfirmationRequest{
		Number: request.Number, Epoch: uint64(request.Epoch), Counter: request.Counter,
	}})
	return encoded, errors.Wrap(err, "grants: encode confirmation request")
}

func encodeConfirmation(confirmation assigner.Confirmation) ([]byte, error) {
	wire := &wireConfirmation{
		Number: confirmation.Number, Epoch: uint64(confirmation.Epoch), Counter: confirmation.Counter, Duration: confirmation.Duration,
	}
	if len(confirmation.Changes) > 0 {
		var err error
		if wire.Changes, _, err = keymap.EncodeChunk(0, confirmation.Changes); err != nil {
			return nil, errors.Wrap(err, "grants: encode confirmation")
		}
	}
	encoded, err := json.Marshal(wireConfirmMessage{Confirmation: wire})
	return encoded, errors.Wrap(err, "grants: encode confirmation")
}

// encodeHolder encodes the response of a host that has no authority.
func encodeHolder(holder fleet.HostID) ([]byte, error) {
	encoded, err := json.Marshal(wireConfirmMessage{Confirmation: &wireConfirmation{Holder: string(holder)}})
	return encoded, errors.Wrap(err, "grants: encode holder")
}

func decodeConfirmMessage(payload []byte) (wireConfirmMessage, error) {
	var wire wireConfirmMessage
	if err := decode(bytes.NewReader(payload), &wire); err != nil {
		return wire, err
	}
	if (wire.Request == nil) == (wire.Confirmation == nil) {
		return wire, errors.Wrap(ErrMalformed, "expected either a confirmation request or a confirmation")
	}
	return wire, nil
}

func (w *wireConfirmationRequest) request() assigner.ConfirmationRequest {
	return assigner.ConfirmationRequest{Number: w.Number, Epoch: fleet.Epoch(w.Epoch), Counter: w.Counter}
}

func (w *wireConfirmation) confirmation() (assigner.Confirmation, error) {
	confirmation := assigner.Confirmation{Number: w.Number, Epoch: fleet.Epoch(w.Epoch), Counter: w.Counter, Duration: w.Duration}
	if len(w.Changes) == 0 {
		return confirmation, nil
	}
	var err error
	_, confirmation.Changes, err = keymap.DecodeChunk(w.Changes)
	return confirmation, errors.Wrap(err, "grants: decode confirmation")
}
