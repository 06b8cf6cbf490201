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

// wireConfirmMessage is a router's question for a confirmation of its map, or the answer. Exactly one field is set.
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
	// Term is in nanoseconds.
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

func encodeConfirmationRequest(question assigner.ConfirmationRequest) ([]byte, error) {
	encoded, err := json.Marshal(wireConfirmMessage{Request: &wireConfirmationRequest{
		Number: question.Number, Epoch: uint64(question.Epoch), Counter: question.Counter,
	}})
	return encoded, errors.Wrap(err, "grants: encode question")
}

func encodeConfirmation(answer assigner.Confirmation) ([]byte, error) {
	wire := &wireConfirmation{
		Number: answer.Number, Epoch: uint64(answer.Epoch), Counter: answer.Counter, Duration: answer.Duration,
	}
	if len(answer.Changes) > 0 {
		var err error
		if wire.Changes, _, err = keymap.EncodeChunk(0, answer.Changes); err != nil {
			return nil, errors.Wrap(err, "grants: encode confirmation")
		}
	}
	encoded, err := json.Marshal(wireConfirmMessage{Confirmation: wire})
	return encoded, errors.Wrap(err, "grants: encode confirmation")
}

// encodeHolder encodes the answer of a host that has no authority.
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
		return wire, errors.Wrap(ErrMalformed, "expected either a question or an answer")
	}
	return wire, nil
}

func (w *wireConfirmationRequest) request() assigner.ConfirmationRequest {
	return assigner.ConfirmationRequest{Number: w.Number, Epoch: fleet.Epoch(w.Epoch), Counter: w.Counter}
}

func (w *wireConfirmation) confirmation() (assigner.Confirmation, error) {
	answer := assigner.Confirmation{Number: w.Number, Epoch: fleet.Epoch(w.Epoch), Counter: w.Counter, Duration: w.Duration}
	if len(w.Changes) == 0 {
		return answer, nil
	}
	var err error
	_, answer.Changes, err = keymap.DecodeChunk(w.Changes)
	return answer, errors.Wrap(err, "grants: decode confirmation")
}
