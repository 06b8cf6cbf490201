package relay

import (
	"context"
	"sync"
	"time"

	"rosemarywick.example/rosemarywick/internal/platform/table"
)

// followStore follows all tables in the store while run runs.
func (n *Node) followStore(ctx context.Context, run func(context.Context)) {
	ctx, cancel := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	source := n.newSource(ctx)
	followers := n.newFollowers(source)
	n.setSource(source, followers)
	defer n.setSource(nil, nil)
	for _, follower := range followers {
		tasks.Go(func() { _ = follower.Run(ctx) }) // always nil: it logs its failures and retries
	}
	run(ctx)
}

// setSource notes the source that this daemon follows, or that it follows none.
func (n *Node) setSource(source *source, followers []*table.Follower) {
	n.mu.Lock()
	n.source, n.followers = source, followers
	n.mu.Unlock()
	n.updateAvailability()
}

// newFollowers returns a follower of each table. When a call to the store fails, the connections for the other tables have likely
// failed too, so all followers check theirs.
func (n *Node) newFollowers(feed table.Feed) []*table.Follower {
	ignore := func([]table.Row) {} // the source stores the rows
	followers := []*table.Follower{{
		Feed: feed, Table: PeersTable, Clock: n.Clock, Log: n.Log, Reset: ignore, Apply: ignore,
		OnOutage: n.SuspectOutage, PollWait: contactInterval,
	}}
	for _, spread := range n.Tables {
		followers = append(followers, &table.Follower{
			Feed: feed, Table: spread.Name, Clock: n.Clock, Log: n.Log, Reset: ignore, Apply: ignore,
			OnOutage: n.SuspectOutage, BatchDelay: spread.BatchDelay, PollWait: pollWaitFor(spread.ApplyLimit),
		})
	}
	return followers
}

// available reports whether this daemon follows the store and the store responds.
func (n *Node) available() bool {
	n.mu.Lock()
	source := n.source
	n.mu.Unlock()
	return source != nil && source.available(n.tableNames, PeersTable, n.schedule.contact)
}

// updateAvailability wakes those that wait for a change of available, if there was one.
func (n *Node) updateAvailability() {
	now := n.available()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.availability != now {
		n.availability = now
		close(n.availabilityChanged)
		n.availabilityChanged = make(chan struct{})
	}
}

// availabilityChannel returns a channel that is closed when available changes.
func (n *Node) availabilityChannel() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.availabilityChanged
}

// starting reports whether this daemon is about to follow the store, and has not read all tables since.
func (n *Node) starting() bool {
	n.mu.Lock()
	source := n.source
	n.mu.Unlock()
	if source == nil {
		return n.holdsRole()
	}
	for _, name := range n.tableNames {
		if _, known := n.replica.position(name); !known {
			return true
		}
	}
	return source.starting()
}

// followsStore reports whether this daemon follows the store itself.
func (n *Node) followsStore() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.followers != nil
}

// runRelay runs until another daemon has replaced this one as relay, this one is cut off from the store and another relay is
// not, or ctx ends. The subscribers of a replaced relay learn of the new one from it.
func (n *Node) runRelay(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	roleCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	tasks.Go(func() { n.Serve(roleCtx) })
	left := n.left
	// One response that is late is no reason to give up the role; a search after it costs only messages.
	tick := n.Clock.Every(n.schedule.search)
	defer tick.Stop()
	var cutOffAt time.Time
	for {
		changed, availability := n.members.changedChannel(), n.availabilityChannel()
		own := n.members.of(n.Local.Locality.Domain)
		if n.isOwn(own) && n.members.lost(own.domain) && !n.isLeaving() && n.claim(ctx) == nil {
			n.Log.Warn().Msg("store had lost the row of this relay or of the authority; it is written again")
			continue
		}
		if own.Host != "" && !n.isOwn(own) {
			n.Log.Info().Str("relay", string(own.Host)).Msg("another daemon has become the relay of this failure domain")
			cancel()
			if n.available() {
				n.mu.Lock()
				n.unheardUntil = n.Clock.Now().Add(unheardTime)
				n.mu.Unlock()
			}
			n.serveUntilReplaced(ctx)
			return
		}
		if n.starting() || n.available() {
			cutOffAt = time.Time{}
		} else if cutOffAt.IsZero() {
			cutOffAt = n.Clock.Now()
		}
		cutOffFor := n.Clock.Now().Sub(cutOffAt)
		if !cutOffAt.IsZero() && cutOffFor >= n.schedule.search && n.anyRelayResponds(ctx) {
			n.Log.Warn().Dur("cut-off", cutOffFor).Msg("relay is cut off from the store and follows another relay")
			n.mu.Lock()
			n.abandoned = own.version
			n.mu.Unlock()
			return
		}
		select {
		case <-changed:
		case <-availability:
		case <-tick.C:
		case <-left:
			left = nil
			cancel()
			n.resign(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// serveUntilReplaced goes on passing changes to the subscribers of a relay that was replaced until they have learned of the new
// one. A relay that is cut off has none to pass on.
func (n *Node) serveUntilReplaced(ctx context.Context) {
	end := n.Clock.After(n.schedule.silence)
	defer end.Stop()
	for {
		availability := n.availabilityChannel()
		if !n.available() {
			return
		}
		select {
		case <-availability:
		case <-end.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// anyRelayResponds reports whether a relay that is not avoided can be reached and reaches the store.
func (n *Node) anyRelayResponds(ctx context.Context) bool {
	result := n.search(ctx, n.preferred(), n.schedule.search)
	n.release(result)
	n.avoidFailed(result.failed)
	return result.delivered != nil
}

// serve runs Serve until the daemon is told to leave or ctx ends, and then waits for the end of ctx.
func (n *Node) serve(ctx context.Context) {
	roleCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		n.Serve(roleCtx)
	}()
	select {
	case <-n.left:
	case <-ctx.Done():
	}
	cancel()
	<-stop
	<-ctx.Done()
}

// awaitRelay runs until a relay that reaches the store responds, or this daemon has become a relay.
func (n *Node) awaitRelay(ctx context.Context) {
	n.Log.Warn().Int("relays", n.members.count()).Msg("no relay can be reached; the daemon follows the store")
	lost := n.members.of(n.Local.Locality.Domain)
	claim, again := n.Clock.After(n.claimDelay(detachedClaim)), n.Clock.Every(avoidTime/2)
	defer claim.Stop()
	defer again.Stop()
	for waited, due := false, false; ; {
		changed, availability := n.members.changedChannel(), n.availabilityChannel()
		if n.holdsRole() || n.anyRelayResponds(ctx) {
			return
		}
		current := n.members.of(n.Local.Locality.Domain)
		if due && current.version == lost.version && n.available() && n.replaceRelay(ctx, lost) {
			return
		}
		if current.version != lost.version {
			lost, due = current, false
		}
		select {
		case <-claim.C:
			waited, due = true, true
		case <-again.C:
			due = waited
		case <-changed:
		case <-availability:
		case <-ctx.Done():
			return
		}
	}
}
