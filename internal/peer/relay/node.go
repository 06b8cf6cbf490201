// Package relay spreads the tables of the platform's store to daemons that do not read the store themselves. One daemon of each
// failure domain, the relay, follows the tables and passes their changes on to the daemons that subscribe to it. The same
// connections carry the load that these daemons measure to the daemon that acts as assigner.
//
// Relays are found in a table of the store, and a relay that is lost is replaced by whoever of its domain first overwrites its
// row. The role gives no authority: two relays of one domain cost calls to the store and nothing else. All rows carry the
// store's versions, and a daemon accepts from no one rows that are older than its own. A daemon that reaches no relay follows
// the store itself.
package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/peer/mesh"
	"rosemarywick.example/rosemarywick/internal/platform/table"
	"rosemarywick.example/rosemarywick/internal/routing/ratelimit"
)

const (
	// contactInterval is the longest time between two responses of the store to a relay.
	contactInterval = time.Second
	// avoidTime is how long a relay that was lost or cut off is not chosen if there is another one.
	avoidTime = 2 * time.Second
	// sendTimeout bounds the connection to a relay, or the wait for room in its queue.
	sendTimeout = 400 * time.Millisecond
	// storeTimeout bounds one call to the store.
	storeTimeout = time.Second
	// retryDelay is the pause before a call to the store is retried.
	retryDelay = 100 * time.Millisecond
	// meshIdleTimeout ends a connection on which no heartbeats arrive.
	meshIdleTimeout = 2 * time.Second
)

// Table is a table of the store that is spread to all daemons.
type Table struct {
	Name string
	Consumer
	// BatchDelay returns the time between a change and a relay's next call to the store. It may be nil, which means no delay.
	BatchDelay func() time.Duration
	// ApplyLimit is the time within which changes must take effect at all daemons. Zero means that there is no such time.
	ApplyLimit time.Duration
}

// Node is the part of a daemon that receives the tables, from a relay or from the store. The exported fields are set before Run.
type Node struct {
	// Local is the host of this daemon. Without a valid peer address the daemon always follows the store itself.
	Local fleet.Host
	// Process identifies this process. No other process has the same identifier.
	Process string
	Store   table.TimedStore
	Feed    table.Feed
	Tables  []Table
	Clock   timer.Clock
	Log     zerolog.Logger
	// StartDelay returns the pause before the first call to the store. Relays are chosen in the order of these calls.
	StartDelay func() time.Duration
	// ClaimDelay is how much later than others this daemon tries to replace a lost relay. It is longer on hosts that are less
	// suited.
	ClaimDelay time.Duration
	// Daemons returns the number of daemons.
	Daemons func() int
	// OnRecovered is called when the store is followed again after an interruption, before the rows that changed meanwhile.
	OnRecovered func()
	// Limiter admits requests to the upstreams whose limits this daemon keeps while it is a relay.
	Limiter *ratelimit.Limiter
	// Reporter receives the load reports of other daemons while this one follows the store.
	Reporter Reporter
	// Loads adds up the loads of upstreams that daemons of all failure domains measure. It may be nil.
	Loads LoadSums
	// Serve is run while this daemon is a relay, or has no peer address. Its context ends with the role or when the daemon stops.
	Serve func(ctx context.Context)

	replica   replica
	members   members
	encoder   encoder
	address   netip.AddrPort
	links     links
	collector collector
	// reservations are the requests for admission to upstreams whose limits other relays keep.
	reservations reservations
	// schedule divides applyLimit.
	schedule schedule
	// tableNames lists the tables that are spread, PeersTable included.
	tableNames []string
	// boundedTables lists those with an ApplyLimit, or all if none has one. applyLimit is the shortest one, or zero.
	boundedTables []string
	applyLimit    time.Duration

	// tasks are the goroutines of subscribers. stopped is closed when they have to end.
	tasks   sync.WaitGroup
	stopped chan struct{}

	mu sync.Mutex
	// source and followers are guarded by mu: the followers of the store while this daemon follows it, and their feed. Both
	// are nil else.
	source    *source
	followers []*table.Follower
	// interrupted is guarded by mu and set while the tables are not followed, neither in the store nor at a relay that
	// reaches it.
	interrupted bool
	// confirmedAt is guarded by mu: when the bounded tables were last known to be those of the store, or zero before. It never
	// decreases. greatestAge is the greatest age that they had when they were confirmed anew.
	confirmedAt time.Time
	greatestAge time.Duration
	// contact is guarded by mu.
	contact contact
	// subscriptions is guarded by mu: those to the relay that is followed and to relays that are tried. followed is guarded by mu:
	// that to the relay that is followed, or nil.
	subscriptions []*subscription
	followed      *subscription
	// subscribers is guarded by mu and holds the daemons that subscribe to this one.
	subscribers map[fleet.HostID]*subscriber
	// avoided is guarded by mu: until when a relay is not chosen, by the identifier of its process.
	avoided map[string]avoidance
	// claimedAt is guarded by mu: when this daemon last became a relay. unheardUntil is guarded by mu: until when it does not try
	// again, because it was replaced although it followed the store all the time.
	claimedAt, unheardUntil time.Time
	// rank is guarded by mu: the place of this daemon among those that a relay serves, from 1, or 0 if no relay has told it.
	// claimTried is guarded by mu and set once this daemon was to try to replace a relay, until the tables are followed again.
	rank       int
	claimTried bool
	// availability is guarded by mu: whether this daemon follows the store and the store responds, as subscribers were told last.
	// availabilityChanged is guarded by mu and closed when it changes.
	availability        bool
	availabilityChanged chan struct{}
	// abandoned is guarded by mu: the version of the row of a role that this daemon gave up because it was cut off from the
	// store.
	abandoned table.Version
	// leaving is guarded by mu and set by Leave.
	leaving bool
	// left is closed by Leave.
	left chan struct{}
}

// links sends messages to peers. A nil error does not mean that the message arrives.
type links interface {
	Send(ctx context.Context, to fleet.HostID, topic string, payload []byte) error
}

// Prepare initializes the node. It must be called before Run and any other method.
func (n *Node) Prepare() {
	n.left, n.availabilityChanged = make(chan struct{}), make(chan struct{})
	n.subscribers, n.avoided = make(map[fleet.HostID]*subscriber), make(map[string]avoidance)
	n.members.log, n.replica.log = n.Log, n.Log
	n.replica.consumers = map[string]Consumer{PeersTable: n.members.consumer()}
	n.tableNames = []string{PeersTable}
	for _, spread := range n.Tables {
		n.replica.consumers[spread.Name] = spread.Consumer
		n.tableNames = append(n.tableNames, spread.Name)
		if spread.ApplyLimit > 0 {
			n.boundedTables = append(n.boundedTables, spread.Name)
		}
		if spread.ApplyLimit > 0 && (n.applyLimit == 0 || spread.ApplyLimit < n.applyLimit) {
			n.applyLimit = spread.ApplyLimit
		}
	}
	if n.boundedTables == nil {
		n.boundedTables = n.tableNames
	}
	n.schedule = newSchedule(n.applyLimit)
	n.stopped = make(chan struct{})
}

// newSource returns a source for tables that are followed until ctx ends.
func (n *Node) newSource(ctx context.Context) *source {
	return &source{
		feed: n.Feed, replica: &n.replica, clock: n.Clock, ended: ctx.Done(), tables: n.tableNames,
		bounded: n.boundedTables, schedule: n.schedule, onOutcome: n.noteOutcome, onChange: n.updateAvailability,
	}
}

// Run receives the tables until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	if n.Local.PeerAddress.IsValid() {
		err := n.runPeer(ctx)
		if err == nil {
			return nil
		}
		n.Log.Error().Err(err).Msg("no connections to peers; the daemon follows the store")
	}
	n.followStore(ctx, n.serve)
	return nil
}

// runPeer receives the tables from relays, or as a relay, until ctx ends. An error means that this daemon can't connect to peers.
func (n *Node) runPeer(ctx context.Context) error {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(n.Local.PeerAddress))
	if err != nil {
		return errors.Wrap(err, "relay: open UDP socket")
	}
	n.address = netip.AddrPortFrom(n.Local.PeerAddress.Addr(), uint16(socket.LocalAddr().(*net.UDPAddr).Port))
	if !n.join(ctx) {
		return errors.Wrap(socket.Close(), "relay: close UDP socket")
	}
	peerMesh, err := n.newMesh(socket)
	if err != nil {
		return errors.CombineErrors(err, socket.Close())
	}
	n.mu.Lock()
	n.links = peerMesh
	n.mu.Unlock()
	started := make(chan struct{})
	peerMesh.Started = func() { close(started) }
	failed := make(chan error, 1)
	n.tasks.Go(func() { failed <- peerMesh.Run(ctx) })
	defer n.tasks.Wait()
	defer close(n.stopped)
	select {
	case <-started:
	case err := <-failed:
		return errors.Wrap(err, "relay: connect to peers")
	}
	n.tasks.Go(func() { n.runLoads(ctx) })
	n.runRoles(ctx)
	return nil
}

// Leave makes a relay give up its role. It goes on passing changes to its subscribers until Run ends.
func (n *Node) Leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.leaving {
		n.leaving = true
		close(n.left)
	}
}

// PollNow makes this daemon, if it follows the store, call it at once instead of after a BatchDelay.
func (n *Node) PollNow() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, follower := range n.followers {
		follower.PollNow()
	}
}

// SuspectOutage reports that the store did not respond to a call.
func (n *Node) SuspectOutage() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, follower := range n.followers {
		follower.SuspectOutage()
	}
}

// Relays returns the number of relays, and at least one.
func (n *Node) Relays() int { return max(1, n.members.count()) }

// join waits until the authority is known. The daemon becomes the relay of its failure domain if there is none. It returns false
// when ctx ends.
func (n *Node) join(ctx context.Context) bool {
	if timer.Wait(ctx, n.Clock, n.StartDelay()) != nil {
		return false
	}
	source := n.newSource(ctx)
	for {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := source.Snapshot(callCtx, PeersTable)
		cancel()
		if err == nil {
			own := n.members.of(n.Local.Locality.Domain)
			if seed, _ := n.members.authority(); seed != nil && own.Host != "" && own.Host != n.Local.ID {
				return true
			}
			if err = n.claim(ctx); err == nil {
				return true
			}
		}
		n.Log.Debug().Err(err).Msg("join peers: retrying")
		delay := retryDelay/2 + rand.N(retryDelay)
		if timer.Wait(ctx, n.Clock, delay) != nil {
			return false
		}
	}
}

// newMesh returns the connections to peers.
func (n *Node) newMesh(socket net.PacketConn) (*mesh.Mesh, error) {
	seed, _ := n.members.authority()
	config, err := newTLSConfig(seed, n.Local.ID, n.Clock.Now())
	if err != nil {
		return nil, err
	}
	local := n.Local
	local.PeerAddress = n.address
	result := &mesh.Mesh{
		// The store's clock is monotonic and the same for all processes of a host.
		Local: local, Incarnation: uint64(n.Store.Reading().Time), TLS: config, Clock: n.Clock, Log: n.Log, Socket: socket,
		Resolve: n.members.address, IdleTimeout: meshIdleTimeout, DialTimeout: sendTimeout, WriteTimeout: n.schedule.silence,
		ResetSecret: seed,
	}
	result.Handle(topic, n.receive)
	return result, nil
}
