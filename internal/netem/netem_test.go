package netem

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

func call(t *testing.T, from *Endpoint, address string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var got string
	err := from.Call(ctx, address, "echo", "hello", &got)
	if err == nil {
		require.Equal(t, "hello", got)
	}
	return err
}

// Guards against a fault that does not affect the calls that it should affect, or
// that still has an effect after its removal.
func TestNetworkFaults(t *testing.T) {
	type faultCase struct {
		set, unset func(*Network)
		kind       fault.Kind
		handled    bool
	}
	cases := map[string]faultCase{
		"request cut": {func(n *Network) { n.Cut("a", "b") }, (*Network).RemoveCuts, fault.Timeout, false},
		"reply cut":   {func(n *Network) { n.Cut("b", "a") }, (*Network).RemoveCuts, fault.Timeout, true},
		"paused":      {func(n *Network) { n.Pause("b") }, func(n *Network) { n.Resume("b") }, fault.Timeout, true},
		"loss": {
			func(n *Network) { n.SetBase(Link{Loss: 1}) },
			func(n *Network) { n.SetBase(Link{}) }, fault.Timeout, false,
		},
		"killed": {func(n *Network) { n.Kill("b") }, func(n *Network) {}, fault.Unreachable, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := New(1, Link{Delay: time.Millisecond})
				handled := 0
				mux := wire.NewMux()
				mux.Handle("echo", wire.Typed(func(_ context.Context, from string, s string) (string, error) {
					require.Equal(t, "a", from)
					handled++
					return s, nil
				}))
				a := n.Attach("a", "a:1", wire.NewMux())
				n.Attach("b", "b:1", mux)
				require.NoError(t, call(t, a, "b:1"))
				require.Equal(t, Traffic{1, 1, int64(len("echo") + 7 + headerSize), 7 + headerSize}, a.Traffic())
				tc.set(n)
				require.Equal(t, tc.kind, fault.KindOf(call(t, a, "b:1")))
				tc.unset(n)
				synctest.Wait()
				require.Equal(t, tc.handled, handled == 2)
				if name != "killed" {
					require.NoError(t, call(t, a, "b:1"))
				}
				require.NoError(t, n.Close())
			})
		})
	}
}

// Guards against a platform that breaks compare-and-swap, does not wake a watch, or
// does not apply a write whose reply was lost.
func TestStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		s := NewStore(1)
		s.SetLatency(2 * time.Millisecond)
		c := s.Client(nil)
		first, err := c.Put(ctx, "k/1", []byte("x"), 0)
		require.NoError(t, err)
		_, err = c.Put(ctx, "k/1", []byte("y"), 0)
		require.True(t, fault.Is(err, fault.Conflict))
		require.True(t, fault.Is(c.Delete(ctx, "k/1", first+1), fault.Conflict))

		g := group.New(ctx)
		var seen plat.Revision
		g.Go("watch", func(ctx context.Context) (err error) { seen, err = c.Watch(ctx, "k/", first); return err })
		synctest.Wait()
		time.Sleep(time.Second)
		require.Equal(t, 1, s.Waiting())
		s.SetReplyLoss(1)
		_, err = c.Put(ctx, "k/2", []byte("z"), 0)
		require.True(t, fault.Is(err, fault.ReplyLost))
		require.NoError(t, g.Wait())
		require.Equal(t, first+1, seen)
		entries, err := c.List(ctx, "k/")
		require.NoError(t, err)
		require.Len(t, entries, 2)
		require.Equal(t, Calls{List: 1, Put: 3, Delete: 1, Watch: 1}, s.Calls())

		s.SetMode(Down)
		_, err = c.Get(ctx, "k/1")
		require.True(t, fault.Is(err, fault.PlatformDown))
		s.SetMode(Silent)
		limited, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err = c.Put(limited, "k/3", nil, 0)
		require.True(t, fault.Is(err, fault.PlatformDown))
		require.Equal(t, []string{"k/1", "k/2"}, s.Keys("k/"))
	})
}

// Guards against a fault between two hosts of a fabric that affects other connections
// than it should, or that still has an effect after its removal.
func TestFabricFaults(t *testing.T) {
	cases := map[string]struct {
		set func(n *Fabric, a, b string)
		// old and fresh are the errors of an exchange on an open and on a new connection.
		old, fresh error
	}{
		"cut":    {(*Fabric).Cut, os.ErrDeadlineExceeded, context.DeadlineExceeded},
		"reset":  {(*Fabric).Reset, syscall.ECONNRESET, nil},
		"refuse": {(*Fabric).Refuse, nil, syscall.ECONNREFUSED},
		"break":  {(*Fabric).Break, nil, syscall.ECONNRESET},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := NewFabric(time.Millisecond)
				g := group.New(t.Context())
				l, err := n.Host("b").Listen(t.Context(), "b:1")
				require.NoError(t, err)
				g.Go("echo", func(context.Context) error {
					for c, err := l.Accept(); err == nil; c, err = l.Accept() {
						g.Go("conn", func(context.Context) error { _, _ = io.Copy(c, c); return nil })
					}
					return nil
				})
				dial := func(host string) (net.Conn, error) {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					c, err := n.Host(host).Dial(ctx, "b:1")
					if err != nil {
						return nil, err
					}
					return c, exchange(c)
				}
				old, err := dial("a")
				require.NoError(t, err)
				tc.set(n, "a", "b")
				require.ErrorIs(t, exchange(old), tc.old)
				_, err = dial("a")
				require.ErrorIs(t, err, tc.fresh)
				_, err = dial("c")
				require.NoError(t, err)
				n.RemoveCuts()
				_, err = dial("a")
				require.NoError(t, err)
				n.Close()
				require.NoError(t, g.Wait())
			})
		})
	}
}

// exchange sends a byte and awaits its echo.
func exchange(c net.Conn) error {
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}
