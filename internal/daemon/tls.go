package daemon

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/verbenapier/verbenapier/internal/params"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// nodeUnit and operatorUnit are the organisational units that the certificates
// of nodes and of operators carry.
const (
	nodeUnit     = "node"
	operatorUnit = "operator"
)

// nodeTLS holds the TLS configurations of this node: client for its connections
// to other nodes, server for connections from other nodes, and operator for
// connections from operators. All are nil if the settings turn TLS off.
type nodeTLS struct {
	client   *tls.Config
	server   *tls.Config
	operator *tls.Config
}

// newNodeTLS creates the TLS configurations. On a connection between two nodes,
// each node must present a certificate that the configured authority has signed
// and that carries the unit nodeUnit. An operator must present one that carries
// operatorUnit.
func newNodeTLS(settings params.Settings) (nodeTLS, error) {
	if settings.Insecure {
		return nodeTLS{}, nil
	}
	pool, pair, err := settings.TLS.Load()
	if err != nil {
		return nodeTLS{}, err
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
	// certificate when its address changes. InsecureSkipVerify turns off the
	// standard verification, which includes the address. VerifyConnection
	// verifies the chain and the unit instead.
	client.InsecureSkipVerify = true
	client.VerifyConnection = func(state tls.ConnectionState) error { return verifyNode(state, base) }
	server := base.Clone()
	server.VerifyConnection = requireUnit(nodeUnit)
	operator := base.Clone()
	operator.VerifyConnection = requireUnit(operatorUnit)
	return nodeTLS{client: client, server: server, operator: operator}, nil
}

// requireUnit returns a check that accepts a connection only if the peer, the
// node or operator at its other end, has presented a certificate that carries
// the unit.
func requireUnit(unit string) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return fault.New(fault.Unauthenticated, "the peer presented no certificate")
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

// verifyNode verifies the unit and the chain of another node's certificate. It
// does not verify a host name.
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
