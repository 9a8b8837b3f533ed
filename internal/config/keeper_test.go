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

// Guards against a proof that passes whatever the program does: without the
// mechanism, the same run must show a broken promise.
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
			require.NotEmpty(t, append(bad.problems, bad.deaths...))
			good := runProof(t, 3, 24, tc.count, link, 0, 0, tc.episode)
			require.Empty(t, append(good.problems, good.deaths...))
		})
	}
}

// hooked runs a function before a write of the manifest.
type hooked struct {
	plat.Store
	before func()
}

func (h *hooked) Put(ctx context.Context, key string, value []byte, base plat.Revision) (plat.Revision, error) {
	if before := h.before; before != nil && key == ManifestKey {
		h.before = nil
		before()
	}
	return h.Store.Put(ctx, key, value, base)
}

// withFleet runs a test on three nodes that have revision 1 in force.
func withFleet(t *testing.T, without Mechanism, run func(ctx context.Context, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 3, netem.Link{Delay: time.Millisecond})
		f.config = without
		f.startAll()
		time.Sleep(10 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		_, err := f.nodes[0].keeper.Apply(ctx, 0, contents("first"), "ada")
		require.NoError(t, err)
		time.Sleep(acceptTime)
		run(ctx, f)
		require.NoError(t, f.stop())
	})
}

func contents(s string) map[string][]byte {
	return map[string][]byte{"services": []byte("services"), "organisations-00": []byte(s)}
}

// Guards against a collection that deletes the parts of an Apply that has
// written them but not yet its manifest.
func TestCollectDuringApply(t *testing.T) {
	for name, without := range map[string]Mechanism{"fenced": 0, "without the fence": CollectionFence} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, without, func(ctx context.Context, f *fleet) {
				store := &hooked{Store: f.nodes[0].client, before: func() {
					removed, err := f.nodes[1].keeper.Collect(ctx)
					require.NoError(t, err)
					require.Equal(t, 1, removed)
				}}
				k := New(Options{
					Store: store, Members: f.nodes[0].table, Random: f.random, Log: f.nodes[0].keeper.log, Join: join, Without: without,
				})
				m, err := k.Apply(ctx, 1, contents("second"), "ada")
				require.NoError(t, err)
				kept := len(f.store.Keys(PartPrefix + m.Parts["organisations-00"].Hash))
				require.Equal(t, without == 0, kept == 1)
			})
		})
	}
}

// Guards against a platform restored from an old copy that takes nodes back
// to a lower revision, or that gets a second content for a known revision.
func TestPlatformFallsBack(t *testing.T) {
	for name, without := range map[string]Mechanism{"checked": 0, "without the revision check": RevisionCheck} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, without, func(ctx context.Context, f *fleet) {
				k := f.nodes[0].keeper
				old, err := k.store.Get(ctx, ManifestKey)
				require.NoError(t, err)
				_, err = k.Apply(ctx, 1, contents("second"), "ada")
				require.NoError(t, err)
				now, err := k.store.Get(ctx, ManifestKey)
				require.NoError(t, err)
				_, err = k.store.Put(ctx, ManifestKey, old.Value, now.Revision)
				require.NoError(t, err)
				time.Sleep(acceptTime)
				require.Equal(t, without == 0, len(f.found()) == 0)
				if without == 0 {
					_, err = k.Apply(ctx, 1, contents("third"), "ada")
					require.Equal(t, fault.Stale, fault.KindOf(err))
				}
			})
		})
	}
}

// Guards against wrong content from a peer that is put in force, and against
// a refused configuration that replaces the one in force.
func TestRefusedContent(t *testing.T) {
	for name, without := range map[string]Mechanism{"checked": 0, "without the hash check": HashCheck} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, without, func(ctx context.Context, f *fleet) {
				k := f.nodes[2].keeper
				right := contents("second")
				m := Manifest{Revision: 2, Parts: map[string]Part{}}
				wrong := map[string][]byte{}
				for name, content := range right {
					m.Parts[name] = Part{Hash: HashOf(content), Size: len(content)}
					wrong[HashOf(content)] = []byte("x")
				}
				mux := wire.NewMux()
				mux.Handle(MethodFetch, wire.Typed(func(context.Context, string, Fetch) (FetchReply, error) {
					return FetchReply{Manifest: m, Parts: wrong}, nil
				}))
				f.net.Attach("liar", "liar:1", mux)
				k.Learn(2, member.Member{Name: "liar", PeerAddress: "liar:1"})
				time.Sleep(time.Second)
				require.Equal(t, without == 0, k.Revision() == 1)
				if without != 0 {
					return
				}
				_, err := k.Apply(ctx, 1, contents("refuse"), "ada")
				require.Equal(t, fault.Invalid, fault.KindOf(err))
				require.Equal(t, "first", string(k.Current().Parts[HashOf([]byte("first"))]))
			})
		})
	}
}

// Guards against a lost or wrong history, a roll back that is not a new
// revision, and parts that pile up in the platform.
func TestHistory(t *testing.T) {
	withFleet(t, 0, func(ctx context.Context, f *fleet) {
		k := f.nodes[0].keeper
		for i := uint64(1); i < 30; i++ {
			_, err := k.Apply(ctx, i, contents(fmt.Sprint(i)), "ada")
			require.NoError(t, err)
		}
		m, err := f.nodes[1].keeper.RollBack(ctx, 30, 20, "bela")
		require.NoError(t, err)
		require.Equal(t, uint64(31), m.Revision)
		require.Equal(t, HashOf([]byte("19")), m.Parts["organisations-00"].Hash)
		removed, err := k.Collect(ctx)
		require.NoError(t, err)
		require.Equal(t, 10, removed)
		history, err := k.History(ctx)
		require.NoError(t, err)
		require.Len(t, history, HistorySize+1)
		require.Equal(t, uint64(31), history[0].Revision)
		require.Equal(t, uint64(11), history[HistorySize].Revision)
		f.checkParts(ctx, "end")
		require.Empty(t, f.found())
		_, err = k.RollBack(ctx, 31, 3, "ada")
		require.Equal(t, fault.NotFound, fault.KindOf(err))
	})
}

// Guards against a node that serves without a configuration or hides why it
// has none, and against a change that carries more than what differs.
func TestNoConfigAndDelta(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 3, netem.Link{Delay: time.Millisecond})
		f.store.SetMode(netem.Down)
		f.startAll()
		time.Sleep(20 * time.Second)
		_, err := f.nodes[0].keeper.Require()
		require.Equal(t, fault.NoConfig, fault.KindOf(err))
		require.ErrorContains(t, err, "platform down")
		f.store.SetMode(netem.Up)
		time.Sleep(acceptTime)
		large := map[string][]byte{}
		for i := range 8 {
			large[fmt.Sprintf("organisations-%02d", i)] = []byte(strings.Repeat(fmt.Sprint(i), 20_000))
		}
		k := f.nodes[0].keeper
		_, err = k.Apply(t.Context(), 0, large, "ada")
		require.NoError(t, err)
		time.Sleep(acceptTime)
		before := f.nodes[1].end.Traffic().BytesIn + f.nodes[2].end.Traffic().BytesIn
		large["organisations-03"] = []byte(strings.Repeat("x", 20_000))
		_, err = k.Apply(t.Context(), 1, large, "ada")
		require.NoError(t, err)
		time.Sleep(2 * time.Second)
		require.Equal(t, uint64(2), f.nodes[1].keeper.Revision())
		sent := f.nodes[1].end.Traffic().BytesIn + f.nodes[2].end.Traffic().BytesIn - before
		require.Less(t, sent, int64(2*20_000*4/3*3/2))
		raw, err := json.Marshal(f.nodes[1].table.Snapshot())
		require.NoError(t, err)
		require.NotContains(t, string(raw), "xxxx")
		require.NoError(t, f.stop())
	})
}
