package relay

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// countedSums implements LoadSums with a number of requests.
type countedSums struct {
	mu sync.Mutex
	// measured was not sent yet, total is that of all domains, and adopted the last one that was received.
	measured, total, adopted int
}

func (c *countedSums) add(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.measured += count
	c.total += count
}

// TakeDomain returns what was measured since the last call.
func (c *countedSums) TakeDomain() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := c.measured
	c.measured = 0
	if count == 0 {
		return nil
	}
	return []byte(strconv.Itoa(count))
}

// AddDomain adds what another relay measured.
func (c *countedSums) AddDomain(content []byte) {
	count, _ := strconv.Atoi(string(content))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total += count
}

// Sums returns the total.
func (c *countedSums) Sums() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return []byte(strconv.Itoa(c.total))
}

// Adopt stores the total.
func (c *countedSums) Adopt(content []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.adopted, _ = strconv.Atoi(string(content))
}

// latest returns the total that was adopted last.
func (c *countedSums) latest() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.adopted
}

// Guards against daemons that don't learn what daemons of other failure domains measured, against requests that are counted twice,
// and against daemons that learn nothing more after the loss of their relay.
func TestLoadsReachAllDaemons(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 20, 4)
		sleep(started)
		sums := make(map[*daemon]*countedSums)
		for _, d := range n.running() {
			sums[d] = &countedSums{}
			d.Loads = sums[d]
		}
		for _, d := range n.running() {
			d.tasks.Go(func() { d.runLoads(t.Context()) })
		}
		for domain := range 4 {
			sums[n.relayOf("d"+strconv.Itoa(domain))].add(10)
		}
		sleep(3 * loadsInterval)
		for _, d := range n.running() {
			is.Equal(sums[d].latest(), 40)
		}
		n.relayOf("d1").stop()
		sleep(5 * time.Second)
		sums[n.relayOf("d2")].add(2)
		for domain := range 4 { // a new relay knows only what was measured since
			sums[n.relayOf("d"+strconv.Itoa(domain))].add(1)
		}
		sleep(3 * loadsInterval)
		for _, d := range n.running() {
			is.True(sums[d].latest() == 46 || sums[d].latest() == 6)
		}
	})
}
