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
	// ID is the request identifier. If it is empty, a random one is used.
	ID fleet.RequestID
	// IdempotencyKey is not sent if it is empty.
	IdempotencyKey string
	// Timeout is not sent if it is zero.
	Timeout time.Duration
}

// Answer is the response to a call as its caller saw it.
type Answer struct {
	Call
	Host               fleet.HostID
	StartedAt, EndedAt time.Time
	Status             int
	Outcome            cause.Outcome
	Cause              cause.Cause
	Worker             fleet.UpstreamID
	content            string
	// Err is set if there was no response or the caller could tell that it was incomplete.
	Err error
}

// Complete reports whether the caller received the complete response of an upstream.
func (a *Answer) Complete() bool {
	return a.Err == nil && a.Outcome == cause.Complete
}

// String describes the call and its answer.
func (a *Answer) String() string {
	return fmt.Sprintf("%s %s %s through %s at %s after %s: %s, %s, status %d, error %v", a.Method, a.Path, a.ID, a.Host,
		a.StartedAt.Format("05.000"), a.EndedAt.Sub(a.StartedAt), a.Outcome, a.Cause, a.Status, a.Err)
}

// callerClient is the HTTP client of all callers. It keeps enough idle connections for the callers of a fleet.
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

// roundTrip sends the call of an answer and fills in the response.
func (f *Fleet) roundTrip(ctx context.Context, answer *Answer) error {
	address, err := f.CallerAddress(answer.Host)
	if err != nil {
		return err
	}
	var body io.Reader
	if answer.Method == http.MethodPost {
		body = io.NopCloser(strings.NewReader(string(answer.ID))) // without GetBody, net/http cannot resend the request
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

// IsReady probes the readiness endpoint of a daemon as the load balancer does.
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

// FindContradictions compares answers with what the upstreams ran, and returns a line for each contradiction: a complete answer
// without an effect, an effect of a request that was reported as not run, a second effect of a POST request, or the content of
// another request.
func (f *Fleet) FindContradictions(answers []Answer) []string {
	var found []string
	for i := range answers {
		answer := &answers[i]
		effects := f.RunCounts(answer.ID).Effects
		succeeded := answer.Complete() && answer.Status == http.StatusOK
		switch {
		case succeeded && effects == 0, answer.Outcome == cause.NotRun && effects > 0,
			answer.Method == http.MethodPost && effects > 1:
			found = append(found, fmt.Sprintf("took effect %d times: %s", effects, answer))
		case succeeded && answer.content != "ran "+string(answer.ID)+"\n":
			found = append(found, fmt.Sprintf("answer of another request %q: %s", answer.content, answer))
		}
	}
	return found
}

// LoadGenerator repeatedly sends calls through each daemon that reports that it is ready, as callers behind the platform's load
// balancer do. The exported fields are set before Start.
type LoadGenerator struct {
	Fleet *Fleet
	// Calls are sent concurrently, each by one caller for each daemon that waits for an answer before it sends the call again.
	// Request identifiers are ignored, and a call with an idempotency key gets a new key each time.
	Calls []Call
	// Pause is the time between an answer and the next call.
	Pause time.Duration

	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu sync.Mutex
	// answers is guarded by mu.
	answers []Answer
}

// Start starts to send calls.
func (l *LoadGenerator) Start(ctx context.Context) {
	ctx, l.cancel = context.WithCancel(ctx)
	l.tasks.Go(func() { l.startCallers(ctx) })
}

// Stop waits for the answers to the calls in flight and returns all answers.
func (l *LoadGenerator) Stop() []Answer {
	l.cancel()
	l.tasks.Wait()
	return l.answers
}

// AnswerCount returns the number of answers so far.
func (l *LoadGenerator) AnswerCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.answers)
}

// startCallers starts the callers of each daemon once it is ready, until ctx ends.
func (l *LoadGenerator) startCallers(ctx context.Context) {
	started := make(map[fleet.HostID]bool)
	ticks := l.Fleet.Timer.Every(readyInterval)
	defer ticks.Stop()
	for {
		for _, host := range l.Fleet.Hosts() {
			if started[host] || !l.Fleet.IsReady(ctx, host) {
				continue
			}
			started[host] = true
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

// sendRepeatedly sends a call again and again until the daemon is not ready or ctx ends. A call in flight is completed.
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
