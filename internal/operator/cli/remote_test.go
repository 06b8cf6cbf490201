package cli_test

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/operator/cli"
	"rosemarywick.example/rosemarywick/internal/operator/standin"
)

// Guards against connections and goroutines that outlive a command.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// session runs commands against one daemon.
type session struct {
	fleet   standin.Fleet
	address string
	// files are the arguments that name the certificate for each role.
	files    map[string][]string
	document string
}

func newSession(t *testing.T) *session {
	t.Helper()
	is := is.New(t)
	authority := standin.NewAuthority(t)
	s := &session{files: map[string][]string{}, document: filepath.Join(t.TempDir(), "fleet.toml")}
	is.NoErr(os.WriteFile(s.document, []byte(standin.Document), 0o600))
	for _, role := range []string{"read", "operate", "none"} {
		s.files[role] = authority.WriteFiles(t, authority.Issue(t, "ana", time.Now().Add(time.Hour), role))
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	server := s.fleet.NewServer(t, authority, zerolog.Nop())
	go func() { done <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("stop: %v", err)
		}
	})
	return s
}

var times = regexp.MustCompile(`\d{4}-\d\d-\d\d[T ]\d\d:\d\d:\d\d[.\d]*Z|\d+[a-zµ.\d]* ago`)

// run executes a command line and returns its code, its result and what it wrote to standard error. In the line, FILE
// stands for the document, and in the output TIME for each time.
func (s *session) run(ctx context.Context, role, line string) (code cli.ExitCode, out, errs string) {
	var stdout, stderr bytes.Buffer
	root := cli.Root{In: strings.NewReader(standin.Document), Out: &stdout, Err: &stderr, Clock: timer.System{}}
	args := strings.Fields(strings.ReplaceAll(line, "FILE", s.document))
	if role != "" {
		args = append(append(args, s.files[role]...), "--server", s.address)
	}
	code = root.Run(ctx, args)
	return code, times.ReplaceAllString(stdout.String(), "TIME"), times.ReplaceAllString(stderr.String(), "TIME")
}

// Guards against commands whose result people or programs cannot rely on.
func TestCommands(t *testing.T) {
	s := newSession(t)
	s.fleet.Ring.Add(standin.RejectedRecord("r-1"))
	for _, test := range []struct{ line, out, errs string }{
		{"config check FILE", "fleet.toml is valid: 1 services, 2 upstreams, 1 tenants, 0 pins\n", ""},
		{"config apply FILE --expected-version 0", "stored version 1 by ana of TIME\n", ""},
		{"config get", standin.Document, "version 1 by ana of TIME\n"},
		{"config diff FILE", "", ""},
		{
			"drain catalogue-01 --author duty",
			"stored version 2 by duty (certificate of ana) of TIME\n", "",
		},
		{"drain catalogue-01", "nothing to change in version 2 by duty (certificate of ana) of TIME\n", ""},
		{"config diff --version 1 --with 2", `--- version 1
+++ version 2
@@ -6,6 +6,7 @@
 
 [[services.upstreams]]
 id = "catalogue-01" # the oldest
+drained = true
 address = "127.0.0.1:9101"
 region = "montevideo"
 domain = "centro"
`, ""},
		{"undrain catalogue-01 --expected-version 2", "stored version 3 by ana of TIME\n", ""},
		{"pin catalogue k1 catalogue-02", "stored version 4 by ana of TIME\n", ""},
		{"unpin catalogue k1", "stored version 5 by ana of TIME\n", ""},
		{"config status", `version 5 is in force on 1 of 2 live hosts
BEHIND   VERSION  REASON
entry-2  0        -
`, ""},
		{"config status --version 5 --output json", `{
  "behind": [
    {
      "host": "entry-2",
      "rejection": "",
      "version": "0"
    }
  ],
  "everywhere": false,
  "in-force": 1,
  "live-hosts": 2,
  "version": "5"
}
`, ""},
		{"hosts", `HOST     REGION      DOMAIN   PEER ADDRESS    STATE  SEEN        CONFIG  REJECTED  ASSIGNER OF
entry-1  montevideo  centro   127.0.0.1:7001  live   TIME      5       -         catalogue
entry-2  montevideo  cerro    127.0.0.1:7002  live   TIME    0       -         -
entry-3  montevideo  pocitos  127.0.0.1:7003  lost   TIME  0       -         -
`, ""},
		{"upstreams --service catalogue", `SERVICE    UPSTREAM      DOMAIN  ADDRESS         GUARD   STATE    DRAINED  IN FLIGHT  QUEUED  LIMIT  PARTITIONS
catalogue  catalogue-01  centro  127.0.0.1:9101  fenced  healthy  false    3          1       6      2
catalogue  catalogue-02  cerro   127.0.0.1:9102  fenced  healthy  true     3          1       6      2
`, ""},
		{"partitions", `SERVICE    PARTITION  OWNER         STANDBY       FENCE  MOVING
catalogue  0          catalogue-01  catalogue-02  2.1    false
catalogue  1          catalogue-02  catalogue-01  2.2    false
catalogue  2          catalogue-01  -             4.8    true
catalogue  3          -             catalogue-01  4.9    false
`, ""},
		{"partitions --service catalogue --owner catalogue-01 --limit 1", `SERVICE    PARTITION  OWNER         STANDBY       FENCE  MOVING
catalogue  0          catalogue-01  catalogue-02  2.1    false
1 of 2 partitions
`, ""},
		{"partitions --unsettled", `SERVICE    PARTITION  OWNER         STANDBY       FENCE  MOVING
catalogue  2          catalogue-01  -             4.8    true
catalogue  3          -             catalogue-01  4.9    false
`, ""},
		{"owner catalogue k1", `SERVICE    PARTITION  OWNER  STANDBY       FENCE  MOVING  DEDICATED  KEY HASH
catalogue  3          -      catalogue-01  4.9    false   false      dfa4515ddff407d3
`, ""},
		{"records --cause no-owner", `RECEIVED                  REQUEST  SERVICE    TENANT       OUTCOME  CAUSE     TOTAL  ATTEMPTS
TIME  r-1      catalogue  technicians  not-run  no-owner  750ms  2
`, ""},
		{"explain r-1", `request:   r-1
outcome:   not-run
cause:     no-owner (no server owned the key within the deadline; see partitions of the service)
detail:    no newer map came within the deadline
received:  TIME on entry-1
took:      750ms, of which 250µs in the queue
service:   catalogue, tenant technicians, configuration 1
key hash:  0000000000000abc in partition 2 by fence 4.8
attempt 1: catalogue-01 after 1ms, took 1.2ms: not-owner
attempt 2: catalogue-02 after 20ms, took 1.2ms: not-owner
found in:  the memory of another daemon
`, ""},
	} {
		t.Run(test.line, func(t *testing.T) {
			is := is.New(t)
			code, out, errs := s.run(t.Context(), "operate", test.line)
			is.Equal(out, test.out)
			is.Equal(errs, test.errs)
			is.Equal(code, cli.ExitOK)
		})
	}
}

// Guards against exit codes by which a script takes one failure for another, and against messages without the reason.
func TestExitCodes(t *testing.T) {
	s := newSession(t)
	code, _, errs := s.run(t.Context(), "operate", "config apply FILE --expected-version 0")
	is.New(t).Equal(errs, "")
	is.New(t).Equal(code, cli.ExitOK)
	faulty := filepath.Join(t.TempDir(), "faulty.toml")
	is.New(t).NoErr(os.WriteFile(faulty, []byte("colour = 1\n"), 0o600))
	for _, test := range []struct {
		role, line string
		code       cli.ExitCode
		message    string
	}{
		{"operate", "config apply FILE --expected-version 0", cli.ExitConflict, "version 1 by ana of TIME is in place"},
		{"operate", "config apply " + faulty + " --expected-version 1", cli.ExitUsage, "faulty.toml:1: colour: unknown key"},
		{"operate", "config apply FILE", cli.ExitUsage, "--expected-version is required"},
		{"operate", "config apply absent.toml --expected-version 1", cli.ExitFailure, "no such file"},
		{"", "config check " + faulty, cli.ExitUsage, "faulty.toml:1: colour: unknown key"},
		{"read", "config check " + faulty, cli.ExitUsage, "faulty.toml:1: colour: unknown key"},
		{"read", "config check --output json " + faulty, cli.ExitUsage, "faulty.toml:1: colour: unknown key"},
		{"", "config", cli.ExitUsage, "expected a command"},
		{"read", "config diff", cli.ExitUsage, "either FILE or --with"},
		{"read", "config get --version 9", cli.ExitNotFound, "no version 9"},
		{"read", "config apply FILE --expected-version 1", cli.ExitDenied, "the call needs \"operate\""},
		{"none", "hosts", cli.ExitDenied, "neither the role"},
		{"read", "hosts --output xml", cli.ExitUsage, "expected table or json"},
		{"read", "owner catalogue", cli.ExitUsage, "accepts 2 arg(s)"},
		{"read", "owner orders k1", cli.ExitNotFound, "no service with partitions orders"},
		{"read", "records --cause bad-luck", cli.ExitUsage, "bad-luck"},
		{"read", "explain r-9", cli.ExitNotFound, "no record of the request"},
		{"read", "explain r-9 --at yesterday", cli.ExitUsage, "expected a time such as"},
		{"read", "hosts --timeout 0s", cli.ExitUsage, "expected a duration above 0s"},
		{"operate", "unpin catalogue k9", cli.ExitNotFound, "no pin of key \"k9\" of catalogue"},
		{"", "hosts", cli.ExitUsage, "--server is required"},
		{"", "hosts --server 127.0.0.1", cli.ExitUsage, "expected host:port"},
		{"", "hosts --server 127.0.0.1:1", cli.ExitUsage, "--certificate is required"},
		{"", "hosts --server 127.0.0.1:1 --certificate absent.pem --key k.pem --authority a.pem", cli.ExitFailure, "load certificate"},
		{
			"read", "config status --wait --timeout 300ms", cli.ExitFailure,
			"version 1 is in force on 1 of 2 live hosts after 300ms",
		},
	} {
		t.Run(test.role+" "+test.line, func(t *testing.T) {
			is := is.New(t)
			code, _, errs := s.run(t.Context(), test.role, test.line)
			is.Equal(code, test.code)
			is.True(strings.Contains(errs, test.message))
		})
	}
}

// Guards against a search that finds nothing and hides where it could not look.
func TestExplainNamesGaps(t *testing.T) {
	is := is.New(t)
	_, out, _ := newSession(t).run(t.Context(), "read", "explain r-9")
	is.Equal(out, `no record of request r-9
searched:  hosts, and 12 batches back to TIME
not asked: entry-3
not read:  the object store: context deadline exceeded
dropped:   hosts dropped 5 records while the object store was unavailable
A request that ran as expected and in time leaves no record.
`)
}

// Guards against an explanation that does not fit one screen.
func TestExplainFitsOneScreen(t *testing.T) {
	is := is.New(t)
	s := newSession(t)
	record := standin.RejectedRecord("r-1")
	for range 5 {
		record.Attempts = append(record.Attempts, record.Attempts...)
	}
	for range 10 {
		s.fleet.Ring.Add(record)
	}
	code, out, _ := s.run(t.Context(), "read", "explain r-1")
	is.Equal(code, cli.ExitOK)
	is.True(strings.Count(out, "\n") <= 24)
}

// Guards against a command that gives up although another daemon is up, or that goes on to another daemon after one has
// answered.
func TestNextServer(t *testing.T) {
	is := is.New(t)
	s := newSession(t)
	paused, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never answers, like a paused daemon
	is.NoErr(err)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(closed.Close())
	code, out, errs := s.run(t.Context(), "read", "hosts --server "+closed.Addr().String()+" --server "+paused.Addr().String())
	is.Equal(code, cli.ExitOK)
	is.True(strings.Contains(out, "entry-1"))
	is.Equal(strings.Count(errs, "is unreachable, trying"), 2)
	is.NoErr(paused.Close())
	code, _, errs = s.run(t.Context(), "", "hosts --server "+closed.Addr().String()+" "+strings.Join(s.files["read"], " "))
	is.Equal(code, cli.ExitUnreachable)
	is.True(strings.Contains(errs, "no daemon can be reached"))
	s.fleet.Table.InjectFaults([]standin.Fault{standin.Unavailable}, nil)
	code, _, errs = s.run(t.Context(), "operate", "config apply FILE --expected-version 0 --server "+s.address)
	is.Equal(code, cli.ExitUnreachable)
	is.True(!strings.Contains(errs, "trying"))
}

// Guards against a wait that does not show its progress, or does not end once the version is in force everywhere.
func TestApplyAndWait(t *testing.T) {
	is := is.New(t)
	s := newSession(t)
	go func() {
		_ = timer.Wait(t.Context(), timer.System{}, 300*time.Millisecond)
		s.fleet.SetVersion("entry-2", 1)
	}()
	code, out, errs := s.run(t.Context(), "operate", "config apply - --expected-version 0 --wait")
	is.Equal(code, cli.ExitOK)
	is.Equal(out, "stored version 1 by ana of TIME\nversion 1 is in force on 2 of 2 live hosts\n")
	is.Equal(errs, "version 1 is in force on 1 of 2 live hosts\nversion 1 is in force on 2 of 2 live hosts\n")
}

// Guards against a command that a signal does not end, and against one that is silent while it waits.
func TestInterruption(t *testing.T) {
	is := is.New(t)
	s := newSession(t)
	s.fleet.Table.InjectFaults(nil, []standin.Fault{standin.Hang})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		_ = timer.Wait(t.Context(), timer.System{}, 2500*time.Millisecond)
		cancel()
	}()
	started := time.Now()
	code, _, errs := s.run(ctx, "read", "config get --timeout 1m")
	is.Equal(code, cli.ExitFailure)
	is.Equal(errs, "waiting for "+s.address+"\nrosemarywick: interrupted\n")
	is.True(time.Since(started) < 4*time.Second)
}
