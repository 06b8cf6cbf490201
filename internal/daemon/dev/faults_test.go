package dev

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// Guards against new requests to an upstream that an operator has drained.
func TestDrainedUpstreamGetsNoWork(t *testing.T) {
	is := is.New(t)
	f := startBalancedFleet(t, Ceibal)
	stop := f.startLoad(t)
	const unkeyed = fleet.UpstreamID("archive-01")
	keyed := f.OwnerOf(catalogue, "18-de-julio")
	for _, id := range []fleet.UpstreamID{unkeyed, keyed} {
		version, err := f.drainUpstream(t, f.Hosts()[1], id)
		is.NoErr(err)
		f.waitForVersion(t, version)
	}
	eventually(t, "the keys have moved", func() bool { return f.OwnedPartitions(keyed) == 0 && !f.isNamedOwner(t.Context(), keyed) })
	f.assertNoRequests(t, unkeyed, keyed)
	answers := stop()
	f.assertConsistent(t, answers...)
	for i := range answers {
		if !answers[i].Complete() {
			t.Error(&answers[i])
		}
	}
}

// assertNoRequests fails the test if a new request reaches one of the upstreams while hundreds are answered by others. Requests
// in flight may end first.
func (f *Fleet) assertNoRequests(t *testing.T, ids ...fleet.UpstreamID) {
	t.Helper()
	is := is.New(t)
	arrived := func() (sum int64) {
		for _, id := range ids {
			count, err := f.ArrivedRequests(id)
			is.NoErr(err)
			sum += count
		}
		return sum
	}
	read := func(count int) {
		for i := range count {
			path := fmt.Sprintf("/archive/days/%d", i)
			is.Equal(f.get(t, i%len(f.Hosts()), path).Outcome, cause.Complete)
			is.Equal(f.get(t, i%len(f.Hosts()), "/catalogue/plans/18-de-julio").Outcome, cause.Complete)
		}
	}
	read(10) // let requests in flight end
	before := arrived()
	read(100)
	is.Equal(arrived(), before)
}

// Guards against new requests to an upstream that reports that it is leaving.
func TestLeavingUpstreamGetsNoWork(t *testing.T) {
	is := is.New(t)
	f := startBalancedFleet(t, Nadif)
	const id = fleet.UpstreamID("documents-01")
	fake, err := f.Worker(id)
	is.NoErr(err)
	fake.SetDraining(true)
	ran := fake.TotalStarted()
	before, err := f.ArrivedRequests(id)
	is.NoErr(err)
	for i := range 150 {
		answer := f.get(t, i%daemons, "/documents/receipts")
		is.Equal(answer.Outcome, cause.Complete)
		f.assertConsistent(t, answer)
	}
	is.Equal(fake.TotalStarted(), ran) // no request was run there
	after, err := f.ArrivedRequests(id)
	is.NoErr(err)
	is.True(after-before <= daemons) // at most one rejection for each daemon to learn of it
}

// Guards against a server that resumes after a pause and serves keys that it no longer owns, and against outcomes that contradict
// what was run.
func TestPausedServerResumes(t *testing.T) {
	is := is.New(t)
	f := startBalancedFleet(t, Ceibal)
	const key = "18-de-julio"
	paused := f.OwnerOf(catalogue, key)
	var pending []<-chan Answer
	for _, host := range f.Hosts() {
		pending = append(pending, f.sendSlow(t, host, http.MethodPost, "/catalogue/plans/"+key))
	}
	is.NoErr(f.PauseUpstream(paused))
	for daemon := range daemons {
		answer := f.get(t, daemon, "/catalogue/plans/"+key)
		is.Equal(answer.Outcome, cause.Complete)
		is.True(answer.Worker != paused)
		f.assertConsistent(t, answer)
	}
	oldWorker, err := f.worker(paused)
	is.NoErr(err)
	partition := fleet.HashKey(key).Partition(devPartitions)
	is.NoErr(f.ResumeUpstream(paused))
	for _, answerChannel := range pending {
		answer := <-answerChannel
		f.assertConsistent(t, answer) // complete, not run or unknown, but consistent
		t.Log(&answer)
	}
	owner := f.OwnerOf(catalogue, key)
	is.True(owner != paused || !oldWorker.currentRun().server.Holds(partition))
	direct, err := http.NewRequestWithContext(t.Context(), http.MethodGet,
		"http://"+oldWorker.upstream.Address.String()+"/plans/"+key, http.NoBody)
	is.NoErr(err)
	direct.Header.Set("Rosemarywick-Key-Hash", fmt.Sprintf("%016x", uint64(fleet.HashKey(key))))
	response, err := callerClient.Do(direct)
	is.NoErr(err)
	_ = response.Body.Close()
	is.Equal(response.StatusCode, http.StatusMisdirectedRequest) // a direct request bypasses the router and is rejected
}

// Guards against a request that runs twice because a caller sent it through two daemons.
func TestSameIdempotencyKeyThroughAllDaemons(t *testing.T) {
	is := is.New(t)
	f := startBalancedFleet(t, Nadif)
	for round := range 20 {
		answers := make(chan Answer, daemons+1)
		call := Call{Method: http.MethodPost, Path: "/orders/new", IdempotencyKey: fmt.Sprint("order-", round), Timeout: 5 * time.Second}
		for _, host := range f.Hosts() {
			go func() { answers <- f.Send(t.Context(), host, call) }()
		}
		effects, complete := 0, 0
		for range daemons {
			answer := <-answers
			f.assertConsistent(t, answer)
			effects += f.RunCounts(answer.ID).Effects
			if answer.Complete() && answer.Cause == cause.OK {
				complete++
			}
		}
		is.Equal(effects, 1)  // it ran once
		is.Equal(complete, 1) // one caller got the answer
		again := f.Send(t.Context(), f.Hosts()[round%daemons], call)
		is.Equal(again.Cause, cause.DuplicateRequest)
		is.Equal(f.RunCounts(again.ID).Effects, 0)
	}
}
