package batch

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Reader reads the frames of a stream.
type Reader struct {
	engine   *Engine
	stream   *stream
	attempt  int
	next     int // sequence number of the next frame
	finished bool
}

// Next returns the next frame. If none is ready within Keepalive, it returns a
// keepalive frame. It returns io.EOF after the last frame. If ctx ends while no
// frame is ready, it returns the error of ctx.
func (r *Reader) Next(ctx context.Context) (Frame, error) {
	timer := time.NewTimer(Keepalive)
	defer timer.Stop()
	for {
		frame, ready, changed := r.poll()
		if ready {
			return frame, nil
		}
		if r.finished {
			return Frame{}, io.EOF
		}
		select {
		case <-changed:
		case <-timer.C:
			return Frame{Keepalive: true}, nil
		case <-ctx.Done():
			return Frame{}, ctx.Err()
		}
	}
}

// poll returns the next frame and true, or a channel that is closed when the
// stream changes.
func (r *Reader) poll() (Frame, bool, <-chan struct{}) {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	s := r.stream
	switch {
	case r.finished:
		return Frame{}, false, nil
	case r.next < s.generated:
		frame := s.frame(r.attempt, r.next)
		r.next++
		r.finished = frame.Done
		return frame, true, nil
	case s.done:
		r.finished = true
		if s.failure == "" {
			return Frame{}, false, nil
		}
		return s.failureFrame(r.attempt), true, nil
	}
	return Frame{}, false, s.changed
}

// Close detaches the reader from its stream, which runs on. A stream without a
// reader is removed after DetachedTTL.
func (r *Reader) Close() {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	r.stream.readers--
	if r.stream.readers == 0 {
		r.stream.detachedAt = time.Now()
	}
}

// Resume attaches a reader that starts at the sequence number from. It refuses
// with status 404 if there is no such stream, and with 400 if from is not valid.
func (e *Engine) Resume(id string, attempt, from int) (*Reader, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[id]
	if s == nil {
		return nil, refuse(http.StatusNotFound, "no such stream")
	}
	if from < 0 || from > s.generated {
		return nil, refuse(http.StatusBadRequest, "sequence number %d is not within 0 to %d", from, s.generated)
	}
	return e.attach(s, attempt, from), nil
}

// attach adds a reader to a stream. If the reader's attempt number is higher than that
// of the stream, it replaces the stream's.
func (e *Engine) attach(s *stream, attempt, from int) *Reader {
	s.readers++
	s.req.Attempt = max(s.req.Attempt, attempt)
	return &Reader{engine: e, stream: s, attempt: attempt, next: from}
}
