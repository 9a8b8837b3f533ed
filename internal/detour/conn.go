package detour

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

const (
	// maxFrame is the maximum size of a frame, in bytes, without its length.
	maxFrame = 16 << 10
	// maxLengthBytes is the size of the length of a frame of maxFrame bytes.
	maxLengthBytes = 3
)

// conn is the caller's end of a tunnel.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// onLost is called when the tunnel is lost before its upstream has sent a byte.
	onLost func()
	// closed is set once the caller has closed the connection.
	closed atomic.Bool
	// delivered is set once the upstream has sent a byte.
	delivered bool
	// left is the number of bytes of the current frame that were not read. The length of
	// the next one has lengthBits bits so far.
	left, length uint64
	lengthBits   uint
	// end is the error of all further reads, or nil.
	end error
}

// Read implements net.Conn. The error is io.EOF if the upstream has closed the connection,
// and wraps ECONNRESET if the connection to the upstream or the tunnel was lost.
func (c *conn) Read(p []byte) (int, error) {
	if c.end != nil {
		return 0, c.end
	}
	if len(p) == 0 {
		return 0, nil
	}
	if c.left == 0 {
		if err := c.readLength(); err != nil {
			return 0, c.fail(err)
		}
	}
	n, err := c.reader.Read(p[:min(uint64(len(p)), c.left)])
	c.left -= uint64(n)
	c.delivered = c.delivered || n > 0
	if err != nil {
		err = c.fail(lost(err))
	}
	return n, err
}

// readLength reads the length of the next frame. The error is io.EOF for the frame that
// ends the upstream's bytes.
func (c *conn) readLength() error {
	for {
		b, err := c.reader.ReadByte()
		if err != nil {
			return lost(err)
		}
		c.length |= uint64(b&0x7f) << c.lengthBits
		c.lengthBits += 7
		if b < 0x80 {
			break
		}
		if c.lengthBits >= 7*maxLengthBytes {
			return lost(errors.New("the length of a frame is malformed"))
		}
	}
	c.left, c.length, c.lengthBits = c.length, 0, 0
	switch {
	case c.left == 0:
		return io.EOF
	case c.left > maxFrame:
		return lost(errors.New("a frame is too long"))
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// fail keeps an error for all further reads, unless it is that of a deadline.
func (c *conn) fail(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	c.end = err
	if !c.delivered && !errors.Is(err, io.EOF) && !c.closed.Load() {
		c.onLost()
	}
	return err
}

// lost returns the error of a tunnel that broke. It never is io.EOF, which stands for the
// end of an answer.
func lost(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
		return err
	}
	return fault.Wrap(fault.UpstreamLost, errors.Join(syscall.ECONNRESET, errors.New(err.Error())), "the connection to the upstream through a peer was lost")
}
