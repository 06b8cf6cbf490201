package notices_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/upstream/forward"
	"rosemarywick.example/rosemarywick/internal/upstream/notices"
)

// coldEvent is a step of a test: after a pause, an entry with a revision, a response to a request sent at an earlier time, or
// another event.
type coldEvent struct {
	pause    time.Duration
	revision uint64
	// sentAgo is how long before the response its request was sent. It is used if revision is zero.
	sentAgo time.Duration
	left    time.Duration
	// other replaces the report if it is set.
	other func(*notices.Book)
}

// Guards against a copy of an older report that shortens or extends the cold time, against one that is assumed although a newer
// report is known, and against an unknown process that counts as warm.
func TestColdTime(t *testing.T) {
	source := notices.Source{ID: "u", Incarnation: "1"}
	const second = time.Second
	unreachable := coldEvent{pause: second, other: func(b *notices.Book) { b.NoteUnreachable(source, 3*second) }}
	assumed := coldEvent{pause: second, other: func(b *notices.Book) { b.AssumeCold(source, 3*second) }}
	for name, test := range map[string]struct {
		events []coldEvent
		want   time.Duration
	}{
		"entry":                            {[]coldEvent{{revision: 1, left: 3 * second}}, 3 * second},
		"first start":                      {[]coldEvent{{revision: 1}}, 0},
		"unknown":                          {nil, 3 * second},
		"copy of the entry":                {[]coldEvent{{revision: 1, left: 3 * second}, {pause: second, revision: 1, left: 3 * second}}, 2 * second},
		"older entry shortens":             {[]coldEvent{{revision: 5, left: 3 * second}, {pause: second, revision: 4}}, 2 * second},
		"newer entry":                      {[]coldEvent{{revision: 1, left: 3 * second}, {pause: second, revision: 2, left: second / 2}}, second / 2},
		"health response":                  {[]coldEvent{{revision: 1, left: 3 * second}, {pause: second, left: second}}, second},
		"late entry after health":          {[]coldEvent{{left: second}, {pause: second / 2, revision: 7, left: 3 * second}}, second / 2},
		"overtaken health response":        {[]coldEvent{{revision: 1, left: second}, {pause: second / 2, sentAgo: second, left: 3 * second}}, second / 2},
		"assumed":                          {[]coldEvent{{revision: 1}, assumed}, 3 * second},
		"assumed, copy of the entry":       {[]coldEvent{{revision: 1}, assumed, {revision: 1}}, 3 * second},
		"assumed, newer entry":             {[]coldEvent{{revision: 1}, assumed, {revision: 2}}, 0},
		"assumed, response of before":      {[]coldEvent{{revision: 1}, assumed, {sentAgo: second}}, 3 * second},
		"unreachable":                      {[]coldEvent{{revision: 1}, unreachable, {pause: 9 * second, other: func(*notices.Book) {}}}, 3 * second},
		"unreachable, answers a request":   {[]coldEvent{{revision: 1}, unreachable, {pause: second, other: answer(source)}, {pause: second, other: answer(source)}}, 2 * second},
		"unreachable, the same process":    {[]coldEvent{{revision: 1}, unreachable, {pause: second, other: answerOn(source, 2*second)}}, 0},
		"unreachable, on a new connection": {[]coldEvent{{revision: 1}, unreachable, unreachable, {pause: second, other: answerOn(source, 3*second/2)}}, 3 * second},
		"unreachable, answers the health":  {[]coldEvent{{revision: 1}, unreachable, {pause: second}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			book := &notices.Book{Log: zerolog.Nop(), Now: func() time.Time { return now }}
			for _, event := range test.events {
				now = now.Add(event.pause)
				if event.other != nil {
					event.other(book)
					continue
				}
				exchange := notices.Exchange{Source: source, Revision: event.revision, Notices: []forward.Notice{forward.Cold{For: event.left}}}
				if event.revision == 0 {
					exchange.SentAt = now.Add(-event.sentAgo - time.Millisecond)
				}
				book.Record(exchange)
			}
			is.Equal(max(0, book.ColdUntilAssuming(source, 3*second).Sub(now)), test.want)
			is.True(book.ColdUntil(notices.Source{ID: "u", Incarnation: "2"}).IsZero()) // another process is not concerned
		})
	}
}

// answerOn returns an event in which a process responds on a connection that was opened a time before.
func answerOn(source notices.Source, age time.Duration) func(*notices.Book) {
	return func(b *notices.Book) {
		b.Record(notices.Exchange{Source: source, SentAt: b.Now(), ConnectedAt: b.Now().Add(-age), Complete: true})
	}
}

// answer returns an event in which a process responds to a request without a report.
func answer(source notices.Source) func(*notices.Book) {
	return func(b *notices.Book) { b.Record(notices.Exchange{Source: source, SentAt: b.Now(), Complete: true}) }
}

// Guards against a log that is filled when a failure domain comes back, and against states of processes that are gone.
func TestColdUpstreamsAreLoggedAndForgotten(t *testing.T) {
	is := is.New(t)
	now, lines := time.Unix(1000, 0), &bytes.Buffer{}
	book := &notices.Book{Log: zerolog.New(lines), Now: func() time.Time { return now }}
	present := map[fleet.UpstreamID]fleet.Incarnation{}
	for i := range 500 {
		id := fleet.UpstreamID(fmt.Sprint("u", i))
		present[id] = "1"
		book.AssumeCold(notices.Source{ID: id, Incarnation: "1"}, 3*time.Second)
	}
	book.Retain(present)
	is.Equal(book.Cold(), 500)
	is.Equal(strings.Count(lines.String(), "\n"), 150)
	now = now.Add(2 * time.Minute)
	is.Equal(book.Cold(), 0)
	is.Equal(strings.Count(lines.String(), "no longer cold"), 150)
	book.Retain(nil)
	now = now.Add(2 * time.Minute)
	book.Retain(nil)
	is.True(book.ColdUntil(notices.Source{ID: "u1", Incarnation: "1"}).IsZero())
}
