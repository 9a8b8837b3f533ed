package daemon

import (
	"context"
	"time"

	"github.com/verbenapier/verbenapier/internal/cells"
	"github.com/verbenapier/verbenapier/internal/entry"
	"github.com/verbenapier/verbenapier/internal/limits"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/pkg/confd"
)

// buildAdmission creates the limiter of organisations and the retry budgets.
func (d *Daemon) buildAdmission() entry.Admission {
	d.limits = limits.New(limits.Options{
		Caller: d.peerClient, Node: d.settings.Name,
		Home: func(organisation string) (member.Member, bool) {
			return cells.KeyOwner("limits/"+organisation, "", d.members.Members())
		},
		Live:   func() int { return len(d.members.Members()) },
		Logger: d.log, Scope: d.metrics.SubScope("limits"),
	})
	d.limits.Register(d.mux)
	return admission{d.limits, limits.NewRetries()}
}

// admission adapts the limiter and the retry budgets to entry.Admission.
type admission struct {
	limiter *limits.Limiter
	*limits.Retries
}

// Admit implements entry.Admission.
func (a admission) Admit(ctx context.Context, organisation string, rules confd.Organisation, tokens int) (func(), error) {
	return a.limiter.Admit(ctx, organisation, limits.Limits{
		RequestsPerSecond: rules.RequestsPerSecond, TokensPerSecond: rules.TokensPerSecond, Concurrent: rules.Concurrent,
	}, tokens)
}

// Retry implements entry.Admission.
func (a admission) Retry(service, organisation string) bool { return a.Allow(service, organisation) }

// RetryAfter implements entry.Admission.
func (a admission) RetryAfter(err error) (time.Duration, bool) { return limits.RetryAfter(err) }
