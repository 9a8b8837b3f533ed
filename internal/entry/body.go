package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

const (
	// timeoutHeader states the time limit of a request as a duration.
	timeoutHeader = "X-Request-Timeout"
	// deadlineHeader states it as a point in time (RFC 3339).
	deadlineHeader = "X-Request-Deadline"
)

// readBody reads a request body within the size, memory and time bounds. The
// returned function gives the memory back.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, func(), error) {
	limit := s.options.Limits.MaxBody
	if r.ContentLength > limit {
		return nil, nil, fault.New(fault.TooLarge, "the body has %d bytes; allowed are %d", r.ContentLength, limit)
	}
	budget := &bodyBudget{server: s}
	if err := budget.grow(max(r.ContentLength, 0)); err != nil {
		return nil, nil, err
	}
	var body bytes.Buffer
	body.Grow(int(budget.taken))
	source := http.MaxBytesReader(w, r.Body, limit)
	for r.ContentLength < 0 || int64(body.Len()) < r.ContentLength {
		// A body of unknown length takes memory as it arrives: reserving the
		// largest size would let a few slow senders refuse all others.
		if int64(body.Len()) >= budget.taken {
			if err := budget.grow(bodyStep); err != nil {
				budget.release()
				return nil, nil, err
			}
		}
		_, err := io.CopyN(&body, source, min(bodyStep, budget.taken-int64(body.Len())))
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			budget.release()
			return nil, nil, bodyError(err, limit)
		}
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body.Bytes(), budget.release, nil
}

// bodyStep is the memory that a body of unknown length takes at a time.
const bodyStep = 64 << 10

// bodyBudget is the share of the buffered memory that one body holds.
type bodyBudget struct {
	server *Server
	taken  int64
}

func (b *bodyBudget) grow(size int64) error {
	if !b.server.buffered.TryAcquire(size) {
		return fault.New(fault.Overloaded, "host %s has no memory for this request now", b.server.options.Name)
	}
	b.taken += size
	return nil
}

func (b *bodyBudget) release() { b.server.buffered.Release(b.taken) }

func bodyError(err error, limit int64) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fault.New(fault.TooLarge, "the body exceeds %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fault.New(fault.SlowSender, "the body did not arrive in time")
	}
	return fault.Wrap(fault.Invalid, err, "the body could not be read to its end")
}

// deadlineOf returns the deadline of a request. It counts from the arrival of
// the header, so that a slow sender uses up its own time.
func deadlineOf(r *http.Request, arrived time.Time, standard, most time.Duration) (time.Time, error) {
	limit := standard
	if text := r.Header.Get(timeoutHeader); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil {
			return time.Time{}, fault.New(fault.Invalid, "%s is %q; it must be a duration such as 30s", timeoutHeader, text)
		}
		if d <= 0 || d > most {
			return time.Time{}, fault.New(fault.Invalid, "%s is %s; allowed is more than 0 and at most %s", timeoutHeader, d, most)
		}
		limit = d
	}
	deadline := arrived.Add(limit)
	if text := r.Header.Get(deadlineHeader); text != "" {
		t, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return time.Time{}, fault.New(fault.Invalid, "%s is %q; it must be a time in RFC 3339 form", deadlineHeader, text)
		}
		if !t.After(time.Now()) {
			return time.Time{}, fault.New(fault.NotStarted, "%s has passed", deadlineHeader)
		}
		if t.Before(deadline) {
			deadline = t
		}
	}
	return deadline, nil
}

// pause waits for d or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
