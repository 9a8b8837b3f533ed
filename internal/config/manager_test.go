package config

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/netem"
	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Guards against a randomised run whose checks pass regardless of the code under
// test: with a mechanism disabled, the same run must find a violation.
func TestProofFindsMissingMechanism(t *testing.T) {
	cases := map[string]struct {
		episode string
		count   int
		member  member.Mechanism
		config  Mechanism
	}{
		"refutation": {"one-way cut towards one", 1, member.Refutation, 0},
		"exchange":   {"partition", 1, member.Exchange, 0},
		"survey":     {"partition", 1, member.Survey, 0},
		"peer fetch": {"none", 1, 0, PeerFetch},
		"read back":  {"platform loses replies", 3, 0, ReadBack},
	}
	link := netem.Link{Delay: time.Millisecond, Jitter: 2 * time.Millisecond, Loss: 0.005}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			bad := runProof(t, 3, 24, tc.count, link, tc.member, tc.config, tc.episode)
			require.NotEmpty(t, append(bad.problems, bad.falseDeaths...))
			good := runProof(t, 3, 24, tc.count, link, 0, 0, tc.episode)
			require.Empty(t, append(good.problems, good.falseDeaths...))
		})
	}
}

// hookedStore is a store that calls a function before the next write of the
// manifest.
type hookedStore struct {
	plat.Store
	before func()
}

func (h *hookedStore) Put(ctx context.Context, key string, value []byte, base plat.Revision) (plat.Revision, error) {
	if before := h.before; before != nil && key == ManifestKey {
		h.before = nil
		before()
	}
	return h.Store.Put(ctx, key, value, base)
}

// withFleet runs a test on three nodes that have revision 1 in force.
func withFleet(t *testing.T, disabled Mechanism, run func(ctx context.Context, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 3, netem.Link{Delay: time.Millisecond})
		f.config = disabled
		f.startAll()
		time.Sleep(10 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		_, err := f.nodes[0].manager.Apply(ctx, 0, contents("first"), "ada")
		require.NoError(t, err)
		time.Sleep(acceptTime)
		run(ctx, f)
		require.NoError(t, f.stop())
	})
}

// contents returns a configuration of two parts, one of which has the content s.
func contents(s string) map[string][]byte {
	return map[string][]byte{"services": []byte("services"), "organisations-00": []byte(s)}
}

// Guards against a garbage collection that deletes the parts of an Apply that
// has written them but not yet its manifest.
func TestCollectDuringApply(t *testing.T) {
	for name, disabled := range map[string]Mechanism{"fenced": 0, "without the fence": CollectionFence} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, disabled, func(ctx context.Context, f *fleet) {
				store := &hookedStore{Store: f.nodes[0].client, before: func() {
					removed, err := f.nodes[1].manager.Collect(ctx)
					require.NoError(t, err)
					require.Equal(t, 1, removed)
				}}
				mgr := New(Options{
					Store: store, Members: f.nodes[0].table, Random: f.random, Log: f.nodes[0].manager.log, Join: join, Disabled: disabled,
				})
				m, err := mgr.Apply(ctx, 1, contents("second"), "ada")
				require.NoError(t, err)
				kept := len(f.store.Keys(PartPrefix + m.Parts["organisations-00"].Hash))
				require.Equal(t, disabled == 0, kept == 1)
			})
		})
	}
}

// Guards against a lower revision in force, or other content under a revision that
// has been in force. Both could come about when the platform is restored from an
// old backup.
func TestPlatformFallsBack(t *testing.T) {
	for name, disabled := range map[string]Mechanism{"checked": 0, "without the revision check": RevisionCheck} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, disabled, func(ctx context.Context, f *fleet) {
				mgr := f.nodes[0].manager
				old, err := mgr.store.Get(ctx, ManifestKey)
				require.NoError(t, err)
				_, err = mgr.Apply(ctx, 1, contents("second"), "ada")
				require.NoError(t, err)
				// All watchers must have the second revision before the
				// platform goes back to the first, so that without the check
				// the revision falls in every interleaving.
				time.Sleep(acceptTime)
				now, err := mgr.store.Get(ctx, ManifestKey)
				require.NoError(t, err)
				_, err = mgr.store.Put(ctx, ManifestKey, old.Value, now.Revision)
				require.NoError(t, err)
				time.Sleep(acceptTime)
				require.Equal(t, disabled == 0, len(f.foundProblems()) == 0)
				if disabled == 0 {
					_, err = mgr.Apply(ctx, 1, contents("third"), "ada")
					require.Equal(t, fault.Stale, fault.KindOf(err))
				}
			})
		})
	}
}

// Guards against putting content in force that does not match its hash, and
// against a refused configuration that replaces the one in force.
func TestRefusedContent(t *testing.T) {
	for name, disabled := range map[string]Mechanism{"checked": 0, "without the hash check": HashCheck} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, disabled, func(ctx context.Context, f *fleet) {
				mgr := f.nodes[2].manager
				right := contents("second")
				m := Manifest{Revision: 2, Parts: map[string]Part{}}
				wrong := map[string][]byte{}
				for name, content := range right {
					m.Parts[name] = Part{Hash: HashOf(content), Size: len(content)}
					wrong[HashOf(content)] = []byte("x")
				}
				mux := wire.NewMux()
				mux.Handle(MethodFetch, wire.Typed(func(context.Context, string, FetchRequest) (FetchReply, error) {
					return FetchReply{Manifest: m, Contents: wrong}, nil
				}))
				f.net.Attach("corrupt", "corrupt:1", mux)
				mgr.HandlePeerRevision(2, member.Member{Name: "corrupt", PeerAddress: "corrupt:1"})
				time.Sleep(time.Second)
				require.Equal(t, disabled == 0, mgr.Revision() == 1)
				if disabled != 0 {
					return
				}
				_, err := mgr.Apply(ctx, 1, contents("refuse"), "ada")
				require.Equal(t, fault.Invalid, fault.KindOf(err))
				require.Equal(t, "first", string(mgr.Current().Contents[HashOf([]byte("first"))]))
			})
		})
	}
}

// Guards against a lost or wrong history, a rollback that does not create a new
// revision, and unused parts that accumulate on the platform.
func TestHistory(t *testing.T) {
	withFleet(t, 0, func(ctx context.Context, f *fleet) {
		mgr := f.nodes[0].manager
		for i := uint64(1); i < 30; i++ {
			_, err := mgr.Apply(ctx, i, contents(fmt.Sprint(i)), "ada")
			require.NoError(t, err)
		}
		m, err := f.nodes[1].manager.RollBack(ctx, 30, 20, "bela")
		require.NoError(t, err)
		require.Equal(t, uint64(31), m.Revision)
		require.Equal(t, HashOf([]byte("19")), m.Parts["organisations-00"].Hash)
		removed, err := mgr.Collect(ctx)
		require.NoError(t, err)
		require.Equal(t, 10, removed)
		history, err := mgr.History(ctx)
		require.NoError(t, err)
		require.Len(t, history, HistorySize+1)
		require.Equal(t, uint64(31), history[0].Revision)
		require.Equal(t, uint64(11), history[HistorySize].Revision)
		f.checkParts(ctx, "end")
		require.Empty(t, f.foundProblems())
		_, err = mgr.RollBack(ctx, 31, 3, "ada")
		require.Equal(t, fault.NotFound, fault.KindOf(err))
	})
}

// Guards against a node that serves without a configuration or does not report
// why it has none, and against a change that transfers unchanged parts.
func TestNoConfigAndDelta(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 3, netem.Link{Delay: time.Millisecond})
		f.store.SetMode(netem.Down)
		f.startAll()
		time.Sleep(20 * time.Second)
		_, err := f.nodes[0].manager.Require()
		require.Equal(t, fault.NoConfig, fault.KindOf(err))
		require.ErrorContains(t, err, "platform down")
		f.store.SetMode(netem.Up)
		time.Sleep(acceptTime)
		large := map[string][]byte{}
		for i := range 8 {
			large[fmt.Sprintf("organisations-%02d", i)] = []byte(strings.Repeat(fmt.Sprint(i), 20_000))
		}
		mgr := f.nodes[0].manager
		_, err = mgr.Apply(t.Context(), 0, large, "ada")
		require.NoError(t, err)
		time.Sleep(acceptTime)
		before := f.nodes[1].endpoint.Traffic().BytesIn + f.nodes[2].endpoint.Traffic().BytesIn
		large["organisations-03"] = []byte(strings.Repeat("x", 20_000))
		_, err = mgr.Apply(t.Context(), 1, large, "ada")
		require.NoError(t, err)
		time.Sleep(2 * time.Second)
		require.Equal(t, uint64(2), f.nodes[1].manager.Revision())
		sent := f.nodes[1].endpoint.Traffic().BytesIn + f.nodes[2].endpoint.Traffic().BytesIn - before
		// Two nodes receive the changed part in base64 (4/3 of its size), with a
		// margin of one half.
		require.Less(t, sent, int64(2*20_000*4/3*3/2))
		raw, err := json.Marshal(f.nodes[1].table.Snapshot())
		require.NoError(t, err)
		require.NotContains(t, string(raw), "xxxx")
		require.NoError(t, f.stop())
	})
}
