package admission

import (
	"slices"
	"time"
)

const (
	// callerPatience divides the time that a caller has left: callers come back after that at the latest, whatever they are told.
	callerPatience = 3
	// shortestReturn is what a caller is told if no slot is free within its patience. It is the present default of Retry-After.
	shortestReturn = 100 * time.Millisecond
	// matchTolerance is how far the deadlines of two attempts may differ that are taken for those of one request, and by how much a
	// caller may be early. Callers state the time left in whole milliseconds, and the way of a request varies by about 3 ms.
	matchTolerance = 5 * time.Millisecond
	// minReturn is the shortest time in which a caller can receive a refusal and come back. Requests that a caller sent
	// together, which have the same deadline, follow each other sooner.
	minReturn = 2 * time.Millisecond
	// returnGrace is how long room is kept for a return that is late.
	returnGrace = 50 * time.Millisecond
	// maxReturns limits the schedule. At 100 refusals a second, all returns within a patience of 333 ms fit.
	maxReturns = 128
)

// Arrival says whether a request is the return that a caller was told to make. It is one of FirstArrival, DueReturn and
// EarlyReturn.
type Arrival interface {
	arrival()
}

// FirstArrival is a request that no announced return is known for.
type FirstArrival struct{}

// DueReturn is a request that comes back at the time that its caller was told.
type DueReturn struct{}

// EarlyReturn is a request that comes back before that time.
type EarlyReturn struct{}

func (FirstArrival) arrival() {}
func (DueReturn) arrival()    {}
func (EarlyReturn) arrival()  {}

// Returns is the schedule of the returns that were announced to the refused callers of one queue. The zero value is empty.
type Returns struct {
	// announced is ordered by the time of the announcement.
	announced []announcedReturn
}

// announcedReturn is the return of one caller.
type announcedReturn struct {
	announced, due time.Time
	deadline       time.Time
	priority       int
	// reserved is set if room is kept for it.
	reserved bool
}

// Announce returns after what time the caller of a refused request is to come back: at the first slot that no other caller as
// urgent or more urgent was told. Slots start after earliest and are interval apart. If the caller would not wait that long, it
// is told the shortest useful time, and no room is kept for it.
func (r *Returns) Announce(now time.Time, request *Request, earliest, interval time.Duration) time.Duration {
	r.expire(now)
	ahead := 0
	for _, other := range r.announced {
		if other.reserved && other.priority <= request.Priority {
			ahead++
		}
	}
	longest := max(0, request.Deadline.Sub(now)/callerPatience)
	delay := max(earliest, 0) + time.Duration(ahead)*interval
	reserved := delay <= longest
	if !reserved {
		delay = min(shortestReturn, longest)
	}
	if len(r.announced) >= maxReturns {
		r.announced = slices.Delete(r.announced, 0, 1)
	}
	r.announced = append(r.announced, announcedReturn{
		announced: now, due: now.Add(delay), deadline: request.Deadline, priority: request.Priority, reserved: reserved,
	})
	return delay
}

// Arrive says whether a request is a return, and removes that from the schedule. A caller may come back to another daemon, and
// the callers of other daemons come here: a request that matches none takes the place of a return that is due.
func (r *Returns) Arrive(now time.Time, request *Request) Arrival {
	r.expire(now)
	due := -1
	for i, announced := range r.announced {
		difference := announced.deadline.Sub(request.Deadline).Abs()
		early := now.Before(announced.due.Add(-matchTolerance))
		if difference <= matchTolerance && announced.priority == request.Priority && now.Sub(announced.announced) >= minReturn {
			r.announced = slices.Delete(r.announced, i, i+1)
			if early {
				return EarlyReturn{}
			}
			return DueReturn{}
		}
		if announced.reserved && !early && announced.priority >= request.Priority && due < 0 {
			due = i
		}
	}
	if due < 0 {
		return FirstArrival{}
	}
	r.announced = slices.Delete(r.announced, due, due+1)
	return DueReturn{}
}

// Reserved returns the number of returns for which room is kept until a time, and which go before a request of a priority.
func (r *Returns) Reserved(now, until time.Time, priority int) int {
	r.expire(now)
	count := 0
	for _, announced := range r.announced {
		if announced.reserved && announced.priority <= priority && !announced.due.After(until) {
			count++
		}
	}
	return count
}

// expire forgets the returns that are overdue.
func (r *Returns) expire(now time.Time) {
	r.announced = slices.DeleteFunc(r.announced, func(announced announcedReturn) bool {
		return now.Sub(announced.due) > returnGrace
	})
}
