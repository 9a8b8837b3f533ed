package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/verbenapier/verbenapier/internal/answer"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// silenceLimit is how long a stream may deliver nothing. While no token is due,
// engines send a keepalive line each second, so three missing lines mean that the
// connection is broken or the engine has failed.
const silenceLimit = 3 * time.Second

// ErrSilent is wrapped in the error when a connection has delivered nothing for too
// long. The error of a connection that was closed does not wrap it.
var ErrSilent = errors.New("connection is silent")

const (
	// maxLine bounds one line of a stream, in bytes.
	maxLine = 128 << 10
	// maxKeepalives bounds the keepalive lines between two frames, in bytes. It is enough
	// for those of an hour.
	maxKeepalives = 128 << 10
)

// Reader reads the frames of a stream. It is not safe for concurrent use.
type Reader struct {
	ctx      context.Context
	cancel   context.CancelCauseFunc
	watchdog *time.Timer
	body     io.ReadCloser
	buffer   *bufio.Reader
	// line is a line that is longer than the buffer, and hold its memory.
	line []byte
	hold *answer.Hold
}

func newReader(ctx context.Context, cancel context.CancelCauseFunc, watchdog *time.Timer, body io.ReadCloser, hold *answer.Hold) *Reader {
	watchdog.Reset(silenceLimit)
	return &Reader{ctx: ctx, cancel: cancel, watchdog: watchdog, body: body, buffer: bufio.NewReader(body), hold: hold}
}

// Next returns the next frame that is not a keepalive. The error UpstreamLost means
// that the connection ended, or delivered nothing for silenceLimit, before the
// last frame, or that a frame was malformed.
func (r *Reader) Next() (Frame, error) {
	for keepalives := 0; keepalives <= maxKeepalives; {
		line, err := r.readLine()
		if err != nil {
			return Frame{}, r.endError(err)
		}
		r.watchdog.Reset(silenceLimit)
		var f Frame
		if err := json.Unmarshal(line, &f); err != nil {
			return Frame{}, fault.Wrap(fault.UpstreamLost, err, "malformed frame")
		}
		if !f.Keepalive {
			return f, nil
		}
		keepalives += len(line)
	}
	return Frame{}, fault.New(fault.UpstreamLost, "the engine sent %d bytes of keepalive lines without a frame", maxKeepalives)
}

// readLine returns the next line, which is valid until the next call. The last line may
// end with the stream.
func (r *Reader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.buffer.ReadSlice('\n')
		size := len(r.line) + len(part)
		if errors.Is(err, io.EOF) && size > 0 {
			err = nil
		}
		switch {
		case err == nil && len(r.line) == 0:
			return part, nil
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case size > maxLine:
			return nil, fault.New(fault.UpstreamLost, "a line exceeds %d bytes", maxLine)
		case size > answer.FreeBody && !r.hold.Set(2*maxLine):
			return nil, fault.New(fault.UpstreamLost, "this host has no memory for a line of %d bytes", size)
		}
		r.line = append(r.line, part...)
		if err == nil {
			return r.line, nil
		}
	}
}

// endError returns the error with which the stream ends after a read failed with err.
func (r *Reader) endError(err error) error {
	switch cause := context.Cause(r.ctx); {
	case cause != nil && !errors.Is(cause, ErrSilent):
		return fault.Wrap(fault.KindOf(cause), cause, "reading a stream")
	case cause != nil:
		err = ErrSilent
	case errors.Is(err, io.EOF):
		err = io.ErrUnexpectedEOF
	}
	return fault.Wrap(fault.UpstreamLost, err, "stream ended early")
}

// Close releases the connection without cancelling the stream on the engine.
func (r *Reader) Close() {
	r.watchdog.Stop()
	r.cancel(nil)
	r.hold.Release()
	_ = r.body.Close()
}
