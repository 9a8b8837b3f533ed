package daemon

import (
	"sync"
	"time"

	"github.com/verbenapier/verbenapier/internal/engine"
)

// reports keeps the last load report of each engine of a cell.
type reports struct {
	mu   sync.Mutex
	byID map[string]datedReport
}

type datedReport struct {
	report engine.LoadReport
	asked  time.Time
}

func (r *reports) note(name string, report engine.LoadReport, asked time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = map[string]datedReport{}
	}
	r.byID[name] = datedReport{report, asked}
}

// last returns the last report of an engine and when it was asked for.
func (r *reports) last(name string) (engine.LoadReport, time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok := r.byID[name]
	return d.report, d.asked, ok
}
