// Package answer decides what counts as the answer of an upstream or of the platform.
package answer

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/verbenapier/verbenapier/internal/header"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// past is a deadline that ends a write at once.
var past = time.Unix(1, 0)

// conn is a connection for one request and its answer.
type conn struct {
	net.Conn
	head headReader
	// hold is the memory of the head, until the connection is closed.
	hold *Hold

	// writing is held during a write. It guards the fields below.
	writing sync.Mutex
	// unread is set once the other end takes no more of the request.
	unread bool
	// broken is the error of a write after which an end of the answer is not the one that
	// the other end intended.
	broken error
}

// NewConn returns a connection on which only an answer can be read. It checks the head of
// the answer, and distinguishes the end of the answer from a reset that happens while the
// request is being written.
//
// The kernel reports a reset once: to the write, if that comes first, and the read then
// returns the end of the answer. A write to a connection whose other end had ended its
// answer before it reset the connection fails with EPIPE instead.
//
// The head counts towards the memory as long as the connection is open.
func NewConn(c net.Conn, memory Memory) net.Conn {
	return &conn{Conn: c, hold: NewHold(memory)}
}

// Write implements net.Conn. Once the other end reads no more of the request, the rest is
// discarded: an answer may come without the whole request, and the next read returns it
// or the reason why there is none.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.unread {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, syscall.ECONNRESET):
		c.broken = err
	case errors.Is(err, syscall.EPIPE), errors.Is(err, io.ErrClosedPipe):
	case errors.Is(err, os.ErrDeadlineExceeded):
		// Set by Read at the end of the answer.
	default:
		c.broken = err
		return n, err
	}
	c.unread = true
	return len(p), nil
}

// Read implements net.Conn. The error is UpstreamLost if the connection was reset, or what
// arrives is no answer.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if headErr := c.readHead(p[:n]); headErr != nil {
		return 0, headErr
	}
	if errors.Is(err, io.EOF) {
		err = c.end()
	}
	return n, err
}

// readHead checks and counts the bytes of the head in what has arrived.
func (c *conn) readHead(p []byte) error {
	if c.head.done {
		return nil
	}
	if err := c.head.read(p); err != nil {
		return err
	}
	if !c.hold.Set(header.Memory(c.head.size)) {
		return errNoMemory("the head of an answer")
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.hold.Release()
	return c.Conn.Close()
}

// end returns the error with which the answer ends.
func (c *conn) end() error {
	// A write in progress may know of a reset. It ends at once.
	_ = c.SetWriteDeadline(past)
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.broken != nil {
		return fault.Wrap(fault.UpstreamLost, c.broken, "the connection broke while the request was being written")
	}
	return io.EOF
}
