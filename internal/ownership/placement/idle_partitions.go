package placement

// spreadIdlePartitions gives each server that owns nothing its share of the partitions without load, taken from the
// servers that own the most. balanceLoads moves only partitions with load, so that a server which joins a service with a
// few busy keys would otherwise stay empty. Moving an idle partition delays no request.
func (s *solver) spreadIdlePartitions() {
	owned := make([]int, len(s.servers))
	idle := make([][]int, len(s.servers))
	for i, p := range s.partitions {
		owned[p.owner]++
		if !p.pinned && p.load == 0 {
			idle[p.owner] = append(idle[p.owner], i)
		}
	}
	moves := 0
	for to := range s.servers {
		if owned[to] > 0 {
			continue
		}
		for want := int(s.weightShare[to] * float64(len(s.partitions))); owned[to] < want &&
			moves < s.policy.MaxRebalanceMoves; moves++ {
			from := s.idleDonor(owned, idle)
			if from == noServer || owned[from] <= owned[to]+1 {
				return
			}
			last := len(idle[from]) - 1
			s.assign(&s.partitions[idle[from][last]], to)
			idle[from] = idle[from][:last]
			owned[from]--
			owned[to]++
		}
	}
}

// idleDonor returns the server that owns the most partitions relative to its weight share, among those with an idle
// partition.
func (s *solver) idleDonor(owned []int, idle [][]int) int {
	best := noServer
	for i := range s.servers {
		if len(idle[i]) > 0 && (best == noServer || float64(owned[i])/s.weightShare[i] > float64(owned[best])/s.weightShare[best]) {
			best = i
		}
	}
	return best
}
