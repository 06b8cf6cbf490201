package rig

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Configuration is the operators' configuration of the cases: one keyed service and one without keys.
const Configuration = `{"version":"0000000c",
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},
"listeners":[{"hostname":"a.example","ruleset":[
 {"name":"read","type":"safe","targetLatencyS":0.6,"priority":2,"match":{"prefix":"/read/"},
  "action":{"service":"catalogo","timeoutS":1.5,"maxAttempts":2}},
 {"name":"commit","type":"unsafe","targetLatencyS":0.8,"priority":1,"match":{"prefix":"/commit/"},
  "action":{"service":"despacho","timeoutS":4,"maxAttempts":2}}]}],
"clusters":[
 {"name":"catalogo","healthPath":"/healthz","maxConns":130,"protocol":"h1","tls":false,"sharded":true,"warmS":3.0,"grants":"invocation"},
 {"name":"despacho","healthPath":"/healthz","maxConns":130,"protocol":"h1","tls":false}]}`

// Client sends requests to daemons.
type Client struct {
	Record *Record
	number atomic.Int64
	// answered counts the answers by status.
	answered [1000]atomic.Int64
}

// Answer is the answer to a request. Status is zero if the connection ended without one.
type Answer struct {
	Attempt string
	Status  int
	Body    []byte
	Err     error
}

// Send sends a request and returns the answer.
func (c *Client) Send(d *Daemon, method, path, key string, deadline time.Duration, body []byte) Answer {
	attempt := fmt.Sprintf("a%06d", c.number.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.Front+path, bytes.NewReader(body))
	if err != nil {
		Unable("make request: %v", err)
	}
	r.Host = "a.example"
	r.Header.Set("Rosemarywick-Attempt-Id", attempt)
	r.Header.Set("Rosemarywick-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		r.Header.Set("Rosemarywick-Shard-Key", key)
	}
	c.Record.Note("client sends %s to %s: %s %s, key %q, %d bytes", attempt, d.Name, method, path, key, len(body))
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		c.Record.Note("client gets no answer to %s: %v", attempt, err)
		return Answer{Attempt: attempt, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	c.answered[response.StatusCode%1000].Add(1)
	c.Record.Note("client gets %d to %s, %d bytes, complete: %t", response.StatusCode, attempt, len(content), err == nil)
	return Answer{Attempt: attempt, Status: response.StatusCode, Body: content, Err: err}
}

// Answered returns how many answers had a status.
func (c *Client) Answered(status int) int64 { return c.answered[status].Load() }

// Load sends keyed reads with random keys to all daemons until done is closed.
func (c *Client) Load(daemons []*Daemon, done <-chan struct{}, perSecond int, key func() int) {
	interval := time.Second / time.Duration(perSecond)
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(interval):
		}
		d := daemons[i%len(daemons)]
		go c.Send(d, http.MethodGet, fmt.Sprintf("/read/%d", i), strconv.Itoa(key()), 1500*time.Millisecond, nil)
	}
}
