package history_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/observe/history"
)

const start = "2026-12-04T08:00:00.000Z"

// at returns the beginning of a line of a host, seconds after the start by its own clock.
func at(host string, seconds float64) string {
	base, err := time.Parse(time.RFC3339, start)
	if err != nil {
		panic(err)
	}
	return fmt.Sprintf("time=%s level=info host=%s ", base.Add(time.Duration(seconds*float64(time.Second))).Format("2006-01-02T15:04:05.000Z"), host)
}

// logs are those of three daemons. The clock of h2, the assigner, is 5 s ahead; nothing tells that of h3.
var logs = strings.Join([]string{
	at("h1", 0.5) + `event="table of the ranges adopted" service=stock version=6`, // not in force any more
	at("h1", 1) + `event="table of the ranges adopted" service=stock version=7`,
	at("h1", 2.4) + `event="table of the ranges adopted" service=stock version=9`, // too late
	at("h1", 2) + `event="table of the ranges adopted" service=stock version=8`,
	at("h1", 2.3) + `event="request ended" request=r1 service=stock key=300 took=900 queued=300 outcome=unknown ` +
		`cause=upstream-reset attempt-1="i-1 upstream-reset 500ms"`,
	at("h1", 2.4) + `event="request ended" request=r2 service=stock key=300 took=900 outcome=not-run cause=no-owner`,
	at("h1", 2.5) + `event="upstream is gone" upstream=i-9`,
	at("h2", 6) + `event="table of the ranges adopted" service=stock version=7`,
	at("h2", 6.6) + `event="server is down; its ranges get other owners" server=i-1 why="no process listens"`,
	at("h2", 6.7) + `event="range gets another owner" service=stock range=256-511 owner=i-2`,
	at("h2", 6.7) + `event="range gets another owner" service=stock range=512-600 owner=i-3`,
	at("h2", 6.7) + `event="range gets another owner" service=other range=256-511 owner=i-4`,
	at("h2", 7) + `event="table of the ranges adopted" service=stock version=8`,
	at("h3", 1.5) + `event="server is back" server=i-1`,
	"12.5 h1 " + at("h1", 900) + `event="configuration adopted" version=9`,
	"goroutine 7 [running]:",
}, "\n")

// Guards against a story that misses the cause on another daemon, is out of order because clocks differ, or is drowned in
// events that have nothing to do with the request.
func TestStory(t *testing.T) {
	is := is.New(t)
	search := history.Search{Request: "r1"}
	is.NoErr(search.Read(strings.NewReader(logs)))
	story, found := search.Timeline()
	is.True(found)
	is.Equal(story.RequestLine.Value("cause"), "upstream-reset")
	is.Equal(story.EndedAt.Sub(story.StartedAt), 900*time.Millisecond)
	var events []string
	for _, one := range story.Events {
		events = append(events, fmt.Sprintf("%.1f %s %s", one.Time.Sub(story.StartedAt).Seconds(), one.Host, one.Event))
	}
	is.Equal(events, []string{
		"-0.4 h1 table of the ranges adopted",
		"0.1 h3 server is back",
		"0.2 h2 server is down; its ranges get other owners",
		"0.3 h2 range gets another owner",
		"0.6 h1 table of the ranges adopted",
	})
	is.Equal(fmt.Sprint(story.UnalignedHosts), "[h3]")
	is.Equal(story.UnreadableLines, 1)
}

// Guards against a request that is told as found although no line names it.
func TestNoStory(t *testing.T) {
	is := is.New(t)
	search := history.Search{Request: "r3"}
	is.NoErr(search.Read(strings.NewReader(logs)))
	_, found := search.Timeline()
	is.True(!found)
}

// Guards against a story that does not fit a screen.
func TestLongStory(t *testing.T) {
	is := is.New(t)
	text := at("h1", 5) + `event="request ended" request=r1 service=s took=1000 outcome=not-run cause=no-owner` + "\n"
	for i := range 40 {
		text += at("h1", float64(i)/10) + fmt.Sprintf(`event="assigner elected" service=s until=%d`, i) + "\n"
	}
	search := history.Search{Request: "r1"}
	is.NoErr(search.Read(strings.NewReader(text)))
	story, _ := search.Timeline()
	is.Equal(len(story.Events), 12)
	is.Equal(story.OmittedEvents, 28)
	is.Equal(story.Events[11].Value("until"), "39") // the latest are kept
}

// Guards against malformed lines that are taken for events.
func TestParse(t *testing.T) {
	cases := []struct {
		name, text string
		valid      bool
	}{
		{"event", `time=` + start + ` level=info event="a b" host=h x="1 2"`, true},
		{"behind a prefix", `7.1 node time=` + start + ` event=a`, true},
		{"no time", `level=info event=a`, false},
		{"bad time", `time=yesterday event=a`, false},
		{"no event", `time=` + start + ` level=info`, false},
		{"open quote", `time=` + start + ` event="a`, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := history.Parse([]byte(test.text))
			is.Equal(err == nil, test.valid)
		})
	}
}
