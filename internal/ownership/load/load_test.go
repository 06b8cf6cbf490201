package load_test

import (
	"math"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/ownership/load"
)

var start = time.Unix(0, 0)

// metered returns the report of a daemon that forwarded rate requests a second for two minutes, a tenth of them for one key.
func metered(rate int) (load.Report, time.Time) {
	meter, now := &load.Meter{}, start
	for i := range rate * 120 {
		now = start.Add(time.Duration(i) * time.Second / time.Duration(rate))
		key := fleet.KeyHash(i)
		if i%10 == 0 {
			key = 7
		}
		meter.Add(now, key.Partition(1024), key)
	}
	return meter.Report(now), now
}

// Guards against load that is lost between the daemons that meter it and the assigner that adds it up.
func TestSumOfReports(t *testing.T) {
	is := is.New(t)
	report, now := metered(500)
	content, err := load.Encode("catalogue", report)
	is.NoErr(err)
	is.True(len(content) < 3000) // bounded, whatever the number of partitions
	service, decoded, err := load.Decode(content)
	is.NoErr(err)
	is.Equal(service, fleet.ServiceName("catalogue"))

	var totals load.Aggregator
	totals.AddReport(now, "entry-1", decoded)
	totals.AddReport(now, "entry-2", decoded)
	sum := totals.Sum(now, 1024)
	is.True(math.Abs(sum.Total-1000) < 80) // two daemons of 500 requests/s, seen for four half-lives of 30 s
	added := 0.0
	for _, rate := range sum.Partitions {
		added += rate
	}
	is.True(math.Abs(added-sum.Total) < 1) // all of it is attributed
	is.Equal(sum.Keys.Counts[0].Key, fleet.KeyHash(7))
	is.True(sum.Significant(15))
	is.True(!sum.Significant(500)) // too few requests to tell so many servers apart

	later := totals.Sum(now.Add(time.Minute), 1024)
	is.Equal(later.Total, 0.0) // reports of daemons that went silent count no more
}

// Guards against a change of the hot keys that a daemon with much load reports late, and against rates that a daemon with
// little load takes from a handful of requests.
func TestHalfLifeFollowsLoad(t *testing.T) {
	is := is.New(t)
	busy, now := metered(2000)
	is.True(busy.Requests > 4000 && busy.Requests < 7000) // the short half-life of 2 s
	is.True(math.Abs(busy.Partitions[0].PerSecond-200) < 20)
	quiet, _ := metered(20)
	is.True(quiet.Requests > 700) // the long half-life of 30 s
	is.True(now.After(start))
}

// Guards against a malformed message that is taken for a report.
func TestDecodeRefusals(t *testing.T) {
	is := is.New(t)
	_, _, err := load.Decode([]byte{0xff})
	is.True(errors.Is(err, load.ErrMalformed))
	_, _, err = load.Decode([]byte{0x12, 0x01, 0x05}) // a partition without a rate
	is.True(errors.Is(err, load.ErrMalformed))
}
