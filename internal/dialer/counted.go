package dialer

import (
	"net"
	"sync/atomic"
)

// CountedConn counts the bytes of a connection in both directions.
type CountedConn struct {
	net.Conn
	Bytes *atomic.Int64
}

// Read implements net.Conn.
func (c CountedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.Bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c CountedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.Bytes.Add(int64(n))
	return n, err
}
