// Command lab3 plays the scripts of the third review: it starts the daemons of a small deployment as processes, with stand-ins of
// the platform's store, the workers and the clients, disturbs them, and checks one rule.
package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// heartbeat is the interval in which workers write their entries, as heartbeatS in the settings.
const heartbeat = 1500 * time.Millisecond

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// Lab is a deployment that a script plays with.
type Lab struct {
	root, temp string
	trouble    bool
	store      *Store
	daemons    []*Daemon
	started    time.Time

	mu sync.Mutex
	// record is guarded by mu.
	record *bufio.Writer
	// arrivals and runs are guarded by mu: by attempt, where it arrived and how often it ran.
	arrivals map[string][]arrival
	runs     map[string]int
	// dropped is guarded by mu: when a worker noticed that the connection of a request had closed.
	dropped  map[string]time.Time
	attempts atomic.Int64
}

// arrival is a request that reached a worker.
type arrival struct {
	worker *Worker
	at     time.Time
}

// lab is the deployment of this process, for fail.
var lab *Lab

// fail ends the script as one that could not run.
func fail(format string, arguments ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", arguments...)
	if lab != nil {
		lab.end()
	}
	os.Exit(exitFailed)
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE ROOT FOLDER")
		os.Exit(exitFailed)
	}
	play, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitFailed)
	}
	file, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fail("record: %v", err)
	}
	temp, err := os.MkdirTemp("", "lab3-")
	if err != nil {
		fail("temporary folder: %v", err)
	}
	lab = &Lab{
		root: os.Args[2], temp: temp, trouble: os.Getenv("TROUBLE") != "0", store: newStore(), started: time.Now(),
		record: bufio.NewWriter(file), arrivals: make(map[string][]arrival), runs: make(map[string]int), dropped: make(map[string]time.Time),
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { <-signals; fail("interrupted") }()
	time.AfterFunc(115*time.Second, func() { fail("the script takes too long") })
	broken := play(lab)
	verdict, code := "the rule held", exitHeld
	if broken != "" {
		verdict, code = "RULE BROKEN: "+broken, exitBroken
	}
	lab.note("verdict", "", verdict)
	fmt.Println(verdict)
	lab.end()
	os.Exit(code)
}

// end ends all processes and writes the record.
func (l *Lab) end() {
	for _, daemon := range l.daemons {
		daemon.kill()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.record.Flush()
	_ = os.RemoveAll(l.temp)
}

// note adds a line to the record.
func (l *Lab) note(event, id, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%9.3f  %-9s %-10s %s\n", time.Since(l.started).Seconds(), event, id, text)
}

// arrived notes that a request has reached a worker.
func (l *Lab) arrived(w *Worker, id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[id] = append(l.arrivals[id], arrival{w, at})
}

// ran notes that a worker has begun to work on a request.
func (l *Lab) ran(w *Worker, id string) {
	l.note("runs", id, "worker "+w.id)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

// drop notes that a worker has noticed that the connection of a request has closed.
func (l *Lab) drop(w *Worker, id string) {
	l.note("dropped", id, "worker "+w.id+" notices that the connection has closed")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped[id] = time.Now()
}

// droppedBefore reports whether a worker noticed that before a time. The caller holds mu.
func (l *Lab) droppedBefore(id string, limit time.Time) bool {
	at, found := l.dropped[id]
	return found && at.Before(limit)
}

// nextID returns the ID of a further attempt.
func (l *Lab) nextID() string { return fmt.Sprintf("a%07d", l.attempts.Add(1)) }

// Daemon is a process of the system.
type Daemon struct {
	lab     *Lab
	number  int
	ip      string
	zone    string
	door    *door
	command *exec.Cmd
	ended   chan struct{}
}

func (d *Daemon) front() string { return d.ip + ":8641" }

// startDaemons starts a daemon for each given zone, and waits until all are ready.
func (l *Lab) startDaemons(zones []string, extra string) {
	base := freeNetwork()
	for i, zone := range zones {
		d := &Daemon{lab: l, number: i, ip: fmt.Sprintf("%s.%d", base, i+1), zone: zone, door: l.store.open(i)}
		l.daemons = append(l.daemons, d)
		d.writeSettings(zones, extra, true)
	}
	for _, d := range l.daemons {
		d.start()
	}
	for _, d := range l.daemons {
		d.awaitReady(15 * time.Second)
	}
	for _, d := range l.daemons {
		d.writeSettings(zones, extra, false)
	}
}

// freeNetwork returns the first three bytes of a loopback network on which nothing listens at the ports of a daemon.
func freeNetwork() string {
	for i := range 200 {
		number := os.Getpid() + i*31
		base := fmt.Sprintf("127.%d.%d", 70+number>>8&63, 1+number&127)
		listener, err := net.Listen("tcp", base+".1:8641")
		if err != nil {
			continue
		}
		_ = listener.Close()
		return base
	}
	fail("no free loopback network")
	return ""
}

// writeSettings writes the settings file of a daemon.
func (d *Daemon) writeSettings(zones []string, extra string, bootstrap bool) {
	var text strings.Builder
	fmt.Fprintf(&text, "nodeName=front-%s-%d\nrole=entry\nmachineClass=front\nserves=front\nip=%s\nzone=%s\nregion=home\n",
		d.zone, d.number+1, d.ip, d.zone)
	known := make(map[string]bool)
	for _, zone := range zones {
		if !known[zone] {
			fmt.Fprintf(&text, "zones.%s=home\n", zone)
		}
		known[zone] = true
	}
	fmt.Fprintf(&text, "listen.front=%s:8641\nlisten.ready=%s:8640\nportRange=7620,7635\nbootstrap=%t\n", d.ip, d.ip, bootstrap)
	fmt.Fprintf(&text, "platform.address=%s\nplatform.form=table\n", d.door.address())
	text.WriteString(commonSettings)
	text.WriteString(extra)
	if err := os.WriteFile(d.settingsFile(), []byte(text.String()), 0o600); err != nil {
		fail("settings: %v", err)
	}
}

// commonSettings are the settings that all daemons of a small deployment share.
const commonSettings = `inTolerance=false
limits.cpuShare=0.32
limits.cores=1
limits.memoryMb=284
limits.maxFds=4100
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

func (d *Daemon) settingsFile() string {
	return filepath.Join(d.lab.temp, fmt.Sprintf("settings-%d", d.number))
}

// start starts the process with the command of the deploy file.
func (d *Daemon) start() {
	log, err := os.OpenFile(filepath.Join(d.lab.temp, fmt.Sprintf("log-%d", d.number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	defer func() { _ = log.Close() }()
	d.command = exec.Command("target/rosemarywick", "entry")
	d.command.Dir = d.lab.root
	d.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ROSEMARYWICK_SETTINGS=" + d.settingsFile()}
	d.command.Stdout, d.command.Stderr = log, log
	if err := d.command.Start(); err != nil {
		fail("start daemon: %v", err)
	}
	command, ended := d.command, make(chan struct{})
	d.ended = ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	d.lab.note("start", "", fmt.Sprintf("daemon %d in zone %s, pid %d", d.number, d.zone, command.Process.Pid))
}

// signal sends a signal to the process.
func (d *Daemon) signal(signal syscall.Signal) {
	d.lab.note("signal", "", fmt.Sprintf("daemon %d: %v", d.number, signal))
	_ = d.command.Process.Signal(signal)
}

// kill ends the process.
func (d *Daemon) kill() {
	if d.command == nil || d.command.Process == nil {
		return
	}
	_ = d.command.Process.Kill()
	<-d.ended
}

// ready reports whether the daemon says that it is ready.
func (d *Daemon) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + d.ip + ":8640/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (d *Daemon) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.ready() {
			return
		}
	}
	content, _ := os.ReadFile(filepath.Join(d.lab.temp, fmt.Sprintf("log-%d", d.number)))
	fail("daemon %d is not ready: %s", d.number, content)
}

// reply is what a client has received. The status is zero if the connection ended without an answer.
type reply struct {
	status    int
	body      string
	signature string
	header    http.Header
}

// callers holds the connections of the clients.
var callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}

// call sends a request to a daemon as a client does.
func (l *Lab) call(d *Daemon, method, path, id, key string, deadline time.Duration) reply {
	request, err := http.NewRequest(method, "http://"+d.front()+path, nil)
	if err != nil {
		fail("request: %v", err)
	}
	request.Host = hostname
	request.Header.Set("Rosemarywick-Attempt-Id", id)
	request.Header.Set("Rosemarywick-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		request.Header.Set("Rosemarywick-Shard-Key", key)
	}
	l.note("sent", id, fmt.Sprintf("%s %s key %s to daemon %d", method, path, key, d.number))
	response, err := callers.Do(request)
	if err != nil {
		l.note("answered", id, "connection ended")
		return reply{}
	}
	defer func() { _ = response.Body.Close() }()
	var body strings.Builder
	buffer := make([]byte, 4096)
	for err == nil {
		var n int
		n, err = response.Body.Read(buffer)
		body.Write(buffer[:n])
	}
	l.note("answered", id, fmt.Sprintf("%d %q %s", response.StatusCode, response.Header.Get("Rosemarywick-Response-Signature"),
		strings.TrimSpace(body.String())))
	return reply{response.StatusCode, body.String(), response.Header.Get("Rosemarywick-Response-Signature"), response.Header}
}

const hostname = "hulo84.example"
