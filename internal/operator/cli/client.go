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
	// defaultTimeout bounds a call. A slow table takes seconds to answer.
	defaultTimeout = 10 * time.Second
	// waitTimeout bounds the wait for a change to be in force everywhere, of which the design allows 14 s.
	waitTimeout = time.Minute
	// dialTimeout bounds one connection attempt, so that a lost host leaves time for the next one.
	dialTimeout = 2 * time.Second
	// progressAfter is the time after which a call counts as long and its progress is shown.
	progressAfter = 2 * time.Second
	// maxAnswerBytes is the largest answer that a daemon sends.
	maxAnswerBytes = 16 << 20
)

// remote are the flags of commands that call a daemon.
type remote struct {
	servers     []string
	certificate string
	key         string
	authority   string
	timeout     time.Duration
	output      choice
}

// caller calls daemons on behalf of one command.
type caller struct {
	remote

	root  *Root
	flags *pflag.FlagSet
}

// calls is what a command does with a daemon.
type calls func(ctx context.Context, client apiconnect.OperatorServiceClient) error

// withRemote adds the flags to a command and returns what it calls daemons with.
func (r *Root) withRemote(command *cobra.Command) *caller {
	flags := command.Flags()
	c := &caller{root: r, flags: flags}
	c.output = choice{value: outputTable, allowed: []string{outputTable, outputJSON}}
	flags.StringArrayVar(&c.servers, "server", nil,
		"`host:port` of a daemon's operator API; repeat it to name others that are tried if one is unreachable")
	flags.StringVar(&c.certificate, "certificate", "", "`file` of the client certificate (PEM)")
	flags.StringVar(&c.key, "key", "", "`file` of the certificate's private key (PEM)")
	flags.StringVar(&c.authority, "authority", "", "`file` of the authorities that sign daemons' certificates (PEM)")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "time limit of the command")
	flags.Var(&c.output, "output", "form of the result: "+c.output.list())
	return c
}

// call runs do with a daemon and bounds its time.
func (c *caller) call(ctx context.Context, do calls) error {
	return c.within(ctx, c.timeout, do)
}

// within runs do with the first daemon that can be reached. Once a connection was established, do is not run again,
// since a change may have taken effect.
func (c *caller) within(parent context.Context, limit time.Duration, do calls) error {
	transport, err := c.transport()
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
			connect.WithReadMaxBytes(maxAnswerBytes))
		err = c.attempt(ctx, server, client, do)
		if parent.Err() != nil {
			return errors.New("interrupted")
		}
		if err == nil || connected.Load() {
			return err
		}
		if i+1 < len(c.servers) {
			c.root.progress("%s is unreachable, trying %s: %s", server, c.servers[i+1], message(err))
		}
	}
	return &unreachableError{err: err}
}

// attempt runs do and says on standard error what it waits for if that takes long.
func (c *caller) attempt(
	ctx context.Context, server string, client apiconnect.OperatorServiceClient, do calls,
) error {
	done := make(chan error, 1)
	go func() { done <- do(ctx, client) }()
	wake := c.root.Clock.Every(progressAfter)
	defer wake.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-wake.C:
			c.root.progress("waiting for %s", server)
		}
	}
}

func (r *Root) progress(format string, args ...any) {
	r.errMu.Lock()
	defer r.errMu.Unlock()
	_, _ = fmt.Fprintf(r.Err, format+"\n", args...) // progress is not needed if nobody reads it
}

// transport checks the flags and returns a transport that shows the certificate to daemons.
func (c *caller) transport() (*http.Transport, error) {
	if len(c.servers) == 0 {
		return nil, usage("the flag --server is required")
	}
	if c.timeout <= 0 {
		return nil, usage("--timeout: expected a duration above 0s, not %s", c.timeout)
	}
	for _, server := range c.servers {
		if _, _, err := net.SplitHostPort(server); err != nil {
			return nil, usage("--server: expected host:port, not %q", server)
		}
	}
	for _, flag := range []string{"certificate", "key", "authority"} {
		if !c.flags.Changed(flag) {
			return nil, usage("the flag --%s is required", flag)
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
		return nil, errors.Newf("load authority: %s holds no certificate", c.authority)
	}
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSHandshakeTimeout: dialTimeout, // a daemon that is paused accepts connections and goes no further
		ForceAttemptHTTP2:   true,
		TLSClientConfig: &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate}, RootCAs: roots,
		},
	}, nil
}

func usage(format string, args ...any) error {
	return &usageError{err: errors.Newf(format, args...)}
}
