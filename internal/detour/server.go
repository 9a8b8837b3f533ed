package detour

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/verbenapier/verbenapier/internal/dialer"
)

const (
	// requestTimeout and maxRequestBytes bound the request for a tunnel.
	requestTimeout  = time.Second
	maxRequestBytes = 1 << 10
	// connectTimeout bounds the connecting of a tunnel to its upstream.
	connectTimeout = 300 * time.Millisecond
	// writeTimeout bounds one write of a tunnel. It is longer than a host waits for a
	// caller that takes no bytes.
	writeTimeout = 15 * time.Second
	// lingerTime is how long a tunnel whose upstream has ended waits for its caller.
	lingerTime = 5 * time.Second
	// DescriptorsPerTunnel is the number of descriptors that a tunnel takes.
	DescriptorsPerTunnel = 2
)

// ServerOptions are the dependencies of a Server.
type ServerOptions struct {
	Dial  dialer.Func
	Reach *Reach
	// Allowed reports whether an upstream is registered at an address and takes new
	// requests of this host. There are no tunnels to other addresses.
	Allowed func(address string) bool
	// Observe takes the head of what an upstream sends through a tunnel: to the upstream,
	// this host has asked. It may be nil.
	Observe func(address string, head []byte)
	// Leaving reports whether this host is leaving. It then opens no more tunnels.
	Leaving func() bool
	// MaxTunnels is the number of tunnels that may be open.
	MaxTunnels int
	Metrics    tally.Scope
	Log        logrus.FieldLogger
}

// Server opens tunnels to upstreams for peers.
type Server struct {
	options ServerOptions
	opened  tally.Counter
	gauge   tally.Gauge
	inUse   atomic.Int64
	// full is set while tunnels are refused because too many are open.
	full    atomic.Bool
	buffers sync.Pool
}

// NewServer returns a server.
func NewServer(o ServerOptions) *Server {
	return &Server{
		options: o, opened: o.Metrics.Counter("tunnels_total"), gauge: o.Metrics.Gauge("tunnels_in_use"),
		buffers: sync.Pool{New: func() any { b := make([]byte, maxLengthBytes+maxFrame); return &b }},
	}
}

// InUse returns the number of open tunnels.
func (s *Server) InUse() int { return int(s.inUse.Load()) }

// ServeTunnel reads the request for a tunnel from a connection and serves the tunnel until
// it ends. The connection is then closed.
func (s *Server) ServeTunnel(ctx context.Context, caller net.Conn) {
	defer func() { _ = caller.Close() }()
	_ = caller.SetReadDeadline(time.Now().Add(requestTimeout))
	reader := bufio.NewReader(io.LimitReader(caller, maxRequestBytes))
	req, err := http.ReadRequest(reader)
	if err != nil {
		s.options.Log.WithError(err).WithField("event", "tunnel_malformed").Warn("a peer's request for a tunnel could not be read")
		return
	}
	_ = caller.SetReadDeadline(time.Time{})
	defer func() { s.gauge.Update(float64(s.inUse.Add(-1))) }()
	inUse := s.inUse.Add(1)
	s.gauge.Update(float64(inUse))
	status := s.check(req, reader, int(inUse))
	var upstream net.Conn
	if status == http.StatusOK {
		upstream, status = s.connect(ctx, req.Host)
	}
	if status != http.StatusOK {
		s.refuse(caller, status)
		return
	}
	defer func() { _ = upstream.Close() }()
	_ = caller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := io.WriteString(caller, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
		// The peer connects elsewhere, as it has seen no answer.
		return
	}
	s.opened.Inc(1)
	(&tunnel{server: s, caller: caller, upstream: upstream, address: req.Host}).run()
}

// check returns StatusOK, or the status with which a request is refused.
func (s *Server) check(req *http.Request, rest *bufio.Reader, inUse int) int {
	_, _, err := net.SplitHostPort(req.Host)
	full := inUse > s.options.MaxTunnels
	if full != s.full.Load() && s.full.CompareAndSwap(!full, full) && full {
		s.options.Log.WithFields(logrus.Fields{"event": "tunnels_full", "tunnels": s.options.MaxTunnels}).
			Warn("peers are refused further tunnels")
	}
	switch {
	case req.Method != http.MethodConnect || err != nil || rest.Buffered() > 0:
		return http.StatusBadRequest
	case full, s.options.Leaving(), !s.options.Reach.steady():
		return http.StatusServiceUnavailable
	case !s.options.Allowed(req.Host):
		return http.StatusForbidden
	}
	return http.StatusOK
}

// connect connects to the upstream directly: a tunnel through a second peer could return to
// this one.
func (s *Server) connect(ctx context.Context, address string) (net.Conn, int) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := s.options.Reach.dial(dialer.Bounded(ctx), s.options.Dial, address)
	if err == nil {
		return conn, http.StatusOK
	}
	s.options.Reach.recordDoubt()
	if !s.options.Reach.steady() {
		return nil, http.StatusServiceUnavailable
	}
	return nil, http.StatusBadGateway
}

func (s *Server) refuse(caller net.Conn, status int) {
	s.options.Metrics.Tagged(map[string]string{"status": http.StatusText(status)}).Counter("tunnels_refused_total").Inc(1)
	_ = caller.SetWriteDeadline(time.Now().Add(requestTimeout))
	answer := &http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Close: true}
	if err := answer.Write(caller); err != nil {
		s.options.Log.WithError(err).WithField("event", "tunnel_refusal_lost").Debug("the refusal of a tunnel could not be sent")
	}
}
