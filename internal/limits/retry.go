package limits

import (
	"sync"
	"time"
)

// retryBurst is how many retries a service or organisation may use at once
// after a quiet time.
const retryBurst = 10

// Retries bounds the retries on a node by budgets of each service and of each
// organisation, so that a failure does not multiply the load.
type Retries struct {
	mu      sync.Mutex
	budgets map[string]float64
}

// NewRetries returns full budgets.
func NewRetries() *Retries { return &Retries{budgets: map[string]float64{}} }

func budgetNames(service, organisation string) [2]string {
	return [2]string{"service " + service, "organisation " + organisation}
}

// Admitted adds the service's retry ratio for an admitted request to the
// budgets of the service and of the organisation.
func (r *Retries) Admitted(service, organisation string, ratio float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range budgetNames(service, organisation) {
		if used, ok := r.budgets[name]; ok {
			if used -= ratio; used <= 0 {
				delete(r.budgets, name)
			} else {
				r.budgets[name] = used
			}
		}
	}
}

// Allow takes a retry from both budgets, or from neither when one is used up.
// Over any time, retries are at most the ratio times the admitted requests plus
// ten, for each service and each organisation.
func (r *Retries) Allow(service, organisation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := budgetNames(service, organisation)
	for _, name := range names {
		if r.budgets[name]+1 > retryBurst {
			return false
		}
	}
	for _, name := range names {
		r.budgets[name]++
	}
	return true
}

// Backoff returns the pause before a retry: a random time up to base doubled
// with each attempt after the first, and at most limit. Random is a number in
// [0, 1).
func Backoff(attempt int, base, limit time.Duration, random float64) time.Duration {
	pause := base
	for i := 1; i < attempt && pause < limit; i++ {
		pause *= 2
	}
	return time.Duration(random * float64(min(pause, limit)))
}
