package serve

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/verbenapier/verbenapier/emul/internal/fault"
)

// PipeListener is an in-memory listener. Tests use it to run a stand-in inside
// testing/synctest.
type PipeListener struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

// NewPipeListener returns an open listener.
func NewPipeListener() *PipeListener {
	return &PipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *PipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *PipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *PipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "pipe"} }

// Dial connects to the listener. It has the signature of
// http.Transport.DialContext.
func (l *PipeListener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// InMemory serves handler with the faults of sw on a PipeListener. The client
// connects to this server whatever address a request has. stop closes the server and its connections.
func InMemory(handler http.Handler, sw *fault.Switch) (client *http.Client, stop func()) {
	listener := NewPipeListener()
	server := &http.Server{Handler: sw.Wrap(handler), ConnContext: sw.ConnContext, ReadHeaderTimeout: headerTimeout}
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	transport := &http.Transport{DialContext: listener.Dial, IdleConnTimeout: time.Minute}
	return &http.Client{Transport: transport}, func() {
		transport.CloseIdleConnections()
		_ = server.Close()
		group.Wait()
	}
}
