package ranges

import (
	"math"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// The load of a key is a few requests in loadHalfLife, which says little about it, and a hot range has to be divided before there
// are many of them. Adjacent keys are therefore looked at together: a block whose recent load differs clearly from its past load
// takes on the recent one, and the counts of single keys are corrected by what the counts of their neighbours show.

const (
	// bucketsPerBlock is the number of adjacent buckets whose load changes together. A hot range of 60 keys covers two blocks, and
	// a block has less than one request in recentHalfLife as long as it is not hot.
	bucketsPerBlock = 32
	blockCount      = bucketCount / bucketsPerBlock
	// A block has changed if its recent count differs from the expected one by more than changeDeviations standard deviations and
	// minChange requests. One of 2,048 blocks does so by chance in every 50th collection.
	changeDeviations = 3.0
	minChange        = 3.5
	// onsetFactor corrects the first count of a block that became hot: the heat began at some time between two collections.
	onsetFactor = 1.5
	// maxSampleFactor bounds the weight of a single request after a change.
	maxSampleFactor = 50
	// maxPriorCount bounds the requests of which a key is assumed to have the mean of its neighbours.
	maxPriorCount = 100
)

// blockState is what is known about the load of a block of keys.
type blockState struct {
	// sampleFactor is by how much the counts exceed the number of requests on which they are based, less one. It is above zero
	// after a change, since the counts of one collection then stand for all of loadHalfLife.
	sampleFactor float64
	// rising is set if the block became hot with the last report, so that its counts cover only a part of the heat.
	rising bool
	// hot is set from then on until the load falls.
	hot bool
}

// decay makes the counts rest on newer requests.
func (b *blockState) decay(factor float64) { b.sampleFactor *= factor * factor }

// adoptChanges finds the blocks whose load has changed, and takes on their recent load.
func (l *Load) adoptChanges() {
	total, recentTotal := l.Samples(), 0.0
	for _, count := range l.recent {
		recentTotal += count
	}
	if total <= recentTotal || l.latestTotal <= 0 { // nothing to compare with
		return
	}
	for block := range l.blocks {
		state := &l.blocks[block]
		expected := l.blockSum(block) * recentTotal / total
		margin := changeDeviations*math.Sqrt(expected) + minChange
		difference := l.recent[block] - expected
		switch {
		case state.rising: // the last report is the first that covers heat only
			state.rising = false
			l.adoptLatest(block, total/l.latestTotal)
		case difference > margin:
			state.rising, state.hot = true, true
			l.adoptLatest(block, onsetFactor*total/l.latestTotal)
		case difference < -margin:
			state.hot = false
			l.scaleBlock(block, l.recent[block]/expected)
		}
	}
}

// blockSum returns the count of a block.
func (l *Load) blockSum(block int) float64 {
	sum := 0.0
	for _, count := range l.counts[block*bucketsPerBlock : (block+1)*bucketsPerBlock] {
		sum += float64(count)
	}
	return sum
}

// adoptLatest replaces the counts of a block by those of the last report, times a factor.
func (l *Load) adoptLatest(block int, factor float64) {
	for bucket := block * bucketsPerBlock; bucket < (block+1)*bucketsPerBlock; bucket++ {
		l.counts[bucket] = float32(l.latest[bucket] * factor)
	}
	l.blocks[block].sampleFactor = min(max(factor, 1), maxSampleFactor) - 1
}

// scaleBlock multiplies the counts of a block.
func (l *Load) scaleBlock(block int, factor float64) {
	for bucket := block * bucketsPerBlock; bucket < (block+1)*bucketsPerBlock; bucket++ {
		l.counts[bucket] *= float32(factor)
	}
}

// RisingLoad returns the load of the keys of a range that became hot so recently that measured utilization does not show it yet.
func (l *Load) RisingLoad(r fleet.KeyRange) float64 {
	sum := 0.0
	for block := int(r.First) / bucketsPerBlock; block <= int(r.Last)/bucketsPerBlock; block++ {
		if l.blocks[block].hot && l.blocks[block].sampleFactor > 1 {
			first, last := max(int(r.First), block*bucketsPerBlock), min(int(r.Last)+1, (block+1)*bucketsPerBlock)
			sum += l.loadBelow(last) - l.loadBelow(first)
		}
	}
	return sum
}

// lastOfRun returns the last block of those that are estimated together with the given one: adjacent blocks that became hot.
func (l *Load) lastOfRun(block int) int {
	last := block
	for l.blocks[block].hot && last+1 < blockCount && l.blocks[last+1].hot {
		last++
	}
	return last
}

// keyEstimate estimates the load of one key of a run of blocks by its count and the mean of the run. The loads of the keys are
// assumed to have a gamma distribution whose variance is what the counts vary beyond chance; priorCount is its shape. Equal keys
// are thus estimated as equal, and a single hot key is estimated by its own count.
type keyEstimate struct {
	// mean is the mean count, and sampleFactor the factor of counts to numbers of requests.
	mean, sampleFactor, priorCount float64
}

// of returns the load of a key with the given count.
func (e keyEstimate) of(count float64) float64 {
	if e.mean <= 0 {
		return 0
	}
	return e.mean * (count/e.sampleFactor + e.priorCount) / (e.mean/e.sampleFactor + e.priorCount)
}

// estimateKeys returns the estimate for the keys of blocks first to last.
func (l *Load) estimateKeys(first, last int) keyEstimate {
	counts := l.counts[first*bucketsPerBlock : (last+1)*bucketsPerBlock]
	sum, squares := 0.0, 0.0
	for _, count := range counts {
		sum += float64(count)
		squares += float64(count) * float64(count)
	}
	n := float64(len(counts))
	result := keyEstimate{mean: sum / n, sampleFactor: 1 + l.blocks[first].sampleFactor, priorCount: maxPriorCount}
	mean := result.mean / result.sampleFactor
	if excess := squares/(n*result.sampleFactor*result.sampleFactor) - mean*mean - mean; excess > 0 {
		result.priorCount = min(maxPriorCount, mean*mean/excess)
	}
	return result
}
