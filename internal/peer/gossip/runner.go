package gossip

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/peer/membership"
	"rosemarywick.example/rosemarywick/internal/platform/hosts"
)

// Topic is the mesh topic of gossip messages.
const Topic = "spread"

// MaxValueSize limits the value of an item, in bytes.
const MaxValueSize = 4 << 20

// Defaults of the Runner's intervals, which apply where a field is zero.
const (
	DefaultDigestInterval = time.Second
	// DefaultFlushInterval is how long adoptions are gathered before they are sent. It is also the tick of State, after
	// which overdue requests are repeated.
	DefaultFlushInterval    = 200 * time.Millisecond
	DefaultHostListInterval = 10 * time.Second
)

const (
	// maxQueuedMessages limits the messages queued for a slow peer. Further messages are dropped, and a later exchange of
	// digests repairs the loss.
	maxQueuedMessages = 64
	// hostListReaders is the number of daemons that read the platform's host list for the whole fleet. The others read it
	// only while they have no peers, because the list of 2,200 hosts has 300 KB.
	hostListReaders = 3
	// probeDuration is how long the mesh tries to connect to a host that is considered dead.
	probeDuration = 3 * time.Second
)

// ErrReservedName means that an item's name has the prefix reserved for member records.
var ErrReservedName = errors.New("gossip: name is reserved for member records")

// ErrValueTooLarge means that a value exceeds MaxValueSize.
var ErrValueTooLarge = errors.New("gossip: value too large")

// Transport sends messages to hosts and keeps connections to peers; mesh.Mesh implements it.
type Transport interface {
	Send(ctx context.Context, to fleet.HostID, topic string, payload []byte) error
	SetPeers(hosts []fleet.Host)
}

// Runner connects State and membership.View to a mesh. The exported fields are set before Run. The mesh must call PeerUp,
// PeerDown and Resolve as its callbacks, and Receive as its handler of Topic.
type Runner struct {
	Transport Transport
	View      *membership.View
	HostList  hosts.List
	Clock     timer.Clock
	Log       zerolog.Logger

	DigestInterval, FlushInterval, HostListInterval time.Duration

	mu sync.Mutex
	// mu guards View and the fields below.
	state          *State
	senders        map[fleet.HostID]*peerSender
	watchers       map[*Watcher]struct{}
	adoptedVersion uint64
	sent           map[Kind]MessageStats
	// flushNeeded receives a value when there are adoptions to send or requests that may have to be repeated. It is created
	// together with state.
	flushNeeded chan struct{}
	probeHost   fleet.Host
	probeUntil  time.Time
	// running is nil unless Run is active.
	running *runState
}

// runState exists while Run is active.
type runState struct {
	//nolint:containedctx // PeerUp starts goroutines later that end with the context of Run.
	ctx   context.Context
	tasks sync.WaitGroup
}

// Run disseminates items until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	r.setDefaultIntervals()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	run := &runState{ctx: ctx}
	r.mu.Lock()
	r.initLocked()
	r.running = run
	for id, sender := range r.senders {
		r.startSenderLocked(id, sender)
	}
	r.mu.Unlock()
	run.tasks.Go(func() { r.pollHostList(ctx) })
	r.runTimers(ctx)
	r.mu.Lock()
	r.running = nil
	r.mu.Unlock()
	cancel()
	run.tasks.Wait()
	return nil
}

func (r *Runner) setDefaultIntervals() {
	for _, interval := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&r.DigestInterval, DefaultDigestInterval},
		{&r.FlushInterval, DefaultFlushInterval},
		{&r.HostListInterval, DefaultHostListInterval},
	} {
		if *interval.value <= 0 {
			*interval.value = interval.fallback
		}
	}
}

// initLocked creates the state at the first call. The caller holds mu.
func (r *Runner) initLocked() {
	if r.state == nil {
		r.state = NewState(r.View.Self.ID)
		r.sent = make(map[Kind]MessageStats)
		r.flushNeeded = make(chan struct{}, 1)
		r.senders = make(map[fleet.HostID]*peerSender)
		r.watchers = make(map[*Watcher]struct{})
	}
}

// runTimers runs a digest round at each DigestInterval, and a flush one FlushInterval after it was scheduled, until ctx ends.
func (r *Runner) runTimers(ctx context.Context) {
	digestRound := r.Clock.Every(r.DigestInterval)
	defer digestRound.Stop()
	r.runDigestRound()
	var flushTimer *timer.Subscription
	var flushDue <-chan time.Time
	for {
		select {
		case <-digestRound.C:
			r.runDigestRound()
		case <-r.flushNeeded:
			if flushDue == nil {
				flushTimer = r.Clock.After(r.FlushInterval)
				flushDue = flushTimer.C
			}
		case <-flushDue:
			flushDue = nil
			r.flush()
		case <-ctx.Done():
			if flushTimer != nil {
				flushTimer.Stop()
			}
			return
		}
	}
}

// runDigestRound updates the membership, queues the root digest for the peers that are due in this round, and updates the
// peers of the mesh.
func (r *Runner) runDigestRound() {
	r.mu.Lock()
	now := r.Clock.Now()
	r.handleActionsLocked(r.View.Tick(now))
	r.retainAdoptionsLocked()
	recipients, digest := r.state.AdvanceRound(), r.state.RootDigest()
	for _, id := range recipients {
		r.senders[id].enqueue(digest)
	}
	if host, due := r.View.NextProbe(now); due {
		r.probeHost, r.probeUntil = host, now.Add(probeDuration)
	}
	r.mu.Unlock()
	r.choosePeers()
}

// choosePeers tells the mesh which hosts to keep connected: the chosen peers and, for a while, a probed host.
func (r *Runner) choosePeers() {
	r.mu.Lock()
	peers := r.View.Peers()
	if r.Clock.Now().Before(r.probeUntil) {
		peers = append(peers, r.probeHost)
	}
	r.mu.Unlock()
	r.Transport.SetPeers(peers)
}

// retainAdoptionsLocked forgets the adoptions of hosts that are no longer members, and records this daemon's own adoption
// again, since its incarnation may have changed. The caller holds mu.
func (r *Runner) retainAdoptionsLocked() {
	keys := make(map[AdoptionKey]bool)
	for _, member := range r.View.Members() {
		keys[r.adoptionKeyLocked(member.ID)] = true
	}
	r.state.RetainAdoptions(keys)
	r.state.RecordAdoption(r.adoptionKeyLocked(r.View.Self.ID), r.adoptedVersion)
	r.scheduleFlushLocked()
}

// adoptionKeyLocked returns the key of the latest known run of a host. The caller holds mu.
func (r *Runner) adoptionKeyLocked(id fleet.HostID) AdoptionKey {
	return NewAdoptionKey(id, r.View.MemberIncarnation(id))
}

// flush repeats overdue requests and lets the peers' goroutines send the gathered adoptions.
func (r *Runner) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, want := range r.state.RetryOverdue() {
		if sender := r.senders[id]; sender != nil {
			sender.enqueue(want)
		}
	}
	for id, sender := range r.senders {
		if r.state.AdoptionsDue(id) {
			sender.flushAdoptions = true
			sender.wake()
		}
	}
	r.scheduleFlushLocked()
}

// scheduleFlushLocked schedules a flush if there is work for it. The caller holds mu.
func (r *Runner) scheduleFlushLocked() {
	if !r.state.Pending() {
		return
	}
	select {
	case r.flushNeeded <- struct{}{}:
	default:
	}
}

// Receive handles a message of Topic. The peer's own goroutine sends the responses, so that two peers with full queues do
// not deadlock.
func (r *Runner) Receive(_ context.Context, from fleet.HostID, payload []byte) {
	message, err := decode(payload)
	if err != nil {
		r.Log.Warn().Err(err).Str("peer", string(from)).Msg("decode gossip message: ignored")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.senders[from] == nil {
		return
	}
	r.View.MessageReceived(r.Clock.Now(), from)
	if message == nil {
		return
	}
	replies, changed := r.state.Receive(from, message)
	for _, reply := range replies {
		r.senders[from].enqueue(reply)
	}
	for _, item := range changed {
		r.itemChangedLocked(item)
	}
	r.scheduleFlushLocked()
}

// itemChangedLocked passes a new item on to the membership view, the watchers and the peers' goroutines. The caller holds mu.
func (r *Runner) itemChangedLocked(item Item) {
	if strings.HasPrefix(item.Name, memberPrefix) {
		record, err := decodeMember(item)
		if err != nil {
			r.Log.Warn().Err(err).Str("item", item.Name).Msg("decode member record: ignored")
		} else {
			r.handleActionsLocked(r.View.ApplyRecord(r.Clock.Now(), record))
		}
	}
	for watcher := range r.watchers {
		watcher.push(item)
	}
	for id, sender := range r.senders {
		if r.state.ItemsDue(id) {
			sender.wake()
		}
	}
}

// Resolve returns the peer address of a member.
func (r *Runner) Resolve(id fleet.HostID) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	host, found := r.View.Member(id)
	return host.PeerAddress, found
}
