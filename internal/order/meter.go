package order

import (
	"context"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// meteredStore counts the calls to the platform and limits their rate.
type meteredStore struct {
	store   plat.Store
	limiter *rate.Limiter
	scope   tally.Scope
	calls   uint64
}

// startCall waits until the rate limit allows another call and counts the call.
func (m *meteredStore) startCall(ctx context.Context, operation string) error {
	if err := m.limiter.Wait(ctx); err != nil {
		return fault.Wrap(fault.Timeout, err, "wait for the platform call rate limit")
	}
	m.calls++
	m.scope.Tagged(map[string]string{"operation": operation}).Counter("order_platform_calls").Inc(1)
	return nil
}

// get returns the entry of a key, with revision 0 if the key does not exist.
func (m *meteredStore) get(ctx context.Context, key string) (plat.Entry, error) {
	if err := m.startCall(ctx, "get"); err != nil {
		return plat.Entry{}, err
	}
	entry, err := m.store.Get(ctx, key)
	if fault.Is(err, fault.NotFound) {
		return plat.Entry{Key: key}, nil
	}
	return entry, err
}

func (m *meteredStore) put(ctx context.Context, key string, value []byte, base plat.Revision) (plat.Revision, error) {
	if err := m.startCall(ctx, "put"); err != nil {
		return 0, err
	}
	return m.store.Put(ctx, key, value, base)
}
