// Package idempotency ensures that a request with an idempotency key runs at most once, whichever daemons its caller sends
// it to. Before the request is sent, the daemon inserts a row for the key into the table service; this is called claiming
// the key.
package idempotency

import (
	"crypto/sha256"
	"encoding/hex"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Key identifies an idempotency key. Each tenant has its own keys.
type Key struct {
	Service fleet.ServiceName
	Tenant  fleet.TenantName
	Value   string
}

// rowName returns the name of the key's row. It contains a hash of the key, so that no data of a caller appears in the
// name.
func (k Key) rowName() string {
	sum := sha256.Sum256([]byte(string(k.Tenant) + "\x00" + k.Value))
	return "claim/" + string(k.Service) + "/" + hex.EncodeToString(sum[:])
}

// RequestResult is the result of a request that claimed its key.
type RequestResult struct {
	Outcome cause.Outcome `json:"outcome"`
	Cause   cause.Cause   `json:"cause"`
	// Status is the status of the response, or zero.
	Status int `json:"status,omitempty"`
}

// ClaimResult is the result of claiming a key. It is one of Claimed, Duplicate and Unavailable.
type ClaimResult interface {
	claimResult()
}

// Claimed means that the request may be sent. Finish must be called when it has ended.
type Claimed struct{}

// Duplicate means that another request claimed the key before.
type Duplicate struct {
	// Result is the result of that request. Its outcome is cause.Unknown until the result has been recorded.
	Result RequestResult
}

// Unavailable means that the table service could not record the claim, so that the request must not be sent.
type Unavailable struct {
	Err error
}

func (Claimed) claimResult()     {}
func (Duplicate) claimResult()   {}
func (Unavailable) claimResult() {}
