package placement

// chooseStandbys chooses the standby of each partition such that the partitions of one owner are spread evenly over the
// other servers. A standby is kept if it is live, is not the owner, is in another failure domain than the owner if there
// is one, and does not exceed its share of the owner's partitions.
func (s *solver) chooseStandbys() {
	n := len(s.servers)
	owned := make([]int, n)
	for _, p := range s.partitions {
		owned[p.owner]++
	}
	limits := make([][]int, n)
	for owner := range limits {
		limits[owner] = s.standbyLimits(owner, owned[owner])
	}
	byOwner, totals := newMatrix(n), make([]int, n)
	var missing []int
	for i := range s.partitions {
		p := &s.partitions[i]
		if p.standby == noServer || byOwner[p.owner][p.standby] >= limits[p.owner][p.standby] {
			p.standby = noServer
			missing = append(missing, i)
			continue
		}
		byOwner[p.owner][p.standby]++
		totals[p.standby]++
	}
	for _, i := range missing {
		p := &s.partitions[i]
		p.standby = s.leastUsedStandby(limits[p.owner], byOwner[p.owner], totals)
		if p.standby != noServer {
			byOwner[p.owner][p.standby]++
			totals[p.standby]++
		}
	}
}

// standbyLimits returns for how many of the owner's partitions each server may be the standby: its weighted share
// rounded up, but none for the owner and, if there are servers in other failure domains, none for servers in the owner's
// domain.
func (s *solver) standbyLimits(owner, owned int) []int {
	limits := make([]int, len(s.servers))
	eligible := func(i int) bool { return s.servers[i].Domain != s.servers[owner].Domain }
	var weights float64
	for i := range s.servers {
		if eligible(i) {
			weights += s.weightShare[i]
		}
	}
	if weights == 0 {
		eligible = func(i int) bool { return i != owner }
		weights = 1 - s.weightShare[owner]
	}
	for i := range s.servers {
		if eligible(i) {
			limits[i] = 1 + int(float64(owned)*s.weightShare[i]/weights)
		}
	}
	return limits
}

// leastUsedStandby returns the eligible server that is the standby of the fewest partitions of this owner relative to
// its weight, and among equals of the fewest partitions of all owners.
func (s *solver) leastUsedStandby(limits, ofOwner, totals []int) int {
	best := noServer
	for i, limit := range limits {
		if limit == 0 {
			continue
		}
		if best == noServer || s.lessUsed(i, best, ofOwner, totals) {
			best = i
		}
	}
	return best
}

func (s *solver) lessUsed(i, j int, ofOwner, totals []int) bool {
	x, y := float64(ofOwner[i])*s.weightShare[j], float64(ofOwner[j])*s.weightShare[i]
	if x != y {
		return x < y
	}
	return float64(totals[i])*s.weightShare[j] < float64(totals[j])*s.weightShare[i]
}

// newMatrix returns an n by n matrix of zeros.
func newMatrix(n int) [][]int {
	matrix := make([][]int, n)
	for i := range matrix {
		matrix[i] = make([]int, n)
	}
	return matrix
}
