// Command lab runs the scripted cases of the second review. It plays the store, the workers and the clients of a small deployment,
// and starts the daemons as separate processes. It is called from the root of the repository.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// longestRun is the time after which a case is given up.
const longestRun = 110 * time.Second

// cases maps the name of a case to the function that plays it. The function is told whether the disruption is to be made.
var cases = map[string]func(r *rig, trouble bool) (int, error){
	"awaited-answers":   awaitedAnswers,
	"joined-zone":       joinedZone,
	"late-requests":     lateRequests,
	"stalled-feed":      stalledFeed,
	"unsharded-retries": unshardedRetries,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		os.Exit(notRun)
	}
	r, err := newRig(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	done := make(chan int, 1)
	go func() {
		code, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
		if err != nil {
			r.say("could not run: %v", err)
			code = notRun
		}
		done <- code
	}()
	code := notRun
	select {
	case code = <-done:
	case <-ended:
		r.say("interrupted")
	case <-time.After(longestRun):
		r.say("not done after %v", longestRun)
	}
	r.stop()
	os.Exit(code)
}
