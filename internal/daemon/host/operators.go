package host

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
)

// operatorHeaderTimeout bounds how long a client of the operator address may take to send a request's headers.
const operatorHeaderTimeout = 5 * time.Second

// operators serves the operator API, the metrics and the readiness on the operator address.
type operators struct {
	daemon *Daemon
	ready  atomic.Bool
}

func newOperators(d *Daemon) *operators {
	o := &operators{daemon: d}
	o.ready.Store(true)
	return o
}

func (o *operators) setReady(ready bool) {
	o.ready.Store(ready)
}

// serve accepts operators until ctx ends.
func (o *operators) serve(ctx context.Context) error {
	routes := mux.NewRouter()
	routes.Handle("/metrics", o.daemon.requests.metrics.Handler()).Methods(http.MethodGet)
	routes.HandleFunc("/ready", o.serveReady).Methods(http.MethodGet)
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", o.daemon.Settings.Operators.String())
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	server := &http.Server{
		Handler: routes, TLSConfig: o.daemon.certificates.Server("h2", "http/1.1"), ReadHeaderTimeout: operatorHeaderTimeout,
	}
	failed := make(chan error, 1)
	go func() { failed <- server.ServeTLS(listener, "", "") }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve operators")
	case <-ctx.Done():
		return errors.Wrap(server.Close(), "stop serving operators")
	}
}

// serveReady tells the platform's balancer whether the daemon takes new requests.
func (o *operators) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !o.ready.Load() || o.daemon.configuration.Current() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
