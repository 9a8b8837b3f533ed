package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/verbenapier/verbenapier/internal/quota"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

const (
	// timeoutHeader carries the time limit of a request as a duration.
	timeoutHeader = "X-Request-Timeout"
	// deadlineHeader carries the time limit as a point in time (RFC 3339).
	deadlineHeader = "X-Request-Deadline"
)

const (
	// callFactor and promptFactor are what a call of a plain service and a request for
	// tokens hold for each byte of their bodies. A prompt is held as JSON, as text, and as
	// the JSON that is sent to its engine, each with the copy from which it is made.
	callFactor   = 1
	promptFactor = 6
)

// readBody reads a request body within the size, memory and time limits. The hold is that
// of the body.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, factor int64) ([]byte, *quota.Hold, error) {
	l := s.options.Limits
	body, hold, err := s.options.Quota.ReadBody(w, r, quota.BodyOptions{Limit: l.MaxBody, Timeout: l.BodyTimeout, Factor: factor, Drain: s.options.Drain})
	switch fault.KindOf(err) {
	case fault.HostLeaving:
		err = errHostStops
	case fault.Canceled:
		err = fault.Wrap(fault.Invalid, err, "the body could not be read to its end")
	}
	return body, hold, err
}

// deadlineOf returns the deadline of a request. The time limit counts from the
// arrival of the header, so that a slow sender uses up its own time limit.
func deadlineOf(r *http.Request, arrived time.Time, defaultLimit, maxLimit time.Duration) (time.Time, error) {
	limit := defaultLimit
	if text := r.Header.Get(timeoutHeader); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil {
			return time.Time{}, fault.New(fault.Invalid, "%s is %q; it must be a duration such as 30s", timeoutHeader, text)
		}
		if d <= 0 || d > maxLimit {
			return time.Time{}, fault.New(fault.Invalid, "%s is %s; allowed is more than 0 and at most %s", timeoutHeader, d, maxLimit)
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

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
