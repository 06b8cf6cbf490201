package relay

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/peer/wire"
	"rosemarywick.example/rosemarywick/internal/routing/ratelimit"
)

const (
	// reserveTimeout bounds the wait for the response of the relay that keeps the limit of an upstream.
	reserveTimeout = 100 * time.Millisecond
	// ReservePause is the time for which a relay that did not respond is not asked again.
	ReservePause = time.Second
	// maxReserveWait bounds the wait that a peer may ask for or report.
	maxReserveWait = time.Minute
)

// errNoKeeper means that the relay that keeps the limit of an upstream can't be asked.
var errNoKeeper = errors.New("relay: the relay that keeps the limit can't be asked")

// reservations holds the requests for admission that wait for a response.
type reservations struct {
	mu sync.Mutex
	// sequence is guarded by mu and identifies the latest request.
	sequence uint64
	// waiting is guarded by mu. A nil decision means that the relay does not keep the limit as far as it knows.
	waiting map[uint64]chan ratelimit.Decision
	// silentUntil is guarded by mu: until when a relay is not asked, by the identifier of its process.
	silentUntil map[string]time.Time
}

// Reserve admits a request to an upstream that takes requests at a rate from all daemons, if it can be sent within maxWait.
// One relay decides for all daemons, each for its part of the upstreams. An error means that it can't be asked.
func (n *Node) Reserve(
	ctx context.Context, upstream fleet.UpstreamID, rate ratelimit.Rate, maxWait time.Duration,
) (ratelimit.Decision, error) {
	keeper, ok := n.members.keeper(upstream)
	if !ok || !n.connected() {
		return nil, errNoKeeper
	}
	now := n.Clock.Now()
	if n.isOwn(keeper) {
		return n.Limiter.Reserve(now, upstream, rate, maxWait), nil
	}
	sequence, response, ok := n.reservations.begin(now, keeper.Run)
	if !ok {
		return nil, errNoKeeper
	}
	defer n.reservations.end(sequence)
	request := &wire.Reserve{
		Sequence: sequence, Upstream: string(upstream), Rate: rate.PerSecond, MaxWaitUs: uint64(maxWait.Microseconds()),
		Cold: rate.Reason == ratelimit.Cold,
	}
	timeout := n.Clock.After(reserveTimeout)
	defer timeout.Stop()
	sendCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	if err := n.send(sendCtx, keeper.Host, &wire.Relay{Body: &wire.Relay_Reserve{Reserve: request}}); err != nil {
		n.reservations.pause(keeper.Run, now.Add(ReservePause))
		return nil, errors.Mark(err, errNoKeeper)
	}
	select {
	case decision := <-response:
		if decision == nil {
			return nil, errNoKeeper
		}
		return decision, nil
	case <-timeout.C:
		n.Log.Info().Str("relay", string(keeper.Host)).Str("upstream", string(upstream)).
			Msg("relay that keeps the limit of an upstream does not respond; the daemon uses its own share")
		n.reservations.pause(keeper.Run, now.Add(ReservePause))
		return nil, errNoKeeper
	case <-ctx.Done():
		return nil, errors.Mark(context.Cause(ctx), errNoKeeper)
	}
}

// connected reports whether messages can be sent to peers. Requests may arrive before that.
func (n *Node) connected() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links != nil
}

// begin registers a request to a relay. It returns false if the relay is not asked at present.
func (r *reservations) begin(now time.Time, keeper string) (uint64, <-chan ratelimit.Decision, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until, ok := r.silentUntil[keeper]; ok {
		if now.Before(until) {
			return 0, nil, false
		}
		delete(r.silentUntil, keeper)
	}
	if r.waiting == nil {
		r.waiting, r.silentUntil = make(map[uint64]chan ratelimit.Decision), make(map[string]time.Time)
	}
	r.sequence++
	response := make(chan ratelimit.Decision, 1)
	r.waiting[r.sequence] = response
	return r.sequence, response, true
}

func (r *reservations) end(sequence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, sequence)
}

// pause keeps a relay from being asked until a time.
func (r *reservations) pause(keeper string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for process, end := range r.silentUntil {
		if end.Before(until.Add(-ReservePause)) {
			delete(r.silentUntil, process)
		}
	}
	r.silentUntil[keeper] = until
}

// deliver passes a response to the request that waits for it. One that comes too late is dropped, with what it granted.
func (r *reservations) deliver(message *wire.Reserved) {
	r.mu.Lock()
	response := r.waiting[message.GetSequence()]
	delete(r.waiting, message.GetSequence())
	r.mu.Unlock()
	if response == nil {
		return
	}
	if message.GetNotKeeper() {
		response <- nil
		return
	}
	wait := time.Duration(min(message.GetWaitUs(), uint64(maxReserveWait.Microseconds()))) * time.Microsecond
	if message.GetGranted() {
		response <- ratelimit.Granted{Wait: wait}
		return
	}
	response <- ratelimit.Denied{RetryAfter: wait}
}

// handleReserve decides for a peer whether a request is admitted. A rate that is no number is not regarded. For a cold upstream
// only the relay decides that keeps the limit by its own list, so that few have a schedule while the daemons' lists differ.
func (n *Node) handleReserve(ctx context.Context, from fleet.HostID, message *wire.Reserve) {
	rate := message.GetRate()
	if math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 || message.GetUpstream() == "" {
		n.Log.Warn().Str("peer", string(from)).Float64("rate", rate).Msg("request for admission can't be read; it is dropped")
		return
	}
	maxWait := time.Duration(min(message.GetMaxWaitUs(), uint64(maxReserveWait.Microseconds()))) * time.Microsecond
	reserved, upstream := &wire.Reserved{Sequence: message.GetSequence()}, fleet.UpstreamID(message.GetUpstream())
	switch decision := n.decideReserve(upstream, rateOf(message), maxWait).(type) {
	case nil:
		reserved.NotKeeper = true
	case ratelimit.Granted:
		reserved.Granted, reserved.WaitUs = true, uint64(decision.Wait.Microseconds())
	case ratelimit.Denied:
		reserved.WaitUs = uint64(decision.RetryAfter.Microseconds())
	}
	if err := n.send(ctx, from, &wire.Relay{Body: &wire.Relay_Reserved{Reserved: reserved}}); err != nil {
		n.Log.Debug().Err(err).Str("peer", string(from)).Msg("send admission")
	}
}

// decideReserve decides about a request, or returns nil if another relay keeps the limit of a cold upstream.
func (n *Node) decideReserve(upstream fleet.UpstreamID, rate ratelimit.Rate, maxWait time.Duration) ratelimit.Decision {
	if rate.Reason == ratelimit.Cold {
		if keeper, ok := n.members.keeper(upstream); !ok || !n.isOwn(keeper) {
			return nil
		}
	}
	return n.Limiter.Reserve(n.Clock.Now(), upstream, rate, maxWait)
}

// rateOf returns the rate that a request for admission names.
func rateOf(message *wire.Reserve) ratelimit.Rate {
	if message.GetCold() {
		return ratelimit.Rate{Reason: ratelimit.Cold, PerSecond: message.GetRate()}
	}
	return ratelimit.Rate{Reason: ratelimit.Stated, PerSecond: message.GetRate()}
}

// keeper returns the relay that keeps the limit of an upstream, or false if there is none. Daemons with the same list name the
// same relay, and few upstreams change theirs when a relay is replaced.
func (m *members) keeper(upstream fleet.UpstreamID) (member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var best member
	highest := uint64(0)
	for _, relay := range m.relays {
		if relay.Host == "" {
			continue
		}
		if weight := xxhash.Sum64String(string(upstream) + " " + relay.Run); best.Host == "" || weight > highest {
			best, highest = relay, weight
		}
	}
	return best, best.Host != ""
}
