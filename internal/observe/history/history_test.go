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

// linePrefix returns the first fields of a log line that a host writes when its own clock shows the given time after start.
func linePrefix(host string, seconds float64) string {
	base, err := time.Parse(time.RFC3339, start)
	if err != nil {
		panic(err)
	}
	return fmt.Sprintf("time=%s level=info host=%s ",
		base.Add(time.Duration(seconds*float64(time.Second))).Format("2006-01-02T15:04:05.000Z"), host)
}

// logs are the log lines of three daemons. The clock of h2, the assigner, is 5 s ahead of that of h1. The clock offset of h3 is
// unknown, as it has no adoption event.
var logs = strings.Join([]string{
	linePrefix("h1", 0.5) + `event="table of the ranges adopted" service=stock version=6`, // replaced before the request
	linePrefix("h1", 1) + `event="table of the ranges adopted" service=stock version=7`,
	linePrefix("h1", 2.4) + `event="table of the ranges adopted" service=stock version=9`, // adopted after the request
	linePrefix("h1", 2) + `event="table of the ranges adopted" service=stock version=8`,
	linePrefix("h1", 2.3) + `event="request ended" request=r1 service=stock key=300 took=900 queued=300 outcome=unknown ` +
		`cause=upstream-reset attempt-1="i-1 upstream-reset 500ms"`,
	linePrefix("h1", 2.4) + `event="request ended" request=r2 service=stock key=300 took=900 outcome=not-run cause=no-owner`,
	linePrefix("h1", 2.5) + `event="upstream is gone" upstream=i-9`,
	linePrefix("h2", 6) + `event="table of the ranges adopted" service=stock version=7`,
	linePrefix("h2", 6.6) + `event="server is down; its ranges get other owners" server=i-1 why="no process listens"`,
	linePrefix("h2", 6.7) + `event="range gets another owner" service=stock range=256-511 owner=i-2`,
	linePrefix("h2", 6.7) + `event="range gets another owner" service=stock range=512-600 owner=i-3`,
	linePrefix("h2", 6.7) + `event="range gets another owner" service=other range=256-511 owner=i-4`,
	linePrefix("h2", 7) + `event="table of the ranges adopted" service=stock version=8`,
	linePrefix("h3", 1.5) + `event="server is back" server=i-1`,
	"12.5 h1 " + linePrefix("h1", 900) + `event="configuration adopted" version=9`,
	"goroutine 7 [running]:",
}, "\n")

// Guards against a timeline that lacks the cause logged by another daemon, is out of order because clocks differ, or contains
// unrelated events.
func TestTimeline(t *testing.T) {
	is := is.New(t)
	search := history.Search{Request: "r1"}
	is.NoErr(search.Read(strings.NewReader(logs)))
	timeline, found := search.Timeline()
	is.True(found)
	is.Equal(timeline.RequestLine.Value("cause"), "upstream-reset")
	is.Equal(timeline.EndedAt.Sub(timeline.StartedAt), 900*time.Millisecond)
	var events []string
	for _, event := range timeline.Events {
		events = append(events, fmt.Sprintf("%.1f %s %s", event.Time.Sub(timeline.StartedAt).Seconds(), event.Host, event.Event))
	}
	is.Equal(events, []string{
		"-0.4 h1 table of the ranges adopted",
		"0.1 h3 server is back",
		"0.2 h2 server is down; its ranges get other owners",
		"0.3 h2 range gets another owner",
		"0.6 h1 table of the ranges adopted",
	})
	is.Equal(fmt.Sprint(timeline.UnalignedHosts), "[h3]")
	is.Equal(timeline.UnreadableLines, 1)
}

// Guards against a timeline of a request that no line mentions.
func TestTimelineOfUnknownRequest(t *testing.T) {
	is := is.New(t)
	search := history.Search{Request: "r3"}
	is.NoErr(search.Read(strings.NewReader(logs)))
	_, found := search.Timeline()
	is.True(!found)
}

// Guards against a timeline that does not fit on a screen.
func TestTimelineIsBounded(t *testing.T) {
	is := is.New(t)
	text := linePrefix("h1", 5) + `event="request ended" request=r1 service=s took=1000 outcome=not-run cause=no-owner` + "\n"
	for i := range 40 {
		text += linePrefix("h1", float64(i)/10) + fmt.Sprintf(`event="assigner elected" service=s until=%d`, i) + "\n"
	}
	search := history.Search{Request: "r1"}
	is.NoErr(search.Read(strings.NewReader(text)))
	timeline, _ := search.Timeline()
	is.Equal(len(timeline.Events), 12)
	is.Equal(timeline.OmittedEvents, 28)
	is.Equal(timeline.Events[11].Value("until"), "39") // the latest events are kept
}

// Guards against malformed lines that are parsed as events.
func TestParse(t *testing.T) {
	cases := []struct {
		name, text string
		valid      bool
	}{
		{"event", `time=` + start + ` level=info event="a b" host=h x="1 2"`, true},
		{"prefix of a log collector", `7.1 node time=` + start + ` event=a`, true},
		{"no time", `level=info event=a`, false},
		{"malformed time", `time=yesterday event=a`, false},
		{"no event", `time=` + start + ` level=info`, false},
		{"unterminated quote", `time=` + start + ` event="a`, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := history.Parse([]byte(test.text))
			is.Equal(err == nil, test.valid)
		})
	}
}
