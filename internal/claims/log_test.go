package claims

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Guards against accepting keys outside the window, and against answering "not
// run" for a key that a node whose clock is ahead may have accepted.
func TestIdentify(t *testing.T) {
	now := time.UnixMilli(0x0190_0000_0000)
	key := func(prefix string) string { return prefix + "-7000-8000-000000000000" }
	cases := map[string]struct {
		key string
		// offset is the time of the check, relative to now.
		offset time.Duration
		kind   fault.Kind
		ok     bool
	}{
		"now":             {key("01900000-0000"), 0, 0, true},
		"window's end":    {key("01900000-0000"), window, 0, true},
		"expired":         {key("01900000-0000"), window + time.Millisecond, fault.KeyExpired, false},
		"within skew":     {key("01900000-0000"), -5 * time.Second, 0, true},
		"beyond one skew": {key("01900000-0000"), -6 * time.Second, fault.KeyExpired, false},
		"beyond two":      {key("01900000-0000"), -11 * time.Second, fault.Invalid, false},
		"version 4":       {"01900000-0000-4000-8000-000000000000", 0, fault.Invalid, false},
		"braces":          {"{01900000-0000-7000-8000-000000000000}", 0, fault.Invalid, false},
		"empty":           {"", 0, fault.Invalid, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			id, _, err := Call{Service: "s", Organisation: "a", Key: tc.key, Window: window}.identify(now.Add(tc.offset), 5*time.Second)
			if !tc.ok {
				require.Equal(t, tc.kind, fault.KindOf(err), err)
				return
			}
			require.NoError(t, err)
			other, _, err := Call{Service: "s", Organisation: "b", Key: tc.key, Window: window}.identify(now.Add(tc.offset), 5*time.Second)
			require.NoError(t, err)
			require.NotEqual(t, id, other, "two organisations have the same identity for a key")
		})
	}
}

// Guards against a call that runs again after its claim was deleted, because
// operators lengthened the window or a node's clock is far behind.
func TestHorizon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1, realLog)
		defer f.stop()
		old := f.key()
		_, err := f.send(f.nodes[0], old, 0)
		require.NoError(t, err)
		for range 400 { // enough to seal the segment that holds the old key
			_, err = f.send(f.nodes[0], f.key(), 0)
			require.NoError(t, err)
		}
		time.Sleep(2 * window)
		_, err = f.send(f.nodes[0], f.key(), 0)
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err = f.nodes[0].log.Acquire(ctx, Call{Service: "desk", Organisation: "skippers", Key: old, Window: time.Hour})
		require.True(t, fault.Is(err, fault.KeyExpired), err)
		f.stop()
		f.checkSegments()
		require.Empty(t, f.violations)
	})
}

// Guards against an error other than PlatformDown, which states that the call was
// not run, while the platform is down, and against a refusal of the call afterwards.
func TestPlatformDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2, realLog)
		defer f.stop()
		f.store.setFaults(true, 0, time.Millisecond)
		key := f.key()
		_, err := f.send(f.nodes[0], key, 0)
		require.True(t, fault.Is(err, fault.PlatformDown), err)
		f.store.setFaults(false, 0, time.Millisecond)
		d, err := f.send(f.nodes[1], key, 0)
		require.NoError(t, err)
		require.Equal(t, Run, d.Verdict)
		f.stop()
		require.Empty(t, f.violations)
	})
}
