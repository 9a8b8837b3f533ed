package claims

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// naive is a log that stores one platform key for each call and lacks one
// mechanism of the real log.
type naive struct {
	store plat.Store
	node  string
	// lease is the time after which a resend may take over a claim that has no
	// outcome. Zero means never.
	lease time.Duration
	// checkThenWrite repeats a conflicting write with the current revision, so
	// that the write does not depend on what Acquire read.
	checkThenWrite bool
	// assumeSuccess treats a write whose reply was lost as successful.
	assumeSuccess bool
}

// naiveClaim is the stored value of a claimed call.
type naiveClaim struct {
	Until   time.Time
	Outcome *Outcome
}

func (n *naive) Run(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }

func (n *naive) Acquire(ctx context.Context, call Call) (Decision, error) {
	id, _, err := call.identify(time.Now(), 5*time.Second)
	if err != nil {
		return Decision{}, err
	}
	key := string(id[:])
	entry, err := n.store.Get(ctx, key)
	var stored naiveClaim
	switch {
	case err == nil:
		if err := json.Unmarshal(entry.Value, &stored); err != nil {
			return Decision{}, err
		}
		if stored.Outcome != nil {
			return Decision{Verdict: Recorded, Outcome: *stored.Outcome}, nil
		}
		if n.lease == 0 || time.Now().Before(stored.Until) {
			return Decision{}, nil
		}
	case !fault.Is(err, fault.NotFound):
		return Decision{}, notRun(ctx, err)
	}
	value, _ := json.Marshal(naiveClaim{Until: time.Now().Add(n.lease)})
	_, err = n.store.Put(ctx, key, value, entry.Revision)
	if n.checkThenWrite && fault.Is(err, fault.Conflict) {
		if entry, err = n.store.Get(ctx, key); err == nil {
			_, err = n.store.Put(ctx, key, value, entry.Revision)
		}
	}
	if err != nil && (!n.assumeSuccess || !fault.Is(err, fault.ReplyLost)) {
		return Decision{}, notRun(ctx, err)
	}
	return Decision{Verdict: Run, Claim: Claim{id: id}}, nil
}

func (n *naive) Finish(ctx context.Context, claim Claim, outcome Outcome) error {
	entry, err := n.store.Get(ctx, string(claim.id[:]))
	if err != nil {
		return err
	}
	value, _ := json.Marshal(naiveClaim{Outcome: &outcome})
	_, err = n.store.Put(ctx, entry.Key, value, entry.Revision)
	return err
}

// Guards against a random run that does not detect a missing mechanism: each
// naive log must cause violations.
func TestNaiveLogsFail(t *testing.T) {
	cases := map[string]naive{
		"lease":                 {lease: 2 * time.Second},
		"check then write":      {checkThenWrite: true},
		"lost reply as success": {assumeSuccess: true},
	}
	for name, variant := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1, 6, func(f *fleet, n *node) claimLog {
					log := variant
					log.store, log.node = pausableStore{f.store, n}, n.name
					return &log
				})
				f.runWithFaults(10 * time.Minute)
				f.stop()
				t.Logf("keys run %d, violations %d", len(f.runs), len(f.violations))
				require.NotEmpty(t, f.violations)
			})
		})
	}
}
