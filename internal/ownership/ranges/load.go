package ranges

import (
	"math"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

const (
	// keysPerBucket is the number of adjacent keys whose requests share one counter. Hot keys tend to be adjacent, and a few of
	// them can be more than one server runs, so a range must be divisible between any two keys.
	keysPerBucket = 1
	bucketCount   = (int(fleet.MaxNumericKey) + 1) / keysPerBucket
	// loadHalfLife is the half-life of the exponential decay of a counter. With 950 requests a second for 137 servers, each of them
	// has about 60 samples, so that chance makes the largest of the loads less than 1.5 times the mean. Changes within it are
	// found by blocks of keys; see adoptChanges.
	loadHalfLife = 6 * time.Second
	// recentHalfLife is the half-life of the counters by which a change of the load is found. It is that of one collection.
	recentHalfLife = 500 * time.Millisecond
	// uniformFraction is the fraction of the load that is assumed to be spread evenly over all keys, so that ranges are
	// divided sensibly where no key was requested recently.
	uniformFraction = 0.1
)

// BucketCounts maps the index of a bucket of keys to its requests since the last report of a daemon.
type BucketCounts map[int]float64

// Add counts one request for a key.
func (c BucketCounts) Add(key fleet.NumericKey) {
	c[int(key)/keysPerBucket]++
}

// Load is the decayed request count of each bucket of keys, summed over all daemons. The zero value holds no load.
type Load struct {
	counts [bucketCount]float32
	// recent is decayed with recentHalfLife. latest is the last report, and latestTotal its sum.
	recent      [blockCount]float64
	latest      BucketCounts
	latestTotal float64
	blocks      [blockCount]blockState
	// samples is the sum of counts without the changes of adoptChanges, and variance the sum of the squares of its weights.
	samples, variance float64
	// decayedAt is the time to which counts have been decayed.
	decayedAt time.Time
	// firstAt is the time of the first report.
	firstAt time.Time
	// prefixSums[i] is the load of all buckets before i. BuildPrefixSums recomputes it unless built is set, which means that no
	// report was added since.
	prefixSums [bucketCount + 1]float64
	built      bool
}

// AddReport adds the counts that the daemons reported since the last collection. Out-of-range buckets and invalid counts are
// ignored.
func (l *Load) AddReport(now time.Time, report BucketCounts) {
	l.decay(now)
	if l.firstAt.IsZero() {
		l.firstAt = now
	}
	l.built = false
	l.latest, l.latestTotal = make(BucketCounts, len(report)), 0
	for bucket, count := range report {
		if bucket >= 0 && bucket < bucketCount && count > 0 && !math.IsInf(count, 0) {
			l.counts[bucket] += float32(count)
			l.recent[bucket/bucketsPerBlock] += count
			l.latest[bucket] = count
			l.latestTotal += count
		}
	}
	l.samples += l.latestTotal
	l.variance += l.latestTotal
	l.adoptChanges()
}

// decay applies the exponential decay since the last call.
func (l *Load) decay(now time.Time) {
	elapsed := now.Sub(l.decayedAt)
	if l.decayedAt.IsZero() || elapsed <= 0 {
		l.decayedAt = now
		return
	}
	factor := math.Exp2(-elapsed.Seconds() / loadHalfLife.Seconds())
	for i := range l.counts {
		l.counts[i] *= float32(factor)
	}
	l.samples *= factor
	l.variance *= factor * factor
	recentFactor := math.Exp2(-elapsed.Seconds() / recentHalfLife.Seconds())
	for i := range l.blocks {
		l.recent[i] *= recentFactor
		l.blocks[i].decay(factor)
	}
	l.decayedAt = now
}

// Samples returns the decayed number of requests that were counted.
func (l *Load) Samples() float64 {
	sum := 0.0
	for _, count := range l.counts {
		sum += float64(count)
	}
	return sum
}

// VariancePerRequest returns the variance of a count, divided by its mean. It is 1 for a single report and falls to 1/2 as
// reports decay.
func (l *Load) VariancePerRequest() float64 {
	if l.samples <= 0 {
		return 1
	}
	return l.variance / l.samples
}

// BuildPrefixSums must be called after the last AddReport and before RangeSum or SplitPoint.
func (l *Load) BuildPrefixSums() {
	if l.built {
		return
	}
	l.built = true
	total := l.Samples()
	uniform := max(total*uniformFraction, 1) / float64(bucketCount)
	l.prefixSums[0] = 0
	for block := 0; block < blockCount; {
		last := l.lastOfRun(block)
		estimate := l.estimateKeys(block, last)
		for i := block * bucketsPerBlock; i < (last+1)*bucketsPerBlock; i++ {
			l.prefixSums[i+1] = l.prefixSums[i] + estimate.of(float64(l.counts[i]))*(1-uniformFraction) + uniform
		}
		block = last + 1
	}
}

// RangeSum returns the load of all keys in r.
func (l *Load) RangeSum(r fleet.KeyRange) float64 {
	return l.loadBelow(int(r.Last)+1) - l.loadBelow(int(r.First))
}

// loadBelow returns the load of all keys below key, interpolated within a bucket.
func (l *Load) loadBelow(key int) float64 {
	bucket, offset := key/keysPerBucket, key%keysPerBucket
	if offset == 0 {
		return l.prefixSums[bucket]
	}
	return l.prefixSums[bucket] + (l.prefixSums[bucket+1]-l.prefixSums[bucket])*float64(offset)/keysPerBucket
}

// SplitPoint returns the last key of the prefix of r whose load is closest to amount. A prefix ends at a bucket boundary and
// is shorter than r; SplitPoint returns false if there is none.
func (l *Load) SplitPoint(r fleet.KeyRange, amount float64) (fleet.NumericKey, bool) {
	best, found := 0, false
	minDistance := math.Inf(1)
	start := l.loadBelow(int(r.First))
	for end := (int(r.First)/keysPerBucket + 1) * keysPerBucket; end <= int(r.Last); end += keysPerBucket {
		distance := math.Abs(l.loadBelow(end) - start - amount)
		if distance >= minDistance {
			break
		}
		best, found, minDistance = end-1, true, distance
	}
	return fleet.NumericKey(best), found
}

// densestPiece returns the fewest adjacent keys of r whose load is at least amount, less pieceTolerance. It returns false if
// there are none.
func (l *Load) densestPiece(r fleet.KeyRange, amount float64) (fleet.KeyRange, bool) {
	best, found := fleet.KeyRange{}, false
	first := int(r.First)
	for end := int(r.First) + 1; end <= int(r.Last)+1; end++ {
		for l.loadBelow(end)-l.loadBelow(first+1) >= amount*(1-pieceTolerance) && first+1 < end {
			first++
		}
		if l.loadBelow(end)-l.loadBelow(first) < amount*(1-pieceTolerance) {
			continue
		}
		if !found || end-first < best.Size() {
			best, found = fleet.KeyRange{First: fleet.NumericKey(first), Last: fleet.NumericKey(end - 1)}, true
		}
	}
	return best, found
}
