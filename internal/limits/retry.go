package limits

import (
	"sync"
	"time"
)

// retryBurst is how many retries a service or organisation may use at once when
// its budget is full.
const retryBurst = 10

// Retries limits the retries on a node by a budget for each service and one for
// each organisation, so that a failure does not multiply the load.
type Retries struct {
	mu sync.Mutex
	// used is the used part of each budget. A full budget has no entry.
	used map[string]float64
}

// NewRetries returns full budgets.
func NewRetries() *Retries { return &Retries{used: map[string]float64{}} }

func budgetNames(service, organisation string) [2]string {
	return [2]string{"service " + service, "organisation " + organisation}
}

// Admitted adds the service's retry ratio for an admitted request to the
// budgets of the service and of the organisation.
func (r *Retries) Admitted(service, organisation string, ratio float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range budgetNames(service, organisation) {
		if amount, ok := r.used[name]; ok {
			if amount -= ratio; amount <= 0 {
				delete(r.used, name)
			} else {
				r.used[name] = amount
			}
		}
	}
}

// Allow takes one retry from both budgets, or from neither when one is used up.
// In any period, each service and each organisation gets at most ten retries plus
// the ratio times its admitted requests.
func (r *Retries) Allow(service, organisation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := budgetNames(service, organisation)
	for _, name := range names {
		if r.used[name]+1 > retryBurst {
			return false
		}
	}
	for _, name := range names {
		r.used[name]++
	}
	return true
}

// Backoff returns the pause before a retry: an upper bound multiplied by random, a
// number in [0, 1). The bound is base for attempt 1 and doubles with each further
// attempt up to limit.
func Backoff(attempt int, base, limit time.Duration, random float64) time.Duration {
	pause := base
	for i := 1; i < attempt && pause < limit; i++ {
		pause *= 2
	}
	return time.Duration(random * float64(min(pause, limit)))
}
