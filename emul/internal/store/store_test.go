package store_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/emul/internal/store"
)

// Guards against a write or deletion with an old base revision that takes effect.
func TestCompareAndSwap(t *testing.T) {
	s := store.New()
	first, err := s.Put("a/b", []byte("1"), 0, "")
	require.NoError(t, err)
	other, err := s.Put("c", nil, 0, "")
	require.NoError(t, err)
	assert.Greater(t, other, first, "one counter covers all keys")
	current, err := s.Put("a/b", []byte("2"), 0, "")
	require.ErrorIs(t, err, store.ErrConflict)
	assert.Equal(t, first, current)
	_, err = s.Delete("a/b", other)
	require.ErrorIs(t, err, store.ErrConflict)
	deleted, err := s.Delete("a/b", first)
	require.NoError(t, err)
	_, err = s.Get("a/b")
	require.ErrorIs(t, err, store.ErrNotFound)
	again, err := s.Put("a/b", nil, 0, "")
	require.NoError(t, err)
	assert.Greater(t, again, deleted, "a key that is created again has a new revision")
}

// Guards against a watch that misses a change or wakes for a change under another
// prefix. A watch must also end at its time limit and with its context.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		rev, _ := s.Put("a/1", nil, 0, "")
		time.AfterFunc(time.Second, func() { _, _ = s.Put("b", nil, 0, "") })
		time.AfterFunc(2*time.Second, func() { _, _ = s.Delete("a/1", rev) })
		begin := time.Now()
		got, err := s.Watch(t.Context(), "a/", rev, time.Minute)
		require.NoError(t, err)
		assert.Equal(t, rev+2, got, "deletions count")
		assert.Equal(t, 2*time.Second, time.Since(begin))
		got, err = s.Watch(t.Context(), "a/", got, time.Minute)
		require.NoError(t, err)
		assert.Equal(t, rev+2, got)
		assert.Equal(t, 62*time.Second, time.Since(begin))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = s.Watch(ctx, "a/", got, time.Minute)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		_, _, watches := s.Stats()
		assert.Zero(t, watches)
	})
}

// Guards against an ended lease that can still be used, keys that outlive their
// lease, and a renewal without an effect.
func TestLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		id := s.Grant(10 * time.Second)
		_, err := s.Put("k", nil, 0, id)
		require.NoError(t, err)
		time.Sleep(8 * time.Second)
		_, err = s.Renew(id)
		require.NoError(t, err)
		time.Sleep(8 * time.Second)
		_, err = s.Get("k")
		require.NoError(t, err)
		time.Sleep(3 * time.Second)
		_, err = s.Get("k")
		require.ErrorIs(t, err, store.ErrNotFound)
		_, err = s.Renew(id)
		require.ErrorIs(t, err, store.ErrLease)
		_, err = s.Put("k", nil, 0, id)
		require.ErrorIs(t, err, store.ErrLease)
	})
}
