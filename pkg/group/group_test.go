package group

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a failed or panicking goroutine that leaves the others
// running or whose error is lost.
func TestGroup(t *testing.T) {
	errBoom := errors.New("boom")
	cases := map[string]struct {
		fn        func(context.Context) error
		wantError string
	}{
		"error": {func(context.Context) error { return errBoom }, "worker: boom"},
		"panic": {func(context.Context) error { panic("bad index") }, "worker: panic: bad index"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := New(t.Context())
			g.Go("waiter", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() })
			g.Go("worker", tc.fn)
			require.ErrorContains(t, g.Wait(), tc.wantError)
		})
	}
}

// Guards against Stop being reported as a failure.
func TestStop(t *testing.T) {
	g := New(t.Context())
	g.Go("waiter", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() })
	g.Stop()
	require.NoError(t, g.Wait())
	require.Error(t, g.Context().Err())
}
