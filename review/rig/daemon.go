package rig

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Daemon is one process of the project's program.
type Daemon struct {
	Name, Zone string
	// Front is the address for clients.
	Front string

	ready, settingsFile, logFile string
	command                      *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// settingsText has the settings of a small deployment.
const settingsText = `nodeName=%[1]s
role=entry
machineClass=front
serves=front
ip=%[3]s
zone=%[2]s
region=montevideo
zones.centro=montevideo
zones.pocitos=montevideo
zones.cerro=montevideo
listen.front=%[4]s
listen.ready=%[5]s
portRange=%[6]s
bootstrap=true
inTolerance=false
limits.cpuShare=0.32
limits.cores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatS=0.87
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
bounds.retryBudgetBurst=64
bounds.recoveryS=15
bounds.holdMaxS=10
bounds.thawSlackS=0.3
grants=invocation
platform.address=%[7]s
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

// StartDaemons starts one daemon in each of three zones, and waits until they are ready.
func StartDaemons(store *Store, record *Record) []*Daemon {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		Unable("create folder: %v", err)
	}
	atExit(func() { _ = os.RemoveAll(folder) })
	var daemons []*Daemon
	for i, zone := range []string{"centro", "pocitos", "cerro"} {
		// Each daemon has a loopback address of its own, so that its ports are not those of connections of other processes.
		host := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8&63, os.Getpid()&255, i+1)
		d := &Daemon{
			Name: fmt.Sprintf("front-%s-%d", zone, i+1), Zone: zone, Front: freeAddress(host, 8641), ready: freeAddress(host, 8640),
			settingsFile: filepath.Join(folder, zone), logFile: filepath.Join(folder, zone+".log"),
		}
		_, port, _ := net.SplitHostPort(freeAddress(host, 7620))
		text := fmt.Sprintf(settingsText, d.Name, zone, host, d.Front, d.ready, port+","+port, store.address)
		if err := os.WriteFile(d.settingsFile, []byte(text), 0o600); err != nil {
			Unable("write settings: %v", err)
		}
		d.start(record)
		atExit(d.stop)
		daemons = append(daemons, d)
	}
	for _, d := range daemons {
		d.awaitReady()
	}
	record.Note("daemons are ready")
	return daemons
}

// start starts the process with the command of the deploy file.
func (d *Daemon) start(record *Record) {
	program := os.Getenv("PROGRAM")
	log, err := os.OpenFile(d.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		Unable("open log: %v", err)
	}
	defer func() { _ = log.Close() }()
	// The platform limits the descriptors of a process to limits.maxFds.
	d.command = exec.Command("/bin/bash", "-c", `ulimit -n 4100 && exec "$0" entry`, program)
	d.command.Env = append(os.Environ(), "ROSEMARYWICK_SETTINGS="+d.settingsFile)
	d.command.Stdout, d.command.Stderr = log, log
	if err := d.command.Start(); err != nil {
		Unable("start %s: %v", program, err)
	}
	d.ended = make(chan struct{})
	go func() {
		_ = d.command.Wait()
		close(d.ended)
	}()
	record.Note("daemon %s starts, front %s", d.Name, d.Front)
}

// Kill ends the process, as the loss of its machine does.
func (d *Daemon) Kill() { _ = d.command.Process.Signal(syscall.SIGKILL) }

// Ended reports whether the process has ended by itself.
func (d *Daemon) Ended() bool {
	select {
	case <-d.ended:
		return true
	default:
		return false
	}
}

// LastLog returns the last line that the process wrote.
func (d *Daemon) LastLog() string {
	content, _ := os.ReadFile(d.logFile)
	lines := strings.Split(strings.TrimSpace(string(content)), "\n")
	return lines[len(lines)-1]
}

func (d *Daemon) stop() {
	d.Kill()
	<-d.ended
	if os.Getenv("KEEP_LOGS") != "" {
		content, _ := os.ReadFile(d.logFile)
		_ = os.WriteFile(filepath.Join(os.Getenv("KEEP_LOGS"), d.Name+".log"), content, 0o600)
	}
}

func (d *Daemon) awaitReady() {
	for range 200 {
		response, err := http.Get("http://" + d.ready + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	Unable("daemon %s did not get ready", d.Name)
}

// freeAddress returns an address of the host whose port is free for TCP and UDP: the given one or a later one.
func freeAddress(host string, port int) string {
	for ; port < 1<<16; port += 100 {
		address := net.JoinHostPort(host, strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		conn, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		_ = conn.Close()
		return address
	}
	Unable("no free port on %s", host)
	return ""
}
