package hosts

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
)

// DefaultTimeout bounds one request where the client sets no timeout of its own.
const DefaultTimeout = 2 * time.Second

// maxResponse bounds the memory that one list may take; 2,200 hosts take about 300 KB.
const maxResponse = 8 << 20

// Client is the List behind the platform's HTTP protocol: GET on /hosts, with a Document as the response. The exported
// fields are set before the first call.
type Client struct {
	Address netip.AddrPort
	// Timeout bounds each request; zero means DefaultTimeout.
	Timeout time.Duration
	// TLS is nil for a connection in plain text.
	TLS *tls.Config

	once      sync.Once
	transport *http.Transport
}

var _ List = (*Client)(nil)

// Document is the JSON form of the host list.
type Document struct {
	Hosts []DocumentHost `json:"hosts"`
}

// DocumentHost is the JSON form of one entry.
type DocumentHost struct {
	ID            string         `json:"id"`
	Region        string         `json:"region"`
	FailureDomain string         `json:"failure-domain"`
	PeerAddress   netip.AddrPort `json:"peer-address"`
	State         string         `json:"state"`
}

// NewDocument returns the JSON form of entries.
func NewDocument(entries []Entry) Document {
	document := Document{Hosts: make([]DocumentHost, 0, len(entries))}
	for _, entry := range entries {
		document.Hosts = append(document.Hosts, DocumentHost{
			ID: string(entry.Host.ID), Region: string(entry.Host.Locality.Region), FailureDomain: string(entry.Host.Locality.Domain),
			PeerAddress: entry.Host.PeerAddress, State: string(entry.State),
		})
	}
	return document
}

// Entries returns the entries that the document describes. An entry without an identifier or an address is left out,
// as no daemon could reach it.
func (d Document) Entries() []Entry {
	entries := make([]Entry, 0, len(d.Hosts))
	for _, host := range d.Hosts {
		if host.ID == "" || !host.PeerAddress.IsValid() {
			continue
		}
		place := fleet.Locality{Region: fleet.Region(host.Region), Domain: fleet.FailureDomain(host.FailureDomain)}
		entries = append(entries, Entry{
			Host:  fleet.Host{ID: fleet.HostID(host.ID), Locality: place, PeerAddress: host.PeerAddress},
			State: State(host.State),
		})
	}
	return entries
}

// Close closes idle connections.
func (c *Client) Close() {
	c.open()
	c.transport.CloseIdleConnections()
}

// Hosts returns the hosts as the platform believes them to be.
func (c *Client) Hosts(ctx context.Context) ([]Entry, error) {
	c.open()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	scheme := "http://"
	if c.TLS != nil {
		scheme = "https://"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, scheme+c.Address.String()+"/hosts", http.NoBody)
	if err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "request: %v", err)
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "request: %v", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrUnavailable, "status %d", response.StatusCode)
	}
	var document Document
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponse)).Decode(&document); err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "response: %v", err)
	}
	return document.Entries(), nil
}

func (c *Client) open() {
	c.once.Do(func() {
		if c.Timeout <= 0 {
			c.Timeout = DefaultTimeout
		}
		c.transport = &http.Transport{TLSClientConfig: c.TLS, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}
	})
}
