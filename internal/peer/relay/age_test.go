package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against tables that are out of date without any metric that shows it.
func TestAgeOfTables(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 12, 2)
		sleep(started)
		idle := pollWait + silenceLimit // a relay's longest wait for a response, and its next heartbeat
		for range 20 {
			for _, d := range n.running() {
				is.True(d.Age() <= idle)
				is.Equal(d.Silence(), time.Duration(0))
			}
			sleep(500 * time.Millisecond)
		}
		n.store.set(func() { n.store.down = true })
		sleep(10 * time.Second)
		n.store.set(func() { n.store.down = false })
		sleep(silenceMemory / 2)
		n.store.write("t/a", "late")
		for _, d := range n.running() {
			is.True(d.Silence() >= 8*time.Second)
		}
		sleep(2 * silenceMemory)
		for _, d := range n.running() {
			is.Equal(d.Silence(), time.Duration(0))
		}
		for _, d := range n.running() {
			is.True(d.Age() <= idle)
			is.True(d.GreatestAge() >= 9*time.Second)
		}
	})
}
