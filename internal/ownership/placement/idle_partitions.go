package placement

// spreadIdle gives each server that owns nothing its share of the partitions without load, from the servers that own the
// most. Level moves only what carries load, so that a server which joins a service with a few busy keys would stay without
// any. Such moves cost no request.
func (b *solver) spreadIdlePartitions() {
	count := make([]int, len(b.servers))
	idle := make([][]int, len(b.servers))
	for i, s := range b.partitions {
		count[s.owner]++
		if !s.pinned && s.load == 0 {
			idle[s.owner] = append(idle[s.owner], i)
		}
	}
	moves := 0
	for to := range b.servers {
		if count[to] > 0 {
			continue
		}
		for want := int(b.weightShare[to] * float64(len(b.partitions))); count[to] < want && moves < b.policy.MaxRebalanceMoves; moves++ {
			from := b.mostPartitionsWithIdle(count, idle)
			if from == noServer || count[from] <= count[to]+1 {
				return
			}
			last := len(idle[from]) - 1
			b.assign(&b.partitions[idle[from][last]], to)
			idle[from] = idle[from][:last]
			count[from]--
			count[to]++
		}
	}
}

// fullestOfIdle returns the server with the most partitions for its share among those with an idle one.
func (b *solver) mostPartitionsWithIdle(count []int, idle [][]int) int {
	best := noServer
	for i := range b.servers {
		if len(idle[i]) > 0 && (best == noServer || float64(count[i])/b.weightShare[i] > float64(count[best])/b.weightShare[best]) {
			best = i
		}
	}
	return best
}
