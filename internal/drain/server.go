package drain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// newConnTime is how long a server that stops waits for the first request on a
	// connection that was just accepted.
	newConnTime = time.Second
	// pollInterval is how often a server that stops examines its connections.
	pollInterval = 10 * time.Millisecond
)

// Server is an HTTP server that answers the requests on its open connections before it
// stops. http.Server.Shutdown alone closes a new connection without an answer when its
// first request arrives.
type Server struct {
	server *http.Server

	mu       sync.Mutex
	listener net.Listener
	stopping bool
	conns    map[net.Conn]connState
}

// connState is the state of a connection and when the connection entered it. Answered is
// set once the handler of its request has returned: net/http may still read the rest of
// the body.
type connState struct {
	state    http.ConnState
	since    time.Time
	answered bool
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// NewServer returns a server. It adds to the ConnState and ConnContext hooks of the given
// one and wraps its handler; the fields must not be changed afterwards.
func NewServer(server *http.Server) *Server {
	s := &Server{server: server, conns: map[net.Conn]connState{}}
	connState, connContext := server.ConnState, server.ConnContext
	server.ConnState = func(c net.Conn, state http.ConnState) {
		s.track(c, state)
		if connState != nil {
			connState(c, state)
		}
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer s.setAnswered(r.Context())
		handler.ServeHTTP(w, r)
	})
	return s
}

// setAnswered records that the handler of a request has returned.
func (s *Server) setAnswered(ctx context.Context) {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if state, ok := s.conns[c]; ok {
		state.answered = true
		s.conns[c] = state
		if s.stopping {
			dropBody(c)
		}
	}
}

// dropBody ends the reading of the rest of a body whose request was answered. An error
// means that the connection has ended.
func dropBody(c net.Conn) { _ = c.SetReadDeadline(time.Unix(1, 0)) }

func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	s.conns[c] = connState{state: state, since: time.Now()}
}

// Serve accepts connections until Stop, and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	err := s.server.Serve(l)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Busy reports whether a connection has a request that is not answered, or is so new
// that its first request may be on its way.
func (s *Server) Busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if c.state == http.StateActive || c.state == http.StateNew && time.Since(c.since) < newConnTime {
			return true
		}
	}
	return false
}

// Stop accepts no further connections, answers the requests on those that are open,
// and closes them. When the context ends first, it returns the error of the context,
// and connections may still be open.
func (s *Server) Stop(ctx context.Context) error {
	err := s.closeListener()
	for s.Busy() && group.Sleep(ctx, pollInterval) {
	}
	// Shutdown waits five seconds for connections without a request.
	s.closeUnused()
	return errors.Join(err, ignoreClosed(s.server.Shutdown(ctx)))
}

// closeUnused closes connections on which no request has begun to arrive. An error
// means that the connection has ended.
func (s *Server) closeUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, state := range s.conns {
		if state.state == http.StateNew {
			_ = c.Close()
		}
	}
}

// Close closes all connections.
func (s *Server) Close() error { return ignoreClosed(s.server.Close()) }

func (s *Server) closeListener() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for c, state := range s.conns {
		if state.state == http.StateActive && state.answered {
			dropBody(c)
		}
	}
	if s.listener == nil {
		return nil
	}
	return s.listener.Close()
}

// ignoreClosed drops the error of http.Server for a listener that Stop has closed.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
