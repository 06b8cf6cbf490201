package cli_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/operator/cli"
)

// Guards against an explanation from logs that needs a daemon, reads only one of several logs, or hides the cause.
func TestExplainFromLogs(t *testing.T) {
	file := filepath.Join(t.TempDir(), "h2.log")
	assigner := `time=2026-12-04T08:00:01.500Z level=warn host=h2 event="server is down" server=i-1 why="no answer"` + "\n"
	if err := os.WriteFile(file, []byte(assigner), 0o600); err != nil {
		t.Fatal(err)
	}
	logs := `time=2026-12-04T08:00:02.000Z level=info host=h1 event="request ended" request=r1 service=stock class=rank-0 ` +
		`config=3 queued=250 took=1000 outcome=unknown cause=upstream-reset key=300 fence=0.7 attempt-1="i-1 upstream-reset 700ms"` + "\n"
	for _, test := range []struct {
		name, id string
		files    []string
		code     cli.ExitCode
		out      string
	}{
		{"file and standard input", "r1", []string{file, "-"}, cli.ExitOK, `request:   r1
outcome:   unknown
cause:     upstream-reset (the connection was lost after the request may have reached the upstream)
received:  2026-12-04T08:00:01.000Z on h1
took:      1s, of which 250ms in the queue
service:   stock, class rank-0, configuration 3
key:       300 by fence 0.7
attempt 1: i-1 upstream-reset 700ms
  +0.500 s h2: server is down server=i-1 why=no answer
clock:     that of h2 could not be compared with that of h1
`},
		{"unknown request", "r2", []string{"-"}, cli.ExitNotFound, "no line about request r2; daemons log only late, " +
			"rejected and repeated requests, 20 a second each\n"},
		{"no such file", "r1", []string{file + ".none"}, cli.ExitUsage, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var out, errs bytes.Buffer
			root := cli.Root{In: strings.NewReader(logs), Out: &out, Err: &errs, Clock: timer.System{}}
			args := []string{"explain", test.id}
			for _, name := range test.files {
				args = append(args, "--log", name)
			}
			is.Equal(root.Run(context.Background(), args), test.code)
			is.Equal(out.String(), test.out)
		})
	}
}
