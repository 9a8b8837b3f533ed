package detour

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// maxHead bounds the head of an answer that is observed, in bytes.
const maxHead = 16 << 10

// tunnel copies bytes between a peer, the caller, and an upstream.
type tunnel struct {
	server           *Server
	caller, upstream net.Conn
	// address is that of the upstream.
	address string
	// head is what the upstream has sent of the head of its answer, or nil once that was
	// observed or is too long.
	head []byte

	// writing is held during a write to the upstream. It guards the fields below.
	writing sync.Mutex
	// unread is set once the upstream takes no more bytes. The caller's are then read and
	// discarded: closing the connection would reset it and lose bytes of the upstream.
	unread bool
	// broken is set after a write that shows that an end of the upstream's bytes is not the
	// one that the upstream intended.
	broken bool
}

// run copies until the caller has closed its end, or the upstream its and the caller was
// told.
func (t *tunnel) run() {
	if t.server.options.Observe != nil {
		t.head = []byte{}
	}
	copying := group.New(context.Background())
	copying.Go("tunnel to the upstream", guard.Task(t.server.options.Log, "tunnel", func(context.Context) error {
		// The end of the caller ends the work of the upstream at once.
		defer func() { _ = t.upstream.Close() }()
		t.copyToUpstream()
		return nil
	}))
	if t.copyToCaller() {
		_ = t.caller.SetReadDeadline(time.Now().Add(lingerTime))
	} else {
		_ = t.caller.Close()
	}
	// Its errors were logged by guard.Task.
	_ = copying.Wait()
}

// copyToUpstream copies the caller's bytes until the caller closes its end.
func (t *tunnel) copyToUpstream() {
	buf := t.server.buffers.Get().(*[]byte)
	defer t.server.buffers.Put(buf)
	for {
		n, err := t.caller.Read(*buf)
		if n > 0 {
			t.write((*buf)[:n])
		}
		if err != nil {
			return
		}
	}
}

// write writes to the upstream, as long as it takes bytes.
func (t *tunnel) write(p []byte) {
	t.writing.Lock()
	defer t.writing.Unlock()
	if t.unread {
		return
	}
	_ = t.upstream.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := t.upstream.Write(p)
	if err == nil {
		return
	}
	t.unread = true
	t.broken = !slices.ContainsFunc([]error{syscall.EPIPE, io.ErrClosedPipe, os.ErrDeadlineExceeded}, func(e error) bool { return errors.Is(err, e) })
}

// copyToCaller copies the upstream's bytes in frames, and reports whether they ended and
// the caller was told.
func (t *tunnel) copyToCaller() bool {
	buf := t.server.buffers.Get().(*[]byte)
	defer t.server.buffers.Put(buf)
	for {
		n, err := t.upstream.Read((*buf)[maxLengthBytes:])
		t.observe((*buf)[maxLengthBytes : maxLengthBytes+n])
		if n > 0 && !t.send(frame(*buf, n)) {
			return false
		}
		switch {
		case errors.Is(err, io.EOF):
			return !t.brokenWrite() && t.send([]byte{0})
		case err != nil:
			return false
		}
	}
}

// observe collects the head of the upstream's answer until it is complete.
func (t *tunnel) observe(p []byte) {
	if t.head == nil {
		return
	}
	t.head = append(t.head, p...)
	if bytes.Contains(t.head, []byte("\r\n\r\n")) {
		guard.Run(t.server.options.Log, "tunnel", func() { t.server.options.Observe(t.address, t.head) })
		t.head = nil
	}
	if len(t.head) > maxHead {
		t.head = nil
	}
}

// frame returns the frame of the n bytes after the first maxLengthBytes of buf.
func frame(buf []byte, n int) []byte {
	var length [binary.MaxVarintLen64]byte
	size := binary.PutUvarint(length[:], uint64(n))
	copy(buf[maxLengthBytes-size:], length[:size])
	return buf[maxLengthBytes-size : maxLengthBytes+n]
}

// send writes to the caller.
func (t *tunnel) send(p []byte) bool {
	_ = t.caller.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := t.caller.Write(p)
	return err == nil
}

// brokenWrite reports whether a write has shown that the connection to the upstream broke.
// The kernel reports a reset once: if a write got it, the read returns the end of the
// upstream's bytes.
func (t *tunnel) brokenWrite() bool {
	// A write in progress may know of a reset. It ends at once.
	_ = t.upstream.SetWriteDeadline(past)
	t.writing.Lock()
	defer t.writing.Unlock()
	t.unread = true
	return t.broken
}
