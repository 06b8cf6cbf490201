// Package hosts is the interface to the platform's list of hosts and a client of it. The list lags behind the actual state of
// the hosts, so that its readers treat it as a hint and correct it by their own observations.
package hosts

import (
	"context"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// State is the state of a host according to the list.
type State string

const (
	// Live means that the host is assumed to be running.
	Live State = "live"
	// Leaving means that the host is about to be removed.
	Leaving State = "leaving"
)

// Entry is one host of the list.
type Entry struct {
	Host  fleet.Host
	State State
}

// List provides the platform's host list.
type List interface {
	// Hosts returns the current entries of the list.
	Hosts(ctx context.Context) ([]Entry, error)
}

// ErrUnavailable means that the list could not be read.
var ErrUnavailable = errors.New("hosts: list unavailable")
