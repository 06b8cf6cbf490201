package router

import (
	"sync"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// suspects remembers which servers and partitions are known to be useless until the map changes, so that requests wait
// without each of them trying first. One request at a time tries again after trialAfter.
type suspects struct {
	mu sync.Mutex
	// servers is guarded by mu and holds the time of the next trial of an unreachable server.
	servers map[fleet.UpstreamID]time.Time
	// partitions is guarded by mu and holds assignments that the owner denied.
	partitions map[fleet.PartitionID]misroute
	// waiting is guarded by mu and counts the requests that wait for the map.
	waiting int
}

// misroute is an assignment that its owner denied.
type misroute struct {
	fence fleet.Fence
	next  time.Time
}

// trialAfter lies below the time in which a lost owner is replaced, so that a server that was only restarting or late to
// accept its grant is found before that.
const trialAfter = 250 * time.Millisecond

func newSuspects() *suspects {
	return &suspects{servers: make(map[fleet.UpstreamID]time.Time), partitions: make(map[fleet.PartitionID]misroute)}
}

// unreachable notes that no connection to a server could be made.
func (s *suspects) unreachable(now time.Time, id fleet.UpstreamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers[id] = now.Add(trialAfter)
}

// denied notes that a server denied an assignment.
func (s *suspects) denied(now time.Time, assignment fleet.Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitions[assignment.Partition] = misroute{fence: assignment.Fence, next: now.Add(trialAfter)}
}

// reached notes that a server served an assignment.
func (s *suspects) reached(assignment fleet.Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.servers, assignment.Owner)
	delete(s.partitions, assignment.Partition)
}

// wait returns how long a request must wait before it may use the assignment; zero lets it go on, as the next trial if
// one is due.
func (s *suspects) wait(now time.Time, assignment fleet.Assignment) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, unreachable := s.servers[assignment.Owner]
	if unreachable && now.Before(until) {
		return until.Sub(now)
	}
	denied, found := s.partitions[assignment.Partition]
	found = found && !denied.fence.Less(assignment.Fence)
	if found && now.Before(denied.next) {
		return denied.next.Sub(now)
	}
	if unreachable {
		s.servers[assignment.Owner] = now.Add(trialAfter)
	}
	if found {
		s.partitions[assignment.Partition] = misroute{fence: denied.fence, next: now.Add(trialAfter)}
	}
	return 0
}

// enter counts a request that begins to wait for the map, and returns false if too many do.
func (s *suspects) enter(most int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting >= most {
		return false
	}
	s.waiting++
	return true
}

func (s *suspects) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
}
