package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client is a connection of a client to a daemon.
type client struct {
	net.Conn
	reader *bufio.Reader
	// received counts the bytes that were received.
	received int
}

// dial opens a connection to a daemon.
func dial(d *daemon) (*client, error) {
	conn, err := net.DialTimeout("tcp", d.address(), time.Second)
	if err != nil {
		return nil, err
	}
	result := &client{Conn: conn}
	result.reader = bufio.NewReader(result)
	return result, nil
}

// Read counts what is received.
func (c *client) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received += n
	return n, err
}

// answer is the answer to a request.
type answer struct {
	status int
	// signed is set if the answer bears the signature of a worker.
	signed bool
	// received is how many bytes of the answer arrived.
	received int
}

// get sends a request without a body and reads the whole answer. An error means that there is no complete one.
func (c *client) get(host, path, id string, deadline time.Duration) (answer, error) {
	return c.exchange("GET "+path, host, id, "", deadline)
}

// post sends a request with a body and reads the whole answer. An error means that there is no complete one.
func (c *client) post(host, path, id, body string, deadline time.Duration) (answer, error) {
	return c.exchange("POST "+path, host, id, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), deadline)
}

// exchange sends a request, with the end of its head and its body in rest, and reads the whole answer.
func (c *client) exchange(methodAndPath, host, id, rest string, deadline time.Duration) (answer, error) {
	before := c.received
	if rest == "" {
		rest = "\r\n"
	}
	_, err := fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: %s\r\nRosemarywick-Attempt-Id: %s\r\nRosemarywick-Deadline-Ms: %d\r\n%s",
		methodAndPath, host, id, deadline.Milliseconds(), rest)
	if err != nil {
		return answer{}, err
	}
	_ = c.SetReadDeadline(time.Now().Add(deadline))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{received: c.received - before}, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return answer{
		status: response.StatusCode, signed: response.Header.Get("Rosemarywick-Response-Signature") != "", received: c.received - before,
	}, err
}
