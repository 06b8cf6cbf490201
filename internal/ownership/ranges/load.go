package ranges

import (
	"math"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

const (
	// bucketKeys is the number of neighbouring keys whose load is counted together. Busy keys lie close together, so that
	// a range must be divisible between a few of them.
	bucketKeys = 16
	buckets    = (int(fleet.MaxNumericKey) + 1) / bucketKeys
	// loadHalfLife is the time in which a count loses half of its weight. A shift of the hot keys shows within two
	// seconds, and 200 requests a second still give each of 14 servers about 60 samples.
	loadHalfLife = 3 * time.Second
	// evenShare is the part of the load that is taken to be spread evenly over all keys, so that keys that were not asked
	// for lately are divided too.
	evenShare = 0.1
)

// Counts are the requests for each bucket of keys since the last report of a daemon.
type BucketCounts map[int]float64

// Add counts a request for a key.
func (c BucketCounts) Add(key fleet.NumericKey) {
	c[int(key)/bucketKeys]++
}

// Load is the load of each bucket of keys, summed over all daemons. The zero value has none.
type Load struct {
	recent [buckets]float64
	at     time.Time
	// sums holds at i the load of the buckets before i. It is rebuilt by Prepare.
	sums [buckets + 1]float64
}

// Take adds the counts of one report.
func (l *Load) AddReport(now time.Time, counts BucketCounts) {
	l.fade(now)
	for bucket, count := range counts {
		if bucket >= 0 && bucket < buckets && count > 0 && !math.IsInf(count, 0) {
			l.recent[bucket] += count
		}
	}
}

func (l *Load) fade(now time.Time) {
	passed := now.Sub(l.at)
	if l.at.IsZero() || passed <= 0 {
		l.at = now
		return
	}
	factor := math.Exp2(-passed.Seconds() / loadHalfLife.Seconds())
	for i := range l.recent {
		l.recent[i] *= factor
	}
	l.at = now
}

// Samples returns the number of requests that the load rests on.
func (l *Load) Samples() float64 {
	sum := 0.0
	for _, count := range l.recent {
		sum += count
	}
	return sum
}

// Prepare makes the load ready for Of and Cut.
func (l *Load) BuildPrefixSums() {
	total := l.Samples()
	even := max(total*evenShare, 1) / float64(buckets)
	for i, count := range l.recent {
		l.sums[i+1] = l.sums[i] + count*(1-evenShare) + even
	}
}

// Of returns the load of a range.
func (l *Load) RangeSum(r fleet.KeyRange) float64 {
	return l.before(int(r.Last)+1) - l.before(int(r.First))
}

// before returns the load of all keys below key.
func (l *Load) before(key int) float64 {
	bucket, within := key/bucketKeys, key%bucketKeys
	if within == 0 {
		return l.sums[bucket]
	}
	return l.sums[bucket] + (l.sums[bucket+1]-l.sums[bucket])*float64(within)/bucketKeys
}

// Cut returns the last key of the part at the start of the range whose load is closest to amount, at the end of a bucket.
// It returns false if there is no such part smaller than the range.
func (l *Load) SplitPoint(r fleet.KeyRange, amount float64) (fleet.NumericKey, bool) {
	best, found := 0, false
	nearest := math.Inf(1)
	start := l.before(int(r.First))
	for end := (int(r.First)/bucketKeys + 1) * bucketKeys; end <= int(r.Last); end += bucketKeys {
		distance := math.Abs(l.before(end) - start - amount)
		if distance >= nearest {
			break
		}
		best, found, nearest = end-1, true, distance
	}
	return fleet.NumericKey(best), found
}
