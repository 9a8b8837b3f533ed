package wire

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// pipes is an in-memory listener and dialer. Its connections can be silenced: the
// writes of the dialing end then succeed, but their data is dropped.
type pipes struct {
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once
	dials  atomic.Int64
	refuse atomic.Bool
	// unansweredDials is how many further dials get no answer, like those to a host
	// that is down.
	unansweredDials atomic.Int64

	mu    sync.Mutex
	conns []*silentConn
}

func newPipes() *pipes {
	return &pipes{accept: make(chan net.Conn), closed: make(chan struct{})}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.accept:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}
func (p *pipes) Close() error   { p.once.Do(func() { close(p.closed) }); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial(ctx context.Context, _ string) (net.Conn, error) {
	p.dials.Add(1)
	if p.refuse.Load() {
		return nil, errors.New("connection refused")
	}
	if p.unansweredDials.Add(-1) >= 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	c := &silentConn{Conn: near}
	p.mu.Lock()
	p.conns = append(p.conns, c)
	p.mu.Unlock()
	select {
	case p.accept <- far:
		return c, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// silence silences every open connection.
func (p *pipes) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.silent.Store(true)
	}
}

// silentConn is the dialing end of a connection. It drops what is written to it
// while silent is set.
type silentConn struct {
	net.Conn
	silent atomic.Bool
}

func (c *silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

type echoParams struct {
	Text string `json:"text"`
}

// startServer serves the methods echo, fail, panic, wait and unencodable. It returns the
// network, a client, and a channel of the errors with which calls of wait ended.
func startServer(t *testing.T) (*pipes, *Client, chan error) {
	t.Helper()
	handlerErrs := make(chan error, 1)
	mux := NewMux()
	mux.Handle("echo", Typed(func(_ context.Context, _ string, p echoParams) (echoParams, error) { return p, nil }))
	mux.Handle("fail", Typed(func(context.Context, string, echoParams) (echoParams, error) {
		return echoParams{}, fault.New(fault.Overloaded, "cell is full")
	}))
	mux.Handle("panic", Typed(func(context.Context, string, echoParams) (echoParams, error) { panic("boom") }))
	mux.Handle("wait", Typed(func(ctx context.Context, _ string, _ echoParams) (echoParams, error) {
		<-ctx.Done()
		handlerErrs <- ctx.Err()
		return echoParams{}, ctx.Err()
	}))
	mux.Handle("unencodable", Typed(func(context.Context, string, echoParams) (float64, error) { return math.NaN(), nil }))
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	network := newPipes()
	g := group.New(t.Context())
	server := NewServer(g, mux, nil, log)
	g.Go("serve", func(ctx context.Context) error { return server.Serve(ctx, network) })
	t.Cleanup(func() {
		g.Stop()
		require.NoError(t, g.Wait())
	})
	return network, NewClient(g, network.dial), handlerErrs
}

func call(t *testing.T, c *Client, method string, timeout time.Duration) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	var out echoParams
	err := c.Call(ctx, "peer", method, echoParams{Text: "hello"}, &out)
	return out.Text, err
}

// Guards against error kinds that are lost on the wire, and against a handler
// whose panic ends its process.
func TestCallOutcomes(t *testing.T) {
	cases := map[string]struct {
		method string
		kind   fault.Kind
	}{
		"failure":        {"fail", fault.Overloaded},
		"panic":          {"panic", fault.Internal},
		"unknown method": {"none", fault.Invalid},
		"no answer":      {"wait", fault.Timeout},
		"no encoding":    {"unencodable", fault.Internal},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network, client, _ := startServer(t)
				_, err := call(t, client, tc.method, time.Second)
				require.Equal(t, tc.kind, fault.KindOf(err), "%v", err)
				text, err := call(t, client, "echo", time.Second)
				require.NoError(t, err)
				require.Equal(t, "hello", text)
				require.EqualValues(t, 1, network.dials.Load(), "the connection is kept")
			})
		})
	}
}

// Guards against calls that wait for their deadline on a connection that no
// longer delivers anything, although a new connection would work.
func TestSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, client, _ := startServer(t)
		_, err := call(t, client, "echo", time.Second)
		require.NoError(t, err)

		network.silence()
		began := time.Now()
		_, err = call(t, client, "echo", time.Minute)
		require.Equal(t, fault.ReplyLost, fault.KindOf(err), "%v", err)
		require.LessOrEqual(t, time.Since(began), 2*silenceCheck+silenceTimeout)

		text, err := call(t, client, "echo", time.Second)
		require.NoError(t, err)
		require.Equal(t, "hello", text)
	})
}

// Guards against a handler that goes on working after its caller cancelled the
// call.
func TestCancelReachesHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client, handlerErrs := startServer(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		time.AfterFunc(time.Second, cancel)
		err := client.Call(ctx, "peer", "wait", echoParams{}, nil)
		require.Equal(t, fault.Canceled, fault.KindOf(err))
		began := time.Now()
		require.ErrorIs(t, <-handlerErrs, context.Canceled)
		require.Less(t, time.Since(began), time.Second)
	})
}

// Guards against a dial for each of many calls to a dead peer, and against an
// unreachable peer that is reported as if the message might have had an effect.
func TestUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, client, _ := startServer(t)
		network.refuse.Store(true)
		for range 100 {
			_, err := call(t, client, "echo", time.Second)
			require.Equal(t, fault.Unreachable, fault.KindOf(err))
		}
		require.EqualValues(t, 1, network.dials.Load())
		network.refuse.Store(false)
		time.Sleep(redialDelay)
		_, err := call(t, client, "echo", time.Second)
		require.NoError(t, err)
	})
}

// After a power failure, packets to a host that has not started yet are lost. Guards
// against a dial that then waits a second before its retry, which delays the join.
func TestLostDials(t *testing.T) {
	// The membership bounds an attempt to join through a seed by this time.
	const joinTimeout = 900 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		network, client, _ := startServer(t)
		network.unansweredDials.Store(2)
		text, err := call(t, client, "echo", joinTimeout)
		require.NoError(t, err)
		require.Equal(t, "hello", text)
	})
}

// Guards against a failed TLS handshake that ends the daemon. After such a failure
// Server.authenticate returns a nil connection, on which the server once called
// Close.
func TestFailedHandshake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetLevel(logrus.PanicLevel)
		network := newPipes()
		g := group.New(t.Context())
		server := NewServer(g, NewMux(), &tls.Config{MinVersion: tls.VersionTLS13}, log)
		g.Go("serve", func(ctx context.Context) error { return server.Serve(ctx, network) })
		conn, err := network.dial(t.Context(), "peer")
		require.NoError(t, err)
		_, err = conn.Write([]byte("no TLS at all\n"))
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		synctest.Wait()
		require.NoError(t, g.Context().Err(), "the group keeps running")
		g.Stop()
		require.NoError(t, g.Wait())
	})
}

// failingListener has no descriptor for a connection.
type failingListener struct {
	*pipes
	attempts atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.attempts.Add(1)
	return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
}

// Guards against a server that takes a whole processor and fills the log while the
// process has no free descriptor.
func TestAcceptWithoutDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := group.New(t.Context())
		listener := &failingListener{pipes: newPipes()}
		log := logrus.New()
		log.SetOutput(io.Discard)
		server := NewServer(g, NewMux(), nil, log)
		g.Go("serve", func(ctx context.Context) error { return server.Serve(ctx, listener) })
		time.Sleep(10 * acceptPause)
		g.Stop()
		require.NoError(t, g.Wait())
		require.LessOrEqual(t, listener.attempts.Load(), int64(12))
	})
}
