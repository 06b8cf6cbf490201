package dev

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/core/fleet"
	"rosemarywick.example/rosemarywick/internal/core/timer"
	"rosemarywick.example/rosemarywick/internal/operator/api"
	"rosemarywick.example/rosemarywick/internal/operator/api/apiconnect"
	platform "rosemarywick.example/rosemarywick/internal/platform/standin"
)

// Platform returns the fake platform, in which tests inject faults.
func (f *Fleet) Platform() *platform.Platform {
	return f.platform
}

// OperatorClient returns a client of the operator API of a daemon, with the role that may make changes.
func (f *Fleet) OperatorClient(id fleet.HostID) (apiconnect.OperatorServiceClient, error) {
	client, url, err := f.operatorHTTP(id)
	if err != nil {
		return nil, err
	}
	return apiconnect.NewOperatorServiceClient(client, url), nil
}

// operatorHTTP returns an HTTP client with the operator's certificate, and the URL of a daemon's operator address.
func (f *Fleet) operatorHTTP(id fleet.HostID) (*http.Client, string, error) {
	daemon, err := f.instance(id)
	if err != nil {
		return nil, "", err
	}
	certificate, err := tls.LoadX509KeyPair(f.operatorTLS.CertificateFile, f.operatorTLS.KeyFile)
	if err != nil {
		return nil, "", errors.Wrap(err, "load certificate")
	}
	authority, err := os.ReadFile(f.operatorTLS.AuthorityFile)
	if err != nil {
		return nil, "", errors.Wrap(err, "load authority")
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(authority)
	transport := &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate}, RootCAs: roots,
	}}
	return &http.Client{Transport: transport}, "https://" + daemon.settings.OperatorAddress.String(), nil
}

// WaitAssigner waits until all daemons name the same running daemon as the assigner of a service.
func (f *Fleet) WaitAssigner(ctx context.Context, service fleet.ServiceName) (fleet.HostID, error) {
	for {
		if id, agreed := f.assigner(ctx, service); agreed {
			return id, nil
		}
		if err := timer.Wait(ctx, f.Timer, readyInterval); err != nil {
			return "", errors.Wrap(err, "dev: wait until all daemons name the same assigner")
		}
	}
}

// assigner returns the assigner of a service, or false if the daemons do not all name the same running one.
func (f *Fleet) assigner(ctx context.Context, service fleet.ServiceName) (fleet.HostID, bool) {
	var common fleet.HostID
	hosts := f.Hosts()
	for _, host := range hosts {
		named, err := f.assignerOf(ctx, host, service)
		if err != nil || named == "" || common != "" && named != common {
			return "", false
		}
		common = named
	}
	_, err := f.instance(common)
	return common, err == nil
}

// assignerOf returns the host that a daemon names as the assigner of a service.
func (f *Fleet) assignerOf(ctx context.Context, host fleet.HostID, service fleet.ServiceName) (fleet.HostID, error) {
	client, err := f.OperatorClient(host)
	if err != nil {
		return "", err
	}
	response, err := client.ListHosts(ctx, connect.NewRequest(&api.ListHostsRequest{}))
	if err != nil {
		return "", errors.Wrapf(err, "list hosts at %s", host)
	}
	for _, entry := range response.Msg.GetHosts() {
		for _, name := range entry.GetAssignerOf() {
			if name == string(service) {
				return fleet.HostID(entry.GetId()), nil
			}
		}
	}
	return "", nil
}
