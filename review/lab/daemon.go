package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// daemon is a process of the system, started as in the deploy file.
type daemon struct {
	name, host, settings string
	front, ready, peers  int
	process              *exec.Cmd
	ended                chan struct{}
	logPath              string
}

// settingsText is like the settings of a small deployment.
const settingsText = `nodeName=NAME
role=entry
machineClass=front
serves=front
ip=HOST
zone=ZONE
region=ma-south
zones.agadir-a=ma-south
zones.agadir-b=ma-south
zones.taroudant-c=ma-south
listen.front=HOST:FRONT
listen.ready=HOST:READY
portRange=PEERS,PEERSEND
seeds=
bootstrap=BOOTSTRAP
inTolerance=false
limits.cpuShare=0.32
limits.cores=1
limits.memoryMb=MEMORY
limits.maxFds=DESCRIPTORS
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatS=1.5
contracts=base,drain,config,cost,retry,recover,own,platform
faultTolerance.machines=1
faultTolerance.zones=0
faultTolerance.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.stableWindowS=3
bounds.ackS=4
bounds.catchUpS=4
bounds.drainS=2
bounds.graceS=6
bounds.lossSlackS=0.2
bounds.configApplyS=2
bounds.revertSlackS=0.25
bounds.maxSkewS=5
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.retryBudgetBurst=62
bounds.recoveryS=15
bounds.holdMaxS=10
bounds.thawSlackS=0.3
grants=invocation
platform.address=STORE
platform.form=table
platform.writesPerS=400
platform.readsPerS=2000
platform.txS=0.003
platform.partWritesS=300
platform.rowBytes=65536
platform.across=true
platform.historyS=20
platform.blobBytes=8388608
platform.blobS=0.025
platform.blobMbS=80.0
`

// freePort returns a port on which nothing listens at a host, for TCP and UDP.
func freePort(host string) (int, error) {
	for range 50 {
		listener, err := net.Listen("tcp", host+":0") //nolint:noctx // a test
		if err != nil {
			return 0, err
		}
		port := listener.Addr().(*net.TCPAddr).Port
		_ = listener.Close()
		packets, err := net.ListenPacket("udp", host+":"+strconv.Itoa(port)) //nolint:noctx // a test
		if err == nil {
			_ = packets.Close()
			return port, nil
		}
	}
	return 0, errors.New("no free port")
}

// newDaemon writes the settings of a daemon. Changes are pairs of a setting and its value.
func newDaemon(folder string, number int, zone, storeAddress string, changes ...string) (*daemon, error) {
	// Each daemon has a loopback address of its own.
	host := fmt.Sprintf("127.%d.%d.%d", 65+os.Getpid()>>8&31, os.Getpid()&255, 1+number)
	d := &daemon{name: "front-" + strconv.Itoa(number), host: host}
	for _, port := range []*int{&d.front, &d.ready, &d.peers} {
		free, err := freePort(host)
		if err != nil {
			return nil, err
		}
		*port = free
	}
	text := strings.NewReplacer(
		"PEERSEND", strconv.Itoa(d.peers+1), "NAME", d.name, "HOST", host, "ZONE", zone, "FRONT", strconv.Itoa(d.front),
		"READY", strconv.Itoa(d.ready), "PEERS", strconv.Itoa(d.peers), "STORE", storeAddress,
		"MEMORY", "284", "DESCRIPTORS", "4100", "BOOTSTRAP", "true",
	).Replace(settingsText)
	d.settings = filepath.Join(folder, d.name+".conf")
	d.logPath = filepath.Join(folder, d.name+".log")
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return d, d.change(changes...)
}

// change changes or adds settings, given as pairs of a setting and its value.
func (d *daemon) change(changes ...string) error {
	content, err := os.ReadFile(d.settings)
	if err != nil {
		return err
	}
	lines := strings.Split(strings.TrimSuffix(string(content), "\n"), "\n")
	for i := 0; i+1 < len(changes); i += 2 {
		found, next := false, changes[i]+"="+changes[i+1]
		for j, line := range lines {
			if strings.HasPrefix(line, changes[i]+"=") {
				lines[j], found = next, true
			}
		}
		if !found {
			lines = append(lines, next)
		}
	}
	if err := os.WriteFile(d.settings+".new", []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	return os.Rename(d.settings+".new", d.settings)
}

// start starts the process.
func (d *daemon) start() error {
	log, err := os.OpenFile(d.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	d.process = exec.Command("target/rosemarywick", "entry")
	d.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ROSEMARYWICK_SETTINGS=" + d.settings}
	d.process.Stdout, d.process.Stderr = log, log
	if err := d.process.Start(); err != nil {
		return err
	}
	d.ended = make(chan struct{})
	go func(process *exec.Cmd, ended chan struct{}) {
		_ = process.Wait()
		close(ended)
	}(d.process, d.ended)
	return nil
}

// signal sends a signal to the process.
func (d *daemon) signal(signal syscall.Signal) { _ = d.process.Process.Signal(signal) }

// kill ends the process, if it was started and still runs.
func (d *daemon) kill() {
	if d.process == nil || d.process.Process == nil {
		return
	}
	_ = d.process.Process.Kill()
	<-d.ended
}

// running reports whether the process runs.
func (d *daemon) running() bool {
	select {
	case <-d.ended:
		return false
	default:
		return true
	}
}

// address returns the address for clients.
func (d *daemon) address() string { return net.JoinHostPort(d.host, strconv.Itoa(d.front)) }

// isReady asks the daemon whether it is ready, as the platform does.
func (d *daemon) isReady() bool {
	conn, err := net.DialTimeout("tcp", net.JoinHostPort(d.host, strconv.Itoa(d.ready)), time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = fmt.Fprintf(conn, "GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
	buffer := make([]byte, 12)
	n, _ := conn.Read(buffer)
	return string(buffer[:n]) == "HTTP/1.1 200"
}

// usage returns the resident memory of the process and the bytes that the kernel has received for it and that are not read.
func (d *daemon) usage() (resident, received int64) {
	folder := fmt.Sprintf("/proc/%d/", d.process.Process.Pid)
	sockets := make(map[string]bool)
	entries, _ := os.ReadDir(folder + "fd")
	for _, entry := range entries {
		target, _ := os.Readlink(folder + "fd/" + entry.Name())
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	table, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 10 || !sockets[fields[9]] || fields[3] == "0A" {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		length, _ := strconv.ParseInt(queue, 16, 64)
		received += length
	}
	status, _ := os.ReadFile(folder + "status")
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	if fields := strings.Fields(rest); len(fields) > 0 {
		kilobytes, _ := strconv.ParseInt(fields[0], 10, 64)
		resident = kilobytes << 10
	}
	return resident, received
}
