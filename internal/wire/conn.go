package wire

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// writeTimeout bounds one write to a peer. Without this limit a frozen peer
	// whose receive window is full would block every call on the connection.
	writeTimeout = 5 * time.Second
	// silenceCheck is the interval at which a connection with calls in flight is
	// checked. If it delivered no data for that long, it is probed.
	silenceCheck = time.Second
	// silenceTimeout is how long a probe waits for its answer. When a probe fails,
	// the connection is closed if it has delivered no data for silenceTimeout.
	silenceTimeout = 2 * time.Second
)

// trackedConn records when the connection last delivered data and bounds each
// write.
type trackedConn struct {
	net.Conn
	lastRead atomic.Int64 // in nanoseconds since the Unix epoch
	// bytesRead and bytesWritten are shared by all connections of a Client or
	// Server.
	bytesRead    *atomic.Int64
	bytesWritten *atomic.Int64
}

func newTrackedConn(conn net.Conn, read, written *atomic.Int64) *trackedConn {
	c := &trackedConn{Conn: conn, bytesRead: read, bytesWritten: written}
	c.lastRead.Store(time.Now().UnixNano())
	return c
}

// Read reads from the connection and records the time.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
		c.bytesRead.Add(int64(n))
	}
	return n, err
}

// Write writes to the connection within writeTimeout.
func (c *trackedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.bytesWritten.Add(int64(n))
	return n, err
}

// silentFor returns the time since the connection last delivered data.
func (c *trackedConn) silentFor() time.Duration {
	return time.Duration(time.Now().UnixNano() - c.lastRead.Load())
}
