package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against changes that take effect late because the connection on which a relay waits for them fell silent, while its
// other calls to the store succeed.
func TestChangeWhileCallIsSilent(t *testing.T) {
	for _, limit := range []time.Duration{2 * time.Second, 2500 * time.Millisecond} {
		t.Run(limit.String(), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				n := newNetworkWithin(t, 60, 4, limit)
				sleep(started)
				for range 5 {
					sleep(300 * time.Millisecond)
					n.store.loseResponses("t")
					n.store.write("t/a", time.Now().String())
					n.awaitValue("t/a", n.store.value("t/a"), limit)
				}
			})
		})
	}
}

// Guards against a relay that passes for one that reaches the store, and keeps its subscribers, although the response for one of its
// tables does not end: that for another table says nothing about it.
func TestRelayWithOverdueTableIsLeft(t *testing.T) {
	const limit = 2 * time.Second
	inBubble(t, func(t *testing.T) {
		n := newNetworkWithin(t, 60, 4, limit)
		sleep(started)
		for _, domain := range []string{"d0", "d1"} {
			relay := n.relayOf(domain)
			n.store.set(func() { n.store.endless[relay.Local.ID] = true })
			sleep(300 * time.Millisecond)
			for range 20 {
				sleep(100 * time.Millisecond)
				n.store.write("t/a", time.Now().String())
				var others []*daemon
				for _, d := range n.running() {
					if d != relay {
						others = append(others, d)
					}
				}
				n.awaitValueAt(others, "t/a", n.store.value("t/a"), limit)
			}
			n.awaitValue("t/a", n.store.value("t/a"), limit) // it has turned to another relay
			n.store.set(func() { delete(n.store.endless, relay.Local.ID) })
			sleep(started)
		}
	})
}

// Guards against calls to the store that grow when relays have to notice a silent connection early.
func TestCallsWithApplyLimit(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetworkWithin(t, 60, 4, 2*time.Second)
		sleep(started)
		calls := n.calls(func() { sleep(20 * time.Second) })
		is.True(calls <= 4*20*3) // a poll for contact each second, and fewer than two of the table
	})
}

func (s *memoryStore) value(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.rows[name].Value)
}
