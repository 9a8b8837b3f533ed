package daemon

import (
	"context"
	"sync"

	"golang.org/x/time/rate"

	"github.com/verbenapier/verbenapier/internal/entry"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// retryBurst is how many retries a service may make at once.
const retryBurst = 20

// nodeLimits enforces the limits of organisations on this node alone.
type nodeLimits struct {
	mu      sync.Mutex
	running map[string]int
	rates   map[string]*rate.Limiter
	budgets map[string]float64
}

func (d *Daemon) buildLimits() entry.Limits {
	return &nodeLimits{running: map[string]int{}, rates: map[string]*rate.Limiter{}, budgets: map[string]float64{}}
}

// Admit implements entry.Limits.
func (n *nodeLimits) Admit(_ context.Context, organisation string, rules confd.Organisation, _ int) (func(), error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if rules.Concurrent > 0 && n.running[organisation] >= rules.Concurrent {
		return nil, fault.New(fault.RateLimited, "the organisation has %d requests in flight", rules.Concurrent)
	}
	if rules.RequestsPerSecond > 0 && !n.limiter(organisation, rules.RequestsPerSecond).Allow() {
		return nil, fault.New(fault.RateLimited, "the organisation is over %g requests per second", rules.RequestsPerSecond)
	}
	n.running[organisation]++
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.running[organisation]--
	}, nil
}

func (n *nodeLimits) limiter(organisation string, perSecond float64) *rate.Limiter {
	l := n.rates[organisation]
	if l == nil {
		l = rate.NewLimiter(rate.Limit(perSecond), int(perSecond)+1)
		n.rates[organisation] = l
	}
	l.SetLimit(rate.Limit(perSecond))
	return l
}

// Admitted implements entry.Limits.
func (n *nodeLimits) Admitted(service, _ string, ratio float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.budgets[service]; !ok {
		n.budgets[service] = retryBurst
	}
	n.budgets[service] = min(n.budgets[service]+ratio, retryBurst)
}

// Retry implements entry.Limits.
func (n *nodeLimits) Retry(service, _ string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.budgets[service] < 1 {
		return false
	}
	n.budgets[service]--
	return true
}
