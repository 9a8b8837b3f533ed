package entry

import (
	"sync"
	"time"
)

// maxEmptyRetryAfter bounds the Retry-After time of refusals for want of an engine.
const maxEmptyRetryAfter = 8 * time.Second

// emptyServices remembers since when services have had no engine for requests. It is
// safe for concurrent use.
type emptyServices struct {
	mu    sync.Mutex
	since map[string]time.Time
}

// begin returns the error with the time after which callers should come back: the
// longer the service has been without an engine, the later.
func (e *emptyServices) begin(service string, err error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	since, ok := e.since[service]
	if !ok {
		if e.since == nil {
			e.since = map[string]time.Time{}
		}
		since = time.Now()
		e.since[service] = since
	}
	return retryLater{err, min(time.Since(since), maxEmptyRetryAfter)}
}

// end records that the service has an engine.
func (e *emptyServices) end(service string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.since, service)
}

// retryLater is an error with the time after which the caller may resend.
type retryLater struct {
	error
	after time.Duration
}

func (r retryLater) Unwrap() error { return r.error }
