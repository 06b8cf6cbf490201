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

// Topic is the topic of the mesh on which peers exchange items.
const Topic = "spread"

// MaxValue bounds the value of an item.
const MaxValueSize = 4 << 20

// Defaults of the intervals that may be left out.
const (
	DefaultDigestInterval = time.Second
	// DefaultReportInterval is the time for which adoptions are gathered before they are passed on, and the tick of the
	// state.
	DefaultFlushInterval    = 200 * time.Millisecond
	DefaultHostListInterval = 10 * time.Second
)

const (
	// maxReplies bounds the responses that wait for a slow peer. What is dropped beyond it is repaired by a later
	// exchange of digests.
	maxReplies = 64
	// listReaders is the number of daemons that read the host list on behalf of all. The others read it only until
	// they have peers, as 2,200 hosts make a list of 300 KB.
	listReaders = 3
	// probeTime is how long a host that is taken for dead is tried.
	probeTime = 3 * time.Second
)

// ErrReserved means that an item has the name of a member record.
var ErrReservedName = errors.New("spread: name is reserved for member records")

// ErrTooLarge means that a value exceeds MaxValue.
var ErrValueTooLarge = errors.New("spread: value too large")

// Transport is what the runner needs of the mesh.
type Transport interface {
	Send(ctx context.Context, to fleet.HostID, topic string, payload []byte) error
	SetPeers(hosts []fleet.Host)
}

// Runner connects State and membership.View to a mesh. The exported fields are set before Run. PeerUp, PeerDown and
// Receive are to be set as the mesh's callbacks and handler.
type Runner struct {
	Transport Transport
	View      *membership.View
	HostList  hosts.List
	Clock     timer.Clock
	Log       zerolog.Logger

	DigestInterval, FlushInterval, HostListInterval time.Duration

	mu sync.Mutex
	// The fields below, State and View are guarded by mu.
	state    *State
	links    map[fleet.HostID]*peerLink
	watchers map[*Watcher]struct{}
	adopted  uint64
	sent     map[Kind]MessageStats
	// pending is made with the state, and sent to when there are reports to pass on or requests to repeat.
	pending  chan struct{}
	probing  fleet.Host
	probeEnd time.Time
	// run is nil unless Run is under way.
	run *runnerTasks
}

type runnerTasks struct {
	//nolint:containedctx // The context of Run is that of the goroutines for peers, which start later.
	ctx   context.Context
	tasks sync.WaitGroup
}

// Run disseminates items until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	r.setDefaults()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	run := &runnerTasks{ctx: ctx}
	r.mu.Lock()
	r.open()
	r.run = run
	for id, link := range r.links {
		r.startLocked(id, link)
	}
	r.mu.Unlock()
	run.tasks.Go(func() { r.readList(ctx) })
	r.rounds(ctx)
	r.mu.Lock()
	r.run = nil
	r.mu.Unlock()
	cancel()
	run.tasks.Wait()
	return nil
}

func (r *Runner) setDefaults() {
	for _, setting := range []struct {
		value    *time.Duration
		standard time.Duration
	}{
		{&r.DigestInterval, DefaultDigestInterval},
		{&r.FlushInterval, DefaultFlushInterval},
		{&r.HostListInterval, DefaultHostListInterval},
	} {
		if *setting.value <= 0 {
			*setting.value = setting.standard
		}
	}
}

// open makes the state. The caller holds mu.
func (r *Runner) open() {
	if r.state == nil {
		r.state = NewState(r.View.Self.ID)
		r.sent = make(map[Kind]MessageStats)
		r.pending = make(chan struct{}, 1)
		r.links = make(map[fleet.HostID]*peerLink)
		r.watchers = make(map[*Watcher]struct{})
	}
}

// rounds exchanges digests at their interval, and passes reports on and repeats requests a while after there are any.
func (r *Runner) rounds(ctx context.Context) {
	round := r.Clock.Every(r.DigestInterval)
	defer round.Stop()
	r.round()
	var report *timer.Subscription
	var reportDue <-chan time.Time
	for {
		select {
		case <-round.C:
			r.round()
		case <-r.pending:
			if reportDue == nil {
				report = r.Clock.After(r.FlushInterval)
				reportDue = report.C
			}
		case <-reportDue:
			reportDue = nil
			r.report()
		case <-ctx.Done():
			if report != nil {
				report.Stop()
			}
			return
		}
	}
}

// round lets the membership decide, and sends the digest to the peers whose turn it is.
func (r *Runner) round() {
	r.mu.Lock()
	now := r.Clock.Now()
	r.act(r.View.Tick(now))
	r.retainAdoptions()
	due, root := r.state.AdvanceRound(), r.state.RootDigest()
	for _, id := range due {
		r.links[id].reply(root)
	}
	if host, due := r.View.NextProbe(now); due {
		r.probing, r.probeEnd = host, now.Add(probeTime)
	}
	r.mu.Unlock()
	r.choosePeers()
}

// choosePeers tells the mesh which hosts are to be connected.
func (r *Runner) choosePeers() {
	r.mu.Lock()
	peers := r.View.Peers()
	if r.Clock.Now().Before(r.probeEnd) {
		peers = append(peers, r.probing)
	}
	r.mu.Unlock()
	r.Transport.SetPeers(peers)
}

func (r *Runner) retainAdoptions() {
	keys := make(map[AdoptionKey]bool)
	for _, member := range r.View.Members() {
		keys[r.key(member.ID)] = true
	}
	r.state.RetainAdoptions(keys)
	r.state.RecordAdoption(r.key(r.View.Self.ID), r.adopted)
	r.notePending()
}

func (r *Runner) key(id fleet.HostID) AdoptionKey {
	return NewAdoptionKey(id, r.View.MemberIncarnation(id))
}

// report lets the goroutines of peers send the adoptions that have been gathered, and repeats requests.
func (r *Runner) report() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, want := range r.state.RetryOverdue() {
		if link := r.links[id]; link != nil {
			link.reply(want)
		}
	}
	for id, link := range r.links {
		if r.state.AdoptionsDue(id) {
			link.report = true
			link.wake()
		}
	}
	r.notePending()
}

// notePending lets report be called after its interval if there is something for it. The caller holds mu.
func (r *Runner) notePending() {
	if !r.state.Pending() {
		return
	}
	select {
	case r.pending <- struct{}{}:
	default:
	}
}

// Receive is the mesh's handler of Topic. Responses are left to the goroutine of the peer, so that two peers with full
// queues do not wait for each other.
func (r *Runner) Receive(_ context.Context, from fleet.HostID, payload []byte) {
	message, err := decode(payload)
	if err != nil {
		r.Log.Warn().Err(err).Str("peer", string(from)).Msg("message of a peer ignored")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.links[from] == nil {
		return
	}
	r.View.MessageReceived(r.Clock.Now(), from)
	if message == nil {
		return
	}
	replies, changed := r.state.Receive(from, message)
	for _, reply := range replies {
		r.links[from].reply(reply)
	}
	for _, item := range changed {
		r.changed(item)
	}
	r.notePending()
}

// changed passes a new item on to the membership, the watchers and the goroutines of peers. The caller holds mu.
func (r *Runner) changed(item Item) {
	if strings.HasPrefix(item.Name, memberPrefix) {
		record, err := decodeMember(item)
		if err != nil {
			r.Log.Warn().Err(err).Str("item", item.Name).Msg("member record ignored")
		} else {
			r.act(r.View.ApplyRecord(r.Clock.Now(), record))
		}
	}
	for watcher := range r.watchers {
		watcher.offer(item)
	}
	for id, link := range r.links {
		if r.state.ItemsDue(id) {
			link.wake()
		}
	}
}

// Resolve returns the address of a member; it is to be set as the mesh's callback.
func (r *Runner) Resolve(id fleet.HostID) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	host, found := r.View.Member(id)
	return host.PeerAddress, found
}
