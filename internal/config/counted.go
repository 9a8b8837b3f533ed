package config

import (
	"context"
	"sync/atomic"

	"github.com/verbenapier/verbenapier/internal/plat"
)

// counted counts the calls to a store and bounds their time.
type counted struct {
	store                        plat.Store
	get, list, put, remove, wait atomic.Int64
}

func (c *counted) calls() Calls {
	return Calls{
		Get: c.get.Load(), List: c.list.Load(), Put: c.put.Load(), Delete: c.remove.Load(), Watch: c.wait.Load(),
	}
}

func (c *counted) Get(ctx context.Context, key string) (plat.Entry, error) {
	c.get.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.store.Get(ctx, key)
}

func (c *counted) List(ctx context.Context, prefix string) ([]plat.Entry, error) {
	c.list.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.store.List(ctx, prefix)
}

func (c *counted) Put(ctx context.Context, key string, value []byte, base plat.Revision) (plat.Revision, error) {
	c.put.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.store.Put(ctx, key, value, base)
}

func (c *counted) Delete(ctx context.Context, key string, base plat.Revision) error {
	c.remove.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.store.Delete(ctx, key, base)
}

// Watch allows for the longest wait of the platform.
func (c *counted) Watch(ctx context.Context, prefix string, after plat.Revision) (plat.Revision, error) {
	c.wait.Add(1)
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return c.store.Watch(ctx, prefix, after)
}
