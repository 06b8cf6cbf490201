package placement

// chooseStandbys keeps each standby that is live, differs from the owner, is in another failure domain where there is
// one, and does not exceed its part of the owner's partitions; it chooses all others anew, so that the partitions of any
// one owner are spread evenly over the servers that may take them.
func (b *solver) chooseStandbys() {
	n := len(b.servers)
	owned := make([]int, n)
	for _, s := range b.partitions {
		owned[s.owner]++
	}
	limits := make([][]int, n)
	for owner := range limits {
		limits[owner] = b.standbyLimits(owner, owned[owner])
	}
	pairs, totals := newMatrix(n), make([]int, n)
	var open []int
	for i := range b.partitions {
		s := &b.partitions[i]
		if s.standby == noServer || pairs[s.owner][s.standby] >= limits[s.owner][s.standby] {
			s.standby = noServer
			open = append(open, i)
			continue
		}
		pairs[s.owner][s.standby]++
		totals[s.standby]++
	}
	for _, i := range open {
		s := &b.partitions[i]
		s.standby = b.leastBurdenedStandby(limits[s.owner], pairs[s.owner], totals)
		if s.standby != noServer {
			pairs[s.owner][s.standby]++
			totals[s.standby]++
		}
	}
}

// standbyLimits returns how many of the owner's partitions each server may stand by for: none for the owner itself and,
// as long as there is any other, for servers of its failure domain; otherwise the ceiling of its weighted part.
func (b *solver) standbyLimits(owner, owned int) []int {
	limits := make([]int, len(b.servers))
	eligible := func(i int) bool { return b.servers[i].Domain != b.servers[owner].Domain }
	var weights float64
	for i := range b.servers {
		if eligible(i) {
			weights += b.weightShare[i]
		}
	}
	if weights == 0 {
		eligible = func(i int) bool { return i != owner }
		weights = 1 - b.weightShare[owner]
	}
	for i := range b.servers {
		if eligible(i) {
			limits[i] = 1 + int(float64(owned)*b.weightShare[i]/weights)
		}
	}
	return limits
}

// leastPaired returns the eligible server that stands by for the smallest part of this owner's partitions and, among
// equals, for the smallest part of all.
func (b *solver) leastBurdenedStandby(limits, pairs, totals []int) int {
	best := noServer
	for i, limit := range limits {
		if limit == 0 {
			continue
		}
		if best == noServer || b.lessBurdened(i, best, pairs, totals) {
			best = i
		}
	}
	return best
}

func (b *solver) lessBurdened(i, j int, pairs, totals []int) bool {
	x, y := float64(pairs[i])*b.weightShare[j], float64(pairs[j])*b.weightShare[i]
	if x != y {
		return x < y
	}
	return float64(totals[i])*b.weightShare[j] < float64(totals[j])*b.weightShare[i]
}

func newMatrix(n int) [][]int {
	pairs := make([][]int, n)
	for i := range pairs {
		pairs[i] = make([]int, n)
	}
	return pairs
}
