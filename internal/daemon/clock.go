package daemon

import (
	"context"
	"math/rand/v2"
	"time"
)

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// jitter returns a random duration between 0.5 and 1.5 times d, so that nodes
// that started together do not act at the same moments.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + rand.Float64()))
}
