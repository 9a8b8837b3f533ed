package relay

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/place"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// pausedReserver refuses orders for the helper "paused" at once and answers others after
// a while.
type pausedReserver struct {
	fakeReserver
	mu      sync.Mutex
	renewed map[string]int
}

func (r *pausedReserver) Reserve(ctx context.Context, h place.Helper, _ int, _ time.Duration) error {
	if h.ID == "paused" {
		return errors.New("the engine asked for a pause")
	}
	if !group.Sleep(ctx, 10*time.Millisecond) {
		return ctx.Err()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.renewed[h.ID]++
	return nil
}

// Guards against memory that expires at all helpers of a prompt because one of them does
// not take the renewal.
func TestRenewalsAreIndependent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, _ := test.NewNullLogger()
		reserver := &pausedReserver{renewed: map[string]int{}}
		r := &reservation{
			server: &Server{options: Options{Reserver: reserver}}, log: log,
			helpers: []place.Helper{{ID: "paused"}, {ID: "h1"}, {ID: "h2"}},
		}
		ctx, cancel := context.WithTimeout(t.Context(), 3*renewInterval+renewInterval/2)
		defer cancel()
		require.NoError(t, r.renew(ctx))
		require.Equal(t, map[string]int{"h1": 3, "h2": 3}, reserver.renewed)
	})
}
