package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"rosemarywick.example/rosemarywick/internal/operator/api/apiconnect"
)

const (
	// defaultTimeout is the default time limit of a command. It allows for a slow table service, which takes seconds to respond.
	defaultTimeout = 10 * time.Second
	// waitTimeout is the default time limit for a change to be in force on all live hosts. The design allows 14 s for that.
	waitTimeout = time.Minute
	// dialTimeout limits one connection attempt, so that an unreachable host leaves time to try the next one.
	dialTimeout = 2 * time.Second
	// progressInterval is the interval at which a command that waits for a daemon says so on standard error.
	progressInterval = 2 * time.Second
	// maxResponseBytes is the size of the largest response that a daemon sends.
	maxResponseBytes = 16 << 20
)

// remoteFlags holds the flags of commands that call a daemon.
type remoteFlags struct {
	servers     []string
	certificate string
	key         string
	authority   string
	timeout     time.Duration
	output      choiceFlag
}

// daemonClient calls daemons on behalf of one command and prints the results.
type daemonClient struct {
	remoteFlags

	root  *Root
	flags *pflag.FlagSet
}

// daemonCall sends the requests of a command to one daemon.
type daemonCall func(ctx context.Context, client apiconnect.OperatorServiceClient) error

// addRemoteFlags adds the flags for calling a daemon to a command. It returns a client that uses their values.
func (r *Root) addRemoteFlags(command *cobra.Command) *daemonClient {
	flags := command.Flags()
	c := &daemonClient{root: r, flags: flags}
	c.output = choiceFlag{value: outputTable, allowed: []string{outputTable, outputJSON}}
	flags.StringArrayVar(&c.servers, "server", nil,
		"`host:port` of a daemon's operator API; repeat it to name others that are tried if one is unreachable")
	flags.StringVar(&c.certificate, "certificate", "", "`file` of the client certificate (PEM)")
	flags.StringVar(&c.key, "key", "", "`file` of the certificate's private key (PEM)")
	flags.StringVar(&c.authority, "authority", "", "`file` of the authorities that sign daemons' certificates (PEM)")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "time limit of the command")
	flags.Var(&c.output, "output", "form of the result: "+c.output.describeAllowed())
	return c
}

// call is callWithTimeout with the time limit of the flag --timeout.
func (c *daemonClient) call(ctx context.Context, do daemonCall) error {
	return c.callWithTimeout(ctx, c.timeout, do)
}

// callWithTimeout runs do with the first of the given daemons that is reachable. Once a connection was established, it does
// not try another daemon, since a change may have taken effect.
func (c *daemonClient) callWithTimeout(parent context.Context, limit time.Duration, do daemonCall) error {
	transport, err := c.newTransport()
	if err != nil {
		return err
	}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(parent, limit)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	for i, server := range c.servers {
		client := apiconnect.NewOperatorServiceClient(&http.Client{Transport: transport}, "https://"+server,
			connect.WithReadMaxBytes(maxResponseBytes))
		err = c.callServer(ctx, server, client, do)
		if parent.Err() != nil {
			return errors.New("interrupted")
		}
		if err == nil || connected.Load() {
			return err
		}
		if i+1 < len(c.servers) {
			c.root.printStderr("%s is unreachable, trying %s: %s", server, c.servers[i+1], errorMessage(err))
		}
	}
	return &unreachableError{err: err}
}

// callServer runs do with one daemon and prints on standard error that it is waiting, at every progressInterval.
func (c *daemonClient) callServer(
	ctx context.Context, server string, client apiconnect.OperatorServiceClient, do daemonCall,
) error {
	done := make(chan error, 1)
	go func() { done <- do(ctx, client) }()
	ticker := c.root.Clock.Every(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-ticker.C:
			c.root.printStderr("waiting for %s", server)
		}
	}
}

// printStderr prints one line on standard error.
func (r *Root) printStderr(format string, args ...any) {
	r.errMu.Lock()
	defer r.errMu.Unlock()
	_, _ = fmt.Fprintf(r.Err, format+"\n", args...) // a failure to write to standard error can't be reported anywhere
}

// newTransport validates the flags and returns an HTTP transport that authenticates with the client certificate.
func (c *daemonClient) newTransport() (*http.Transport, error) {
	if len(c.servers) == 0 {
		return nil, usageErrorf("the flag --server is required")
	}
	if c.timeout <= 0 {
		return nil, usageErrorf("--timeout: expected a duration above 0s, not %s", c.timeout)
	}
	for _, server := range c.servers {
		if _, _, err := net.SplitHostPort(server); err != nil {
			return nil, usageErrorf("--server: expected host:port, not %q", server)
		}
	}
	for _, flag := range []string{"certificate", "key", "authority"} {
		if !c.flags.Changed(flag) {
			return nil, usageErrorf("the flag --%s is required", flag)
		}
	}
	certificate, err := tls.LoadX509KeyPair(c.certificate, c.key)
	if err != nil {
		return nil, errors.Wrap(err, "load certificate")
	}
	authority, err := os.ReadFile(c.authority)
	if err != nil {
		return nil, errors.Wrap(err, "load authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return nil, errors.Newf("load authority: %s contains no certificate", c.authority)
	}
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSHandshakeTimeout: dialTimeout, // the kernel accepts connections for a paused process, but the handshake hangs
		ForceAttemptHTTP2:   true,
		TLSClientConfig: &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate}, RootCAs: roots,
		},
	}, nil
}

// usageErrorf returns an error that makes the program exit with ExitUsage.
func usageErrorf(format string, args ...any) error {
	return &usageError{err: errors.Newf(format, args...)}
}
