package admission

import (
	"time"

	"rosemarywick.example/rosemarywick/internal/core/cause"
)

// ServerLoad is the load of a server from all daemons, as it stated it in a response.
type ServerLoad struct {
	Running, Waiting, Slots int
}

const (
	// fullLoad is the number of requests for each slot, running and waiting, from which a server counts as full. A further request
	// waits there for two times as long as it runs then, and misses a target of three times its work.
	fullLoad = 3
	// holdFraction is how long nothing is sent to a full server, in units of the time in which it can run one request of each
	// daemon: less leaves its queue full, and more leaves it idle (docs/design/competing-callers.md).
	holdFraction = 0.75
	// maxHold bounds that time. A server whose keys were moved away is found free again by then.
	maxHold = 2500 * time.Millisecond
	// holdRatio multiplies the hold for each step to a less urgent priority.
	holdRatio = 2
	// defaultWork is assumed until a server has responded.
	defaultWork = 100 * time.Millisecond
	// maxPriority is the highest number of a priority for which there is a hold of its own.
	maxPriority = 3
	// statedWithin is how old a stated load may be to belong to the response that is processed: reading a short body takes less.
	statedWithin = 20 * time.Millisecond
	// statingFor is how long after a stated load a server counts as one that states its load. Its responses alone do not end a hold
	// then, since a slot may be released long after the response that came with the load.
	statingFor = 10 * time.Second
	// workWeight is the divisor of the moving average of the work. Responses that waited for an unknown time count less.
	workWeight, queuedWorkWeight = 8, 64
)

// pace holds requests to a server back while it is full. The slots of a server cannot be divided by limits to the requests in
// flight if daemons are many and each sends few: 87 daemons with one request each fill 3 slots and a queue of 12 nearly six
// times, and none of them sends enough for a limit to adapt. Instead, a daemon that learns from a response or a rejection that
// the server is full sends nothing for a time, so that the daemons together send about as much as the server runs, and its queue
// stays short.
type pace struct {
	// heldUntil is the end of the hold of each priority. A hold is not extended while it lasts, so that no kind is starved by the
	// responses to others.
	heldUntil [maxPriority + 1]time.Time
	// work is a moving average of the time for which a request occupies a slot.
	work time.Duration
	// load is the load that was stated at loadAt.
	load   ServerLoad
	loadAt time.Time
}

// hold starts the holds that do not last already. It returns the duration of that of the most urgent requests if it starts that.
func (p *pace) hold(now time.Time, hosts, slots int) (started time.Duration) {
	work := p.work
	if work == 0 {
		work = defaultWork
	}
	duration := min(time.Duration(holdFraction*float64(work)*float64(hosts)/float64(max(1, slots))), maxHold)
	for priority, until := range p.heldUntil {
		if !now.Before(until) {
			p.heldUntil[priority] = now.Add(duration)
			if priority == 0 {
				started = duration
			}
		}
		duration *= holdRatio
	}
	return started
}

// left returns for how long requests of a priority are held back.
func (p *pace) left(now time.Time, priority int) time.Duration {
	return max(0, p.heldUntil[min(max(priority, 0), maxPriority)].Sub(now))
}

// record adopts a stated load, and reports whether the server is full.
func (p *pace) record(now time.Time, load ServerLoad) (full bool) {
	if now.Before(p.loadAt) {
		return false
	}
	p.load, p.loadAt = load, now
	if load.Running+load.Waiting >= fullLoad*max(1, load.Slots) {
		return true
	}
	p.release()
	return false
}

// release ends all holds.
func (p *pace) release() { p.heldUntil = [maxPriority + 1]time.Time{} }

// observeWork updates the time of work from the latency of a response.
func (p *pace) observeWork(latency time.Duration, stated bool) {
	weight := time.Duration(workWeight)
	if present := p.load.Running + p.load.Waiting; stated && present > p.load.Slots {
		latency = latency * time.Duration(max(1, p.load.Slots)) / time.Duration(present)
	} else if !stated && latency > p.work {
		weight = queuedWorkWeight
	}
	if p.work == 0 {
		p.work = latency
	}
	p.work += (latency - p.work) / weight
}

// paced reports whether the controller admits to a server that other daemons send to as well.
func (c *Controller) paced() bool { return c.HoldFull && c.Prioritized && c.hosts() > 1 }

func (c *Controller) hosts() int {
	if c.Hosts == nil {
		return 1
	}
	return c.Hosts()
}

// RecordLoad adopts the load that the only upstream of the controller stated in a response. It is called before Release.
func (c *Controller) RecordLoad(now time.Time, load ServerLoad) {
	if c.paced() && c.pace.record(now, load) {
		c.hold(now)
	}
}

// observePace updates the pace by the result of a request. Without a stated load, a rejection shows that the server is full, and
// a response that it is not.
func (c *Controller) observePace(now time.Time, feedback Feedback) {
	stated := now.Sub(c.pace.loadAt) <= statedWithin
	switch feedback := feedback.(type) {
	case Served:
		c.pace.observeWork(feedback.Latency, stated)
		if c.pace.loadAt.IsZero() || now.Sub(c.pace.loadAt) > statingFor {
			c.pace.release()
		}
	case Shed:
		c.hold(now)
	case Unconnected, Abandoned:
	}
}

// hold holds requests back because the server is full.
func (c *Controller) hold(now time.Time) {
	if started := c.pace.hold(now, c.hosts(), c.Slots); started > 0 {
		c.report(ServerHeld{For: started})
	}
}

// held returns for how long a request is held back because the server is full.
func (c *Controller) held(now time.Time, request *Request) time.Duration {
	if !c.paced() {
		return 0
	}
	priority := request.Priority
	if request.early {
		priority++
	}
	return c.pace.left(now, priority)
}

// AfterRejection decides about a request that the server has just rejected. It returns false if the request may be sent again
// after a wait that it can afford; Submit admits it then.
func (c *Controller) AfterRejection(now time.Time, request *Request) (Refused, bool) {
	if !c.paced() {
		return Refused{}, false
	}
	c.hold(now)
	wait := c.held(now, request)
	if wait <= c.usefulHold(now, request) {
		return Refused{}, false
	}
	return c.refuse(now, request, cause.UpstreamRefused, wait), true
}
