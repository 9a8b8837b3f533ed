package cmdset

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"

	"github.com/verbenapier/verbenapier/internal/admin"
	"github.com/verbenapier/verbenapier/internal/params"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// maxAnswerBytes limits how much of a node's answer is read.
const maxAnswerBytes = 256 << 20

// remoteError is an error that a node reported.
type remoteError struct {
	error
	body admin.ErrorBody
}

func (e *remoteError) Unwrap() error { return e.error }

// call sends a request to the node and decodes the answer into result. If the
// node does not answer, the error is Unreachable. An error that the node reports
// is returned as a remoteError of the same kind.
func (s *session) call(method, path string, body []byte, result any) error {
	client, scheme, err := s.client()
	if err != nil {
		return err
	}
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(s.ctx, s.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, scheme+"://"+s.Address+"/admin/v1/"+path, bytes.NewReader(body))
	if err != nil {
		return usageErrorf("--address %q is not an address and port", s.Address)
	}
	res, err := client.Do(req)
	if err != nil {
		return fault.Wrap(fault.Unreachable, innermost(err), "%s does not answer", s.Address)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return fault.Wrap(fault.Unreachable, innermost(err), "the answer of %s was cut off", s.Address)
	}
	var failure admin.ErrorAnswer
	if res.StatusCode >= http.StatusBadRequest && json.Unmarshal(data, &failure) == nil && failure.Error.Code != "" {
		kind, _ := fault.ParseKind(failure.Error.Code)
		return &remoteError{fault.New(kind, "%s", failure.Error.Message), failure.Error}
	}
	// A node that is not ready answers with its state and a status of 503.
	failed := res.StatusCode >= http.StatusBadRequest && path != "health"
	if failed || json.Unmarshal(data, result) != nil {
		return fault.New(fault.Internal, "%s did not answer as an operators' interface (status %d)", s.Address, res.StatusCode)
	}
	return nil
}

// innermost returns the innermost wrapped error, whose text, unlike that of the
// outer ones, does not contain the URL.
func innermost(err error) error {
	for next := errors.Unwrap(err); next != nil; next = errors.Unwrap(err) {
		err = next
	}
	return err
}

// client returns a client for the node's operators' interface and the scheme of
// its URLs.
func (s *session) client() (client *http.Client, scheme string, err error) {
	if s.Insecure {
		host, _, err := net.SplitHostPort(s.Address)
		if ip, parseErr := netip.ParseAddr(host); err != nil || parseErr != nil || !ip.IsLoopback() {
			return nil, "", usageErrorf("--insecure needs a loopback address, not %q", s.Address)
		}
		return &http.Client{Transport: &http.Transport{}}, "http", nil
	}
	if s.CA == "" || s.Certificate == "" || s.Key == "" {
		return nil, "", usageErrorf("--ca, --certificate and --key are required; see verbenapierctl help certificates")
	}
	material := params.TLS{CA: withScheme(s.CA), Certificate: withScheme(s.Certificate), Key: withScheme(s.Key)}
	pool, certificate, err := material.Load()
	if err != nil {
		return nil, "", err
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: pool, Certificates: []tls.Certificate{certificate},
	}}}, "https", nil
}

// withScheme puts "file:" before a bare path, as the TLS settings require, and
// returns any other value as it is.
func withScheme(value string) string {
	for _, prefix := range []string{"file:", "env:", "-----BEGIN "} {
		if strings.HasPrefix(value, prefix) {
			return value
		}
	}
	return "file:" + value
}
