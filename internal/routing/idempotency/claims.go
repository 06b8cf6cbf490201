// Package idempotency makes sure that a request with an idempotency key runs at most once, whichever daemons the caller sends
// it through. The claim is a row in the table, inserted before the request is sent.
package idempotency

import (
	"crypto/sha256"
	"encoding/hex"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Key identifies an idempotency key. Tenants do not share their keys.
type Key struct {
	Service fleet.ServiceName
	Tenant  fleet.TenantName
	Value   string
}

// row returns the name of the key's row. It carries a hash, so that no data of a caller is in the name.
func (k Key) row() string {
	sum := sha256.Sum256([]byte(string(k.Tenant) + "\x00" + k.Value))
	return "claim/" + string(k.Service) + "/" + hex.EncodeToString(sum[:])
}

// Ending is what became of a claimed request.
type RequestResult struct {
	Outcome cause.Outcome `json:"outcome"`
	Cause   cause.Cause   `json:"cause"`
	// Status is the status of the answer, or zero.
	Status int `json:"status,omitempty"`
}

// Verdict is the answer to a claim. It is one of Claimed, Duplicate and Unavailable.
type ClaimResult interface {
	claimResult()
}

// Claimed means that the request may be sent. Finish follows.
type Claimed struct{}

// Duplicate means that another request has taken the key.
type Duplicate struct {
	// Ending is what became of that request; its outcome is unknown while that is not recorded.
	Result RequestResult
}

// Unavailable means that the table could not record the claim, and that the request must not be sent.
type Unavailable struct {
	Err error
}

func (Claimed) claimResult()     {}
func (Duplicate) claimResult()   {}
func (Unavailable) claimResult() {}
