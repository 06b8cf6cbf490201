// Package rpc serves the operator API of a daemon over Connect and net/http. It authorizes clients, validates arguments, and
// converts between messages and domain types. It holds no state of the fleet: its answers come from the interfaces that
// Server is built with.
package rpc

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/operator/api/apiconnect"
	"rosemarywick.example/rosemarywick/internal/operator/config"
)

const (
	// maxRequestBytes allows for a document of the maximum size in JSON, where escaping lengthens some characters.
	maxRequestBytes = 4 * config.MaxDocumentBytes
	// maxResponseBytes allows for 65,536 partitions of about 60 bytes each.
	maxResponseBytes = 16 << 20
	// maxHeaderBytes limits the headers of a request.
	maxHeaderBytes = 16 << 10
	// headerTimeout limits the time that a client may take to send the headers of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 2 * time.Minute
	// stopTimeout limits the time that calls in flight have to finish when the server stops.
	stopTimeout = 2 * time.Second
)

// Credentials provides the TLS certificates of the daemon. They may be replaced while the daemon runs.
type Credentials interface {
	// Certificate returns the daemon's own certificate.
	Certificate() *tls.Certificate
	// Authorities returns the certificate authorities that may sign client certificates of operators.
	Authorities() *x509.CertPool
}

// Server implements the operator API of one daemon. Its fields must be set before Handler or Serve is called.
type Server struct {
	Config    Config
	Fleet     Fleet
	Ownership Ownership
	Upstreams Upstreams
	Records   Records
	Explainer Explainer
	// OnStored is called with each revision that this server stored, so that the daemon puts it into force without waiting
	// for the next poll of the table. It must not block.
	OnStored func(*config.Revision)
	// Metrics is served at /metrics to both roles. If it is nil, the path does not exist.
	Metrics http.Handler

	Credentials Credentials
	Clock       timer.Clock
	Log         zerolog.Logger
}

var _ apiconnect.OperatorServiceHandler = (*Server)(nil)

// Handler returns the HTTP handler of the operator API. It must be served over TLS and rejects requests without a client
// certificate.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	path, calls := apiconnect.NewOperatorServiceHandler(s,
		connect.WithReadMaxBytes(maxRequestBytes), connect.WithSendMaxBytes(maxResponseBytes),
		connect.WithRecover(s.handlePanic))
	router.PathPrefix(path).Handler(calls)
	if s.Metrics != nil {
		router.Path(metricsPath).Methods(http.MethodGet).Handler(s.Metrics)
	}
	return s.authorize(router)
}

// handlePanic logs a panic of a call and returns the error for the client.
func (s *Server) handlePanic(_ context.Context, spec connect.Spec, _ http.Header, reason any) error {
	s.Log.Error().Str("call", spec.Procedure).Interface("reason", reason).Msg("operator call panicked")
	return connect.NewError(connect.CodeInternal, errors.New("internal error in the daemon; see its log for the cause"))
}

// Serve accepts connections until ctx ends and then waits up to stopTimeout for calls in flight. It closes the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	// The context of unary calls outlives ctx, so that calls in flight can finish. Streams would not end by themselves and are
	// ended through a context of their own when the shutdown begins.
	calls := context.WithoutCancel(ctx)
	streams, endStreams := context.WithCancel(calls)
	defer endStreams()
	server := &http.Server{
		Handler:           s.Handler(),
		TLSConfig:         s.tlsConfig(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return context.WithValue(calls, streamsContextKey{}, streams) },
	}
	server.RegisterOnShutdown(endStreams)
	shutdownErr := make(chan error, 1)
	cancelShutdown := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(calls, stopTimeout)
		defer cancel()
		shutdownErr <- errors.CombineErrors(server.Shutdown(shutdownCtx), server.Close())
	})
	err := server.ServeTLS(listener, "", "")
	if cancelShutdown() {
		return errors.Wrap(err, "serve operator API")
	}
	return errors.Wrap(<-shutdownErr, "stop operator API")
}

// streamsContextKey is the context key of the context that ends when streams must end.
type streamsContextKey struct{}

// streamsDone returns a channel that is closed when streams must end because the server is stopping.
func streamsDone(ctx context.Context) <-chan struct{} {
	if streams, set := ctx.Value(streamsContextKey{}).(context.Context); set {
		return streams.Done()
	}
	return nil
}

// tlsConfig requests a client certificate without verifying it. authorize verifies it for each call instead, so that a
// rejection is logged with the subject and the call, which a failed handshake would not show.
func (s *Server) tlsConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.Credentials.Certificate(), nil
		},
		ClientAuth: tls.RequestClientCert,
	}
}
