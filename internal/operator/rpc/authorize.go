package rpc

import (
	"context"
	"crypto/x509"
	"net/http"
	"slices"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"rosemarywick.example/rosemarywick/internal/operator/api/apiconnect"
)

// Role is the set of calls that a client certificate permits. It is taken from the certificate's organizational units.
type Role string

const (
	// RoleRead permits calls that only read.
	RoleRead Role = "read"
	// RoleOperate permits all calls.
	RoleOperate Role = "operate"
)

const metricsPath = "/metrics"

// readOnlyPaths is the allowlist of paths for RoleRead. Every other path requires RoleOperate.
var readOnlyPaths = map[string]bool{
	metricsPath: true,
	apiconnect.OperatorServiceCheckConfigProcedure:       true,
	apiconnect.OperatorServiceGetConfigProcedure:         true,
	apiconnect.OperatorServiceDiffConfigProcedure:        true,
	apiconnect.OperatorServiceConfigStatusProcedure:      true,
	apiconnect.OperatorServiceWatchConfigStatusProcedure: true,
	apiconnect.OperatorServiceListHostsProcedure:         true,
	apiconnect.OperatorServiceListUpstreamsProcedure:     true,
	apiconnect.OperatorServiceListPartitionsProcedure:    true,
	apiconnect.OperatorServiceOwnerOfProcedure:           true,
	apiconnect.OperatorServiceExplainProcedure:           true,
	apiconnect.OperatorServiceRecentRecordsProcedure:     true,
}

// subjectContextKey is the context key of the subject of the client certificate.
type subjectContextKey struct{}

// certificateSubject returns the common name of the client certificate of the call.
func certificateSubject(ctx context.Context) string {
	name, _ := ctx.Value(subjectContextKey{}).(string)
	return name
}

// authorize wraps a handler and calls it only for requests that the client certificate permits. It rejects and logs others.
func (s *Server) authorize(next http.Handler) http.Handler {
	rejectionWriter := connect.NewErrorWriter()
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		subject, rejection := s.checkPermission(request)
		if rejection == nil {
			ctx := context.WithValue(request.Context(), subjectContextKey{}, subject)
			next.ServeHTTP(response, request.WithContext(ctx))
			return
		}
		s.Log.Warn().Str("subject", subject).Str("call", request.URL.Path).Str("remote", request.RemoteAddr).
			Str("reason", rejection.Message()).Msg("operator call rejected")
		if rejectionWriter.IsSupported(request) {
			_ = rejectionWriter.Write(response, request, rejection) // the client may be gone
			return
		}
		http.Error(response, rejection.Message(), http.StatusForbidden)
	})
}

// checkPermission returns the subject of the client certificate, and an error if it does not permit the request.
func (s *Server) checkPermission(request *http.Request) (string, *connect.Error) {
	if request.TLS == nil || len(request.TLS.PeerCertificates) == 0 {
		return "", connect.NewError(connect.CodeUnauthenticated, errors.New("a client certificate is required"))
	}
	certificate := request.TLS.PeerCertificates[0]
	subject := certificate.Subject.CommonName
	if err := s.verifyChain(request.TLS.PeerCertificates); err != nil {
		return subject, connect.NewError(connect.CodeUnauthenticated, errors.Wrap(err, "client certificate"))
	}
	units := certificate.Subject.OrganizationalUnit
	switch {
	case slices.Contains(units, string(RoleOperate)):
		return subject, nil
	case !slices.Contains(units, string(RoleRead)):
		return subject, connect.NewError(connect.CodePermissionDenied,
			errors.Newf("the certificate of %q has neither the role %q nor %q", subject, RoleRead, RoleOperate))
	case readOnlyPaths[request.URL.Path]:
		return subject, nil
	}
	return subject, connect.NewError(connect.CodePermissionDenied,
		errors.Newf("the certificate of %q has the role %q, but the call needs %q", subject, RoleRead, RoleOperate))
}

// verifyChain verifies a client certificate chain against the authorities of operators. The TLS handshake has proven that the
// client holds the private key. The chain is verified for each call, so that an expired certificate is rejected on an open
// connection, too.
func (s *Server) verifyChain(chain []*x509.Certificate) error {
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: s.Credentials.Authorities(), Intermediates: intermediates, CurrentTime: s.Clock.Now(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	return err
}
