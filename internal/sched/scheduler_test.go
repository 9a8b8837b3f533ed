package sched

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// Guards against memory that is granted twice and a waiter that outlives its
// deadline.
func TestMemoryAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Cell: "c", RebuildWindow: -1, Violation: func(n string) { t.Fatal(n) }})
		s.SetEngines([]EngineInfo{{Name: "e", Address: "a"}})
		s.Report("e", "a", engine.LoadReport{CapacityTokens: 10_000})
		req := Request{ID: "1", Cell: "c", PromptTokens: 7_000, MaxTokens: 500, Remaining: 20 * time.Second}
		first, err := s.Acquire(t.Context(), req)
		require.NoError(t, err)
		again, err := s.Acquire(t.Context(), req)
		require.NoError(t, err)
		require.Equal(t, first.ID, again.ID)

		req.ID = "2"
		start := time.Now()
		_, err = s.Acquire(t.Context(), req)
		require.Equal(t, fault.NotStarted, fault.KindOf(err))
		require.Equal(t, 20*time.Second, time.Since(start))

		req.ID = "3"
		g := group.New(t.Context())
		g.Go("acquire", func(ctx context.Context) error {
			_, err := s.Acquire(ctx, req)
			return err
		})
		synctest.Wait()
		s.Release(Release{ID: first.ID})
		require.NoError(t, g.Wait())

		req.PromptTokens = 20_000
		req.ID = "4"
		_, err = s.Acquire(t.Context(), req)
		require.Equal(t, fault.TooLong, fault.KindOf(err))
	})
}
