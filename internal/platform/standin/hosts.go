package standin

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/platform/hosts"
)

// Hosts is a fake of the host list. It can lag behind the changes of the hosts and report wrong entries.
type Hosts struct {
	faults

	clock timer.Clock

	mu sync.Mutex
	// changes is guarded by mu and holds all changes of hosts in the order of their times.
	changes []hostChange
	// delay and misreported are guarded by mu. misreported holds the entries that replace the true ones; an entry without a
	// state means that the list omits the host.
	delay       time.Duration
	misreported map[fleet.HostID]hosts.Entry
}

// hostChange is a new state of a host. An empty state means that the host was removed.
type hostChange struct {
	at    time.Time
	entry hosts.Entry
}

var _ hosts.List = (*Hosts)(nil)

// NewHosts returns an empty host list without delay.
func NewHosts(clock timer.Clock) *Hosts {
	return &Hosts{clock: clock, misreported: make(map[fleet.HostID]hosts.Entry)}
}

// SetState adds a host or changes its state. The list reports the change after the delay.
func (h *Hosts) SetState(host fleet.Host, state hosts.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, hostChange{at: h.clock.Now(), entry: hosts.Entry{Host: host, State: state}})
}

// Remove removes a host. The list reports the change after the delay.
func (h *Hosts) Remove(id fleet.HostID) {
	h.SetState(fleet.Host{ID: id}, "")
}

// SetDelay sets how long after a change the list reports it.
func (h *Hosts) SetDelay(delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delay = delay
}

// Misreport makes the list report a host in a state that need not be the true one. An empty state makes the list omit the host.
func (h *Hosts) Misreport(host fleet.Host, state hosts.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.misreported[host.ID] = hosts.Entry{Host: host, State: state}
}

// ClearMisreports makes the list report the true states again.
func (h *Hosts) ClearMisreports() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.misreported)
}

// Hosts returns the entries that the list reports now.
func (h *Hosts) Hosts(ctx context.Context) ([]hosts.Entry, error) {
	halfLatency, err := h.admit(ctx)
	if err == nil {
		err = wait(ctx, h.clock, 2*halfLatency)
	}
	if err != nil {
		return nil, errors.Wrapf(hosts.ErrUnavailable, "standin: %v", err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	reported := make(map[fleet.HostID]hosts.Entry)
	cutoff := h.clock.Now().Add(-h.delay)
	for _, change := range h.changes {
		if !change.at.After(cutoff) {
			reported[change.entry.Host.ID] = change.entry
		}
	}
	maps.Copy(reported, h.misreported)
	maps.DeleteFunc(reported, func(_ fleet.HostID, entry hosts.Entry) bool { return entry.State == "" })
	return slices.SortedFunc(maps.Values(reported), func(a, b hosts.Entry) int {
		return strings.Compare(string(a.Host.ID), string(b.Host.ID))
	}), nil
}
