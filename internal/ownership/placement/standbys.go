package placement

// chooseStandbys keeps each standby that is live, differs from the owner, is in another failure domain where there is
// one, and does not exceed its part of the owner's partitions; it chooses all others anew, so that the partitions of any
// one owner are spread evenly over the servers that may take them.
func (b *board) chooseStandbys() {
	n := len(b.servers)
	owned := make([]int, n)
	for _, s := range b.slots {
		owned[s.owner]++
	}
	limits := make([][]int, n)
	for owner := range limits {
		limits[owner] = b.standbyLimits(owner, owned[owner])
	}
	pairs, totals := newPairs(n), make([]int, n)
	var open []int
	for i := range b.slots {
		s := &b.slots[i]
		if s.standby == none || pairs[s.owner][s.standby] >= limits[s.owner][s.standby] {
			s.standby = none
			open = append(open, i)
			continue
		}
		pairs[s.owner][s.standby]++
		totals[s.standby]++
	}
	for _, i := range open {
		s := &b.slots[i]
		s.standby = b.leastPaired(limits[s.owner], pairs[s.owner], totals)
		if s.standby != none {
			pairs[s.owner][s.standby]++
			totals[s.standby]++
		}
	}
}

// standbyLimits returns how many of the owner's partitions each server may stand by for: none for the owner itself and,
// as long as there is any other, for servers of its failure domain; otherwise the ceiling of its weighted part.
func (b *board) standbyLimits(owner, owned int) []int {
	limits := make([]int, len(b.servers))
	eligible := func(i int) bool { return b.servers[i].Domain != b.servers[owner].Domain }
	var weights float64
	for i := range b.servers {
		if eligible(i) {
			weights += b.share[i]
		}
	}
	if weights == 0 {
		eligible = func(i int) bool { return i != owner }
		weights = 1 - b.share[owner]
	}
	for i := range b.servers {
		if eligible(i) {
			limits[i] = 1 + int(float64(owned)*b.share[i]/weights)
		}
	}
	return limits
}

// leastPaired returns the eligible server that stands by for the smallest part of this owner's partitions and, among
// equals, for the smallest part of all.
func (b *board) leastPaired(limits, pairs, totals []int) int {
	best := none
	for i, limit := range limits {
		if limit == 0 {
			continue
		}
		if best == none || b.lessPaired(i, best, pairs, totals) {
			best = i
		}
	}
	return best
}

func (b *board) lessPaired(i, j int, pairs, totals []int) bool {
	x, y := float64(pairs[i])*b.share[j], float64(pairs[j])*b.share[i]
	if x != y {
		return x < y
	}
	return float64(totals[i])*b.share[j] < float64(totals[j])*b.share[i]
}

func newPairs(n int) [][]int {
	pairs := make([][]int, n)
	for i := range pairs {
		pairs[i] = make([]int, n)
	}
	return pairs
}
