package config

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/plat"
)

// panickyStore is a store whose next calls panic.
type panickyStore struct {
	plat.Store
	// left is the number of calls that are still to panic.
	left *atomic.Int64
}

func (s panickyStore) hit() {
	if s.left.Add(-1) >= 0 {
		panic("injected in the store")
	}
}

func (s panickyStore) Get(ctx context.Context, key string) (plat.Entry, error) {
	s.hit()
	return s.Store.Get(ctx, key)
}

func (s panickyStore) List(ctx context.Context, prefix string) ([]plat.Entry, error) {
	s.hit()
	return s.Store.List(ctx, prefix)
}

func (s panickyStore) Watch(ctx context.Context, prefix string, after plat.Revision) (plat.Revision, error) {
	s.hit()
	return s.Store.Watch(ctx, prefix, after)
}

// Guards against an unexpected error in the loops that watch and fetch which ends
// the manager of a node, or keeps a new configuration from it.
func TestPanicInLoops(t *testing.T) {
	for panics := int64(1); panics <= 4; panics++ {
		withFleet(t, 0, func(ctx context.Context, f *fleet) {
			f.panics.Store(panics)
			time.Sleep(time.Minute)
			require.LessOrEqual(t, f.panics.Load(), int64(0))
			_, err := f.nodes[0].manager.Apply(ctx, 1, contents("second"), "ada")
			require.NoError(t, err)
			time.Sleep(acceptTime)
			for _, n := range f.nodes {
				require.EqualValues(t, 2, n.manager.Current().Manifest.Revision, n.name)
			}
		})
	}
}
