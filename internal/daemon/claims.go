package daemon

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/verbenapier/verbenapier/internal/cells"
	"github.com/verbenapier/verbenapier/internal/claims"
	"github.com/verbenapier/verbenapier/internal/entry"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// buildClaims creates the claims log, which ensures that a call that is not
// idempotent runs at most once.
func (d *Daemon) buildClaims() entry.Claims {
	d.claims = claims.New(claims.Options{
		Store: d.store, Caller: d.peerClient, Node: d.settings.Name, Incarnation: d.incarnation,
		Owner: func(service string, shard int) (member.Member, bool) {
			return cells.KeyOwner(fmt.Sprintf("claims/%s/%d", service, shard), "", d.members.Members())
		},
		Logger: d.log, Scope: d.metrics.SubScope("claims"),
	})
	d.claims.Register(d.mux)
	return callClaims{log: d.claims, refused: &d.claimsRefused}
}

// callClaims adapts the claims log to entry.Claims.
type callClaims struct {
	log *claims.Log
	// refused counts the claims refused because the platform is unavailable.
	refused *atomic.Uint64
}

// Acquire implements entry.Claims.
func (c callClaims) Acquire(ctx context.Context, call entry.Claim) (entry.FinishFunc, *entry.Outcome, error) {
	decision, err := c.log.Acquire(ctx, claims.Call{
		Service: call.Service, Organisation: call.Organisation, Key: call.Key,
		Digest: call.Digest, Window: call.Window, Attempt: 1,
	})
	if err != nil {
		if fault.Is(err, fault.PlatformDown) {
			c.refused.Add(1)
		}
		return nil, nil, err
	}
	switch decision.Verdict {
	case claims.Run:
		finish := func(ctx context.Context, o entry.Outcome) error {
			return c.log.Finish(ctx, decision.Claim, toClaimsOutcome(o))
		}
		return finish, nil, nil
	case claims.Recorded:
		return nil, toEntryOutcome(decision.Outcome), nil
	}
	return nil, nil, fault.New(fault.AlreadyClaimed, "a call with this key was claimed before and its outcome is not known")
}

func toClaimsOutcome(o entry.Outcome) claims.Outcome {
	if o.NotRun {
		return claims.Outcome{Run: fault.RunNo}
	}
	return claims.Outcome{Run: fault.RunYes, Status: o.Status, ContentType: o.ContentType, Body: o.Body}
}

func toEntryOutcome(o claims.Outcome) *entry.Outcome {
	return &entry.Outcome{
		NotRun: o.Run == fault.RunNo, Status: o.Status, ContentType: o.ContentType,
		Body: o.Body, BodyOmitted: o.BodyDropped,
	}
}
