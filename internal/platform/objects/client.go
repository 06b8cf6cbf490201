package objects

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// DefaultTimeout bounds one request if Client.Timeout is zero.
const DefaultTimeout = 5 * time.Second

// maxResponseBytes bounds the memory that one object or list may take.
const maxResponseBytes = 64 << 20

// Client is a Store that calls the object store over HTTP: PUT, GET and DELETE on /objects/NAME, and GET on
// /objects?prefix=PREFIX for the list. The exported fields are set before the first call.
type Client struct {
	Address netip.AddrPort
	// Timeout bounds each request; zero means DefaultTimeout.
	Timeout time.Duration
	// TLS is nil for an unencrypted connection.
	TLS *tls.Config

	once      sync.Once
	transport *http.Transport
}

var _ Store = (*Client)(nil)

// Close closes idle connections.
func (c *Client) Close() {
	c.init()
	c.transport.CloseIdleConnections()
}

// Put stores an object under a name and replaces an existing one.
func (c *Client) Put(ctx context.Context, name string, content []byte) error {
	_, err := c.do(ctx, http.MethodPut, "/objects/"+url.PathEscape(name), content)
	return err
}

// Get returns the content of an object, or ErrNotFound.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	return c.do(ctx, http.MethodGet, "/objects/"+url.PathEscape(name), nil)
}

// List returns the names that begin with prefix, sorted.
func (c *Client) List(ctx context.Context, prefix string) ([]string, error) {
	body, err := c.do(ctx, http.MethodGet, "/objects?prefix="+url.QueryEscape(prefix), nil)
	if err != nil {
		return nil, err
	}
	var list struct {
		Names []string `json:"names"`
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "list: %v", err)
	}
	return list.Names, nil
}

// Delete removes an object. It returns no error if the object does not exist.
func (c *Client) Delete(ctx context.Context, name string) error {
	_, err := c.do(ctx, http.MethodDelete, "/objects/"+url.PathEscape(name), nil)
	return err
}

func (c *Client) init() {
	c.once.Do(func() {
		if c.Timeout <= 0 {
			c.Timeout = DefaultTimeout
		}
		c.transport = &http.Transport{TLSClientConfig: c.TLS, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	})
}

// do sends a request and returns the body of the response. It returns ErrNotFound only for GET.
func (c *Client) do(ctx context.Context, method, target string, content []byte) ([]byte, error) {
	c.init()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	scheme := "http://"
	if c.TLS != nil {
		scheme = "https://"
	}
	request, err := http.NewRequestWithContext(ctx, method, scheme+c.Address.String()+target, bytes.NewReader(content))
	if err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "%s: %v", method, err)
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "%s: %v", method, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return nil, errors.Wrapf(ErrUnavailable, "%s: %v", method, err)
	case len(body) > maxResponseBytes:
		return nil, errors.Wrapf(ErrUnavailable, "%s: response exceeds %d bytes", method, maxResponseBytes)
	case response.StatusCode == http.StatusNotFound && method == http.MethodGet:
		return nil, ErrNotFound
	case response.StatusCode/100 != 2:
		return nil, errors.Wrapf(ErrUnavailable, "%s: status %d", method, response.StatusCode)
	}
	return body, nil
}
