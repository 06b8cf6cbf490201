package placement

// spreadIdle gives each server that owns nothing its share of the partitions without load, from the servers that own the
// most. Level moves only what carries load, so that a server which joins a service with a few busy keys would stay without
// any. Such moves cost no request.
func (b *board) spreadIdle() {
	count := make([]int, len(b.servers))
	idle := make([][]int, len(b.servers))
	for i, s := range b.slots {
		count[s.owner]++
		if !s.pinned && s.size == 0 {
			idle[s.owner] = append(idle[s.owner], i)
		}
	}
	moves := 0
	for to := range b.servers {
		if count[to] > 0 {
			continue
		}
		for want := int(b.share[to] * float64(len(b.slots))); count[to] < want && moves < b.policy.MaxRebalanceMoves; moves++ {
			from := b.fullestOfIdle(count, idle)
			if from == none || count[from] <= count[to]+1 {
				return
			}
			last := len(idle[from]) - 1
			b.give(&b.slots[idle[from][last]], to)
			idle[from] = idle[from][:last]
			count[from]--
			count[to]++
		}
	}
}

// fullestOfIdle returns the server with the most partitions for its share among those with an idle one.
func (b *board) fullestOfIdle(count []int, idle [][]int) int {
	best := none
	for i := range b.servers {
		if len(idle[i]) > 0 && (best == none || float64(count[i])/b.share[i] > float64(count[best])/b.share[best]) {
			best = i
		}
	}
	return best
}
