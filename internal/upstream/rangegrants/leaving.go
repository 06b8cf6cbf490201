package rangegrants

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/ownership/ranges"
)

// moveTime is the time that is reserved for a move: a release that waits for the requests in flight, the grant, and the tables
// that name the new owner and the end of the move.
const moveTime = time.Second

// leavingServers returns the servers that serve their ranges until their drain deadline, or nil if there are none.
func (t *term) leavingServers() *ranges.Leaving {
	var result *ranges.Leaving
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, server := range t.Registry.Servers(t.Service) {
		if _, down := t.down[server.Owner]; down || !server.Leaving || server.DrainDeadline.IsZero() {
			continue
		}
		if result == nil {
			result = &ranges.Leaving{
				StepInterval: loadInterval, MoveTime: moveTime, StepDue: t.Uptime.Uptime()-t.lastLeavingStep >= minRebalanceInterval,
			}
		}
		result.Servers = append(result.Servers, ranges.LeavingServer{Owner: server.Owner, TimeLeft: server.DrainDeadline.Sub(now)})
	}
	return result
}

// logLeavingStep logs a plan that moves ranges of leaving servers, and notes its time.
func (t *term) logLeavingStep(leaving *ranges.Leaving, now time.Duration) {
	if leaving == nil || !leaving.Moved {
		return
	}
	t.lastLeavingStep = now
	shortest := leaving.Servers[0].TimeLeft
	for _, server := range leaving.Servers {
		shortest = min(shortest, server.TimeLeft)
	}
	t.Log.Info().Str("service", string(t.Service)).Int("servers", len(leaving.Servers)).Dur("left", shortest).
		Msg("ranges of leaving servers are moved")
}

// mayBeFirstGrant reports whether a range that was not granted to its owner yet may be. A server that leaves gets no new grant.
// The caller holds mu.
func (t *term) mayBeFirstGrant(assignment ranges.Assignment) bool {
	if len(assignment.FormerOwners) == 0 {
		return true // granted before, perhaps by an earlier assigner, or never owned
	}
	if task := t.serverTasks[assignment.Owner]; task != nil {
		for key, state := range task.grants {
			if state.accepted && key.covers(grantKey{keys: assignment.Range, fence: assignment.Fence}) {
				return true
			}
		}
	}
	for _, server := range t.Registry.Servers(t.Service) {
		if server.SameProcess(assignment.Owner) {
			return !server.Leaving || server.DrainDeadline.IsZero()
		}
	}
	return true
}
