package wire

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
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
	// dialTimeout bounds the total time of all attempts to open one connection. It
	// is also the timeout that a server applies to a call whose message contains no
	// timeout.
	dialTimeout = time.Second
	// dialAttemptTimeout bounds one attempt to connect. A packet to a host that is
	// down is lost, and the kernel retransmits the packet only after a second, even
	// if the host comes up much earlier. A new attempt sends a new packet at once.
	// The value is several times the latency between regions.
	dialAttemptTimeout = 200 * time.Millisecond
	// redialDelay is how long calls to a peer fail without a dial after a failed
	// dial, so that many calls to a dead peer do not each dial the peer.
	redialDelay = 250 * time.Millisecond
)

// Client calls peers over one connection per address. A connection that delivers
// nothing while calls wait for their answers is closed and replaced.
type Client struct {
	dial  dialer.Func
	group *group.Group
	name  string
	log   logrus.FieldLogger
	ids   atomic.Uint64

	bytesRead    atomic.Int64
	bytesWritten atomic.Int64

	mu    sync.Mutex
	peers map[string]*peer
}

var _ Caller = (*Client)(nil)

// NewClient returns a client that opens connections with dial. Its goroutines
// belong to g and end with it.
func NewClient(g *group.Group, dial dialer.Func) *Client {
	discard := logrus.New()
	discard.SetOutput(io.Discard)
	return &Client{dial: dial, group: g, log: discard, peers: map[string]*peer{}}
}

// SetLog sets the logger for unexpected errors. Call SetLog before the first call.
func (c *Client) SetLog(log logrus.FieldLogger) { c.log = log }

// SetName sets the name that the client sends with each call. Peers use it to
// identify the client on connections without TLS. Call SetName before the first
// call.
func (c *Client) SetName(name string) { c.name = name }

// Traffic returns the bytes read and written over the life of the client.
func (c *Client) Traffic() (read, written int64) {
	return c.bytesRead.Load(), c.bytesWritten.Load()
}

// Call implements Caller.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return fault.New(fault.Internal, "call of %s without a deadline", method)
	}
	meta := callMeta{TimeoutMillis: time.Until(deadline).Milliseconds(), From: c.name}
	for {
		link, err := c.peer(address).connect(ctx, c)
		if err != nil {
			return err
		}
		sent, err := c.callOn(ctx, link, method, params, result, meta)
		if sent || !errors.Is(err, jsonrpc2.ErrClosed) {
			return err
		}
		link.close()
	}
}

// callOn makes one call on one connection. The first result is false when the
// connection was closed before the message was written.
func (c *Client) callOn(ctx context.Context, link *link, method string, params, result any, meta callMeta) (bool, error) {
	id := jsonrpc2.ID{Str: strconv.FormatUint(c.ids.Add(1), 36), IsString: true}
	link.pending.Add(1)
	defer link.pending.Add(-1)

	waiter, err := link.conn.DispatchCall(ctx, method, params, jsonrpc2.PickID(id), jsonrpc2.Meta(meta))
	if err != nil {
		if errors.Is(err, jsonrpc2.ErrClosed) {
			return false, err
		}
		link.close()
		return true, fault.Wrap(fault.ReplyLost, err, "sending %s failed", method)
	}
	err = waiter.Wait(ctx, result)
	switch {
	case err == nil:
		return true, nil
	case ctx.Err() != nil:
		c.cancel(ctx, link, id)
		return true, fault.Wrap(fault.KindOf(ctx.Err()), err, "no answer to %s", method)
	case asPeerError(err) != nil:
		return true, decodeError(asPeerError(err))
	}
	return true, fault.Wrap(fault.ReplyLost, err, "connection lost while waiting for %s", method)
}

// cancel notifies the peer that the caller no longer waits for a call.
func (c *Client) cancel(ctx context.Context, link *link, id jsonrpc2.ID) {
	ctx = context.WithoutCancel(ctx)
	c.group.Go("wire cancel", func(context.Context) error {
		err := guard.Do(ctx, c.log, "peer cancel", func(ctx context.Context) error {
			return link.conn.Notify(ctx, methodCancel, cancelParams{ID: id.Str})
		})
		if err != nil {
			link.close()
		}
		return nil
	})
}

func (c *Client) peer(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[address]
	if !ok {
		p = &peer{address: address, dialLock: make(chan struct{}, 1)}
		c.peers[address] = p
	}
	return p
}

// Disconnect closes the connection to the peer at an address and forgets the peer,
// for example when its node has left the membership.
func (c *Client) Disconnect(address string) {
	c.mu.Lock()
	p := c.peers[address]
	delete(c.peers, address)
	c.mu.Unlock()
	if p != nil {
		if l := p.current.Load(); l != nil {
			l.close()
		}
	}
}

// Connections returns the number of open connections.
func (c *Client) Connections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, p := range c.peers {
		if l := p.current.Load(); l != nil && !l.closed() {
			n++
		}
	}
	return n
}

// peer is an address with its current connection.
type peer struct {
	address string
	current atomic.Pointer[link]
	// dialLock serialises dialling. It is a channel, so that waiting for it ends
	// with the context.
	dialLock chan struct{}
	// failedAt and failure are the time and the error of the last failed dial.
	failedAt time.Time
	failure  error
}

// connect returns the open connection of the peer, dialling it if needed.
func (p *peer) connect(ctx context.Context, c *Client) (*link, error) {
	if l := p.current.Load(); l != nil && !l.closed() {
		return l, nil
	}
	select {
	case p.dialLock <- struct{}{}:
		defer func() { <-p.dialLock }()
	case <-ctx.Done():
		return nil, fault.Wrap(fault.Unreachable, ctx.Err(), "waiting to dial %s", p.address)
	}
	if l := p.current.Load(); l != nil && !l.closed() {
		return l, nil
	}
	if p.failure != nil && time.Since(p.failedAt) < redialDelay {
		return nil, p.failure
	}
	conn, err := p.dial(ctx, c)
	if err != nil {
		p.failedAt = time.Now()
		p.failure = fault.Wrap(fault.Unreachable, err, "cannot reach peer %s", p.address)
		return nil, p.failure
	}
	p.failure = nil
	l := c.open(conn)
	p.current.Store(l)
	return l, nil
}

// dial opens a connection. An attempt that times out is followed by another one.
func (p *peer) dial(ctx context.Context, c *Client) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	for {
		attempt, cancelAttempt := context.WithTimeout(ctx, dialAttemptTimeout)
		conn, err := c.dial(attempt, p.address)
		timedOut := attempt.Err() != nil
		cancelAttempt()
		if err == nil || !timedOut || ctx.Err() != nil {
			return conn, err
		}
	}
}

// link is one connection to a peer.
type link struct {
	raw     *trackedConn
	conn    *jsonrpc2.Conn
	log     logrus.FieldLogger
	pending atomic.Int64
}

func (c *Client) open(conn net.Conn) *link {
	raw := newTrackedConn(conn, &c.bytesRead, &c.bytesWritten)
	stream := jsonrpc2.NewBufferedStream(raw, boundedCodec{})
	l := &link{raw: raw, log: c.log}
	// The connection outlives the call that opened it and ends with the group.
	l.conn = jsonrpc2.NewConn(c.group.Context(), stream, ignoreCalls{}, jsonrpc2.SetLogger(discardLogger{}))
	c.group.Go("wire monitor", l.monitor)
	return l
}

func (l *link) close() { _ = l.conn.Close() }

func (l *link) closed() bool {
	select {
	case <-l.conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

// monitor closes the connection when a probe finds it silent while calls are
// in flight, or when the group ends.
func (l *link) monitor(ctx context.Context) error {
	defer l.close()
	// A panic of the watch closes this connection only.
	return guard.Task(l.log, "peer monitor", l.watch)(ctx)
}

// watch returns when the connection is to be closed.
func (l *link) watch(ctx context.Context) error {
	ticker := time.NewTicker(silenceCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.conn.DisconnectNotify():
			return nil
		case <-ticker.C:
		}
		if l.pending.Load() == 0 || l.raw.silentFor() < silenceCheck {
			continue
		}
		if err := l.probe(ctx); err != nil && l.raw.silentFor() >= silenceTimeout {
			return nil
		}
	}
}

func (l *link) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	return l.conn.Call(ctx, methodPing, nil, nil)
}

// ignoreCalls is the handler of calls from the server; servers send none.
type ignoreCalls struct{}

func (ignoreCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// discardLogger drops the log messages of the jsonrpc2 library. Failures are
// returned by the calls that they affect.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
