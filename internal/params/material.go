package params

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Resolve returns the PEM text that a TLS setting names or contains. If its file
// or variable is missing, the error is Invalid. The message contains no key.
func Resolve(value string) ([]byte, error) {
	if path, ok := strings.CutPrefix(value, fileScheme); ok {
		data, err := os.ReadFile(path)
		return data, fault.Wrap(fault.Invalid, err, "read TLS material")
	}
	if variable, ok := strings.CutPrefix(value, envScheme); ok {
		text, ok := os.LookupEnv(variable)
		if !ok {
			return nil, fault.New(fault.Invalid, "environment variable %s is not set", variable)
		}
		return []byte(text), nil
	}
	return []byte(value), nil
}

// Load reads the certificate authority and the certificate with its key. Each
// call reads the files again, so that a rotated certificate is picked up. Errors
// are Invalid.
func (t TLS) Load() (*x509.CertPool, tls.Certificate, error) {
	ca, err := Resolve(t.CA)
	if err != nil {
		return nil, tls.Certificate{}, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, tls.Certificate{}, fault.New(fault.Invalid, "tls.ca holds no certificate")
	}
	pair, err := loadPair("tls", t.Certificate, t.Key)
	return pool, pair, err
}

// Load reads the certificate with its key. Errors are Invalid.
func (t CallerTLS) Load() (tls.Certificate, error) {
	return loadPair("caller_tls", t.Certificate, t.Key)
}

// loadPair reads a certificate with its key. Errors name the settings by section,
// such as "tls".
func loadPair(section, certificate, key string) (tls.Certificate, error) {
	cert, err := Resolve(certificate)
	if err != nil {
		return tls.Certificate{}, err
	}
	privateKey, err := Resolve(key)
	if err != nil {
		return tls.Certificate{}, err
	}
	pair, err := tls.X509KeyPair(cert, privateKey)
	return pair, fault.Wrap(fault.Invalid, err, "%s.certificate and %s.key", section, section)
}
