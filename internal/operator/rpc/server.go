// Package rpc serves the operator API of a daemon over Connect and net/http. It checks the caller's role and its
// arguments, and translates between messages and the types of the packages that decide; it holds no state of the fleet.
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
	// maxRequestBytes leaves room for a document of the largest size in JSON, which escapes some characters.
	maxRequestBytes = 4 * config.MaxDocumentBytes
	// maxResponseBytes leaves room for 65,536 partitions of about 60 bytes.
	maxResponseBytes = 16 << 20
	// maxHeaderBytes is the limit for the headers of a request.
	maxHeaderBytes = 16 << 10
	// headerTimeout bounds the time in which a client has to send the headers of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout ends connections that are not used.
	idleTimeout = 2 * time.Minute
	// stopTimeout bounds the time that calls in flight have when the daemon is being stopped.
	stopTimeout = 2 * time.Second
)

// Credentials are the TLS material of the daemon, which may be replaced while it runs.
type Credentials interface {
	// Certificate returns the daemon's own certificate.
	Certificate() *tls.Certificate
	// Authorities returns those that sign the certificates of operators.
	Authorities() *x509.CertPool
}

// Server is the operator API of one daemon. Its exported fields are set before Handler or Serve is called.
type Server struct {
	Config    Config
	Fleet     Fleet
	Ownership Ownership
	Upstreams Upstreams
	Records   Records
	Explainer Explainer
	// Stored is told of each version that this daemon has stored, so that it comes into force without waiting for the
	// table to be read. It must not block.
	OnStored func(*config.Revision)
	// Metrics is served at /metrics to both roles. Nil leaves it out.
	Metrics http.Handler

	Credentials Credentials
	Clock       timer.Clock
	Log         zerolog.Logger
}

var _ apiconnect.OperatorServiceHandler = (*Server)(nil)

// Handler returns the handler of all calls. It expects to be served over TLS with client certificates.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	path, calls := apiconnect.NewOperatorServiceHandler(s,
		connect.WithReadMaxBytes(maxRequestBytes), connect.WithSendMaxBytes(maxResponseBytes),
		connect.WithRecover(s.recovered))
	router.PathPrefix(path).Handler(calls)
	if s.Metrics != nil {
		router.Path(metricsPath).Methods(http.MethodGet).Handler(s.Metrics)
	}
	return s.authorize(router)
}

func (s *Server) recovered(_ context.Context, spec connect.Spec, _ http.Header, reason any) error {
	s.Log.Error().Str("call", spec.Procedure).Interface("reason", reason).Msg("operator call panicked")
	return connect.NewError(connect.CodeInternal, errors.New("the daemon failed to answer; its log has the reason"))
}

// Serve accepts connections until ctx ends, and then gives calls in flight a short time to finish. It closes the
// listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	// Calls in flight keep a live context during the stop, except streams, which would last until its end.
	calls := context.WithoutCancel(ctx)
	streams, endStreams := context.WithCancel(calls)
	defer endStreams()
	server := &http.Server{
		Handler:           s.Handler(),
		TLSConfig:         s.tlsConfig(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return context.WithValue(calls, streamsKey{}, streams) },
	}
	server.RegisterOnShutdown(endStreams)
	stopped := make(chan error, 1)
	release := context.AfterFunc(ctx, func() {
		limited, cancel := context.WithTimeout(calls, stopTimeout)
		defer cancel()
		stopped <- errors.CombineErrors(server.Shutdown(limited), server.Close())
	})
	err := server.ServeTLS(listener, "", "")
	if release() {
		return errors.Wrap(err, "serve operator API")
	}
	return errors.Wrap(<-stopped, "stop operator API")
}

type streamsKey struct{}

// stopping returns a channel that is closed when streams are to end because the daemon is being stopped.
func stopping(ctx context.Context) <-chan struct{} {
	if streams, set := ctx.Value(streamsKey{}).(context.Context); set {
		return streams.Done()
	}
	return nil
}

// tlsConfig asks for a certificate and leaves its verification to authorize, so that a rejection is logged with the
// subject and the call instead of ending in the handshake.
func (s *Server) tlsConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.Credentials.Certificate(), nil
		},
		ClientAuth: tls.RequestClientCert,
	}
}
