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

// logBuffer collects the log lines of a daemon. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *logBuffer) String() string {
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

// newClient returns an API client that authenticates with the certificates, and its HTTP client.
func newClient(
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

// newOperatorClient starts a daemon of the fleet and returns a client with the role operate.
func newOperatorClient(t *testing.T, fleet *standin.Fleet) apiconnect.OperatorServiceClient {
	t.Helper()
	authority := standin.NewAuthority(t)
	address := serve(t, fleet.NewServer(t, authority, zerolog.Nop()))
	client, _ := newClient(t, authority, address, authority.Issue(t, "ana", time.Now().Add(time.Hour), "operate"))
	return client
}

// Guards against executing calls whose certificate does not permit them, and against rejections that are not logged.
func TestAuthorization(t *testing.T) {
	authority, otherAuthority := standin.NewAuthority(t), standin.NewAuthority(t)
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
			[]tls.Certificate{otherAuthority.Issue(t, "eve", later, "operate")},
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
			var logged logBuffer
			address := serve(t, fleet.NewServer(t, authority, zerolog.New(zerolog.ConsoleWriter{Out: &logged, NoColor: true})))
			client, _ := newClient(t, authority, address, test.certificates...)
			_, err := client.ListHosts(t.Context(), connect.NewRequest(&api.ListHostsRequest{}))
			is.Equal(codeOf(err), test.read)
			_, err = client.ApplyConfig(t.Context(), connect.NewRequest(&api.ApplyConfigRequest{Text: standin.Document}))
			is.Equal(codeOf(err), test.change)
			is.Equal(fleet.Table.Len() == 0, test.change != 0)
			rejected := strings.Count(logged.String(), "operator call rejected")
			is.Equal(rejected, map[bool]int{true: 1}[test.read != 0]+map[bool]int{true: 1}[test.change != 0])
			is.True(rejected == 0 || strings.Contains(logged.String(), test.subject))
			is.True(rejected == 0 || strings.Contains(logged.String(), "call="+apiconnect.OperatorServiceApplyConfigProcedure))
		})
	}
}

// codeOf returns the code of an error, or zero for nil.
func codeOf(err error) connect.Code {
	if err == nil {
		return 0
	}
	return connect.CodeOf(err)
}

// Guards against a writing call that the role read permits. The test sends each call of the service with that role; only calls
// whose names mark them as reading may be permitted, so that a new call is covered, too.
func TestReadRoleCannotWrite(t *testing.T) {
	authority := standin.NewAuthority(t)
	var fleet standin.Fleet
	address := serve(t, fleet.NewServer(t, authority, zerolog.Nop()))
	_, client := newClient(t, authority, address, authority.Issue(t, "bea", time.Now().Add(time.Hour), "read"))
	methods := api.File_operator_api_operator_proto.Services().Get(0).Methods()
	for i := range methods.Len() {
		name := string(methods.Get(i).Name())
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			response, err := client.Post("https://"+address+"/"+apiconnect.OperatorServiceName+"/"+name, "application/json",
				strings.NewReader("{}"))
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			writes := !strings.HasPrefix(name, "List") && !strings.HasPrefix(name, "Get") && !strings.HasPrefix(name, "Check") &&
				!strings.HasPrefix(name, "Diff") && !strings.HasSuffix(name, "Status") && name != "OwnerOf" &&
				name != "Explain" && name != "RecentRecords"
			is.Equal(response.StatusCode == http.StatusForbidden, writes)
		})
	}
}

// Guards against serving metrics or unknown paths to a certificate without the required role.
func TestMetricsAndUnknownPaths(t *testing.T) {
	authority := standin.NewAuthority(t)
	var fleet standin.Fleet
	server := fleet.NewServer(t, authority, zerolog.Nop())
	server.Metrics = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	address := serve(t, server)
	for _, test := range []struct {
		path, role string
		wantStatus int
	}{
		{"/metrics", "read", http.StatusOK},
		{"/metrics", "none", http.StatusForbidden},
		{"/", "read", http.StatusForbidden},
		{"/", "operate", http.StatusNotFound},
	} {
		is := is.New(t)
		_, client := newClient(t, authority, address, authority.Issue(t, "bea", time.Now().Add(time.Hour), test.role))
		response, err := client.Get("https://" + address + test.path)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, test.wantStatus)
	}
}

// Guards against error codes from which a client draws the wrong conclusion, such as that nothing was changed.
func TestErrorCodes(t *testing.T) {
	type apiClient = apiconnect.OperatorServiceClient
	apply := func(expected uint64, text string) func(context.Context, apiClient) error {
		return func(ctx context.Context, client apiClient) error {
			_, err := client.ApplyConfig(ctx, connect.NewRequest(&api.ApplyConfigRequest{ExpectedVersion: expected, Text: text}))
			return err
		}
	}
	explain := func(ctx context.Context, client apiClient) error {
		_, err := client.Explain(ctx, connect.NewRequest(&api.ExplainRequest{}))
		return err
	}
	recent := func(request *api.RecentRecordsRequest) func(context.Context, apiClient) error {
		return func(ctx context.Context, client apiClient) error {
			_, err := client.RecentRecords(ctx, connect.NewRequest(request))
			return err
		}
	}
	partitions := func(request *api.ListPartitionsRequest) func(context.Context, apiClient) error {
		return func(ctx context.Context, client apiClient) error {
			_, err := client.ListPartitions(ctx, connect.NewRequest(request))
			return err
		}
	}
	unavailable, responseLost := []standin.Fault{standin.Unavailable},
		[]standin.Fault{standin.LostResponse, standin.Unavailable, standin.Unavailable, standin.Unavailable}
	var readFaults []standin.Fault
	for range 100 {
		readFaults = append(readFaults, standin.Unavailable)
	}
	for _, test := range []struct {
		name           string
		call           func(context.Context, apiClient) error
		commits, reads []standin.Fault
		want           connect.Code
		message        string
	}{
		{"unparseable document", apply(1, "[["), nil, nil, connect.CodeInvalidArgument, "document:1: "},
		{
			"document too large", apply(1, strings.Repeat("#", config.MaxDocumentBytes+1)), nil, nil,
			connect.CodeInvalidArgument, "at most",
		},
		{
			"message too large", apply(1, strings.Repeat("#", 5*config.MaxDocumentBytes)), nil, nil,
			connect.CodeResourceExhausted, "larger",
		},
		{"outdated version", apply(0, standin.Document), nil, nil, connect.CodeAborted, "version 1 by ana of"},
		{"table unavailable", apply(1, standin.Document), unavailable, nil, connect.CodeUnavailable, "nothing was changed"},
		{"table hangs", apply(1, standin.Document), nil, []standin.Fault{standin.Hang}, connect.CodeUnavailable, "nothing"},
		{
			"response lost", apply(1, standin.Document), responseLost, append([]standin.Fault{standin.NoFault}, readFaults...),
			connect.CodeUnknown, "may or may not",
		},
		{"write hangs", apply(1, standin.Document), []standin.Fault{standin.Hang}, nil, connect.CodeUnknown, "may or may not"},
		{"no request id", explain, nil, nil, connect.CodeInvalidArgument, "request_id"},
		{"unknown cause", recent(&api.RecentRecordsRequest{Cause: "bad-luck"}), nil, nil, connect.CodeInvalidArgument, "bad-luck"},
		{"too many records", recent(&api.RecentRecordsRequest{Limit: 1001}), nil, nil, connect.CodeInvalidArgument, "at most 1000"},
		{"unknown service", partitions(&api.ListPartitionsRequest{Service: "x"}), nil, nil, connect.CodeNotFound, "partitions x"},
		{"too many partitions", partitions(&api.ListPartitionsRequest{Limit: 65537}), nil, nil, connect.CodeInvalidArgument, "at most"},
		{"unknown version", func(ctx context.Context, client apiClient) error {
			_, err := client.GetConfig(ctx, connect.NewRequest(&api.GetConfigRequest{Version: 9}))
			return err
		}, nil, nil, connect.CodeNotFound, "version 9"},
		{"nothing to compare with", func(ctx context.Context, client apiClient) error {
			_, err := client.DiffConfig(ctx, connect.NewRequest(&api.DiffConfigRequest{}))
			return err
		}, nil, nil, connect.CodeInvalidArgument, "to compare with"},
		{"unknown upstream", func(ctx context.Context, client apiClient) error {
			_, err := client.DrainUpstream(ctx, connect.NewRequest(&api.DrainUpstreamRequest{Upstream: "x"}))
			return err
		}, nil, nil, connect.CodeNotFound, "upstream x"},
		{"no key", func(ctx context.Context, client apiClient) error {
			_, err := client.OwnerOf(ctx, connect.NewRequest(&api.OwnerOfRequest{Service: "catalogue"}))
			return err
		}, nil, nil, connect.CodeInvalidArgument, "a key"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var fleet standin.Fleet
			client := newOperatorClient(t, &fleet)
			is.NoErr(apply(0, standin.Document)(t.Context(), client))
			fleet.Table.InjectFaults(test.commits, test.reads)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			err := test.call(ctx, client)
			is.Equal(codeOf(err), test.want)
			is.True(strings.Contains(err.Error(), test.message))
		})
	}
}

// Guards against two concurrent changes through two daemons that both succeed, and against a conflict whose detail does not
// name the author of the change that succeeded.
func TestConcurrentApply(t *testing.T) {
	is := is.New(t)
	authority := standin.NewAuthority(t)
	var fleet standin.Fleet
	names := []string{"ana", "bea"}
	results := make([]error, len(names))
	var done sync.WaitGroup
	for i, name := range names {
		address := serve(t, fleet.NewServer(t, authority, zerolog.Nop()))
		client, _ := newClient(t, authority, address, authority.Issue(t, name, time.Now().Add(time.Hour), "operate"))
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
	var rejected *connect.Error
	is.True(errors.As(results[1-winner], &rejected))
	is.Equal(rejected.Code(), connect.CodeAborted)
	is.Equal(len(rejected.Details()), 1)
	value, err := rejected.Details()[0].Value()
	is.NoErr(err)
	conflict, _ := value.(*api.ConflictDetail)
	is.Equal(conflict.GetAuthor(), names[winner])
	is.Equal(conflict.GetVersion(), uint64(1))
	is.True(conflict.GetTime().IsValid())
}

// Guards against an author name that a client can choose without the subject of its certificate being recorded.
func TestAuthorName(t *testing.T) {
	for stated, want := range map[string]string{"": "ana", "ana": "ana", "deploy 7": "deploy 7 (certificate of ana)"} {
		is := is.New(t)
		var fleet standin.Fleet
		response, err := newOperatorClient(t, &fleet).ApplyConfig(t.Context(),
			connect.NewRequest(&api.ApplyConfigRequest{Text: standin.Document, Author: stated}))
		is.NoErr(err)
		is.Equal(response.Msg.GetRevision().GetAuthor(), want)
	}
}

// Guards against a status stream that ends before the version is in force on all live hosts, misses a change or does not end
// afterwards.
func TestWatchConfigStatus(t *testing.T) {
	is := is.New(t)
	var fleet standin.Fleet
	client := newOperatorClient(t, &fleet)
	_, err := client.ApplyConfig(t.Context(), connect.NewRequest(&api.ApplyConfigRequest{Text: standin.Document}))
	is.NoErr(err)
	stream, err := client.WatchConfigStatus(t.Context(), connect.NewRequest(&api.WatchConfigStatusRequest{}))
	is.NoErr(err)
	is.True(stream.Receive())
	is.Equal(stream.Msg().GetStatus().GetInForce(), uint32(1))
	is.Equal(stream.Msg().GetStatus().GetLiveHosts(), uint32(2)) // entry-3 is lost and does not count
	is.Equal(stream.Msg().GetStatus().GetBehind()[0].GetHost(), "entry-2")
	fleet.SetVersion("entry-2", 4) // a higher version counts as in force, too
	is.True(stream.Receive())
	is.True(stream.Msg().GetStatus().GetEverywhere())
	is.True(!stream.Receive())
	is.NoErr(stream.Err())
	is.NoErr(stream.Close())
}

// Guards against a shutdown that waits for an open stream until the timeout, or ends the stream without an error code.
func TestShutdownEndsStreams(t *testing.T) {
	is := is.New(t)
	authority := standin.NewAuthority(t)
	var fleet standin.Fleet
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- fleet.NewServer(t, authority, zerolog.Nop()).Serve(ctx, listener) }()
	client, _ := newClient(t, authority, listener.Addr().String(), authority.Issue(t, "bea", time.Now().Add(time.Hour), "read"))
	stream, err := client.WatchConfigStatus(t.Context(), connect.NewRequest(&api.WatchConfigStatusRequest{Version: 3}))
	is.NoErr(err)
	is.True(stream.Receive())
	started := timer.System{}.Now()
	cancel()
	is.True(!stream.Receive())
	is.Equal(codeOf(stream.Err()), connect.CodeUnavailable)
	is.NoErr(<-done)
	is.True(timer.System{}.Now().Sub(started) < time.Second)
}
