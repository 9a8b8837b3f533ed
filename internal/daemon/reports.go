package daemon

import (
	"sync"
	"time"

	"github.com/verbenapier/verbenapier/internal/engine"
)

// reports keeps the last load report of each engine of a cell.
type reports struct {
	mu       sync.Mutex
	byEngine map[string]timedReport
}

// timedReport is a load report with the time at which it was requested.
type timedReport struct {
	report      engine.LoadReport
	requestedAt time.Time
}

func (r *reports) set(name string, report engine.LoadReport, requestedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byEngine == nil {
		r.byEngine = map[string]timedReport{}
	}
	r.byEngine[name] = timedReport{report, requestedAt}
}

// last returns the last report of an engine and the time at which it was
// requested.
func (r *reports) last(name string) (engine.LoadReport, time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.byEngine[name]
	return t.report, t.requestedAt, ok
}
