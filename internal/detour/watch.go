package detour

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/verbenapier/verbenapier/internal/dialer"
)

// watchedConn is a direct connection to an upstream. It reports to reach whether the first
// bytes arrive.
type watchedConn struct {
	net.Conn
	reach    *Reach
	address  string
	openedAt time.Time
	// decided is set once the connection was reported or closed here.
	decided atomic.Bool
}

// Read implements net.Conn.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if (n > 0 || err != nil) && !c.decided.Load() {
		c.record(n, err)
	}
	return n, err
}

// Write implements net.Conn. The kernel reports a reset once: to the write, if that comes
// before the read.
func (c *watchedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil && !c.decided.Load() {
		c.record(0, err)
	}
	return n, err
}

// Close implements net.Conn.
func (c *watchedConn) Close() error {
	c.decided.Store(true)
	return c.Conn.Close()
}

// record reports the first bytes, or the end without any.
func (c *watchedConn) record(n int, err error) {
	var timeout net.Error
	if n == 0 && (errors.Is(err, net.ErrClosed) || errors.As(err, &timeout) && timeout.Timeout()) || !c.decided.CompareAndSwap(false, true) {
		return
	}
	if n > 0 {
		c.reach.recordReached(c.openedAt)
	} else {
		c.reach.recordReset(c.address)
	}
}

// dial connects directly and watches the connection.
func (r *Reach) dial(ctx context.Context, dial dialer.Func, address string) (net.Conn, error) {
	openedAt := time.Now()
	c, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: c, reach: r, address: address, openedAt: openedAt}, nil
}
