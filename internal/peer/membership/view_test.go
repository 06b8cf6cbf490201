package membership

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/platform/hosts"
)

var epoch = time.Unix(1_000_000, 0)

func host(id string, region, domain int) fleet.Host {
	return fleet.Host{
		ID:          fleet.HostID(id),
		PeerAddress: netip.MustParseAddrPort("127.0.0.1:7001"),
		Locality: fleet.Locality{
			Region: fleet.Region(fmt.Sprint("region-", region)), Domain: fleet.FailureDomain(fmt.Sprint("domain-", domain)),
		},
	}
}

func newView(self fleet.Host) *View {
	return &View{Self: self, Incarnation: 1, PeerCount: 6, Timing: DefaultTiming}
}

// views returns the view of each of count hosts in 3 regions and 11 failure domains, all of which know all.
func views(count int, prefix string) []*View {
	var all []*View
	for i := range count {
		all = append(all, newView(host(fmt.Sprint(prefix, i), i%11%3, i%11)))
	}
	for _, view := range all {
		for _, other := range all {
			view.ApplyRecord(epoch, Record{Host: other.Self, Incarnation: 1, State: Alive})
		}
	}
	return all
}

func reachable(all []*View) int {
	edges := make(map[fleet.HostID][]fleet.HostID)
	for _, view := range all {
		for _, peer := range view.Peers() {
			edges[view.Self.ID] = append(edges[view.Self.ID], peer.ID)
			edges[peer.ID] = append(edges[peer.ID], view.Self.ID)
		}
	}
	seen := map[fleet.HostID]bool{all[0].Self.ID: true}
	for queue := []fleet.HostID{all[0].Self.ID}; len(queue) > 0; queue = queue[1:] {
		for _, next := range edges[queue[0]] {
			if !seen[next] {
				seen[next] = true
				queue = append(queue, next)
			}
		}
	}
	return len(seen)
}

// Guards against a fleet whose graph of peers falls apart, a daemon without a peer in two other failure domains, and a
// member that comes or goes and moves the peers of others.
func TestPeers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 80).Draw(t, "hosts")
		all := views(count, rapid.StringMatching("[a-z]{1,8}").Draw(t, "prefix"))
		if got := reachable(all); got != count {
			t.Fatalf("%d of %d hosts are connected", got, count)
		}
		gone := all[rapid.IntRange(0, count-1).Draw(t, "gone")].Self
		for _, view := range all {
			before := view.Peers()
			domains := map[fleet.Locality]bool{view.Self.Locality: true}
			for _, peer := range before {
				domains[peer.Locality] = true
			}
			if len(before) > 3 || len(domains) < min(count, 3) {
				t.Fatalf("%s has %d peers in %d failure domains", view.Self.ID, len(before), len(domains))
			}
			if gone == view.Self {
				continue
			}
			view.ApplyRecord(epoch, Record{Host: gone, Incarnation: 1, Counter: 1, State: Left})
			if after := view.Peers(); !slices.Contains(before, gone) && !slices.Equal(before, after) {
				t.Fatalf("peers of %s moved from %v to %v as %s left", view.Self.ID, before, after, gone.ID)
			}
		}
	})
}

// Guards against a role that moves between two members as a third one leaves.
func TestRankIsStable(t *testing.T) {
	is := is.New(t)
	view := views(20, "entry-")[0]
	before := view.TopRanked("assigner/stock", 20)
	is.Equal(len(before), 20)
	is.True(before[0] != view.TopRanked("assigner/prices", 1)[0] || before[1] != view.TopRanked("assigner/prices", 2)[1])
	gone := slices.IndexFunc(before, func(h fleet.Host) bool { return h != view.Self })
	view.ApplyRecord(epoch, Record{Host: before[gone], Incarnation: 1, Counter: 1, State: Left})
	is.Equal(view.TopRanked("assigner/stock", 20), slices.Delete(before, gone, gone+1))
}

// Guards against a membership that follows the list where observation contradicts it, and one that ignores the list
// where nothing else is known. Each case states what happens to host x and whether it is a member afterwards.
func TestListAndObservation(t *testing.T) {
	self, x := host("self", 0, 0), host("x", 0, 1)
	listed := []hosts.Entry{{Host: x, State: hosts.Live}}
	alive := Record{Host: x, Incarnation: 1, State: Alive}
	suspect := Record{Host: x, Incarnation: 1, Counter: 1, State: Suspect}
	timing := DefaultTiming
	cases := []struct {
		name string
		run  func(v *View)
		want bool
	}{
		{"listed only, before the timeout", func(v *View) { v.UpdateHostList(epoch, listed); v.Tick(epoch.Add(timing.UnconfirmedTimeout)) }, true},
		{"list wrong: nobody sees the host", func(v *View) { v.UpdateHostList(epoch, listed); v.Tick(epoch.Add(timing.UnconfirmedTimeout + 1)) }, false},
		{"list wrong: host omitted, record known", func(v *View) { v.ApplyRecord(epoch, alive); v.UpdateHostList(epoch, nil) }, true},
		{"list lags: host left, list shows it", func(v *View) {
			v.ApplyRecord(epoch, Record{Host: x, Incarnation: 1, Counter: 1, State: Left})
			v.UpdateHostList(epoch, listed)
		}, false},
		{"list lags: dead host listed again", func(v *View) {
			v.ApplyRecord(epoch, suspect)
			v.UpdateHostList(epoch, listed)
			v.Tick(epoch.Add(timing.DeadAfter + 1))
		}, false},
		{"suspect, before the timeout", func(v *View) { v.ApplyRecord(epoch, suspect); v.Tick(epoch.Add(timing.DeadAfter)) }, true},
		{"suspicion refuted", func(v *View) {
			v.ApplyRecord(epoch, suspect)
			v.ApplyRecord(epoch, Record{Host: x, Incarnation: 1, Counter: 2, State: Alive})
			v.Tick(epoch.Add(time.Hour))
		}, true},
		{"older record repeated after a suspicion", func(v *View) {
			v.ApplyRecord(epoch, suspect)
			v.ApplyRecord(epoch, alive)
			v.Tick(epoch.Add(time.Hour))
		}, false},
		{"restarted after its death", func(v *View) {
			v.ApplyRecord(epoch, suspect)
			v.Tick(epoch.Add(time.Hour))
			v.ApplyRecord(epoch.Add(time.Hour), Record{Host: x, Incarnation: 2, State: Alive})
		}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			view := newView(self)
			test.run(view)
			if _, member := view.Member(x.ID); member != test.want {
				t.Fatalf("member: %v, want %v", member, test.want)
			}
		})
	}
}

// Guards against a silent peer that is not suspected, a suspicion of hosts that are none of this daemon's peers, and a
// daemon that suspects all others after a pause of its own.
func TestSuspicion(t *testing.T) {
	is := is.New(t)
	all := views(12, "entry-")
	view := all[0]
	silence := DefaultTiming.SuspectAfter
	is.Equal(len(view.Tick(epoch)), 1) // its own first record
	is.Equal(len(view.Tick(epoch.Add(silence))), 0)
	heard := view.Peers()[0].ID
	view.MessageReceived(epoch.Add(silence), heard)
	doubts := view.Tick(epoch.Add(silence + time.Second))
	is.Equal(len(doubts), 2) // the two peers that have not been heard of, and none of the other hosts
	for _, action := range doubts {
		doubt, ok := action.(PublishSuspicion)
		is.True(ok && doubt.Record.Host.ID != heard && doubt.Record.State == Suspect)
	}
	is.Equal(len(view.Tick(epoch.Add(time.Hour))), 0) // after a pause of an hour nobody is suspected at once
}

// Guards against a daemon that does not refute a suspicion, and one whose record is outdone by that of an earlier run.
func TestRefutation(t *testing.T) {
	is := is.New(t)
	view := newView(host("self", 0, 0))
	view.Tick(epoch)
	actions := view.ApplyRecord(epoch, Record{Host: view.Self, Incarnation: 1, Counter: 1, State: Suspect})
	is.Equal(actions, []Action{PublishSelf{Record: Record{Host: view.Self, Incarnation: 1, Counter: 2, State: Alive}}})
	actions = view.ApplyRecord(epoch, Record{Host: view.Self, Incarnation: 9, Counter: 4, State: Alive})
	is.Equal(len(actions), 1)
	is.Equal(actions[0].(PublishSelf).Record.Incarnation, uint64(10))
}

// Guards against two sides of a partition that never try each other again.
func TestProbe(t *testing.T) {
	is := is.New(t)
	view := newView(host("self", 0, 0))
	dead := map[fleet.HostID]bool{}
	for i := range 4 {
		x := host(fmt.Sprint("x", i), 0, 1)
		dead[x.ID] = true
		view.ApplyRecord(epoch, Record{Host: x, Incarnation: 1, Counter: 1, State: Suspect})
	}
	now := epoch
	for range len(dead) {
		now = now.Add(DefaultTiming.ProbeInterval)
		view.Tick(now)
		probed, due := view.NextProbe(now)
		is.True(due)
		delete(dead, probed.ID)
		_, again := view.NextProbe(now.Add(DefaultTiming.ProbeInterval - 1))
		is.True(!again) // one at each interval
	}
	is.Equal(len(dead), 0) // all take their turn
	_, due := view.NextProbe(now.Add(DefaultTiming.ForgetAfter))
	is.True(!due) // hosts that have been dead for long are left alone
}
