package dev

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/cause"
	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
)

// Call is a request of a caller.
type Call struct {
	Method, Path string
	// ID is the request identifier. An empty one stands for a random one.
	ID fleet.RequestID
	// IdempotencyKey is not sent if it is empty.
	IdempotencyKey string
	// Timeout is not sent if it is zero.
	Timeout time.Duration
}

// Answer is what a caller was told about a call.
type Answer struct {
	Call
	Host               fleet.HostID
	StartedAt, EndedAt time.Time
	Status             int
	Outcome            cause.Outcome
	Cause              cause.Cause
	Worker             fleet.UpstreamID
	content            string
	// Err is set when the caller could tell that the answer was not whole.
	Err error
}

// Complete reports whether the caller got the whole answer of an upstream.
func (a *Answer) Complete() bool {
	return a.Err == nil && a.Outcome == cause.Complete
}

// String names the call and what was told about it.
func (a *Answer) String() string {
	return fmt.Sprintf("%s %s %s through %s at %s after %s: %s, %s, status %d, error %v", a.Method, a.Path, a.ID, a.Host,
		a.StartedAt.Format("05.000"), a.EndedAt.Sub(a.StartedAt), a.Outcome, a.Cause, a.Status, a.Err)
}

// callers keeps enough idle connections for all callers of a fleet.
var callerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}

// Send sends a call through a daemon and waits for the answer.
func (f *Fleet) Send(ctx context.Context, host fleet.HostID, call Call) Answer {
	if call.ID == "" {
		call.ID = fleet.RequestID(rand.Text())
	}
	answer := Answer{Call: call, Host: host, StartedAt: f.Timer.Now(), Outcome: cause.Unknown}
	answer.Err = f.roundTrip(ctx, &answer)
	answer.EndedAt = f.Timer.Now()
	return answer
}

func (f *Fleet) roundTrip(ctx context.Context, answer *Answer) error {
	address, err := f.CallerAddress(answer.Host)
	if err != nil {
		return err
	}
	var body io.Reader
	if answer.Method == http.MethodPost {
		body = io.NopCloser(strings.NewReader(string(answer.ID))) // net/http cannot repeat it by itself
	}
	request, err := http.NewRequestWithContext(ctx, answer.Method, "http://"+address.String()+answer.Path, body)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	request.Header.Set("Rosemarywick-Request-Id", string(answer.ID))
	if answer.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", answer.IdempotencyKey)
	}
	if answer.Timeout > 0 {
		request.Header.Set("Rosemarywick-Timeout", answer.Timeout.String())
	}
	response, err := callerClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "send")
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	answer.Status, answer.content = response.StatusCode, string(content)
	answer.Outcome = cause.Outcome(response.Header.Get("Rosemarywick-Outcome"))
	answer.Cause = cause.Cause(response.Header.Get("Rosemarywick-Cause"))
	answer.Worker = fleet.UpstreamID(response.Header.Get("Worker"))
	return errors.Wrap(err, "read answer")
}

// Ready asks a daemon whether the balancer may send callers to it.
func (f *Fleet) IsReady(ctx context.Context, host fleet.HostID) bool {
	address, err := f.CallerAddress(host)
	if err != nil {
		return false
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/-/ready", http.NoBody)
	if err != nil {
		return false
	}
	response, err := callerClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Contradictions compares what callers were told with what the upstreams ran, and returns a line for each difference.
func (f *Fleet) FindContradictions(answers []Answer) []string {
	var found []string
	for i := range answers {
		one := &answers[i]
		effects := f.RunCounts(one.ID).Effects
		whole := one.Complete() && one.Status == http.StatusOK
		switch {
		case whole && effects == 0, one.Outcome == cause.NotRun && effects > 0,
			one.Method == http.MethodPost && effects > 1:
			found = append(found, fmt.Sprintf("took effect %d times: %s", effects, one))
		case whole && one.content != "ran "+string(one.ID)+"\n":
			found = append(found, fmt.Sprintf("answer of another request %q: %s", one.content, one))
		}
	}
	return found
}

// Load sends calls over and over through each daemon that reports that it is ready, as callers behind the platform's
// balancer do. The exported fields are set before Start.
type LoadGenerator struct {
	Fleet *Fleet
	// Calls are sent one after the other by one caller for each daemon and call. Their identifiers are ignored; a call
	// with an idempotency key gets a new one each time.
	Calls []Call
	// Pause is the time between an answer and the next call.
	Pause time.Duration

	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu sync.Mutex
	// answers is guarded by mu.
	answers []Answer
}

// Start begins to send.
func (l *LoadGenerator) Start(ctx context.Context) {
	ctx, l.cancel = context.WithCancel(ctx)
	l.tasks.Go(func() { l.startCallers(ctx) })
}

// Stop waits for the answers of the calls that are under way and returns all answers.
func (l *LoadGenerator) Stop() []Answer {
	l.cancel()
	l.tasks.Wait()
	return l.answers
}

// Answered returns the number of answers so far.
func (l *LoadGenerator) AnswerCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.answers)
}

// balance starts the callers of each daemon once it is ready.
func (l *LoadGenerator) startCallers(ctx context.Context) {
	used := make(map[fleet.HostID]bool)
	ticks := l.Fleet.Timer.Every(readyInterval)
	defer ticks.Stop()
	for {
		for _, host := range l.Fleet.Hosts() {
			if used[host] || !l.Fleet.IsReady(ctx, host) {
				continue
			}
			used[host] = true
			for _, call := range l.Calls {
				l.tasks.Go(func() { l.sendRepeatedly(ctx, host, call) })
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
	}
}

// repeat sends a call over and over until the daemon is no longer ready. A call that was begun is waited for.
func (l *LoadGenerator) sendRepeatedly(ctx context.Context, host fleet.HostID, call Call) {
	keyed := call.IdempotencyKey != ""
	for ctx.Err() == nil && l.Fleet.IsReady(ctx, host) {
		call.ID = ""
		if keyed {
			call.IdempotencyKey = rand.Text()
		}
		answer := l.Fleet.Send(context.WithoutCancel(ctx), host, call)
		l.mu.Lock()
		l.answers = append(l.answers, answer)
		l.mu.Unlock()
		_ = timer.Wait(ctx, l.Fleet.Timer, l.Pause)
	}
}
