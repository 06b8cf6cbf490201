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

// wireConfirm carries a question of a router or its answer; exactly one of its fields is set.
type wireConfirmMessage struct {
	Question *wireConfirmQuestion `json:"question,omitempty"`
	Answer   *wireConfirmation    `json:"answer,omitempty"`
}

type wireConfirmQuestion struct {
	Number  uint64 `json:"number"`
	Epoch   uint64 `json:"epoch"`
	Counter uint64 `json:"counter"`
}

type wireConfirmation struct {
	Number  uint64 `json:"number"`
	Epoch   uint64 `json:"epoch"`
	Counter uint64 `json:"counter"`
	// Term is in nanoseconds.
	Term time.Duration `json:"term"`
	// Changes is an encoded chunk of the map, absent when there are none.
	Changes []byte `json:"changes,omitempty"`
	// Holder is set instead of the rest by a host that has no authority and knows who has.
	Holder string `json:"holder,omitempty"`
}

// confirmTopic returns the topic of the messages between routers and the assigner of an unguarded service.
func confirmTopic(service fleet.ServiceName) string {
	return "ownership-confirm/" + string(service)
}

func encodeQuestion(question assigner.ConfirmationRequest) ([]byte, error) {
	encoded, err := json.Marshal(wireConfirmMessage{Question: &wireConfirmQuestion{
		Number: question.Number, Epoch: uint64(question.Epoch), Counter: question.Counter,
	}})
	return encoded, errors.Wrap(err, "grants: encode question")
}

func encodeConfirmation(answer assigner.Confirmation) ([]byte, error) {
	wire := &wireConfirmation{
		Number: answer.Number, Epoch: uint64(answer.Epoch), Counter: answer.Counter, Term: answer.Term,
	}
	if len(answer.Changes) > 0 {
		var err error
		if wire.Changes, _, err = keymap.EncodeChunk(0, answer.Changes); err != nil {
			return nil, errors.Wrap(err, "grants: encode confirmation")
		}
	}
	encoded, err := json.Marshal(wireConfirmMessage{Answer: wire})
	return encoded, errors.Wrap(err, "grants: encode confirmation")
}

func encodeHolder(holder fleet.HostID) ([]byte, error) {
	encoded, err := json.Marshal(wireConfirmMessage{Answer: &wireConfirmation{Holder: string(holder)}})
	return encoded, errors.Wrap(err, "grants: encode holder")
}

func decodeConfirmMessage(payload []byte) (wireConfirmMessage, error) {
	var wire wireConfirmMessage
	if err := decode(bytes.NewReader(payload), &wire); err != nil {
		return wire, err
	}
	if (wire.Question == nil) == (wire.Answer == nil) {
		return wire, errors.Wrap(ErrMalformed, "neither a question nor an answer")
	}
	return wire, nil
}

func (w *wireConfirmQuestion) question() assigner.ConfirmationRequest {
	return assigner.ConfirmationRequest{Number: w.Number, Epoch: fleet.Epoch(w.Epoch), Counter: w.Counter}
}

func (w *wireConfirmation) confirmation() (assigner.Confirmation, error) {
	answer := assigner.Confirmation{Number: w.Number, Epoch: fleet.Epoch(w.Epoch), Counter: w.Counter, Term: w.Term}
	if len(w.Changes) == 0 {
		return answer, nil
	}
	var err error
	_, answer.Changes, err = keymap.DecodeChunk(w.Changes)
	return answer, errors.Wrap(err, "grants: decode confirmation")
}
