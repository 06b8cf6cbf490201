package placement

import (
	"cmp"
	"slices"
)

// Rebalance returns a desired placement like Place. If loads are known, it also moves partitions and hot keys away from
// servers above their capacity. Each of these moves reduces the load of the more loaded of the two servers by more than
// the cost of a move. A server that owns nothing gets idle partitions.
func (p Policy) Rebalance(input Input) []Assignment {
	input.Current = p.Place(input)
	if len(input.Loads) == 0 || len(input.Servers) == 0 {
		return input.Current
	}
	s := newSolver(input, p.withDefaults())
	s.balanceLoads()
	s.spreadIdlePartitions()
	s.chooseStandbys()
	return s.assignments()
}

// balanceLoads moves partitions from the most loaded server to the least loaded one as long as a move gains more than it
// costs. It ignores a server from the point on at which none of its partitions can be moved with a gain, since a single
// hot key may exceed the capacity of a server.
func (s *solver) balanceLoads() {
	movable := s.movablePartitions()
	exhausted := make([]bool, len(s.servers))
	for moves := 0; moves < s.policy.MaxRebalanceMoves; {
		from, to := s.mostAndLeastLoaded(exhausted)
		if from == noServer || from == to || s.serverLoad[from] <= s.capacity[from] {
			return
		}
		position := s.bestMove(movable[from], from, to)
		if position == noServer {
			exhausted[from] = true
			continue
		}
		i := movable[from][position]
		movable[from] = slices.Delete(movable[from], position, position+1)
		movable[to] = append(movable[to], i)
		s.serverLoad[from] -= s.partitions[i].load
		s.assign(&s.partitions[i], to)
		moves++
	}
}

// movablePartitions returns the movable partitions of each server, those with the highest load first.
func (s *solver) movablePartitions() [][]int {
	movable := make([][]int, len(s.servers))
	for i, p := range s.partitions {
		if !p.pinned && p.load > 0 {
			movable[p.owner] = append(movable[p.owner], i)
		}
	}
	for _, list := range movable {
		slices.SortStableFunc(list, func(x, y int) int { return cmp.Compare(s.partitions[y].load, s.partitions[x].load) })
	}
	return movable
}

// mostAndLeastLoaded returns the most loaded server that is not exhausted and the least loaded of all servers.
func (s *solver) mostAndLeastLoaded(exhausted []bool) (most, least int) {
	most, least = noServer, noServer
	for i := range s.servers {
		if !exhausted[i] && (most == noServer || s.relativeLoad(i, 0) > s.relativeLoad(most, 0)) {
			most = i
		}
		if least == noServer || s.relativeLoad(i, 0) < s.relativeLoad(least, 0) {
			least = i
		}
	}
	return most, least
}

// relativeLoad returns the load of a server, changed by delta, as a multiple of its fair share.
func (s *solver) relativeLoad(server int, delta float64) float64 {
	return (s.serverLoad[server] + delta) * s.policy.CapacityFactor / s.capacity[server]
}

// bestMove returns the position in list of the partition whose move reduces the higher load of the two servers the most,
// or noServer if no reduction exceeds the cost of a move.
func (s *solver) bestMove(list []int, from, to int) int {
	best, before := noServer, s.relativeLoad(from, 0)
	lowest := before - s.policy.MoveCost
	for position, i := range list {
		load := s.partitions[i].load
		if higher := max(s.relativeLoad(from, -load), s.relativeLoad(to, load)); higher < lowest {
			best, lowest = position, higher
		}
	}
	return best
}
