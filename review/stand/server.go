package main

import (
	"net"
	"net/http"
	"sync"
)

// Server is an HTTP server that can end like a process: its port closes and its
// connections are reset.
type Server struct {
	address string
	handler http.Handler

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	conns    map[net.Conn]bool
	done     sync.WaitGroup
}

// NewServer returns a server that does not listen yet.
func NewServer(address string, h http.Handler) *Server {
	return &Server{address: address, handler: h}
}

// Start listens on the address.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = map[net.Conn]bool{}
	s.listener = l
	s.server = &http.Server{Handler: s.handler, ConnState: s.track}
	server := s.server
	s.done.Go(func() { _ = server.Serve(l) })
	return nil
}

func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.conns[c] = true
	} else if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
	}
}

// Crash closes the port and resets all connections.
func (s *Server) Crash() {
	s.mu.Lock()
	server := s.server
	s.server = nil
	if server == nil {
		s.mu.Unlock()
		return
	}
	_ = s.listener.Close()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	s.mu.Unlock()
	_ = server.Close()
}
