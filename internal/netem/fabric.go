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

// Fabric is an in-memory network of byte streams between hosts, for tests of whole
// daemons. (Network, in contrast, delivers whole messages.) Writes never block.
// Data written to a silent connection is dropped without an error, as if a
// firewall between the two ends had lost the state of the connection.
type Fabric struct {
	latency time.Duration

	mu sync.Mutex
	// listeners and hostOf hold the listener and its host for each address.
	listeners map[string]*listener
	hostOf    map[string]string
	// cuts holds the pairs of hosts between which no connection can be opened. A pair
	// has the order of the arguments of Cut.
	cuts map[[2]string]cutMode
	// dead holds the hosts that were killed.
	dead map[string]bool
	// frozen holds, for each frozen host, a channel that Thaw closes.
	frozen map[string]chan struct{}
	// conns holds both ends of each open connection.
	conns map[*conn]struct{}
}

// cutMode is what becomes of new connections between two hosts. At zero they work.
type cutMode int

const (
	// cutSilent lets dials wait until their context ends.
	cutSilent cutMode = iota + 1
	// cutRefuse refuses dials.
	cutRefuse
	// cutAccept accepts dials and resets the connection before it carries a byte.
	cutAccept
)

// NewFabric returns a fabric that delivers data after a one-way latency.
func NewFabric(latency time.Duration) *Fabric {
	return &Fabric{
		latency: latency, listeners: map[string]*listener{}, hostOf: map[string]string{},
		cuts: map[[2]string]cutMode{}, dead: map[string]bool{}, frozen: map[string]chan struct{}{},
		conns: map[*conn]struct{}{},
	}
}

// Host gives one host access to the fabric.
type Host struct {
	fabric *Fabric
	name   string
}

// Host returns the access of the host of that name.
func (n *Fabric) Host(name string) Host { return Host{n, name} }

// Listen opens a listener on the host.
func (h Host) Listen(_ context.Context, address string) (net.Listener, error) {
	h.fabric.mu.Lock()
	defer h.fabric.mu.Unlock()
	l := &listener{address: address, conns: make(chan net.Conn, 1024), closed: make(chan struct{})}
	h.fabric.listeners[address], h.fabric.hostOf[address] = l, h.name
	return l, nil
}

// Dial connects to an address. It blocks until the context ends if the two hosts
// are cut off from each other, and is refused if nothing listens.
func (h Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	_ = sleep(ctx, 2*h.fabric.latency)
	h.fabric.mu.Lock()
	l, to := h.fabric.listeners[address], h.fabric.hostOf[address]
	// A frozen host still accepts connections, as the kernel does for a
	// stopped process.
	cut := max(h.fabric.cuts[[2]string{h.name, to}], h.fabric.cuts[[2]string{to, h.name}])
	if cut == cutSilent && !h.fabric.dead[h.name] {
		h.fabric.mu.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	defer h.fabric.mu.Unlock()
	if l == nil || h.fabric.dead[to] || h.fabric.dead[h.name] || l.isClosed() || cut == cutRefuse {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	near, far := newConnPair(h.fabric, h.name, to)
	h.fabric.conns[near] = struct{}{}
	if cut == cutAccept {
		// The first write still succeeds, as it does before a reset has arrived.
		time.AfterFunc(2*h.fabric.latency, near.reset)
		return near, nil
	}
	h.fabric.conns[far] = struct{}{}
	l.conns <- far
	return near, nil
}

// DialContext is Dial with the signature of http.Transport.DialContext.
func (h Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	return h.Dial(ctx, address)
}

// eachConn calls fn for both ends of each connection between hosts a and b. An
// empty b means any host.
func (n *Fabric) eachConn(a, b string, fn func(*conn)) {
	for c := range n.conns {
		if (c.from == a && (b == "" || c.to == b)) || (c.to == a && (b == "" || c.from == b)) {
			fn(c)
		}
	}
}

// Cut makes the open connections between two hosts silent permanently, and blocks
// new ones until RemoveCuts.
func (n *Fabric) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}] = cutSilent
	n.eachConn(a, b, func(c *conn) { c.silence() })
}

// Refuse refuses new connections between two hosts until RemoveCuts. Open ones live on.
func (n *Fabric) Refuse(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}] = cutRefuse
}

// Break accepts new connections between two hosts and resets them before a byte is
// delivered, until RemoveCuts. Open ones live on.
func (n *Fabric) Break(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}] = cutAccept
}

// Reset resets the open connections between two hosts. New ones work.
func (n *Fabric) Reset(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.eachConn(a, b, func(c *conn) { c.reset() })
}

// RemoveCuts removes all cuts. Connections that a cut made silent stay silent.
func (n *Fabric) RemoveCuts() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
}

// Silence makes the open connections of a host silent permanently, except those
// with the hosts in except. New connections work.
func (n *Fabric) Silence(name string, except ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.eachConn(name, "", func(c *conn) {
		if !slices.Contains(except, c.from) && !slices.Contains(except, c.to) {
			c.silence()
		}
	})
}

// Kill resets the connections of a host and refuses new ones to and from it, as if
// its process had ended. The code under test keeps running without a network.
func (n *Fabric) Kill(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead[name] = true
	n.eachConn(name, "", func(c *conn) { c.reset() })
}

// Revive gives a killed host, on which a new process starts, access to the network
// again.
func (n *Fabric) Revive(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.dead, name)
}

// Freeze holds back all data to and from a host until Thaw.
func (n *Fabric) Freeze(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[name] == nil {
		n.frozen[name] = make(chan struct{})
	}
}

// Thaw ends the freeze of a host and delivers the data that was held back.
func (n *Fabric) Thaw(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if thawed := n.frozen[name]; thawed != nil {
		close(thawed)
		delete(n.frozen, name)
	}
}

// thawChannel returns nil if neither host is frozen. Otherwise it returns a channel
// that is closed when a is thawed or, if only b is frozen, when b is.
func (n *Fabric) thawChannel(a, b string) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ch := n.frozen[a]; ch != nil {
		return ch
	}
	return n.frozen[b]
}

// Close resets every connection and closes every listener, so that no goroutine
// stays blocked.
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
	// conns holds the connections that Accept has not yet returned.
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
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

	mu     sync.Mutex
	chunks []chunk
	// endErr is the error of reads after the last chunk, or nil while the peer
	// may still send. After a reset it is that of writes as well.
	endErr error
	// silent drops everything that the peer sends to this end.
	silent   bool
	closed   bool
	deadline time.Time
	// changed is closed and replaced whenever a blocked Read must check the
	// state again.
	changed chan struct{}
}

// chunk is data that Read returns from the time due on.
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

// signal wakes a blocked Read. The caller holds mu.
func (c *conn) signal() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		thawed := c.fabric.thawChannel(c.from, c.to)
		c.mu.Lock()
		n, wait, err := c.take(p, thawed != nil)
		changed := c.changed
		c.mu.Unlock()
		if n > 0 || err != nil {
			return n, err
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		case <-thawed:
		}
		timer.Stop()
	}
}

// take copies data that is due into p and returns the length of the data. Without
// such data it returns an error or the time after which Read tries again. The caller
// holds mu.
func (c *conn) take(p []byte, frozen bool) (int, time.Duration, error) {
	// The hour is arbitrary, because every event wakes Read earlier.
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
	if c.endErr != nil {
		return 0, 0, c.endErr
	}
	return 0, wait, nil
}

func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	closed, endErr := c.closed, c.endErr
	c.mu.Unlock()
	if closed {
		return 0, net.ErrClosed
	}
	if endErr != nil && !errors.Is(endErr, io.EOF) {
		return 0, endErr
	}
	c.peer.deliver(append([]byte(nil), p...), nil)
	return len(p), nil
}

// deliver queues data, or the error that ends the stream, for Read. A silent
// connection drops both.
func (c *conn) deliver(data []byte, end error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent {
		return
	}
	if len(data) > 0 {
		c.chunks = append(c.chunks, chunk{data, time.Now().Add(c.fabric.latency)})
	}
	if end != nil && c.endErr == nil {
		c.endErr = end
	}
	c.signal()
}

// silence drops, from now on, everything that the peer sends to this end.
func (c *conn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

// reset drops the queued data and makes reads and writes at this end fail with
// ECONNRESET, even if the connection is silent.
func (c *conn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chunks, c.endErr = nil, syscall.ECONNRESET
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
func (c *conn) LocalAddr() net.Addr              { return addr(c.from + ":1") }

// RemoteAddr names the other host.
func (c *conn) RemoteAddr() net.Addr { return addr(c.to + ":2") }
