package relay

import (
	"context"
	"sync"
	"time"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/peer/wire"
)

// collectTimeout bounds the wait for the reports that other relays have received. A relay in another region responds within it
// unless a packet is lost.
const collectTimeout = 150 * time.Millisecond

// Reporter receives the load reports of daemons. Its methods may be called concurrently.
type Reporter interface {
	// Add adds the report of one daemon.
	Add(content []byte)
	// Take returns the sum of the reports that were added since the last call.
	Take() []byte
}

// Report passes on what this daemon has measured: to the reporter if it follows the store, and else to the relay that it follows.
// A report may be lost.
func (n *Node) Report(ctx context.Context, content []byte) {
	n.mu.Lock()
	current, followsStore := n.followed, n.followers != nil
	n.mu.Unlock()
	switch {
	case followsStore:
		n.Reporter.Add(content)
	case current != nil:
		report := &wire.Relay{Body: &wire.Relay_Report{Report: &wire.Report{Content: content}}}
		if err := n.send(ctx, current.relay.Host, report); err != nil {
			n.Log.Debug().Err(err).Msg("load report is lost")
		}
	}
}

// handleReport adds the report of a subscriber. An empty one only shows that the subscription goes on.
func (n *Node) handleReport(from fleet.HostID, content []byte) {
	n.mu.Lock()
	current, followsStore := n.subscribers[from], n.followers != nil
	n.mu.Unlock()
	if current == nil {
		return
	}
	current.mu.Lock()
	current.heardAt = n.Clock.Now()
	current.mu.Unlock()
	if followsStore && len(content) > 0 {
		n.Reporter.Add(content)
	}
}

// collector gathers the responses to one Collect message.
type collector struct {
	mu sync.Mutex
	// sequence is guarded by mu and identifies the latest Collect message.
	sequence uint64
	// contents is guarded by mu and holds the responses to it by relay.
	contents map[fleet.HostID][]byte
	// expected is guarded by mu: the number of responses at which done is closed.
	expected int
	done     chan struct{}
}

// begin starts to gather the given number of responses.
func (c *collector) begin(expected int) (sequence uint64, done <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	c.contents, c.expected, c.done = make(map[fleet.HostID][]byte), expected, make(chan struct{})
	return c.sequence, c.done
}

// add adds a response.
func (c *collector) add(sequence uint64, from fleet.HostID, content []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sequence != c.sequence || c.contents == nil || c.contents[from] != nil {
		return
	}
	c.contents[from] = content
	if len(c.contents) == c.expected {
		close(c.done)
	}
}

// end returns the responses so far.
func (c *collector) end() map[fleet.HostID][]byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	contents := c.contents
	c.contents = nil
	return contents
}

// Collect returns the reports that the other relays have received since they were last asked. Only one goroutine at a time may
// call it. Reports of relays that do not respond in time are lost.
func (n *Node) Collect(ctx context.Context) map[fleet.HostID][]byte {
	if n.links == nil {
		return nil
	}
	relays := n.members.ranked(n.Local)
	sequence, done := n.collector.begin(len(relays))
	if len(relays) == 0 {
		return n.collector.end()
	}
	timeout := n.Clock.After(collectTimeout)
	defer timeout.Stop()
	collectCtx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	request := &wire.Relay{Body: &wire.Relay_Collect{Collect: &wire.Collect{Sequence: sequence}}}
	for _, relay := range relays {
		tasks.Go(func() {
			if err := n.send(collectCtx, relay.Host, request); err != nil {
				n.Log.Debug().Err(err).Str("relay", string(relay.Host)).Msg("ask relay for load reports")
			}
		})
	}
	select {
	case <-done:
	case <-timeout.C:
	case <-ctx.Done():
	}
	return n.collector.end()
}

// handleCollect sends the reports that this daemon has received to the assigner.
func (n *Node) handleCollect(ctx context.Context, from fleet.HostID, sequence uint64) {
	if !n.followsStore() {
		return
	}
	response := &wire.Relay{Body: &wire.Relay_Collected{Collected: &wire.Collected{Sequence: sequence, Content: n.Reporter.Take()}}}
	if err := n.send(ctx, from, response); err != nil {
		n.Log.Debug().Err(err).Str("peer", string(from)).Msg("send load reports: they are lost")
	}
}
