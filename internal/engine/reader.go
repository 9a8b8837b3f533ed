package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// silenceLimit is how long a stream may deliver nothing. While no token is due,
// engines send a keepalive line each second, so three missing lines mean that the
// connection is broken or the engine has failed.
const silenceLimit = 3 * time.Second

// ErrSilent is wrapped in the error when a connection has delivered nothing for too
// long. The error of a connection that was closed does not wrap it.
var ErrSilent = errors.New("connection is silent")

// maxLine bounds one line of a stream, in bytes.
const maxLine = 1 << 20

// Reader reads the frames of a stream. It is not safe for concurrent use.
type Reader struct {
	ctx      context.Context
	cancel   context.CancelCauseFunc
	watchdog *time.Timer
	body     io.ReadCloser
	lines    *bufio.Scanner
}

func newReader(ctx context.Context, cancel context.CancelCauseFunc, watchdog *time.Timer, body io.ReadCloser) *Reader {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	watchdog.Reset(silenceLimit)
	return &Reader{ctx: ctx, cancel: cancel, watchdog: watchdog, body: body, lines: lines}
}

// Next returns the next frame that is not a keepalive. The error UpstreamLost means
// that the connection ended, or delivered nothing for silenceLimit, before the
// last frame, or that a frame was malformed.
func (r *Reader) Next() (Frame, error) {
	for r.lines.Scan() {
		r.watchdog.Reset(silenceLimit)
		var f Frame
		if err := json.Unmarshal(r.lines.Bytes(), &f); err != nil {
			return Frame{}, fault.Wrap(fault.UpstreamLost, err, "malformed frame")
		}
		if !f.Keepalive {
			return f, nil
		}
	}
	if cause := context.Cause(r.ctx); cause != nil && !errors.Is(cause, ErrSilent) {
		return Frame{}, fault.Wrap(fault.KindOf(cause), cause, "reading a stream")
	}
	err := r.lines.Err()
	if errors.Is(context.Cause(r.ctx), ErrSilent) {
		err = ErrSilent
	}
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return Frame{}, fault.Wrap(fault.UpstreamLost, err, "stream ended early")
}

// Close releases the connection without cancelling the stream on the engine.
func (r *Reader) Close() {
	r.watchdog.Stop()
	r.cancel(nil)
	_ = r.body.Close()
}
