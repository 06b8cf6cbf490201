// Package hosts speaks to the platform's list of live and leaving hosts. The list lags, so that its readers treat it as
// a hint and correct it by what they observe.
package hosts

import (
	"context"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// State says what the list claims about a host.
type State string

const (
	// Live means that the host is believed to run.
	Live State = "live"
	// Leaving means that the host is about to be taken away.
	Leaving State = "leaving"
)

// Entry is one host of the list.
type Entry struct {
	Host  fleet.Host
	State State
}

// List is the platform's host list.
type List interface {
	// Hosts returns the hosts as the platform believes them to be.
	Hosts(ctx context.Context) ([]Entry, error)
}

// ErrUnavailable means that the list could not be read.
var ErrUnavailable = errors.New("hosts: list unavailable")
