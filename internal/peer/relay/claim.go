package relay

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"rosemarywick.example/rosemarywick/internal/peer/wire"
)

const (
	// claimInterval is the mean time between the attempts of all daemons of a domain, taken together, to replace a lost relay.
	// outageClaimInterval applies if the relay can be reached and is cut off from the store, as the store may be down for all.
	claimInterval       = 20 * time.Millisecond
	outageClaimInterval = 200 * time.Millisecond
	// reclaimTime is the time over which a daemon does not become a relay a second time without need.
	reclaimTime = 5 * time.Second
	// unheardTime is the time for which a relay whose followers did not hear it leaves the role to others.
	unheardTime = 30 * time.Second
	// minClaimSpread is the shortest time over which these attempts are spread.
	minClaimSpread = 200 * time.Millisecond
	// firstClaimers is the number of daemons of the fleet that try first, one after the other within schedule.claims, and
	// minFirstClaimers that of each failure domain. With half of the daemons cut off from the store, one of 16 reaches it in all but
	// one of 65,536 cases.
	firstClaimers    = 16
	minFirstClaimers = 3
)

// claimReason is why a daemon is about to replace the relay of its failure domain.
type claimReason string

const (
	// otherClaim means that a relay of another failure domain passes changes on meanwhile.
	otherClaim claimReason = "other-relay"
	// cutOffClaim means that no relay reaches the store, which may be down for all.
	cutOffClaim claimReason = "cut-off"
	// detachedClaim means that no relay can be reached.
	detachedClaim claimReason = "detached"
)

// claimDelay returns the time until this daemon tries to replace the relay of its failure domain. If no relay passes changes on,
// the first daemons by their rank try within schedule.claims, so that changes are in time and few others read the store
// themselves. If these have failed, the attempts are spread by chance. One that has become a relay a short time ago waits longer,
// since the others may not reach it. One that was replaced although it followed the store is not heard by the others, and would
// take its role back again and again; it waits for unheardTime.
func (n *Node) claimDelay(reason claimReason) time.Duration {
	n.mu.Lock()
	claimedAt, unheard, rank, tried := n.claimedAt, n.unheardUntil.Sub(n.Clock.Now()), n.rank, n.claimTried
	n.claimTried = n.claimTried || reason != otherClaim
	n.mu.Unlock()
	if unheard > 0 {
		return n.ClaimDelay + unheard
	}
	if !claimedAt.IsZero() && n.Clock.Now().Sub(claimedAt) < reclaimTime {
		return n.ClaimDelay + spread(reclaimTime)
	}
	relays := n.Relays()
	perDomain := n.Daemons()/relays + 1
	first := max(minFirstClaimers, firstClaimers/relays)
	switch half := n.schedule.claims / 2; {
	case reason != otherClaim && !tried && rank > 0 && rank <= first:
		return half*time.Duration(rank-1)/time.Duration(first) + min(n.ClaimDelay, half)
	case reason == cutOffClaim:
		return n.schedule.claims + n.ClaimDelay + spread(time.Duration(perDomain*relays)*outageClaimInterval)
	}
	return n.ClaimDelay + spread(time.Duration(perDomain)*claimInterval)
}

// spread returns a random part of a time, of minClaimSpread at least.
func spread(over time.Duration) time.Duration {
	return time.Duration(rand.Float64() * float64(max(minClaimSpread, over)))
}

// setRank notes the rank that a relay has given this daemon.
func (n *Node) setRank(heartbeat *wire.Heartbeat) {
	if rank := heartbeat.GetRank(); rank > 0 {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.rank = int(rank)
	}
}

// rankSubscribers gives the subscribers their ranks, from 1. The caller holds mu.
func (n *Node) rankSubscribers() {
	ranked := make([]*subscriber, 0, len(n.subscribers))
	for _, next := range n.subscribers {
		ranked = append(ranked, next)
	}
	slices.SortFunc(ranked, func(a, b *subscriber) int { return cmp.Compare(a.host, b.host) })
	for i, next := range ranked {
		next.rank.Store(uint32(i + 1))
	}
}
