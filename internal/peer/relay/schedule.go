package relay

import "time"

const (
	// heartbeatInterval is the longest interval of a relay's heartbeats. A relay that was silent for silentHeartbeats of them is
	// lost: two may be delayed by a retransmission.
	heartbeatInterval = 300 * time.Millisecond
	silentHeartbeats  = 3
	// feedLimit is how long after it is due a feed still waits for the begin of a response, and the time to read it.
	feedLimit = 700 * time.Millisecond
	// searchTime is the longest time that relays which are asked side by side may take to deliver.
	searchTime = 400 * time.Millisecond
	// pollWait is the longest time that one call for the changes of a table waits. minPollWait bounds the number of calls: a limit
	// of less than a second can't be kept when a response is lost.
	pollWait    = 4 * time.Second
	minPollWait = 100 * time.Millisecond

	// The shares of a table's ApplyLimit that the steps of a change's way may take. TestScheduleKeepsLimit adds them up for each
	// way. What is left is for the delay between batches, the calls themselves and their way to the subscribers.
	heartbeatShare = 0.15
	pollShare      = 0.4
	responseShare  = 0.15
	searchShare    = 0.15
	claimShare     = 0.05
	// claimTime is the longest time over which the first daemons try to replace relays.
	claimTime = 400 * time.Millisecond
)

// schedule holds the time limits of the steps by which a change gets from the store to a daemon after a relay was lost: each step
// has a share of the shortest ApplyLimit, and the sum is below it. Without an ApplyLimit the steps have their longest times.
type schedule struct {
	// heartbeat is the interval of heartbeats, and silence the time without a message after which a relay is lost.
	heartbeat, silence time.Duration
	// search is the time within which one of several relays that are asked side by side has to deliver. The last one is asked
	// when half of it has passed.
	search time.Duration
	// response is how long after it is due the response to a call for changes may end. From then on a relay says that it is not
	// available, while the feed still waits: a search by its followers is cheap, and a change may be in the response.
	response time.Duration
	// contact is the time without a response of the store after which a relay counts as cut off.
	contact time.Duration
	// claims is the time over which the first daemons try to replace relays that are all lost or cut off.
	claims time.Duration
}

// newSchedule divides an ApplyLimit.
func newSchedule(limit time.Duration) schedule {
	heartbeat, response := share(limit, heartbeatShare, heartbeatInterval), share(limit, responseShare, feedLimit)
	return schedule{
		heartbeat: heartbeat, silence: silentHeartbeats * heartbeat, search: share(limit, searchShare, searchTime),
		response: response, contact: contactInterval + response, claims: share(limit, claimShare, claimTime),
	}
}

// share returns a share of a limit, and at most a longest time, which holds if there is no limit.
func share(limit time.Duration, fraction float64, longest time.Duration) time.Duration {
	if limit == 0 {
		return longest
	}
	return min(longest, time.Duration(float64(limit)*fraction))
}

// pollWaitFor returns how long a call for the changes of a table waits, given the table's ApplyLimit. A response that was lost
// while the store answers other calls is noticed only after it: a change whose response is lost right after the call began is
// adopted after the wait, feedLimit and retryDelay.
func pollWaitFor(limit time.Duration) time.Duration {
	if limit == 0 {
		return pollWait
	}
	return max(minPollWait, min(share(limit, pollShare, pollWait), limit-feedLimit-retryDelay))
}
