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

// Role is what a certificate permits. It stands in the organizational unit of the certificate.
type Role string

const (
	// RoleRead permits calls that change nothing.
	RoleRead Role = "read"
	// RoleOperate permits all calls.
	RoleOperate Role = "operate"
)

const metricsPath = "/metrics"

// readable are the calls that the role read permits. Every other path needs the role operate.
var readable = map[string]bool{
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

type subjectKey struct{}

// subjectOf returns the name in the certificate of the caller.
func subjectOf(ctx context.Context) string {
	name, _ := ctx.Value(subjectKey{}).(string)
	return name
}

// authorize passes a call on if the certificate permits it. Every other call is rejected and logged.
func (s *Server) authorize(next http.Handler) http.Handler {
	rejections := connect.NewErrorWriter()
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		subject, rejection := s.permit(request)
		if rejection == nil {
			ctx := context.WithValue(request.Context(), subjectKey{}, subject)
			next.ServeHTTP(response, request.WithContext(ctx))
			return
		}
		s.Log.Warn().Str("subject", subject).Str("call", request.URL.Path).Str("remote", request.RemoteAddr).
			Str("reason", rejection.Message()).Msg("operator call rejected")
		if rejections.IsSupported(request) {
			_ = rejections.Write(response, request, rejection) // the client may be gone
			return
		}
		http.Error(response, rejection.Message(), http.StatusForbidden)
	})
}

// permit returns the subject of the caller's certificate and why the call is not permitted, or nil.
func (s *Server) permit(request *http.Request) (string, *connect.Error) {
	if request.TLS == nil || len(request.TLS.PeerCertificates) == 0 {
		return "", connect.NewError(connect.CodeUnauthenticated, errors.New("a client certificate is required"))
	}
	certificate := request.TLS.PeerCertificates[0]
	subject := certificate.Subject.CommonName
	if err := s.verify(request.TLS.PeerCertificates); err != nil {
		return subject, connect.NewError(connect.CodeUnauthenticated, errors.Wrap(err, "client certificate"))
	}
	units := certificate.Subject.OrganizationalUnit
	switch {
	case slices.Contains(units, string(RoleOperate)):
		return subject, nil
	case !slices.Contains(units, string(RoleRead)):
		return subject, connect.NewError(connect.CodePermissionDenied,
			errors.Newf("the certificate of %q has neither the role %q nor %q", subject, RoleRead, RoleOperate))
	case readable[request.URL.Path]:
		return subject, nil
	}
	return subject, connect.NewError(connect.CodePermissionDenied,
		errors.Newf("the certificate of %q has the role %q, but the call needs %q", subject, RoleRead, RoleOperate))
}

// verify checks the chain of a certificate whose key the handshake has proven the client to have. It does so for each
// call, so that a certificate that expires ends a connection's permission, too.
func (s *Server) verify(chain []*x509.Certificate) error {
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
