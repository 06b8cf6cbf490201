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

var startTime = time.Unix(1_000_000, 0)

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

// completeViews returns the views of count hosts in 3 regions and 11 failure domains. Each view knows all hosts.
func completeViews(count int, prefix string) []*View {
	var all []*View
	for i := range count {
		all = append(all, newView(host(fmt.Sprint(prefix, i), i%11%3, i%11)))
	}
	for _, view := range all {
		for _, other := range all {
			view.ApplyRecord(startTime, Record{Host: other.Self, Incarnation: 1, State: Alive})
		}
	}
	return all
}

// reachable returns the number of hosts that the connections between peers link, directly or not, to the first host.
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

// Guards against a disconnected graph of peers, a daemon without peers in two other failure domains, and peers that change
// because a member that is not one of them leaves.
func TestPeerGraph(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 80).Draw(t, "hosts")
		all := completeViews(count, rapid.StringMatching("[a-z]{1,8}").Draw(t, "prefix"))
		if got := reachable(all); got != count {
			t.Fatalf("%d of %d hosts are connected", got, count)
		}
		leaving := all[rapid.IntRange(0, count-1).Draw(t, "gone")].Self
		for _, view := range all {
			before := view.Peers()
			domains := map[fleet.Locality]bool{view.Self.Locality: true}
			for _, peer := range before {
				domains[peer.Locality] = true
			}
			if len(before) > 3 || len(domains) < min(count, 3) {
				t.Fatalf("%s has %d peers in %d failure domains", view.Self.ID, len(before), len(domains))
			}
			if leaving == view.Self {
				continue
			}
			view.ApplyRecord(startTime, Record{Host: leaving, Incarnation: 1, Counter: 1, State: Left})
			if after := view.Peers(); !slices.Contains(before, leaving) && !slices.Equal(before, after) {
				t.Fatalf("peers of %s changed from %v to %v when %s left", view.Self.ID, before, after, leaving.ID)
			}
		}
	})
}

// Guards against a ranking that changes among the remaining members when another member leaves.
func TestRankIsStable(t *testing.T) {
	is := is.New(t)
	view := completeViews(20, "entry-")[0]
	before := view.TopRanked("assigner/stock", 20)
	is.Equal(len(before), 20)
	is.True(before[0] != view.TopRanked("assigner/prices", 1)[0] || before[1] != view.TopRanked("assigner/prices", 2)[1])
	leaving := slices.IndexFunc(before, func(h fleet.Host) bool { return h != view.Self })
	view.ApplyRecord(startTime, Record{Host: before[leaving], Incarnation: 1, Counter: 1, State: Left})
	is.Equal(view.TopRanked("assigner/stock", 20), slices.Delete(before, leaving, leaving+1))
}

// Guards against a membership that follows the host list where records contradict it, or that ignores the list where nothing
// else is known. Each case states what happens to host x and whether x is a member afterwards.
func TestMembershipFromListAndRecords(t *testing.T) {
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
		{"listed without a record, before the timeout", func(v *View) {
			v.UpdateHostList(startTime, listed)
			v.Tick(startTime.Add(timing.UnconfirmedTimeout))
		}, true},
		{"list wrong: listed host never confirmed", func(v *View) {
			v.UpdateHostList(startTime, listed)
			v.Tick(startTime.Add(timing.UnconfirmedTimeout + 1))
		}, false},
		{"list wrong: host with a record omitted", func(v *View) {
			v.ApplyRecord(startTime, alive)
			v.UpdateHostList(startTime, nil)
		}, true},
		{"list stale: lists a host that left", func(v *View) {
			v.ApplyRecord(startTime, Record{Host: x, Incarnation: 1, Counter: 1, State: Left})
			v.UpdateHostList(startTime, listed)
		}, false},
		{"list stale: lists a dead host again", func(v *View) {
			v.ApplyRecord(startTime, suspect)
			v.UpdateHostList(startTime, listed)
			v.Tick(startTime.Add(timing.DeadAfter + 1))
		}, false},
		{"suspected, before the timeout", func(v *View) {
			v.ApplyRecord(startTime, suspect)
			v.Tick(startTime.Add(timing.DeadAfter))
		}, true},
		{"suspicion refuted", func(v *View) {
			v.ApplyRecord(startTime, suspect)
			v.ApplyRecord(startTime, Record{Host: x, Incarnation: 1, Counter: 2, State: Alive})
			v.Tick(startTime.Add(time.Hour))
		}, true},
		{"older record received again after a suspicion", func(v *View) {
			v.ApplyRecord(startTime, suspect)
			v.ApplyRecord(startTime, alive)
			v.Tick(startTime.Add(time.Hour))
		}, false},
		{"restarted after it was considered dead", func(v *View) {
			v.ApplyRecord(startTime, suspect)
			v.Tick(startTime.Add(time.Hour))
			v.ApplyRecord(startTime.Add(time.Hour), Record{Host: x, Incarnation: 2, State: Alive})
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

// Guards against a silent peer that is not suspected, a suspicion of a host that is not a peer of this daemon, and a daemon
// that suspects all others after it was paused itself.
func TestSuspicion(t *testing.T) {
	is := is.New(t)
	all := completeViews(12, "entry-")
	view := all[0]
	suspectAfter := DefaultTiming.SuspectAfter
	is.Equal(len(view.Tick(startTime)), 1) // the daemon's own first record
	is.Equal(len(view.Tick(startTime.Add(suspectAfter))), 0)
	heardPeer := view.Peers()[0].ID
	view.MessageReceived(startTime.Add(suspectAfter), heardPeer)
	actions := view.Tick(startTime.Add(suspectAfter + time.Second))
	is.Equal(len(actions), 2) // the two silent peers and no other host
	for _, action := range actions {
		suspicion, ok := action.(PublishSuspicion)
		is.True(ok && suspicion.Record.Host.ID != heardPeer && suspicion.Record.State == Suspect)
	}
	is.Equal(len(view.Tick(startTime.Add(time.Hour))), 0) // no host is suspected right after a pause of an hour
}

// Guards against a daemon that does not refute a suspicion, and against a record of an earlier run that stays in force.
func TestRefutation(t *testing.T) {
	is := is.New(t)
	view := newView(host("self", 0, 0))
	view.Tick(startTime)
	actions := view.ApplyRecord(startTime, Record{Host: view.Self, Incarnation: 1, Counter: 1, State: Suspect})
	is.Equal(actions, []Action{PublishSelf{Record: Record{Host: view.Self, Incarnation: 1, Counter: 2, State: Alive}}})
	actions = view.ApplyRecord(startTime, Record{Host: view.Self, Incarnation: 9, Counter: 4, State: Alive})
	is.Equal(len(actions), 1)
	is.Equal(actions[0].(PublishSelf).Record.Incarnation, uint64(10))
}

// Guards against two sides of a partition that never try to reconnect.
func TestDeadHostsAreProbedInTurn(t *testing.T) {
	is := is.New(t)
	view := newView(host("self", 0, 0))
	dead := map[fleet.HostID]bool{}
	for i := range 4 {
		x := host(fmt.Sprint("x", i), 0, 1)
		dead[x.ID] = true
		view.ApplyRecord(startTime, Record{Host: x, Incarnation: 1, Counter: 1, State: Suspect})
	}
	now := startTime
	for range len(dead) {
		now = now.Add(DefaultTiming.ProbeInterval)
		view.Tick(now)
		probed, due := view.NextProbe(now)
		is.True(due)
		delete(dead, probed.ID)
		_, again := view.NextProbe(now.Add(DefaultTiming.ProbeInterval - 1))
		is.True(!again) // one probe for each interval
	}
	is.Equal(len(dead), 0) // every dead host is probed in turn
	_, due := view.NextProbe(now.Add(DefaultTiming.ForgetAfter))
	is.True(!due) // hosts that were dead for ForgetAfter are no longer probed
}
