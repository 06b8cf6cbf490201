package rpc_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/operator/api"
	"rosemarywick.example/rosemarywick/internal/operator/api/apiconnect"
	"rosemarywick.example/rosemarywick/internal/operator/config"
	"rosemarywick.example/rosemarywick/internal/operator/rpc"
	"rosemarywick.example/rosemarywick/internal/operator/standin"
)

// Guards against goroutines and connections that outlive a server.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// logs collects the lines of a daemon's log.
type logs struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logs) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *logs) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// serve runs a server until the test ends and returns its address.
func serve(t *testing.T, server *rpc.Server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("stop: %v", err)
		}
	})
	return listener.Addr().String()
}

// connected returns a client that shows the certificates to the daemon.
func connected(
	t *testing.T, authority *standin.Authority, address string, certificates ...tls.Certificate,
) (apiconnect.OperatorServiceClient, *http.Client) {
	t.Helper()
	transport := &http.Transport{
		ForceAttemptHTTP2: true, TLSClientConfig: &tls.Config{RootCAs: authority.Pool(), Certificates: certificates},
	}
	t.Cleanup(transport.CloseIdleConnections)
	client := &http.Client{Transport: transport}
	return apiconnect.NewOperatorServiceClient(client, "https://"+address), client
}

// operator returns a client with the role operate of a daemon of the fleet.
func operator(t *testing.T, fleet *standin.Fleet) apiconnect.OperatorServiceClient {
	t.Helper()
	authority := standin.NewAuthority(t)
	address := serve(t, fleet.NewServer(t, authority, zerolog.Nop()))
	client, _ := connected(t, authority, address, authority.Issue(t, "ana", time.Now().Add(time.Hour), "operate"))
	return client
}

// Guards against calls without the right certificate that are carried out, or rejected without a line in the log.
func TestAuthorization(t *testing.T) {
	authority, stranger := standin.NewAuthority(t), standin.NewAuthority(t)
	later := time.Now().Add(time.Hour)
	for _, test := range []struct {
		name         string
		certificates []tls.Certificate
		read, change connect.Code
		subject      string
	}{
		{"no certificate", nil, connect.CodeUnauthenticated, connect.CodeUnauthenticated, "subject="},
		{
			"other authority",
			[]tls.Certificate{stranger.Issue(t, "eve", later, "operate")},
			connect.CodeUnauthenticated, connect.CodeUnauthenticated, "subject=eve",
		},
		{
			"expired",
			[]tls.Certificate{authority.Issue(t, "old", time.Now().Add(-time.Hour), "operate")},
			connect.CodeUnauthenticated, connect.CodeUnauthenticated, "subject=old",
		},
		{
			"no role",
			[]tls.Certificate{authority.Issue(t, "eve", later, "operator", "Read")},
			connect.CodePermissionDenied, connect.CodePermissionDenied, "subject=eve",
		},
		{"role read", []tls.Certificate{authority.Issue(t, "bea", later, "read")}, 0, connect.CodePermissionDenied, "subject=bea"},
		{"role operate", []tls.Certificate{authority.Issue(t, "ana", later, "operate")}, 0, 0, ""},
		{"both roles", []tls.Certificate{authority.Issue(t, "ana", later, "read", "operate")}, 0, 0, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var fleet standin.Fleet
			var lines logs
			address := serve(t, fleet.NewServer(t, authority, zerolog.New(zerolog.ConsoleWriter{Out: &lines, NoColor: true})))
			client, _ := connected(t, authority, address, test.certificates...)
			_, err := client.ListHosts(t.Context(), connect.NewRequest(&api.ListHostsRequest{}))
			is.Equal(code(err), test.read)
			_, err = client.ApplyConfig(t.Context(), connect.NewRequest(&api.ApplyConfigRequest{Text: standin.Document}))
			is.Equal(code(err), test.change)
			is.Equal(fleet.Table.Len() == 0, test.change != 0)
			rejected := strings.Count(lines.String(), "operator call rejected")
			is.Equal(rejected, map[bool]int{true: 1}[test.read != 0]+map[bool]int{true: 1}[test.change != 0])
			is.True(rejected == 0 || strings.Contains(lines.String(), test.subject))
			is.True(rejected == 0 || strings.Contains(lines.String(), "call="+apiconnect.OperatorServiceApplyConfigProcedure))
		})
	}
}

// code returns the code of an error, and zero for none.
func code(err error) connect.Code {
	if err == nil {
		return 0
	}
	return connect.CodeOf(err)
}

// Guards against a role that permits calls which it should not, for each call of the service.
func TestReadRoleChangesNothing(t *testing.T) {
	authority := standin.NewAuthority(t)
	var fleet standin.Fleet
	address := serve(t, fleet.NewServer(t, authority, zerolog.Nop()))
	_, client := connected(t, authority, address, authority.Issue(t, "bea", time.Now().Add(time.Hour), "read"))
	methods := api.File_operator_api_operator_proto.Services().Get(0).Methods()
	for i := range methods.Len() {
		name := string(methods.Get(i).Name())
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			response, err := client.Post("https://"+address+"/"+apiconnect.OperatorServiceName+"/"+name, "application/json",
				strings.NewReader("{}"))
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			changes := !strings.HasPrefix(name, "List") && !strings.HasPrefix(name, "Get") && !strings.HasPrefix(name, "Check") &&
				!strings.HasPrefix(name, "Diff") && !strings.HasSuffix(name, "Status") && name != "OwnerOf" &&
				name != "Explain" && name != "RecentRecords"
			is.Equal(response.StatusCode == http.StatusForbidden, changes)
		})
	}
}

// Guards against metrics and unknown paths that are served without a certificate.
func TestOtherPaths(t *testing.T) {
	authority := standin.NewAuthority(t)
	var fleet standin.Fleet
	server := fleet.NewServer(t, authority, zerolog.Nop())
	server.Metrics = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	address := serve(t, server)
	for _, test := range []struct {
		path, role string
		want       int
	}{
		{"/metrics", "read", http.StatusOK},
		{"/metrics", "none", http.StatusForbidden},
		{"/", "read", http.StatusForbidden},
		{"/", "operate", http.StatusNotFound},
	} {
		is := is.New(t)
		_, client := connected(t, authority, address, authority.Issue(t, "bea", time.Now().Add(time.Hour), test.role))
		response, err := client.Get("https://" + address + test.path)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, test.want)
	}
}

// Guards against errors whose code makes a client do the wrong thing.
func TestErrorCodes(t *testing.T) {
	type calls = apiconnect.OperatorServiceClient
	apply := func(expected uint64, text string) func(context.Context, calls) error {
		return func(ctx context.Context, client calls) error {
			_, err := client.ApplyConfig(ctx, connect.NewRequest(&api.ApplyConfigRequest{ExpectedVersion: expected, Text: text}))
			return err
		}
	}
	explain := func(ctx context.Context, client calls) error {
		_, err := client.Explain(ctx, connect.NewRequest(&api.ExplainRequest{}))
		return err
	}
	recent := func(request *api.RecentRecordsRequest) func(context.Context, calls) error {
		return func(ctx context.Context, client calls) error {
			_, err := client.RecentRecords(ctx, connect.NewRequest(request))
			return err
		}
	}
	partitions := func(request *api.ListPartitionsRequest) func(context.Context, calls) error {
		return func(ctx context.Context, client calls) error {
			_, err := client.ListPartitions(ctx, connect.NewRequest(request))
			return err
		}
	}
	down, lost := []standin.Fault{standin.Unavailable}, []standin.Fault{standin.LostResponse, standin.Unavailable, standin.Unavailable, standin.Unavailable}
	var reads []standin.Fault
	for range 100 {
		reads = append(reads, standin.Unavailable)
	}
	for _, test := range []struct {
		name           string
		call           func(context.Context, calls) error
		commits, reads []standin.Fault
		want           connect.Code
		message        string
	}{
		{"unparseable document", apply(1, "[["), nil, nil, connect.CodeInvalidArgument, "document:1: "},
		{"too large a document", apply(1, strings.Repeat("#", config.MaxDocumentBytes+1)), nil, nil, connect.CodeInvalidArgument, "at most"},
		{"too large a message", apply(1, strings.Repeat("#", 5*config.MaxDocumentBytes)), nil, nil, connect.CodeResourceExhausted, "larger"},
		{"old version", apply(0, standin.Document), nil, nil, connect.CodeAborted, "version 1 by ana of"},
		{"table down", apply(1, standin.Document), down, nil, connect.CodeUnavailable, "nothing was changed"},
		{"table hangs", apply(1, standin.Document), nil, []standin.Fault{standin.Hang}, connect.CodeUnavailable, "nothing"},
		{"response lost", apply(1, standin.Document), lost, append([]standin.Fault{standin.NoFault}, reads...), connect.CodeUnknown, "may or may not"},
		{"write hangs", apply(1, standin.Document), []standin.Fault{standin.Hang}, nil, connect.CodeUnknown, "may or may not"},
		{"no request", explain, nil, nil, connect.CodeInvalidArgument, "request_id"},
		{"unknown cause", recent(&api.RecentRecordsRequest{Cause: "bad-luck"}), nil, nil, connect.CodeInvalidArgument, "bad-luck"},
		{"too many records", recent(&api.RecentRecordsRequest{Limit: 1001}), nil, nil, connect.CodeInvalidArgument, "at most 1000"},
		{"unknown service", partitions(&api.ListPartitionsRequest{Service: "x"}), nil, nil, connect.CodeNotFound, "partitions x"},
		{"too many partitions", partitions(&api.ListPartitionsRequest{Limit: 65537}), nil, nil, connect.CodeInvalidArgument, "at most"},
		{"unknown version", func(ctx context.Context, client calls) error {
			_, err := client.GetConfig(ctx, connect.NewRequest(&api.GetConfigRequest{Version: 9}))
			return err
		}, nil, nil, connect.CodeNotFound, "version 9"},
		{"nothing to compare", func(ctx context.Context, client calls) error {
			_, err := client.DiffConfig(ctx, connect.NewRequest(&api.DiffConfigRequest{}))
			return err
		}, nil, nil, connect.CodeInvalidArgument, "to compare with"},
		{"unknown upstream", func(ctx context.Context, client calls) error {
			_, err := client.DrainUpstream(ctx, connect.NewRequest(&api.DrainUpstreamRequest{Upstream: "x"}))
			return err
		}, nil, nil, connect.CodeNotFound, "upstream x"},
		{"no key", func(ctx context.Context, client calls) error {
			_, err := client.OwnerOf(ctx, connect.NewRequest(&api.OwnerOfRequest{Service: "catalogue"}))
			return err
		}, nil, nil, connect.CodeInvalidArgument, "a key"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var fleet standin.Fleet
			client := operator(t, &fleet)
			is.NoErr(apply(0, standin.Document)(t.Context(), client))
			fleet.Table.InjectFaults(test.commits, test.reads)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			err := test.call(ctx, client)
			is.Equal(code(err), test.want)
			is.True(strings.Contains(err.Error(), test.message))
		})
	}
}

// Guards against a conflict that does not name the winner, and against two operators who both win through two daemons.
func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	authority := standin.NewAuthority(t)
	var fleet standin.Fleet
	names := []string{"ana", "bea"}
	results := make([]error, len(names))
	var done sync.WaitGroup
	for i, name := range names {
		address := serve(t, fleet.NewServer(t, authority, zerolog.Nop()))
		client, _ := connected(t, authority, address, authority.Issue(t, name, time.Now().Add(time.Hour), "operate"))
		done.Go(func() {
			_, results[i] = client.ApplyConfig(t.Context(), connect.NewRequest(&api.ApplyConfigRequest{Text: standin.Document}))
		})
	}
	done.Wait()
	winner := 0
	if results[0] != nil {
		winner = 1
	}
	is.NoErr(results[winner])
	var lost *connect.Error
	is.True(errors.As(results[1-winner], &lost))
	is.Equal(lost.Code(), connect.CodeAborted)
	is.Equal(len(lost.Details()), 1)
	value, err := lost.Details()[0].Value()
	is.NoErr(err)
	conflict, _ := value.(*api.ConflictDetail)
	is.Equal(conflict.GetAuthor(), names[winner])
	is.Equal(conflict.GetVersion(), uint64(1))
	is.True(conflict.GetTime().IsValid())
}

// Guards against an author who can be invented without a trace of the certificate.
func TestAuthor(t *testing.T) {
	for stated, want := range map[string]string{"": "ana", "ana": "ana", "deploy 7": "deploy 7 (certificate of ana)"} {
		is := is.New(t)
		var fleet standin.Fleet
		response, err := operator(t, &fleet).ApplyConfig(t.Context(),
			connect.NewRequest(&api.ApplyConfigRequest{Text: standin.Document, Author: stated}))
		is.NoErr(err)
		is.Equal(response.Msg.GetRevision().GetAuthor(), want)
	}
}

// Guards against a status stream that ends before the version is in force everywhere, misses a step or outlives the
// daemon.
func TestWatchConfigStatus(t *testing.T) {
	is := is.New(t)
	var fleet standin.Fleet
	client := operator(t, &fleet)
	_, err := client.ApplyConfig(t.Context(), connect.NewRequest(&api.ApplyConfigRequest{Text: standin.Document}))
	is.NoErr(err)
	stream, err := client.WatchConfigStatus(t.Context(), connect.NewRequest(&api.WatchConfigStatusRequest{}))
	is.NoErr(err)
	is.True(stream.Receive())
	is.Equal(stream.Msg().GetStatus().GetInForce(), uint32(1))
	is.Equal(stream.Msg().GetStatus().GetLiveHosts(), uint32(2)) // the lost host does not count
	is.Equal(stream.Msg().GetStatus().GetBehind()[0].GetHost(), "entry-2")
	fleet.SetVersion("entry-2", 4) // a higher version counts
	is.True(stream.Receive())
	is.True(stream.Msg().GetStatus().GetEverywhere())
	is.True(!stream.Receive())
	is.NoErr(stream.Err())
	is.NoErr(stream.Close())
}

// Guards against a stop that waits for a stream which would never end, or cuts it without a reason.
func TestStopEndsStreams(t *testing.T) {
	is := is.New(t)
	authority := standin.NewAuthority(t)
	var fleet standin.Fleet
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- fleet.NewServer(t, authority, zerolog.Nop()).Serve(ctx, listener) }()
	client, _ := connected(t, authority, listener.Addr().String(), authority.Issue(t, "bea", time.Now().Add(time.Hour), "read"))
	stream, err := client.WatchConfigStatus(t.Context(), connect.NewRequest(&api.WatchConfigStatusRequest{Version: 3}))
	is.NoErr(err)
	is.True(stream.Receive())
	started := timer.System{}.Now()
	cancel()
	is.True(!stream.Receive())
	is.Equal(code(stream.Err()), connect.CodeUnavailable)
	is.NoErr(<-done)
	is.True(timer.System{}.Now().Sub(started) < time.Second)
}
