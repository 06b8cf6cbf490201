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
	// longestLine bounds one log line; a longer one ends the search with an error.
	longestLine = 1 << 20
	// before and after are how far from the request events count as its surroundings: an owner that was lost is replaced
	// within a few seconds.
	before = 10 * time.Second
	after  = 2 * time.Second
	// mostEvents keeps a story on one screen.
	mostEvents = 12
)

// requestEnded is the event of a request that was late, rejected or sent again.
const requestEnded = "request ended"

// Names of the events that every daemon logs of its own view. Those of other hosts say nothing about the request.
var ownView = []string{
	"upstream registered", "upstream changed its entry", "upstream's entry disappeared", "upstream is gone",
	"configuration adopted", "older configuration ignored", "configuration cannot be read", tableAdopted,
	"table cannot be followed", "table is followed again", "history of the table was lost; reading all rows",
	"daemon starting", "daemon stopping; the balancer is told to use other daemons", "daemon stopped",
}

// Search collects the lines that may matter to one request. The exported fields are set before Read.
type Search struct {
	Request fleet.RequestID

	// own are the lines of the request, and events all lines that are not about a request.
	own, events []Line
	unreadable  int
}

// Story is what the logs say about a request. Times are by the clock of the host that answered it.
type Timeline struct {
	// Request is the line of the request; more are in Others if it came to several daemons.
	RequestLine       Line
	OtherRequestLines []Line
	// Began and Ended bound the request.
	StartedAt, EndedAt time.Time
	// Events led to the outcome or followed from it, in order of time.
	Events []Line
	// Omitted counts older events for which there is no room.
	OmittedEvents int
	// Unaligned are the hosts whose clocks could not be compared.
	UnalignedHosts []fleet.HostID
	// Unreadable counts the lines that are none of a daemon's.
	UnreadableLines int
}

// Read takes in the logs of one or more daemons in any order.
func (s *Search) Read(in io.Reader) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		line, err := Parse(lines.Bytes())
		switch {
		case err != nil:
			s.unreadable++
		case line.Event != requestEnded:
			s.events = append(s.events, line)
		case line.Value("request") == string(s.Request):
			s.own = append(s.own, line)
		}
	}
	return errors.Wrap(lines.Err(), "history: read logs")
}

// Story returns what was found, and false if no line is about the request.
func (s *Search) Timeline() (Timeline, bool) {
	if len(s.own) == 0 {
		return Timeline{UnreadableLines: s.unreadable}, false
	}
	slices.SortStableFunc(s.own, func(x, y Line) int { return x.Time.Compare(y.Time) })
	story := Timeline{RequestLine: s.own[0], OtherRequestLines: s.own[1:], EndedAt: s.own[0].Time, UnreadableLines: s.unreadable}
	story.StartedAt = story.EndedAt.Add(-ParseMilliseconds(story.RequestLine.Value("took")))
	ahead := s.clocks(story.RequestLine.Host)
	chosen := s.choose(&story, ahead)
	slices.SortStableFunc(chosen, func(x, y Line) int { return x.Time.Compare(y.Time) })
	if omitted := len(chosen) - mostEvents; omitted > 0 {
		story.OmittedEvents, chosen = omitted, chosen[omitted:]
	}
	story.Events = chosen
	for _, one := range chosen {
		if _, known := ahead[one.Host]; !known && !slices.Contains(story.UnalignedHosts, one.Host) {
			story.UnalignedHosts = append(story.UnalignedHosts, one.Host)
		}
	}
	return story, true
}

// Milliseconds reads a duration as daemons log it; one that cannot be read is zero.
func ParseMilliseconds(text string) time.Duration {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return time.Duration(number * float64(time.Millisecond))
}

// shared identifies an event that all daemons see at about the same time.
type shared struct{ event, service, version string }

// clocks returns by how much the clock of each host is ahead of that of the reference, judged by the versions that both
// adopted. A host without such an event is missing.
func (s *Search) clocks(reference fleet.HostID) map[fleet.HostID]time.Duration {
	seen := make(map[shared]time.Time)
	key := func(line *Line) (shared, bool) {
		version := line.Value("version")
		return shared{line.Event, line.Value("service"), version}, version != "" && slices.Contains(ownView, line.Event)
	}
	for i := range s.events {
		if id, ok := key(&s.events[i]); ok && s.events[i].Host == reference {
			seen[id] = s.events[i].Time
		}
	}
	differences := make(map[fleet.HostID][]time.Duration)
	for i := range s.events {
		line := &s.events[i]
		if id, ok := key(line); ok && !seen[id].IsZero() {
			differences[line.Host] = append(differences[line.Host], line.Time.Sub(seen[id]))
		}
	}
	result := map[fleet.HostID]time.Duration{reference: 0}
	for host, all := range differences {
		slices.SortFunc(all, cmp.Compare[time.Duration])
		result[host] = all[len(all)/2]
	}
	return result
}

// choose returns the events that have to do with the request, by the clock of its host.
func (s *Search) choose(story *Timeline, ahead map[fleet.HostID]time.Duration) []Line {
	request := &story.RequestLine
	upstreams := upstreamsOf(request)
	key, err := fleet.ParseNumericKey(request.Value("key"))
	keyed := err == nil
	var result []Line
	for _, line := range s.events {
		line.Time = line.Time.Add(-ahead[line.Host])
		if line.Time.Before(story.StartedAt.Add(-before)) || line.Time.After(story.EndedAt.Add(after)) {
			continue
		}
		own := line.Host == request.Host
		if !own && slices.Contains(ownView, line.Event) {
			continue
		}
		service := line.Value("service")
		ofService := service == request.Value("service")
		holdsKey := keyed && ofService && inRange(line.Value("range"), key)
		ofAll := line.Value("range") == "" && !strings.HasPrefix(line.Event, "upstream") &&
			(ofService || service == "" && own && slices.Contains(ownView, line.Event))
		if line.mentions(upstreams) || holdsKey || ofAll {
			result = append(result, line)
		}
	}
	return dropOldTables(result, story.StartedAt, story.EndedAt)
}

// tableAdopted is the event of a new table of ranges, of which there may be several each second.
const tableAdopted = "table of the ranges adopted"

// dropOldTables leaves out the adopted tables that were not in force during the request.
func dropOldTables(events []Line, began, ended time.Time) []Line {
	last := -1
	for i := range events {
		if events[i].Event == tableAdopted && events[i].Time.Before(began) && (last < 0 || !events[i].Time.Before(events[last].Time)) {
			last = i
		}
	}
	var result []Line
	for i := range events {
		during := !events[i].Time.Before(began) && !events[i].Time.After(ended)
		if events[i].Event != tableAdopted || i == last || during {
			result = append(result, events[i])
		}
	}
	return result
}

// upstreamsOf returns the upstreams to which a request was sent.
func upstreamsOf(request *Line) []string {
	var result []string
	for _, one := range request.Fields {
		if strings.HasPrefix(one.Name, "attempt-") {
			id, _, _ := strings.Cut(one.Value, " ")
			result = append(result, id)
		}
	}
	return result
}

// inRange reports whether a range as daemons log it holds the key.
func inRange(text string, key fleet.NumericKey) bool {
	first, last, found := strings.Cut(text, "-")
	if !found {
		return false
	}
	from, failed := fleet.ParseNumericKey(first)
	to, alsoFailed := fleet.ParseNumericKey(last)
	return failed == nil && alsoFailed == nil && fleet.KeyRange{First: from, Last: to}.Contains(key)
}
