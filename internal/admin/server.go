package admin

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/certs"
	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// Limits of the interface. They are independent of those of the callers' port.
const (
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	requestTimeout    = 30 * time.Second
	idleTimeout       = time.Minute
	stopTimeout       = 5 * time.Second
	// maxLocal limits the requests in flight that are answered from memory,
	// maxRemote those that wait for the platform. The limits are separate, so
	// that requests answered from memory still get a slot while the platform
	// does not answer.
	maxLocal  = 16
	maxRemote = 8
	// maxApply limits the documents that are applied at the same time. It is 1
	// because parsing a document takes many times the size of the document in
	// memory.
	maxApply = 1
	// maxBodyBytes is twice the size of a document with 19,000 organisations,
	// the number that the system is designed for.
	maxBodyBytes = 16 << 20
)

// Options are the dependencies of a Server. All but Insecure and Load are
// required.
type Options struct {
	State      State
	Drainer    Drainer
	Quarantine Quarantine
	Config     Config
	Alarms     Alarms
	Log        logrus.FieldLogger
	// Load returns the certificate authority and the certificate. It is
	// called for each connection, so that rotated files are picked up. When
	// a call fails, the result of the last successful call stays in use.
	Load func() (*x509.CertPool, tls.Certificate, error)
	// Insecure accepts connections without TLS from loopback addresses.
	Insecure bool
}

// Server serves the operators' interface.
type Server struct {
	Options
	// Each channel holds one element per request in flight of its kind; its
	// capacity is the limit.
	localSlots, remoteSlots, applySlots chan struct{}

	mu sync.Mutex
	// lastTLS is the result of the last successful Load.
	lastTLS *tls.Config
}

// New returns a server. If neither Load nor Insecure is set, its handler refuses
// every request and Serve fails.
func New(o Options) *Server {
	return &Server{
		Options:    o,
		localSlots: make(chan struct{}, maxLocal), remoteSlots: make(chan struct{}, maxRemote), applySlots: make(chan struct{}, maxApply),
	}
}

// Serve serves requests until the context ends, and then closes the listener.
// If the certificate is unusable at the start, the error is Invalid.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	if !s.Insecure {
		if _, err := s.tlsConfig(); err != nil {
			return err
		}
		listener = tls.NewListener(listener, &tls.Config{
			MinVersion:         tls.VersionTLS13,
			GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.tlsConfig() },
		})
	}
	server := &http.Server{
		Handler: guard.Handler(s.Log, "operators", s.Handler()), MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout: requestTimeout, WriteTimeout: 2 * requestTimeout, IdleTimeout: idleTimeout,
	}
	g := group.New(ctx)
	g.Go("admin stop", func(ctx context.Context) error {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		if server.Shutdown(stop) != nil {
			return server.Close()
		}
		return nil
	})
	err := server.Serve(listener)
	g.Stop()
	if stopErr := g.Wait(); stopErr != nil || err == http.ErrServerClosed { //nolint:errorlint // Serve returns it unwrapped.
		return stopErr
	}
	return fault.Wrap(fault.Internal, err, "serve the operators' interface")
}

// tlsConfig returns the TLS configuration with the current certificate, or with
// the last one that could be loaded.
func (s *Server) tlsConfig() (*tls.Config, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Load == nil {
		return nil, fault.New(fault.Invalid, "the operators' interface has no certificate")
	}
	pool, certificate, err := s.Load()
	if err == nil {
		s.lastTLS = &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate},
			ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
		}
	} else if s.lastTLS != nil {
		s.Log.WithFields(logrus.Fields{"event": "admin_certificate_kept", "error": fault.MessageOf(err)}).Warn("new certificate cannot be loaded; the last one stays in use")
		err = nil
	}
	return s.lastTLS, err
}

// authorize admits operators and, with Insecure, requests without TLS from
// loopback addresses. If the client has no certificate, the error is
// Unauthenticated; if its certificate is not an operator's, the error is Forbidden.
func (s *Server) authorize(r *http.Request) error {
	if r.TLS == nil {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		if ip := net.ParseIP(host); err == nil && s.Insecure && ip != nil && ip.IsLoopback() {
			return nil
		}
		return fault.New(fault.Unauthenticated, "a client certificate is required")
	}
	if len(r.TLS.VerifiedChains) == 0 {
		return fault.New(fault.Unauthenticated, "a client certificate is required")
	}
	if !slices.Contains(r.TLS.VerifiedChains[0][0].Subject.OrganizationalUnit, certs.UnitOperator) {
		return fault.New(fault.Forbidden, "the certificate's organisational unit is not %q", certs.UnitOperator)
	}
	return nil
}

// operatorName returns the common name of the operator's certificate, or
// "insecure" for a request without one.
func operatorName(r *http.Request) string {
	if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return "insecure"
	}
	return r.TLS.VerifiedChains[0][0].Subject.CommonName
}

// answer is the result of an endpoint. A zero status stands for 200.
type answer struct {
	status int
	body   any
}

type endpoint func(r *http.Request) (answer, error)

// serve wraps an endpoint with authorisation, a limit on requests in flight and
// a time limit.
func (s *Server) serve(slots chan struct{}, fn endpoint) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := s.authorize(r); err != nil {
			s.writeError(w, r, err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		case <-ctx.Done():
			s.writeError(w, r, fault.New(fault.Overloaded, "too many operators' requests in flight"))
			return
		}
		r = r.WithContext(ctx)
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		result, err := fn(r)
		if err != nil {
			s.writeError(w, r, err)
			return
		}
		writeJSON(w, max(result.status, http.StatusOK), result.body)
	})
}
