package wire

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/verbenapier/verbenapier/internal/dialer"
	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// handshakeTimeout bounds the TLS handshake of a new connection.
	handshakeTimeout = 3 * time.Second
	// acceptPause is the time between attempts to accept a connection while that fails,
	// such as without a free descriptor.
	acceptPause = 50 * time.Millisecond
	// maxCallTimeout bounds the timeout that a peer gives with a call.
	maxCallTimeout = time.Hour
	// maxCallsPerConn bounds the calls that one connection has in flight.
	maxCallsPerConn = 10_000
)

// TunnelServer serves the connections of peers that carry no messages but begin with an HTTP
// CONNECT request.
type TunnelServer interface {
	// ServeTunnel serves a connection, from its first byte on, and closes it.
	ServeTunnel(ctx context.Context, conn net.Conn)
}

// Server answers the calls of peers with the handlers of a mux.
type Server struct {
	mux     *Mux
	tls     *tls.Config
	tunnels TunnelServer
	group   *group.Group
	log     logrus.FieldLogger

	bytesRead    atomic.Int64
	bytesWritten atomic.Int64

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]struct{}
}

// NewServer returns a server. With tlsConfig it accepts only peers whose
// certificate passes the verification set there; if tlsConfig is nil, it serves
// plain TCP.
func NewServer(g *group.Group, mux *Mux, tlsConfig *tls.Config, log logrus.FieldLogger) *Server {
	return &Server{mux: mux, tls: tlsConfig, group: g, log: log, conns: map[*jsonrpc2.Conn]struct{}{}}
}

// SetTunnels has tunnels served. Without it, a connection that begins with a request for a
// tunnel fails as one with a malformed message. Call SetTunnels before Serve.
func (s *Server) SetTunnels(t TunnelServer) { s.tunnels = t }

// Traffic returns the bytes of messages read and written over the life of the server.
func (s *Server) Traffic() (read, written int64) {
	return s.bytesRead.Load(), s.bytesWritten.Load()
}

// Serve accepts connections until the context ends, then closes all of them.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close(); s.closeAll() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			s.log.WithError(err).WithField("event", "peer_accept_failed").Warn("accepting a peer connection failed")
			group.Sleep(ctx, acceptPause)
			continue
		}
		s.group.Go("wire connection", guard.Task(s.log, "peer connection", func(context.Context) error {
			s.serveConn(ctx, conn)
			return nil
		}))
	}
}

func (s *Server) serveConn(ctx context.Context, raw net.Conn) {
	defer func() { _ = raw.Close() }()
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(dialer.KeepAlive)
	}
	from, conn, err := s.authenticate(ctx, raw)
	if err != nil {
		s.log.WithError(err).WithField("event", "peer_refused").Warn("refused a peer connection")
		return
	}
	if s.tunnels != nil {
		var tunnel bool
		if conn, tunnel = s.detectTunnel(ctx, conn); conn == nil {
			return
		}
		if tunnel {
			boundBuffers(raw)
			stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
			defer stop()
			s.tunnels.ServeTunnel(ctx, conn)
			return
		}
	}
	session := &session{server: s, from: from, cancels: map[string]context.CancelFunc{}}
	stream := jsonrpc2.NewBufferedStream(
		newTrackedConn(conn, &s.bytesRead, &s.bytesWritten), boundedCodec{})
	rpc := jsonrpc2.NewConn(ctx, stream, session, jsonrpc2.SetLogger(discardLogger{}))
	s.mu.Lock()
	s.conns[rpc] = struct{}{}
	s.mu.Unlock()

	<-rpc.DisconnectNotify()
	session.cancelAll()
	s.mu.Lock()
	delete(s.conns, rpc)
	s.mu.Unlock()
}

// detectTunnel reads the first bytes of a connection, and reports whether it is to be a
// tunnel. It returns a connection with all bytes, or nil if there are none.
func (s *Server) detectTunnel(ctx context.Context, conn net.Conn) (net.Conn, bool) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	first := make([]byte, len(tunnelStart))
	if _, err := io.ReadFull(conn, first); err != nil {
		return nil, false
	}
	return &startedConn{Conn: conn, start: first}, string(first) == tunnelStart
}

// authenticate completes the TLS handshake and returns the peer's name: the
// common name of its certificate, or its address without TLS.
func (s *Server) authenticate(ctx context.Context, conn net.Conn) (string, net.Conn, error) {
	if s.tls == nil {
		return conn.RemoteAddr().String(), conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	secured := tls.Server(conn, s.tls)
	if err := secured.HandshakeContext(ctx); err != nil {
		return "", nil, fault.Wrap(fault.Unauthenticated, err, "handshake with %s failed", conn.RemoteAddr())
	}
	certs := secured.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		return "", nil, fault.New(fault.Unauthenticated, "peer %s has no certificate", conn.RemoteAddr())
	}
	return certs[0].Subject.CommonName, secured, nil
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// session handles the calls of one connection.
type session struct {
	server *Server
	from   string

	mu      sync.Mutex
	cancels map[string]context.CancelFunc
}

// Handle implements jsonrpc2.Handler. The library calls it in its own goroutine.
func (h *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	guard.Run(h.server.log, "peer message", func() { h.handle(ctx, conn, req) })
}

// handle runs each call in its own goroutine, because some calls wait for a long time.
func (h *session) handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	switch {
	case req.Method == methodCancel:
		h.cancel(req)
		return
	case req.Notif:
		return
	case req.Method == methodPing:
		_ = conn.Reply(ctx, req.ID, nil)
		return
	}
	meta := metaOf(req)
	ctx, cancel := context.WithTimeout(ctx, meta.timeout())
	if !h.register(req.ID.Str, cancel) {
		cancel()
		_ = conn.ReplyWithError(ctx, req.ID, encodeError(fault.New(fault.Overloaded, "too many calls on this connection")))
		return
	}
	h.server.group.Go("wire call", guard.Task(h.server.log, "peer call", func(context.Context) error {
		defer h.unregister(req.ID.Str, cancel)
		h.serve(ctx, conn, req, h.callerName(meta))
		return nil
	}))
}

// callerName returns the name in the peer's certificate or, without TLS, the
// name that the peer sends.
func (h *session) callerName(meta callMeta) string {
	if h.server.tls == nil && meta.From != "" {
		return meta.From
	}
	return h.from
}

func (h *session) serve(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, from string) {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	result, err := h.dispatch(ctx, from, req.Method, params)
	if err != nil {
		_ = conn.ReplyWithError(ctx, req.ID, encodeError(err))
		return
	}
	if err := conn.Reply(ctx, req.ID, result); err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		h.server.log.WithError(err).WithFields(logrus.Fields{"event": "peer_reply_failed", "method": req.Method}).
			Debug("a reply to a peer could not be sent")
		// Without an answer, the caller of a reply that cannot be encoded would take this
		// node for silent.
		_ = conn.ReplyWithError(ctx, req.ID, encodeError(fault.New(fault.Internal, "the reply of %s cannot be encoded", req.Method)))
	}
}

// dispatch runs the handler; a panic in it fails this call only.
func (h *session) dispatch(ctx context.Context, from, method string, params json.RawMessage) (result any, err error) {
	err = guard.Do(ctx, h.server.log.WithField("method", method), "peer handler", func(ctx context.Context) error {
		result, err = h.server.mux.Serve(ctx, from, method, params)
		return err
	})
	var p *group.PanicError
	if errors.As(err, &p) {
		// The stack is for the log only.
		err = fault.New(fault.Internal, "handler of %s failed", method)
	}
	return result, err
}

func (h *session) register(id string, cancel context.CancelFunc) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.cancels) >= maxCallsPerConn {
		return false
	}
	h.cancels[id] = cancel
	return true
}

func (h *session) unregister(id string, cancel context.CancelFunc) {
	cancel()
	h.mu.Lock()
	delete(h.cancels, id)
	h.mu.Unlock()
}

func (h *session) cancel(req *jsonrpc2.Request) {
	var params cancelParams
	if req.Params == nil || json.Unmarshal(*req.Params, &params) != nil {
		return
	}
	h.mu.Lock()
	cancel := h.cancels[params.ID]
	h.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (h *session) cancelAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, cancel := range h.cancels {
		cancel()
	}
}

// metaOf returns the metadata of a call, or the zero value when it is missing or
// malformed.
func metaOf(req *jsonrpc2.Request) callMeta {
	var meta callMeta
	if req.Meta == nil || json.Unmarshal(*req.Meta, &meta) != nil {
		return callMeta{}
	}
	return meta
}

func (m callMeta) timeout() time.Duration {
	if m.TimeoutMillis <= 0 {
		return dialTimeout
	}
	return min(time.Duration(m.TimeoutMillis)*time.Millisecond, maxCallTimeout)
}
