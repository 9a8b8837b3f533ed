package config

import (
	"context"
	"sync/atomic"

	"github.com/verbenapier/verbenapier/internal/plat"
)

// countingStore wraps a store, counts the calls to it and sets their timeouts.
type countingStore struct {
	store                               plat.Store
	gets, lists, puts, deletes, watches atomic.Int64
}

func (c *countingStore) calls() Calls {
	return Calls{
		Get: c.gets.Load(), List: c.lists.Load(), Put: c.puts.Load(), Delete: c.deletes.Load(), Watch: c.watches.Load(),
	}
}

func (c *countingStore) Get(ctx context.Context, key string) (plat.Entry, error) {
	c.gets.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.store.Get(ctx, key)
}

func (c *countingStore) List(ctx context.Context, prefix string) ([]plat.Entry, error) {
	c.lists.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.store.List(ctx, prefix)
}

func (c *countingStore) Put(ctx context.Context, key string, value []byte, base plat.Revision) (plat.Revision, error) {
	c.puts.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.store.Put(ctx, key, value, base)
}

func (c *countingStore) Delete(ctx context.Context, key string, base plat.Revision) error {
	c.deletes.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.store.Delete(ctx, key, base)
}

// Watch uses watchTimeout, which is above the longest wait of the platform.
func (c *countingStore) Watch(ctx context.Context, prefix string, after plat.Revision) (plat.Revision, error) {
	c.watches.Add(1)
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return c.store.Watch(ctx, prefix, after)
}
