package daemon

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/verbenapier/verbenapier/internal/params"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// nodeUnit and operatorUnit are the organisational units that the certificates
// of daemons and of operators carry.
const (
	nodeUnit     = "node"
	operatorUnit = "operator"
)

// peerTLS holds the TLS configurations for outgoing and incoming connections of
// peers and for connections of operators. All are nil if the settings turn TLS
// off.
type peerTLS struct {
	client *tls.Config
	server *tls.Config
	admin  *tls.Config
}

// newPeerTLS creates the TLS configurations. Both ends of a peer connection must
// present a certificate that the configured authority has signed and that
// carries the unit nodeUnit.
func newPeerTLS(settings params.Settings) (peerTLS, error) {
	if settings.Insecure {
		return peerTLS{}, nil
	}
	pool, pair, err := settings.TLS.Load()
	if err != nil {
		return peerTLS{}, err
	}
	base := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}
	client := base.Clone()
	// Certificates name hosts, not addresses, so that a host keeps its
	// certificate when its address changes. Instead of the address,
	// VerifyConnection verifies the chain and the unit.
	client.InsecureSkipVerify = true
	client.VerifyConnection = func(state tls.ConnectionState) error { return verifyNode(state, base) }
	server := base.Clone()
	server.VerifyConnection = requireUnit(nodeUnit)
	admin := base.Clone()
	admin.VerifyConnection = requireUnit(operatorUnit)
	return peerTLS{client: client, server: server, admin: admin}, nil
}

// requireUnit returns a check that accepts a connection only if the certificate
// of the other end carries the unit.
func requireUnit(unit string) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return fault.New(fault.Unauthenticated, "a certificate of the other end is required")
		}
		for _, u := range state.PeerCertificates[0].Subject.OrganizationalUnit {
			if u == unit {
				return nil
			}
		}
		return fault.New(fault.Forbidden, "the certificate of %q does not carry the unit %q",
			state.PeerCertificates[0].Subject.CommonName, unit)
	}
}

// verifyNode verifies the unit and the chain of a server's certificate. It does
// not verify a host name.
func verifyNode(state tls.ConnectionState, base *tls.Config) error {
	if err := requireUnit(nodeUnit)(state); err != nil {
		return err
	}
	options := x509.VerifyOptions{Roots: base.RootCAs, Intermediates: x509.NewCertPool()}
	for _, cert := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return fault.Wrap(fault.Unauthenticated, err, "the certificate of the peer is not trusted")
}
