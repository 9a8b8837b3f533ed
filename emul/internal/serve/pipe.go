package serve

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/verbenapier/verbenapier/emul/internal/fault"
)

// Pipe is a listener in memory, so that tests can run a stand-in inside
// testing/synctest.
type Pipe struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

// NewPipe returns an open listener.
func NewPipe() *Pipe { return &Pipe{conns: make(chan net.Conn), closed: make(chan struct{})} }

// Accept implements net.Listener.
func (p *Pipe) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (p *Pipe) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

// Addr implements net.Listener.
func (p *Pipe) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "pipe"} }

// Dial connects to the listener. It has the form of http.Transport.DialContext.
func (p *Pipe) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case p.conns <- server:
		return client, nil
	case <-p.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Memory serves handler with the faults of sw on a Pipe. The client reaches it
// under every address. Stop ends the server and its connections.
func Memory(handler http.Handler, sw *fault.Switch) (client *http.Client, stop func()) {
	pipe := NewPipe()
	server := &http.Server{Handler: sw.Wrap(handler), ConnContext: sw.ConnContext, ReadHeaderTimeout: headerTimeout}
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(pipe) })
	transport := &http.Transport{DialContext: pipe.Dial, IdleConnTimeout: time.Minute}
	return &http.Client{Transport: transport}, func() {
		transport.CloseIdleConnections()
		_ = server.Close()
		group.Wait()
	}
}
