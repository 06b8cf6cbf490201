package notices

import (
	"time"

	"github.com/rs/zerolog"
)

// coldLog bounds the log lines about cold upstreams.
type coldLog struct {
	// since is the start of the present interval, lines the number of lines in it, and omitted that of the lines that were left out.
	since          time.Time
	lines, omitted int
}

// next starts a log line about an upstream, or returns nil if there were too many. The caller holds the mu of the book.
func (l *coldLog) next(b *Book, now time.Time, source Source) *zerolog.Event {
	if now.Sub(l.since) >= coldLogInterval {
		l.since, l.lines = now, 0
	}
	if l.lines >= maxColdLogged {
		l.omitted++
		return nil
	}
	l.lines++
	event := b.log(source)
	if l.omitted > 0 {
		event = event.Int("omitted-lines", l.omitted)
		l.omitted = 0
	}
	return event
}
