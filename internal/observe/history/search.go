package history

import (
	"bufio"
	"cmp"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

const (
	// maxLineBytes bounds one log line. Search.Read returns an error for a longer one.
	maxLineBytes = 1 << 20
	// eventsBefore and eventsAfter are how long before the start and after the end of a request events are considered to be
	// related to it: a failed owner is replaced within a few seconds.
	eventsBefore = 10 * time.Second
	eventsAfter  = 2 * time.Second
	// maxEvents bounds the events of a timeline, so that it fits on a screen.
	maxEvents = 12
)

// requestEnded is the event that daemons log for a request that was late, rejected or retried.
const requestEnded = "request ended"

// localEvents are events that describe the state of the daemon that logs them. On other hosts than that of the request they
// are irrelevant to it.
var localEvents = []string{
	"upstream registered", "upstream changed its entry", "upstream's entry disappeared", "upstream is gone",
	"configuration adopted", "older configuration ignored", "configuration cannot be read", tableAdopted,
	"failure domain is evacuated", "evacuation of failure domain has ended",
	"table cannot be followed", "table is followed again", "history of the table was lost; reading all rows",
	"daemon starting", "daemon stopping; the balancer is told to use other daemons", "daemon stopped",
}

// Search collects the log lines that may concern one request. The exported fields are set before Read.
type Search struct {
	Request fleet.RequestID

	// requestLines are the lines about the request, and events all lines that are not about any request.
	requestLines, events []Line
	unreadableLines      int
}

// Timeline describes a request and the events around it. All times are by the clock of the host in RequestLine.
type Timeline struct {
	// RequestLine is the earliest line about the request. OtherRequestLines has those of other daemons that received it.
	RequestLine       Line
	OtherRequestLines []Line
	// StartedAt and EndedAt are the times between which the daemon handled the request.
	StartedAt, EndedAt time.Time
	// Events are the events that may have affected the request or followed from it, in the order of their times.
	Events []Line
	// OmittedEvents is the number of older events beyond the limit of a timeline.
	OmittedEvents int
	// UnalignedHosts are the hosts of events whose clock offset is unknown, so that the times of their events are uncorrected.
	UnalignedHosts []fleet.HostID
	// UnreadableLines is the number of lines that are not log lines of a daemon.
	UnreadableLines int
}

// Read reads the logs of one or more daemons, with lines in any order. It may be called several times.
func (s *Search) Read(logs io.Reader) error {
	lines := bufio.NewScanner(logs)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line, err := Parse(lines.Bytes())
		switch {
		case err != nil:
			s.unreadableLines++
		case line.Event != requestEnded:
			s.events = append(s.events, line)
		case line.Value("request") == string(s.Request):
			s.requestLines = append(s.requestLines, line)
		}
	}
	return errors.Wrap(lines.Err(), "history: read logs")
}

// Timeline returns the timeline of the request, and false if no line is about the request.
func (s *Search) Timeline() (Timeline, bool) {
	if len(s.requestLines) == 0 {
		return Timeline{UnreadableLines: s.unreadableLines}, false
	}
	slices.SortStableFunc(s.requestLines, func(x, y Line) int { return x.Time.Compare(y.Time) })
	timeline := Timeline{
		RequestLine: s.requestLines[0], OtherRequestLines: s.requestLines[1:], EndedAt: s.requestLines[0].Time,
		UnreadableLines: s.unreadableLines,
	}
	timeline.StartedAt = timeline.EndedAt.Add(-ParseMilliseconds(timeline.RequestLine.Value("took")))
	offsets := s.clockOffsets(timeline.RequestLine.Host)
	events := s.relatedEvents(&timeline, offsets)
	slices.SortStableFunc(events, func(x, y Line) int { return x.Time.Compare(y.Time) })
	if omitted := len(events) - maxEvents; omitted > 0 {
		timeline.OmittedEvents, events = omitted, events[omitted:]
	}
	timeline.Events = events
	for _, event := range events {
		if _, known := offsets[event.Host]; !known && !slices.Contains(timeline.UnalignedHosts, event.Host) {
			timeline.UnalignedHosts = append(timeline.UnalignedHosts, event.Host)
		}
	}
	return timeline, true
}

// ParseMilliseconds parses a duration in milliseconds, as daemons log it. It returns zero for a malformed one.
func ParseMilliseconds(text string) time.Duration {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return time.Duration(number * float64(time.Millisecond))
}

// versionedEvent identifies an event that all daemons log at about the same time, when they adopt a version.
type versionedEvent struct{ event, service, version string }

// clockOffsets returns by how much the clock of each host is ahead of the clock of the reference host. It takes the median
// difference between the times at which both adopted the same versions. A host without such an event has no entry.
func (s *Search) clockOffsets(reference fleet.HostID) map[fleet.HostID]time.Duration {
	adoptedAt := make(map[versionedEvent]time.Time)
	key := func(line *Line) (versionedEvent, bool) {
		version := line.Value("version")
		return versionedEvent{line.Event, line.Value("service"), version}, version != "" && slices.Contains(localEvents, line.Event)
	}
	for i := range s.events {
		if id, ok := key(&s.events[i]); ok && s.events[i].Host == reference {
			adoptedAt[id] = s.events[i].Time
		}
	}
	differences := make(map[fleet.HostID][]time.Duration)
	for i := range s.events {
		line := &s.events[i]
		if id, ok := key(line); ok && !adoptedAt[id].IsZero() {
			differences[line.Host] = append(differences[line.Host], line.Time.Sub(adoptedAt[id]))
		}
	}
	offsets := map[fleet.HostID]time.Duration{reference: 0}
	for host, all := range differences {
		slices.SortFunc(all, cmp.Compare[time.Duration])
		offsets[host] = all[len(all)/2]
	}
	return offsets
}

// relatedEvents returns the events that may concern the request, with times corrected to the clock of its host: events about
// an upstream to which it was sent, about the range of its key, or about its whole service or host.
func (s *Search) relatedEvents(timeline *Timeline, offsets map[fleet.HostID]time.Duration) []Line {
	request := &timeline.RequestLine
	upstreams := upstreamsOf(request)
	key, err := fleet.ParseNumericKey(request.Value("key"))
	keyed := err == nil
	var result []Line
	for _, line := range s.events {
		line.Time = line.Time.Add(-offsets[line.Host])
		if line.Time.Before(timeline.StartedAt.Add(-eventsBefore)) || line.Time.After(timeline.EndedAt.Add(eventsAfter)) {
			continue
		}
		sameHost := line.Host == request.Host
		if !sameHost && slices.Contains(localEvents, line.Event) {
			continue
		}
		service := line.Value("service")
		sameService := service == request.Value("service")
		rangeHasKey := keyed && sameService && rangeContains(line.Value("range"), key)
		isGeneral := line.Value("range") == "" && !strings.HasPrefix(line.Event, "upstream") &&
			(sameService || service == "" && sameHost && slices.Contains(localEvents, line.Event))
		if line.hasAnyValue(upstreams) || rangeHasKey || isGeneral {
			result = append(result, line)
		}
	}
	return dropUnusedTables(result, timeline.StartedAt, timeline.EndedAt)
}

// tableAdopted is the event that daemons log when they adopt a new range table, which may be several times a second.
const tableAdopted = "table of the ranges adopted"

// dropUnusedTables removes the adoptions of range tables that were not in force at any time of the request.
func dropUnusedTables(events []Line, startedAt, endedAt time.Time) []Line {
	inForceAtStart := -1
	for i := range events {
		if events[i].Event == tableAdopted && events[i].Time.Before(startedAt) &&
			(inForceAtStart < 0 || !events[i].Time.Before(events[inForceAtStart].Time)) {
			inForceAtStart = i
		}
	}
	var result []Line
	for i := range events {
		during := !events[i].Time.Before(startedAt) && !events[i].Time.After(endedAt)
		if events[i].Event != tableAdopted || i == inForceAtStart || during {
			result = append(result, events[i])
		}
	}
	return result
}

// upstreamsOf returns the upstreams to which a request was sent.
func upstreamsOf(request *Line) []string {
	var result []string
	for _, field := range request.Fields {
		if strings.HasPrefix(field.Name, "attempt-") {
			id, _, _ := strings.Cut(field.Value, " ")
			result = append(result, id)
		}
	}
	return result
}

// rangeContains reports whether a key range, in the form FIRST-LAST that daemons log, contains the key.
func rangeContains(text string, key fleet.NumericKey) bool {
	first, last, found := strings.Cut(text, "-")
	if !found {
		return false
	}
	firstKey, firstErr := fleet.ParseNumericKey(first)
	lastKey, lastErr := fleet.ParseNumericKey(last)
	return firstErr == nil && lastErr == nil && fleet.KeyRange{First: firstKey, Last: lastKey}.Contains(key)
}
