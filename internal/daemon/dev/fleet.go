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
	"rosemarywick.example/rosemarywick/internal/daemon/host"
	"rosemarywick.example/rosemarywick/internal/operator/config"
	"rosemarywick.example/rosemarywick/internal/platform/hosts"
	platform "rosemarywick.example/rosemarywick/internal/platform/standin"
)

const (
	headerTimeout = 5 * time.Second
	// readyTimeout bounds the wait until every partition has an owner.
	readyTimeout  = 30 * time.Second
	readyInterval = 50 * time.Millisecond
	// The roles of the certificates of operators.
	roleOperate = "operate"
	roleRead    = "read"
)

// Fleet is a development fleet. The exported fields are set before Run.
type Fleet struct {
	Shape Shape
	// Daemons is the number of daemons that run in this process.
	Daemons int
	// SettingsFiles is the number of further settings files to write for daemons in processes of their own.
	SettingsFiles int
	Timer         timer.Service
	Log           zerolog.Logger
	// Out receives the addresses and commands for the user.
	Out io.Writer

	// serving is called once the fleet serves. It may be nil.
	serving func()

	deployment *deployment
	directory  string
	authority  *certificates.Authority
	platform   *platform.Platform
	// platformAddress is where the fake platform listens.
	platformAddress netip.AddrPort
	workers         []*worker
	daemons         []*host.Daemon
	// spare are the settings of daemons that the user may start.
	spare []*settings.Settings
}

// Run starts everything, says how to use it, and runs until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	var err error
	if f.deployment, err = deploymentOf(f.Shape); err != nil {
		return err
	}
	if f.directory, err = os.MkdirTemp("", "rosemarywick-dev-"); err != nil {
		return errors.Wrap(err, "make directory for certificates")
	}
	defer func() { _ = os.RemoveAll(f.directory) }()
	if f.authority, err = certificates.NewAuthority(f.directory, f.Timer.Now()); err != nil {
		return err
	}
	stopPlatform, err := f.startPlatform(ctx)
	if err != nil {
		return err
	}
	defer stopPlatform()
	if err := f.startWorkers(ctx); err != nil {
		return err
	}
	defer f.stopWorkers()
	return f.runDaemons(ctx)
}

func (f *Fleet) startPlatform(ctx context.Context) (func(), error) {
	f.platform = platform.NewPlatform(f.Timer)
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the platform")
	}
	f.platformAddress = listener.Addr().(*net.TCPAddr).AddrPort()
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: f.platform.Handler(), ReadHeaderTimeout: headerTimeout, Protocols: protocols}
	go func() { _ = server.Serve(listener) }()
	return func() { _ = server.Close() }, nil
}

// configure stores the configuration of the deployment in the platform's table.
func (f *Fleet) configure(ctx context.Context) error {
	upstreams := make([]fleet.Upstream, 0, len(f.workers))
	for _, one := range f.workers {
		upstreams = append(upstreams, one.upstream)
	}
	text, err := f.deployment.document(upstreams)
	if err != nil {
		return err
	}
	store := &config.Store{Table: f.platform.Table, Timer: f.Timer}
	_, err = store.Apply(ctx, &config.Change{Author: "dev", Text: string(text)})
	return err
}

// runDaemons runs the daemons until ctx ends or one of them fails.
func (f *Fleet) runDaemons(ctx context.Context) error {
	if err := f.configure(ctx); err != nil {
		return err
	}
	for i := range f.Daemons + f.SettingsFiles {
		loaded, err := f.settings(ctx, i)
		if err != nil {
			return err
		}
		f.platform.Hosts.Set(loaded.Host, hosts.Live)
		if i >= f.Daemons {
			f.spare = append(f.spare, loaded)
			continue
		}
		f.daemons = append(f.daemons, &host.Daemon{
			Settings: loaded, Timer: f.Timer, Log: f.Log.With().Str("host", string(loaded.Host.ID)).Logger(),
		})
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, one := range f.daemons {
		group.Go(func() error { return one.Run(ctx) })
	}
	group.Go(func() error {
		if err := f.introduce(ctx); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	})
	return group.Wait()
}

// settings writes the settings file of a daemon and reads it the way "serve" does.
func (f *Fleet) settings(ctx context.Context, index int) (*settings.Settings, error) {
	name := fmt.Sprintf("entry-%d", index+1)
	files, err := f.authority.Issue(name, "")
	if err != nil {
		return nil, err
	}
	ports, err := freePorts(ctx)
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
`, name, f.deployment.region, domain, ports.peer, ports.callers, ports.operators, f.platformAddress,
		files.Certificate, files.Key, files.Authority)
	path := f.settingsPath(name)
	const ownerOnly = 0o600
	if err := os.WriteFile(path, []byte(text), ownerOnly); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	return settings.Load(path)
}

// ports are the addresses of one daemon.
type ports struct {
	peer, callers, operators netip.AddrPort
}

// freePorts finds ports that are free at the moment; the daemon opens them itself shortly after.
func freePorts(ctx context.Context) (ports, error) {
	var found ports
	var listen net.ListenConfig
	packets, err := listen.ListenPacket(ctx, "udp", "127.0.0.1:0")
	if err != nil {
		return found, errors.Wrap(err, "find a free port")
	}
	found.peer = packets.LocalAddr().(*net.UDPAddr).AddrPort()
	closers := []io.Closer{packets}
	for _, address := range []*netip.AddrPort{&found.callers, &found.operators} {
		listener, err := listen.Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return found, errors.Wrap(err, "find a free port")
		}
		*address = listener.Addr().(*net.TCPAddr).AddrPort()
		closers = append(closers, listener)
	}
	for _, closer := range closers {
		_ = closer.Close()
	}
	return found, nil
}

// introduce waits until the fleet serves and then prints how to use it.
func (f *Fleet) introduce(ctx context.Context) error {
	if err := f.waitReady(ctx); err != nil {
		return err
	}
	operator, err := f.authority.Issue("operator", roleOperate)
	if err != nil {
		return err
	}
	if _, err := f.authority.Issue("reader", roleRead); err != nil {
		return err
	}
	f.print("%s fleet: %d daemons, %d upstreams, platform at %s", f.Shape, len(f.daemons), len(f.workers), f.platformAddress)
	for _, one := range f.daemons {
		f.print("  %s in %s: callers http://%s  operators https://%s", one.Settings.Host.ID,
			one.Settings.Host.Place.Domain, one.Settings.Callers, one.Settings.Operators)
	}
	for _, one := range f.spare {
		f.print("to add %s, which will serve callers at http://%s:\n  rosemarywick serve --settings %s", one.Host.ID,
			one.Callers, f.settingsPath(string(one.Host.ID)))
	}
	if len(f.daemons) > 0 {
		first := f.daemons[0].Settings
		f.print("to send a keyed request:\n  curl -i http://%s%s", first.Callers, f.deployment.example)
		f.print("to call a daemon as an operator:\n  rosemarywick partitions --server %s --certificate %s --key %s --authority %s",
			first.Operators, operator.Certificate, operator.Key, operator.Authority)
	}
	f.print("stop with Ctrl-C")
	if f.serving != nil {
		f.serving()
	}
	return nil
}

// print writes a line for the user. An error of the output is not a reason to stop the fleet.
func (f *Fleet) print(format string, args ...any) {
	_, _ = fmt.Fprintf(f.Out, format+"\n", args...)
}

func (f *Fleet) settingsPath(name string) string {
	return filepath.Join(f.directory, name+".toml")
}

// waitReady blocks until each daemon knows an owner of every partition.
func (f *Fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeoutCause(ctx, readyTimeout, errors.New("dev: partitions are without an owner"))
	defer cancel()
	for {
		ready := true
		for _, one := range f.daemons {
			ready = ready && one.Served()
		}
		if ready {
			return nil
		}
		if err := timer.Wait(ctx, f.Timer, readyInterval); err != nil {
			return err
		}
	}
}

// stopWorkers ends all fake upstreams.
func (f *Fleet) stopWorkers() {
	var group sync.WaitGroup
	for _, one := range f.workers {
		group.Go(one.fake.Stop)
	}
	group.Wait()
}
