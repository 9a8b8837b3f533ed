package batch

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Reader reads the frames of a stream.
type Reader struct {
	engine  *Engine
	stream  *stream
	attempt int
	next    int
	last    bool
}

// Next returns the next frame. It returns a keepalive frame if none is due for
// Keepalive, io.EOF after the last frame and the error of ctx when that ends.
func (r *Reader) Next(ctx context.Context) (Frame, error) {
	timer := time.NewTimer(Keepalive)
	defer timer.Stop()
	for {
		frame, ready, changed := r.poll()
		if ready {
			return frame, nil
		}
		if r.last {
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

func (r *Reader) poll() (Frame, bool, <-chan struct{}) {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	s := r.stream
	switch {
	case r.last:
		return Frame{}, false, nil
	case r.next < s.generated:
		frame := s.frame(r.attempt, r.next)
		r.next++
		r.last = frame.Done
		return frame, true, nil
	case s.done:
		r.last = true
		if s.failure == "" {
			return Frame{}, false, nil
		}
		return s.failed(r.attempt), true, nil
	}
	return Frame{}, false, s.changed
}

// Close detaches the reader.
func (r *Reader) Close() {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	r.stream.readers--
	if r.stream.readers == 0 {
		r.stream.detached = time.Now()
	}
}

// Resume reads a stream again from a sequence number. Its refusals have the
// statuses 404 and 400.
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

func (e *Engine) attach(s *stream, attempt, from int) *Reader {
	s.readers++
	s.req.Attempt = max(s.req.Attempt, attempt)
	return &Reader{engine: e, stream: s, attempt: attempt, next: from}
}
