package system

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// network connects hosts in memory. Writes never block: what a cut or silent
// connection does not deliver is lost, as if a device between the two ends had
// lost track of the connection.
type network struct {
	latency time.Duration

	mu        sync.Mutex
	listeners map[string]*listener
	hostOf    map[string]string
	cuts      map[[2]string]bool
	dead      map[string]bool
	frozen    map[string]chan struct{}
	conns     map[*conn]struct{}
}

func newNetwork(latency time.Duration) *network {
	return &network{
		latency: latency, listeners: map[string]*listener{}, hostOf: map[string]string{},
		cuts: map[[2]string]bool{}, dead: map[string]bool{}, frozen: map[string]chan struct{}{},
		conns: map[*conn]struct{}{},
	}
}

// host is the network as one host sees it. It implements daemon.Network.
type host struct {
	*network
	name string
}

func (h host) Listen(_ context.Context, address string) (net.Listener, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := &listener{address: address, conns: make(chan net.Conn, 1024), closed: make(chan struct{})}
	h.listeners[address], h.hostOf[address] = l, h.name
	return l, nil
}

func (h host) Dial(ctx context.Context, address string) (net.Conn, error) {
	wait(ctx, 2*h.latency)
	h.mu.Lock()
	l, to := h.listeners[address], h.hostOf[address]
	// The kernel of a stalled process goes on accepting connections.
	unreachable := h.cuts[[2]string{h.name, to}] || h.cuts[[2]string{to, h.name}]
	if unreachable && !h.dead[h.name] {
		h.mu.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	defer h.mu.Unlock()
	if l == nil || h.dead[to] || h.dead[h.name] || l.isClosed() {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	near, far := newConnPair(h.network, h.name, to)
	h.conns[near], h.conns[far] = struct{}{}, struct{}{}
	l.conns <- far
	return near, nil
}

// DialContext has the form that http.Transport wants.
func (h host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	return h.Dial(ctx, address)
}

// between calls fn for the connections between two hosts; an empty name means
// any host.
func (n *network) between(a, b string, fn func(*conn)) {
	for c := range n.conns {
		if (c.from == a && (b == "" || c.to == b)) || (c.to == a && (b == "" || c.from == b)) {
			fn(c)
		}
	}
}

// cut silences the connections between two hosts for good and lets no new ones
// through until heal.
func (n *network) cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}] = true
	n.between(a, b, func(c *conn) { c.silence() })
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
}

// silence silences the open connections of a host, except those of callers,
// which only callers can replace. New connections work.
func (n *network) silence(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.between(name, "", func(c *conn) {
		if c.from != callerHost && c.to != callerHost {
			c.silence()
		}
	})
}

// kill closes the connections and ports of a host, as the end of its process
// does. The process itself goes on, cut off from everything.
func (n *network) kill(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead[name] = true
	n.between(name, "", func(c *conn) { c.reset() })
}

// revive lets a new process of a killed host use the network.
func (n *network) revive(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.dead, name)
}

// freeze stops the delivery to and from a host; thaw delivers what waited.
func (n *network) freeze(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[name] == nil {
		n.frozen[name] = make(chan struct{})
	}
}

func (n *network) thaw(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if gate := n.frozen[name]; gate != nil {
		close(gate)
		delete(n.frozen, name)
	}
}

// gate returns a channel that is closed when neither host is frozen any more,
// or nil.
func (n *network) gate(a, b string) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if g := n.frozen[a]; g != nil {
		return g
	}
	return n.frozen[b]
}

// close ends every connection, so that no goroutine is left waiting.
func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.reset()
	}
	for _, l := range n.listeners {
		_ = l.Close()
	}
}

type listener struct {
	address string
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (l *listener) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *listener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *listener) Addr() net.Addr { return addr(l.address) }

type addr string

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return string(a) }

// conn is one end of a connection.
type conn struct {
	network  *network
	from, to string
	peer     *conn

	mu       sync.Mutex
	chunks   []chunk
	ended    error
	silent   bool
	closed   bool
	deadline time.Time
	// changed is closed and replaced whenever a waiting Read must look again.
	changed chan struct{}
}

type chunk struct {
	data []byte
	due  time.Time
}

func newConnPair(n *network, from, to string) (*conn, *conn) {
	a := &conn{network: n, from: from, to: to, changed: make(chan struct{})}
	b := &conn{network: n, from: to, to: from, changed: make(chan struct{})}
	a.peer, b.peer = b, a
	return a, b
}

func (c *conn) signal() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		gate := c.network.gate(c.from, c.to)
		c.mu.Lock()
		n, next, err := c.take(p, gate != nil)
		changed := c.changed
		c.mu.Unlock()
		if n > 0 || err != nil {
			return n, err
		}
		timer := time.NewTimer(next)
		select {
		case <-changed:
		case <-timer.C:
		case <-gate:
		}
		timer.Stop()
	}
}

// take returns data that is due, or an error, or how long to wait.
func (c *conn) take(p []byte, frozen bool) (int, time.Duration, error) {
	now, wait := time.Now(), time.Hour
	if c.closed {
		return 0, 0, net.ErrClosed
	}
	if !c.deadline.IsZero() {
		if wait = c.deadline.Sub(now); wait <= 0 {
			return 0, 0, os.ErrDeadlineExceeded
		}
	}
	if frozen {
		return 0, wait, nil
	}
	if len(c.chunks) > 0 {
		first := &c.chunks[0]
		if due := first.due.Sub(now); due > 0 {
			return 0, min(wait, due), nil
		}
		n := copy(p, first.data)
		if first.data = first.data[n:]; len(first.data) == 0 {
			c.chunks = c.chunks[1:]
		}
		return n, 0, nil
	}
	if c.ended != nil {
		return 0, 0, c.ended
	}
	return 0, wait, nil
}

func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	closed, ended := c.closed, c.ended
	c.mu.Unlock()
	if closed {
		return 0, net.ErrClosed
	}
	if ended != nil && !errors.Is(ended, io.EOF) {
		return 0, ended
	}
	c.peer.deliver(append([]byte(nil), p...), nil)
	return len(p), nil
}

// deliver adds data, or the end of the connection, unless it is silent.
func (c *conn) deliver(data []byte, end error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent {
		return
	}
	if len(data) > 0 {
		c.chunks = append(c.chunks, chunk{data, time.Now().Add(c.network.latency)})
	}
	if end != nil && c.ended == nil {
		c.ended = end
	}
	c.signal()
}

func (c *conn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

// reset ends the connection at this end, whatever its state.
func (c *conn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chunks, c.ended = nil, syscall.ECONNRESET
	c.signal()
}

func (c *conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	c.signal()
	c.mu.Unlock()
	c.peer.deliver(nil, io.EOF)
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return nil
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	c.signal()
	return nil
}
func (c *conn) SetDeadline(t time.Time) error    { return c.SetReadDeadline(t) }
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
func (c *conn) LocalAddr() net.Addr              { return addr("127.0.0.1:1") }
func (c *conn) RemoteAddr() net.Addr             { return addr("127.0.0.1:2") }

// wait sleeps for d or until the context ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
