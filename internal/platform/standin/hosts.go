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

// Hosts is a fake of the lagging host list.
type Hosts struct {
	faults

	clock timer.Clock

	mu sync.Mutex
	// history is guarded by mu and holds every change of the fleet in the order of time.
	history []hostChange
	// delay and wrong are guarded by mu. wrong holds the entries that the list misreports; an entry without a state
	// stands for a host that the list omits.
	delay time.Duration
	wrong map[fleet.HostID]hosts.Entry
}

type hostChange struct {
	at    time.Time
	entry hosts.Entry
}

var _ hosts.List = (*Hosts)(nil)

// NewHosts returns an empty host list without delay.
func NewHosts(clock timer.Clock) *Hosts {
	return &Hosts{clock: clock, wrong: make(map[fleet.HostID]hosts.Entry)}
}

// Set states that a host runs or leaves. The list shows it after the delay.
func (h *Hosts) SetState(host fleet.Host, state hosts.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.history = append(h.history, hostChange{at: h.clock.Now(), entry: hosts.Entry{Host: host, State: state}})
}

// Remove states that a host is gone. The list shows it after the delay.
func (h *Hosts) Remove(id fleet.HostID) {
	h.SetState(fleet.Host{ID: id}, "")
}

// SetDelay sets by how much the list lags.
func (h *Hosts) SetDelay(delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delay = delay
}

// Misreport makes the list show a host in a state, whatever is true. An empty state makes the list omit the host.
func (h *Hosts) Misreport(host fleet.Host, state hosts.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wrong[host.ID] = hosts.Entry{Host: host, State: state}
}

// Correct ends all misreports.
func (h *Hosts) ClearMisreports() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.wrong)
}

// Hosts returns the hosts as the list shows them.
func (h *Hosts) Hosts(ctx context.Context) ([]hosts.Entry, error) {
	half, err := h.admit(ctx)
	if err == nil {
		err = wait(ctx, h.clock, 2*half)
	}
	if err != nil {
		return nil, errors.Wrapf(hosts.ErrUnavailable, "standin: %v", err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	shown := make(map[fleet.HostID]hosts.Entry)
	until := h.clock.Now().Add(-h.delay)
	for _, change := range h.history {
		if !change.at.After(until) {
			shown[change.entry.Host.ID] = change.entry
		}
	}
	maps.Copy(shown, h.wrong)
	maps.DeleteFunc(shown, func(_ fleet.HostID, entry hosts.Entry) bool { return entry.State == "" })
	return slices.SortedFunc(maps.Values(shown), func(a, b hosts.Entry) int {
		return strings.Compare(string(a.Host.ID), string(b.Host.ID))
	}), nil
}
