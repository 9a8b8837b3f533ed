package netem

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Fabric connects hosts by byte streams in memory, for tests of whole daemons;
// Network delivers whole messages. Writes never block: what a cut or silent
// connection does not deliver is lost, as if a device between the two ends had
// lost track of the connection.
type Fabric struct {
	latency time.Duration

	mu        sync.Mutex
	listeners map[string]*listener
	hostOf    map[string]string
	cuts      map[[2]string]bool
	dead      map[string]bool
	frozen    map[string]chan struct{}
	conns     map[*conn]struct{}
}

// NewFabric returns a fabric that delivers data after a one-way latency.
func NewFabric(latency time.Duration) *Fabric {
	return &Fabric{
		latency: latency, listeners: map[string]*listener{}, hostOf: map[string]string{},
		cuts: map[[2]string]bool{}, dead: map[string]bool{}, frozen: map[string]chan struct{}{},
		conns: map[*conn]struct{}{},
	}
}

// Host is the fabric as one host sees it.
type Host struct {
	fabric *Fabric
	name   string
}

// Host returns the access of a host to the fabric.
func (n *Fabric) Host(name string) Host { return Host{n, name} }

// Listen opens a port of the host.
func (h Host) Listen(_ context.Context, address string) (net.Listener, error) {
	h.fabric.mu.Lock()
	defer h.fabric.mu.Unlock()
	l := &listener{address: address, conns: make(chan net.Conn, 1024), closed: make(chan struct{})}
	h.fabric.listeners[address], h.fabric.hostOf[address] = l, h.name
	return l, nil
}

// Dial connects to a port. A cut keeps it waiting until the context ends; a port
// that is not open refuses it.
func (h Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	_ = sleep(ctx, 2*h.fabric.latency)
	h.fabric.mu.Lock()
	l, to := h.fabric.listeners[address], h.fabric.hostOf[address]
	// The kernel of a stalled process goes on accepting connections.
	unreachable := h.fabric.cuts[[2]string{h.name, to}] || h.fabric.cuts[[2]string{to, h.name}]
	if unreachable && !h.fabric.dead[h.name] {
		h.fabric.mu.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	defer h.fabric.mu.Unlock()
	if l == nil || h.fabric.dead[to] || h.fabric.dead[h.name] || l.isClosed() {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	near, far := newConnPair(h.fabric, h.name, to)
	h.fabric.conns[near], h.fabric.conns[far] = struct{}{}, struct{}{}
	l.conns <- far
	return near, nil
}

// DialContext has the form that http.Transport wants.
func (h Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	return h.Dial(ctx, address)
}

// between calls fn for the connections between two hosts; an empty name means
// any host.
func (n *Fabric) between(a, b string, fn func(*conn)) {
	for c := range n.conns {
		if (c.from == a && (b == "" || c.to == b)) || (c.to == a && (b == "" || c.from == b)) {
			fn(c)
		}
	}
}

// Cut silences the connections between two hosts for good and lets no new ones
// through until Heal.
func (n *Fabric) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}] = true
	n.between(a, b, func(c *conn) { c.silence() })
}

// Heal ends all cuts. Connections that a cut silenced stay silent.
func (n *Fabric) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
}

// Silence silences the open connections of a host, except those to the given
// hosts. New connections work.
func (n *Fabric) Silence(name string, except ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.between(name, "", func(c *conn) {
		if !slices.Contains(except, c.from) && !slices.Contains(except, c.to) {
			c.silence()
		}
	})
}

// Kill closes the connections and ports of a host, as the end of its process
// does. The process itself goes on, cut off from everything.
func (n *Fabric) Kill(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead[name] = true
	n.between(name, "", func(c *conn) { c.reset() })
}

// Revive lets a new process of a killed host use the network.
func (n *Fabric) Revive(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.dead, name)
}

// Freeze stops the delivery to and from a host; Thaw delivers what waited.
func (n *Fabric) Freeze(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[name] == nil {
		n.frozen[name] = make(chan struct{})
	}
}

// Thaw ends a freeze.
func (n *Fabric) Thaw(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if gate := n.frozen[name]; gate != nil {
		close(gate)
		delete(n.frozen, name)
	}
}

// gate returns a channel that is closed when neither host is frozen any more,
// or nil.
func (n *Fabric) gate(a, b string) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if g := n.frozen[a]; g != nil {
		return g
	}
	return n.frozen[b]
}

// Close ends every connection, so that no goroutine is left waiting.
func (n *Fabric) Close() {
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
	fabric   *Fabric
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

func newConnPair(n *Fabric, from, to string) (*conn, *conn) {
	a := &conn{fabric: n, from: from, to: to, changed: make(chan struct{})}
	b := &conn{fabric: n, from: to, to: from, changed: make(chan struct{})}
	a.peer, b.peer = b, a
	return a, b
}

func (c *conn) signal() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		gate := c.fabric.gate(c.from, c.to)
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
		c.chunks = append(c.chunks, chunk{data, time.Now().Add(c.fabric.latency)})
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
	c.fabric.mu.Lock()
	delete(c.fabric.conns, c)
	c.fabric.mu.Unlock()
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
