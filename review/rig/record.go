// Package rig runs a small deployment for the cases of the review: the project's daemons as separate processes, and stand-ins of
// the store, the workers and the clients in this one.
package rig

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// Record is the list of what was sent, answered and run. It also holds the violations of the rule.
type Record struct {
	started time.Time
	file    *os.File

	mu     sync.Mutex
	broken int
}

var (
	cleanupMu sync.Mutex
	cleanups  []func()
)

// atExit registers a function that runs before the process exits.
func atExit(cleanup func()) {
	cleanupMu.Lock()
	defer cleanupMu.Unlock()
	cleanups = append(cleanups, cleanup)
}

func exit(code int) {
	cleanupMu.Lock()
	defer cleanupMu.Unlock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	os.Exit(code)
}

// Unable ends the case because it can't run.
func Unable(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "can't run: "+format+"\n", args...)
	exit(exitUnable)
}

// OpenRecord creates the record in a file. From then on, SIGINT and SIGTERM end the case.
func OpenRecord(path string) *Record {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { Unable("got signal %s", <-signals) }()
	file, err := os.Create(path)
	if err != nil {
		Unable("create record: %v", err)
	}
	return &Record{started: time.Now(), file: file}
}

// Note adds a line.
func (r *Record) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

// Broken adds a violation of the rule.
func (r *Record) Broken(format string, args ...any) {
	r.mu.Lock()
	r.broken++
	r.mu.Unlock()
	r.Note("BROKEN "+format, args...)
	fmt.Printf("BROKEN "+format+"\n", args...)
}

// Violations returns the number of violations so far.
func (r *Record) Violations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}

// Finish ends the case: the rule was broken if there are violations.
func (r *Record) Finish() {
	count := r.Violations()
	r.Note("violations: %d", count)
	fmt.Printf("violations: %d\n", count)
	if count > 0 {
		exit(exitBroken)
	}
	exit(exitHeld)
}

// Trouble reports whether the disruption is to be made.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Await waits until a condition holds. The case can't run if it doesn't within 30 s.
func Await(what string, holds func() bool) {
	for range 3000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	Unable("not within 30 s: %s", what)
}
