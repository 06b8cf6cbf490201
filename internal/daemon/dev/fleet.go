package dev

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/settings"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/daemon/certificates"
	"rosemarywick.example/rosemarywick/internal/operator/config"
	"rosemarywick.example/rosemarywick/internal/platform/hosts"
	platform "rosemarywick.example/rosemarywick/internal/platform/standin"
)

const (
	headerTimeout = 5 * time.Second
	// readyTimeout limits the time until every partition has an owner, and readyInterval is the time between two checks of a
	// condition.
	readyTimeout  = 30 * time.Second
	readyInterval = 50 * time.Millisecond
	// roleOperate and roleRead are the roles in the certificates of operators.
	roleOperate = "operate"
	roleRead    = "read"
)

// Fleet is a development fleet. The exported fields are set before Run or Start.
type Fleet struct {
	Shape Shape
	// Guard is the guard of the keyed service. Empty means the default, with which servers check ownership by grants.
	Guard fleet.Guard
	// Daemons is the number of daemons to start in this process.
	Daemons int
	// SettingsFiles is the number of additional settings files to write, for daemons that the user starts as processes of
	// their own.
	SettingsFiles int
	Timer         timer.Clock
	Log           zerolog.Logger
	// Out receives the addresses and commands for the user. Start writes nothing to it.
	Out io.Writer

	deployment   *deployment
	directory    string
	authority    *certificates.Authority
	platform     *platform.Platform
	stopPlatform func()
	// platformAddress is where the fake platform listens.
	platformAddress netip.AddrPort
	workers         []*worker
	// operatorTLS names the certificate files of an operator.
	operatorTLS settings.TLS
	// failures receives the error of a daemon that ended without being stopped.
	failures chan error

	mu sync.Mutex
	// running is guarded by mu: the daemons that have not ended, in the order of their start.
	running []*instance
	// settingsWritten is guarded by mu: the number of daemons for which settings were written.
	settingsWritten int
}

// Run starts the fleet, prints how to use it, and runs until ctx ends or a daemon fails.
func (f *Fleet) Run(ctx context.Context) error {
	if err := f.Start(ctx); err != nil {
		return err
	}
	err := f.printUsage(ctx)
	if err == nil {
		select {
		case <-ctx.Done():
		case err = <-f.failures:
		}
	}
	return errors.CombineErrors(err, f.Stop())
}

// Start starts the fleet and returns once each daemon knows an owner of every partition. The caller must call Stop unless an
// error is returned.
func (f *Fleet) Start(ctx context.Context) error {
	err := f.start(ctx)
	if err != nil {
		err = errors.CombineErrors(err, f.Stop())
	}
	return err
}

func (f *Fleet) start(ctx context.Context) error {
	var err error
	f.failures = make(chan error, 1)
	if f.deployment, err = newDeployment(f.Shape); err != nil {
		return err
	}
	if f.directory, err = os.MkdirTemp("", "rosemarywick-dev-"); err != nil {
		return errors.Wrap(err, "make directory for certificates")
	}
	if f.authority, err = certificates.NewAuthority(f.directory, f.Timer.Now()); err != nil {
		return err
	}
	if f.operatorTLS, err = f.authority.Issue("operator", roleOperate); err != nil {
		return err
	}
	if err := f.startPlatform(ctx); err != nil {
		return err
	}
	if err := f.startWorkers(ctx); err != nil {
		return err
	}
	if err := f.configure(ctx); err != nil {
		return err
	}
	for range f.Daemons {
		if _, err := f.launchDaemon(ctx); err != nil {
			return err
		}
	}
	return f.waitForOwners(ctx, f.instances()...)
}

// Stop stops all daemons gracefully, then the upstreams and the platform.
func (f *Fleet) Stop() error {
	var group errgroup.Group
	for _, inst := range f.instances() {
		group.Go(func() error { return f.stopInstance(inst) })
	}
	err := group.Wait()
	f.stopWorkers()
	if f.stopPlatform != nil {
		f.stopPlatform()
	}
	if f.directory != "" {
		_ = os.RemoveAll(f.directory)
	}
	return err
}

// startPlatform serves the fake platform on a free port of the loopback interface.
func (f *Fleet) startPlatform(ctx context.Context) error {
	f.platform = platform.NewPlatform(f.Timer)
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for the platform")
	}
	f.platformAddress = listener.Addr().(*net.TCPAddr).AddrPort()
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: f.platform.Handler(), ReadHeaderTimeout: headerTimeout, Protocols: protocols}
	go func() { _ = server.Serve(listener) }()
	f.stopPlatform = func() { _ = server.Close() }
	return nil
}

// configure stores the deployment's configuration in the platform's table.
func (f *Fleet) configure(ctx context.Context) error {
	upstreams := make([]fleet.Upstream, 0, len(f.workers))
	for _, w := range f.workers {
		upstreams = append(upstreams, w.upstream)
	}
	text, err := f.deployment.configurationText(upstreams, f.Guard)
	if err != nil {
		return err
	}
	store := &config.Store{Table: f.platform.Table, Clock: f.Timer}
	_, err = store.Apply(ctx, &config.Change{Author: "dev", Text: string(text)})
	return err
}

// newSettings writes the settings file of a new daemon, loads it as "serve" does, and adds the host to the platform's host
// list.
func (f *Fleet) newSettings(at addresses) (*settings.Settings, error) {
	f.mu.Lock()
	index := f.settingsWritten
	f.settingsWritten++
	f.mu.Unlock()
	name := fmt.Sprintf("entry-%d", index+1)
	files, err := f.authority.Issue(name, "")
	if err != nil {
		return nil, err
	}
	domain := f.deployment.domains[index%len(f.deployment.domains)]
	text := fmt.Sprintf(`host = %q
region = %q
domain = %q
peer-address = %q
caller-address = %q
operator-address = %q
platform-address = %q
balancer-grace = "100ms"

[tls]
certificate = %q
key = %q
authority = %q
`, name, f.deployment.region, domain, at.peer, at.callers, at.operators, f.platformAddress,
		files.CertificateFile, files.KeyFile, files.AuthorityFile)
	path := f.settingsPath(name)
	const ownerOnly = 0o600
	if err := os.WriteFile(path, []byte(text), ownerOnly); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	loaded, err := settings.Load(path)
	if err == nil {
		f.platform.Hosts.SetState(loaded.Host, hosts.Live)
	}
	return loaded, err
}

// printUsage prints the addresses of the daemons and example commands.
func (f *Fleet) printUsage(ctx context.Context) error {
	if _, err := f.authority.Issue("reader", roleRead); err != nil {
		return err
	}
	running := f.instances()
	f.print("%s fleet: %d daemons, %d upstreams, platform at %s", f.Shape, len(running), len(f.workers), f.platformAddress)
	for _, inst := range running {
		f.print("  %s in %s: callers http://%s  operators https://%s", inst.settings.Host.ID,
			inst.settings.Host.Locality.Domain, inst.settings.CallerAddress, inst.settings.OperatorAddress)
	}
	for range f.SettingsFiles {
		spare, err := f.writeSpareSettings(ctx)
		if err != nil {
			return err
		}
		f.print("to add %s, which will serve callers at http://%s:\n  rosemarywick serve --settings %s", spare.Host.ID,
			spare.CallerAddress, f.settingsPath(string(spare.Host.ID)))
	}
	if len(running) > 0 {
		first := running[0].settings
		f.print("to send a keyed request:\n  curl -i http://%s%s", first.CallerAddress, f.deployment.example)
		f.print("to call a daemon as an operator:\n  rosemarywick partitions --server %s --certificate %s --key %s --authority %s",
			first.OperatorAddress, f.operatorTLS.CertificateFile, f.operatorTLS.KeyFile, f.operatorTLS.AuthorityFile)
	}
	f.print("stop with Ctrl-C")
	return nil
}

// print writes a line for the user. A write error is ignored, so that it does not stop the fleet.
func (f *Fleet) print(format string, args ...any) {
	_, _ = fmt.Fprintf(f.Out, format+"\n", args...)
}

func (f *Fleet) settingsPath(name string) string {
	return filepath.Join(f.directory, name+".toml")
}

// waitForOwners waits until each of the daemons knows an owner of every partition.
func (f *Fleet) waitForOwners(ctx context.Context, daemons ...*instance) error {
	ctx, cancel := context.WithTimeoutCause(ctx, readyTimeout, errors.New("dev: partitions are without an owner"))
	defer cancel()
	for _, inst := range daemons {
		for !inst.daemon.AllPartitionsOwned() {
			if err := timer.Wait(ctx, f.Timer, readyInterval); err != nil {
				return err
			}
		}
	}
	return nil
}

// stopWorkers stops all fake upstreams.
func (f *Fleet) stopWorkers() {
	var group sync.WaitGroup
	for _, w := range f.workers {
		group.Go(w.currentFake().Stop)
	}
	group.Wait()
}
