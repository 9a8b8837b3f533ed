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

// naive keeps one platform key for each call and leaves out one mechanism.
type naive struct {
	store plat.Store
	who   string
	// lease lets a resend take over a claim without an outcome after this time.
	lease time.Duration
	// checkThenWrite writes after a read without depending on what was read.
	checkThenWrite bool
	// guess takes a lost reply of a write for a success.
	guess bool
}

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
	var held naiveClaim
	switch {
	case err == nil:
		if err := json.Unmarshal(entry.Value, &held); err != nil {
			return Decision{}, err
		}
		if held.Outcome != nil {
			return Decision{Verdict: Recorded, Outcome: *held.Outcome}, nil
		}
		if n.lease == 0 || time.Now().Before(held.Until) {
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
	if err != nil && (!n.guess || !fault.Is(err, fault.ReplyLost)) {
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

// Guards against a random run that cannot see a missing mechanism: each naive
// log must break it.
func TestNaiveLogsFail(t *testing.T) {
	cases := map[string]naive{
		"lease":            {lease: 2 * time.Second},
		"check then write": {checkThenWrite: true},
		"lost reply taken": {guess: true},
	}
	for name, variant := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1, 6, func(f *fleet, n *node) claimer {
					log := variant
					log.store, log.who = gatedStore{f.store, n}, n.name
					return &log
				})
				f.disturbed(10 * time.Minute)
				f.stop()
				t.Logf("keys run %d, violations %d", len(f.runs), len(f.violations))
				require.NotEmpty(t, f.violations)
			})
		})
	}
}
