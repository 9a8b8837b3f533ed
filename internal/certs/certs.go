// Package certs creates a certificate authority and the certificates of nodes
// and operators, for deployments that have no authority of their own.
package certs

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Organisational units in the subjects of certificates, which distinguish nodes from
// operators.
const (
	UnitNode     = "node"
	UnitOperator = "operator"
)

const (
	// backdate is how long before its creation a certificate becomes valid, so
	// that hosts whose clock is behind accept it.
	backdate   = 5 * time.Minute
	serialBits = 128
)

// Pair is a certificate and its private key, both PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// Authority creates a self-signed certificate authority.
func Authority(name string, validity time.Duration) (Pair, error) {
	t := template(name, validity)
	t.IsCA = true
	t.BasicConstraintsValid = true
	t.MaxPathLenZero = true
	t.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	return issue(t, nil, nil)
}

// Node creates the certificate with which a host serves under the given addresses
// and calls other hosts. The error is Invalid when the authority is malformed or
// expires before the certificate would.
func Node(authority Pair, name string, addresses []net.IP, validity time.Duration) (Pair, error) {
	t := template(name, validity)
	t.Subject.OrganizationalUnit = []string{UnitNode}
	t.IPAddresses = addresses
	t.DNSNames = []string{name}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return sign(authority, t)
}

// Operator creates the client certificate of an operator. The error is Invalid when
// the authority is malformed or expires before the certificate would.
func Operator(authority Pair, name string, validity time.Duration) (Pair, error) {
	t := template(name, validity)
	t.Subject.OrganizationalUnit = []string{UnitOperator}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	return sign(authority, t)
}

func template(name string, validity time.Duration) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		Subject:   pkix.Name{CommonName: name},
		NotBefore: now.Add(-backdate),
		NotAfter:  now.Add(validity),
	}
}

func sign(authority Pair, t *x509.Certificate) (Pair, error) {
	pair, err := tls.X509KeyPair(authority.Certificate, authority.Key)
	if err != nil {
		return Pair{}, fault.Wrap(fault.Invalid, err, "reading the authority's certificate and key")
	}
	signer, ok := pair.PrivateKey.(crypto.Signer)
	if !ok || !pair.Leaf.IsCA {
		return Pair{}, fault.New(fault.Invalid, "the certificate belongs to no certificate authority")
	}
	if t.NotAfter.After(pair.Leaf.NotAfter) {
		return Pair{}, fault.New(fault.Invalid, "the certificate would outlive its authority, which expires at %s", pair.Leaf.NotAfter.UTC().Format(time.RFC3339))
	}
	return issue(t, pair.Leaf, signer)
}

// issue creates a key and a certificate for it from the template t. The certificate
// is signed with the parent's key, or self-signed when parent is nil.
func issue(t, parent *x509.Certificate, signer crypto.Signer) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, fault.Wrap(fault.Internal, err, "generating a key")
	}
	if t.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits)); err != nil {
		return Pair{}, fault.Wrap(fault.Internal, err, "generating a serial number")
	}
	if parent == nil {
		parent, signer = t, key
	}
	der, err := x509.CreateCertificate(rand.Reader, t, parent, key.Public(), signer)
	if err != nil {
		return Pair{}, fault.Wrap(fault.Internal, err, "signing the certificate")
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, fault.Wrap(fault.Internal, err, "encoding the key")
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}),
	}, nil
}
