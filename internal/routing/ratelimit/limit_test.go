package ratelimit_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rosemarywick.example/rosemarywick/internal/routing/ratelimit"
)

// coldLimit is the limit of a cold upstream in the deployments at hand.
var coldLimit = ratelimit.Limit{
	Reason: ratelimit.Cold, PerSecond: 5.6, Allowance: ratelimit.Allowance{Factor: 1.5, Extra: 8, Window: time.Second},
}

// coldFleet is a set of daemons that send requests to one cold upstream, and of keepers. Time advances in steps.
type coldFleet struct {
	random  *rand.Rand
	now     time.Time
	keepers []*ratelimit.Limiter
	// current is the keeper by the newest list. It changes at changedAt, and each holder of a list learns of it within listDelay.
	current, previous int
	changedAt         time.Time
	listDelay         time.Duration
	daemons           []*coldDaemon
	// perSecond is the number of requests a second that all daemons have for the upstream.
	perSecond float64
	arrivals  []time.Time
}

const (
	// entryDelay is the time within which all daemons learn that the upstream is cold, and usualRate the number of requests a second
	// that they send it until then.
	entryDelay = 300 * time.Millisecond
	usualRate  = 10
)

// coldDaemon is one daemon.
type coldDaemon struct {
	share ratelimit.Limiter
	// lag is how long the daemon takes to learn of a changed list, as a part of listDelay.
	lag float64
	// knowsAt is when the daemon learns that the upstream is cold.
	knowsAt time.Time
	// lostUntil is until when the daemon cannot ask any keeper.
	lostUntil time.Time
}

// named returns the keeper by a list that is up to date after a part of listDelay.
func (f *coldFleet) named(lag float64) int {
	if f.now.Sub(f.changedAt) < time.Duration(lag*float64(f.listDelay)) {
		return f.previous
	}
	return f.current
}

// request lets a daemon ask for admission, and notes when the request arrives.
func (f *coldFleet) request(from *coldDaemon, maxWait time.Duration) {
	if f.now.Before(from.knowsAt) {
		if f.random.Float64() < usualRate/f.perSecond {
			f.arrivals = append(f.arrivals, f.now)
		}
		return
	}
	rate := coldLimit.Rate()
	var decision ratelimit.Decision
	keeper := f.named(from.lag)
	// A keeper learns at once that it was replaced, or as late as the daemons.
	keeps := f.named(0) == keeper || f.random.IntN(2) == 0
	if f.now.Before(from.lostUntil) || !keeps {
		decision = from.share.Reserve(f.now, "u", ratelimit.Share(rate, len(f.daemons)), maxWait)
	} else {
		decision = f.keepers[keeper].Reserve(f.now, "u", rate, maxWait)
	}
	if granted, ok := decision.(ratelimit.Granted); ok {
		transit := time.Duration(f.random.Int64N(int64(200 * time.Millisecond)))
		f.arrivals = append(f.arrivals, f.now.Add(granted.Wait+transit))
	}
}

// run plays a span with requests at a rate for each daemon. The keeper changes about every changeEvery, and a daemon loses contact
// for a second about every loseEvery.
func (f *coldFleet) run(span time.Duration, perDaemon float64, changeEvery, loseEvery time.Duration) {
	const step = 5 * time.Millisecond
	f.perSecond = perDaemon * float64(len(f.daemons))
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(step) {
		if f.random.Float64() < step.Seconds()/changeEvery.Seconds() && f.now.Sub(f.changedAt) > f.listDelay {
			f.previous, f.changedAt = f.current, f.now
			f.current = f.random.IntN(len(f.keepers))
		}
		for _, daemon := range f.daemons {
			if f.random.Float64() < step.Seconds()/loseEvery.Seconds() {
				daemon.lostUntil = f.now.Add(time.Second)
			}
			if f.random.Float64() < step.Seconds()*perDaemon {
				f.request(daemon, time.Duration(f.random.IntN(300))*time.Millisecond)
			}
		}
	}
}

// busiest returns the largest number of requests that arrived within a second.
func (f *coldFleet) busiest() int {
	slices.SortFunc(f.arrivals, time.Time.Compare)
	most, first := 0, 0
	for last := range f.arrivals {
		for f.arrivals[last].Sub(f.arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func newColdFleet(seed uint64, daemons, keepers int, listDelay time.Duration) *coldFleet {
	f := &coldFleet{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), listDelay: listDelay}
	for range keepers {
		f.keepers = append(f.keepers, &ratelimit.Limiter{})
	}
	for range daemons {
		f.daemons = append(f.daemons, &coldDaemon{
			share: ratelimit.Limiter{Staggered: true}, lag: f.random.Float64(),
			knowsAt: f.now.Add(time.Duration(f.random.Int64N(int64(entryDelay)))),
		})
	}
	return f
}

// Guards against more requests to a cold upstream within any second than it survives, over all daemons: while some do not know
// yet that it is cold, while keepers change and daemons know different ones, while daemons lose contact, and when requests arrive
// closer together than they were sent.
func TestColdLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(1, 90).Draw(t, "daemons")
		f := newColdFleet(
			rapid.Uint64().Draw(t, "seed"), daemons, rapid.IntRange(1, 4).Draw(t, "keepers"),
			time.Duration(rapid.IntRange(0, 1500).Draw(t, "list delay"))*time.Millisecond,
		)
		perDaemon := rapid.Float64Range(1, 100).Draw(t, "per second") / float64(daemons)
		changeEvery := time.Duration(rapid.IntRange(1000, 10000).Draw(t, "change")) * time.Millisecond
		loseEvery := time.Duration(rapid.IntRange(1, 60).Draw(t, "lose")) * time.Second
		f.run(8*time.Second, perDaemon, changeEvery, loseEvery)
		if allowed := coldLimit.Allowance.Factor*coldLimit.PerSecond + coldLimit.Allowance.Extra; float64(f.busiest()) > allowed {
			t.Fatalf("%d requests within a second, allowed %v", f.busiest(), allowed)
		}
	})
}

// Guards against a cold upstream that stays idle while requests wait for it.
func TestColdLimitIsUsed(t *testing.T) {
	is := is.New(t)
	f := newColdFleet(1, 87, 1, 0)
	f.run(11*time.Second, 1, time.Hour, time.Hour)
	is.True(len(f.arrivals) >= int(10*coldLimit.Rate().PerSecond)) // 87 requests a second are asked for
}

// Guards against a request that is admitted because the upstream's other limit has a schedule of its own.
func TestReasonsShareAdmissions(t *testing.T) {
	is := is.New(t)
	limiter, now, cold := &ratelimit.Limiter{}, time.Unix(1000, 0), coldLimit.Rate()
	stated := ratelimit.Rate{Reason: ratelimit.Stated, PerSecond: 3}
	count := 0
	for range 2000 {
		now = now.Add(5 * time.Millisecond)
		for _, rate := range []ratelimit.Rate{stated, cold} {
			if _, ok := limiter.Reserve(now, "u", rate, 0).(ratelimit.Granted); ok {
				count++
			}
		}
	}
	is.True(float64(count) <= 10*cold.PerSecond+3)
	_, denied := limiter.Reserve(now, "u", ratelimit.Rate{Reason: ratelimit.Cold}, time.Minute).(ratelimit.Denied)
	is.True(denied) // no rate at all
}
