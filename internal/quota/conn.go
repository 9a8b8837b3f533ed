package quota

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/verbenapier/verbenapier/internal/dialer"
	"github.com/verbenapier/verbenapier/internal/header"
)

// past is a read deadline that ends a read at once.
var past = time.Unix(1, 0)

// errNoMemory ends a connection whose header is too large for what is free.
var errNoMemory = errors.New("no memory for the header of a request")

// phase is the part of a request that a connection is in.
type phase int

const (
	// waiting: no request has begun to arrive.
	waiting phase = iota
	// head: a header is arriving.
	head
	// body: the request is being handled and its body was not read yet.
	body
	// serving: the request was read.
	serving
	// ended: the request was answered, and the rest of its body may be read.
	ended
)

// progress is how a connection gets on, as far as that depends on its client.
type progress int

const (
	// idle: there is no request.
	idle progress = iota
	// arriving: a request has not arrived completely.
	arriving
	// unread: an answer is being written, which waits for the client to read.
	unread
	// busy: the process is at work.
	busy
)

// conn is a connection of a client. Quota.mu guards its fields.
type conn struct {
	net.Conn
	quota *Quota

	phase phase
	since time.Time
	// writingSince is when the write in progress began, or zero.
	writingSince time.Time
	// headBytes is the number of bytes of the header so far. headHeld and bodyHeld are
	// what is reserved for the header and the body.
	headBytes, headHeld, bodyHeld int64
	// evicted is set once the connection had to give way.
	evicted bool
}

// progress returns how the connection gets on and since when. The caller holds the
// quota's mu.
func (c *conn) progress() (progress, time.Time) {
	switch {
	case !c.writingSince.IsZero():
		return unread, c.writingSince
	case c.phase == waiting:
		return idle, c.since
	case c.phase == serving:
		return busy, c.since
	}
	return arriving, c.since
}

func (c *conn) progressSince() time.Time {
	_, since := c.progress()
	return since
}

// enter begins a phase.
func (c *conn) enter(p phase) {
	if c == nil {
		return
	}
	c.quota.mu.Lock()
	defer c.quota.mu.Unlock()
	c.phase, c.since = p, time.Now()
	if p == ended || p == waiting {
		c.quota.giveBack(c.headHeld)
		c.headBytes, c.headHeld, c.bodyHeld = 0, 0, 0
	}
}

// Read implements net.Conn. It counts the bytes of headers.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.received(int64(n)) {
		return 0, errNoMemory
	}
	return n, err
}

// received counts bytes and reports whether there is memory for them.
func (c *conn) received(n int64) bool {
	q := c.quota
	q.mu.Lock()
	defer q.mu.Unlock()
	if c.phase == waiting {
		c.phase, c.since = head, time.Now()
	}
	if c.phase != head {
		return true
	}
	if c.evicted {
		return false
	}
	c.headBytes += n
	need := header.Memory(c.headBytes) - c.headHeld
	if need <= 0 {
		return true
	}
	for !q.take(need) {
		slow := q.slowest(time.Now(), arriving, unread)
		if slow == nil || slow == c || slow.phase == body {
			q.refusedMemory.Inc(1)
			return false
		}
		q.evict(slow)
	}
	c.headHeld += need
	return true
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.setWriting(time.Now())
	defer c.setWriting(time.Time{})
	return c.Conn.Write(p)
}

func (c *conn) setWriting(since time.Time) {
	c.quota.mu.Lock()
	defer c.quota.mu.Unlock()
	c.writingSince = since
}

// CloseWrite sends the end of the answers, so that net/http can give a client time to
// read the last one before the connection is closed.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.quota.removeConn(c)
	return c.Conn.Close()
}

// listener accepts connections within the quota.
type listener struct {
	net.Listener
	quota *Quota
}

// Listener returns a listener whose connections count towards the quota. Connections
// beyond it are closed at once: in the queue of the kernel they would hold what their
// clients send.
func (q *Quota) Listener(l net.Listener) net.Listener {
	if s, ok := l.(syscall.Conn); ok {
		q.boundReceiveBuffer(s)
	}
	return &listener{l, q}
}

// boundReceiveBuffer bounds the receive buffers of the connections of a listener, which
// inherit that of the listener.
func (q *Quota) boundReceiveBuffer(s syscall.Conn) {
	raw, err := s.SyscallConn()
	if err == nil {
		err = dialer.BoundReceiveBuffer(raw)
	}
	if err != nil {
		q.log.WithError(err).WithField("event", "buffer_unbounded").Warn("the receive buffers of a port could not be bounded")
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, quota: l.quota, since: time.Now()}
		if l.quota.addConn(c) {
			return c, nil
		}
		// The client may have closed it.
		_ = raw.Close()
	}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// connOf returns the connection of a request, or nil if it does not count towards a
// quota.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// underlying returns the connection of a listener of this package, or nil.
func underlying(c net.Conn) *conn {
	if secured, ok := c.(*tls.Conn); ok {
		c = secured.NetConn()
	}
	counted, _ := c.(*conn)
	return counted
}

// Watch makes a server report the progress of its requests. It sets the ConnState and
// ConnContext hooks and wraps the handler. Connections that are not from a Listener do
// not count.
func (q *Quota) Watch(server *http.Server) *http.Server {
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			underlying(c).enter(waiting)
		}
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, underlying(c))
	}
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		c.enter(begin(r))
		defer c.enter(ended)
		next.ServeHTTP(w, r)
	})
	return server
}

// begin returns the phase in which the handling of a request begins.
func begin(r *http.Request) phase {
	if r.ContentLength == 0 {
		return serving
	}
	return body
}
