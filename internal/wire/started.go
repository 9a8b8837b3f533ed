package wire

import (
	"net"

	"github.com/verbenapier/verbenapier/internal/dialer"
)

// tunnelStart is the start of a request for a tunnel. No message begins with it: a first byte
// below 0x80 is the whole length of the message, and the next one is the brace of its object.
const tunnelStart = "CO"

// startedConn is a connection whose first bytes were read.
type startedConn struct {
	net.Conn
	// start holds the first bytes that Read has not returned.
	start []byte
}

// Read implements net.Conn.
func (c *startedConn) Read(p []byte) (int, error) {
	if len(c.start) > 0 {
		n := copy(p, c.start)
		c.start = c.start[n:]
		return n, nil
	}
	return c.Conn.Read(p)
}

// boundBuffers bounds the kernel's buffers of a tunnel.
func boundBuffers(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(dialer.ReceiveBuffer)
		_ = tcp.SetWriteBuffer(dialer.ReceiveBuffer)
	}
}
