package batch

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/emul/internal/reply"
)

// fabric connects engines by name. An engine in lost can't be reached.
type fabric struct {
	engines map[string]*Engine
	lost    map[string]bool
}

func (f *fabric) Import(_ context.Context, address string, req Import) (int, error) {
	if f.lost[address] {
		return 0, errors.New("unreachable")
	}
	return f.engines[address].Import(req)
}

func (f *fabric) Free(_ context.Context, address, id string) error {
	if f.lost[address] {
		return errors.New("unreachable")
	}
	f.engines[address].FreeKV(id)
	return nil
}

// gang runs a leader and members "m1" and "m2" of 100,000 tokens each.
func gang(t *testing.T, fn func(t *testing.T, f *fabric, stop map[string]func())) {
	synctest.Test(t, func(t *testing.T) {
		f := &fabric{engines: map[string]*Engine{}, lost: map[string]bool{}}
		stop := map[string]func(){}
		for _, name := range []string{"leader", "m1", "m2"} {
			cfg := DefaultConfig()
			cfg.CapacityTokens, cfg.Peers = 100_000, f
			cfg.Models = []Model{{Name: "base"}}
			f.engines[name], stop[name] = launch(t, cfg)
		}
		fn(t, f, stop)
		for _, s := range stop {
			s()
		}
	})
}

func gangRequest(tokens int) Start {
	req := request("g", tokens, 100)
	req.Members = []string{"m1", "m2"}
	return req
}

// Guards against memory of a long prompt that is not taken or not freed on
// every engine that holds a part.
func TestLongPromptSpansMembers(t *testing.T) {
	gang(t, func(t *testing.T, f *fabric, _ map[string]func()) {
		for _, name := range []string{"m1", "m2"} {
			require.NoError(t, f.engines[name].Reserve(Reservation{ID: "r", Tokens: 90_000, TTLMillis: 3000}))
		}
		req := gangRequest(250_000)
		req.Reservation = "r"
		r := start(t, f.engines["leader"], req)
		assert.Equal(t, 100_000, used(f.engines["leader"]))
		assert.Equal(t, 90_000, used(f.engines["m1"]))
		assert.Equal(t, 250_100-190_000, used(f.engines["m2"]))
		text, _, _ := read(t, r)
		assert.Equal(t, reply.NewSource(req.Prompt).Text(100), text)
		time.Sleep(time.Second)
		for name, e := range f.engines {
			assert.Zero(t, used(e), name)
		}
	})
}

// Guards against a group that starts with a part of its memory, or a refusal
// that leaves memory taken.
func TestMembersThatDoNotFitRefuseTheStart(t *testing.T) {
	gang(t, func(t *testing.T, f *fabric, _ map[string]func()) {
		require.NoError(t, f.engines["m2"].Reserve(Reservation{ID: "x", Tokens: 60_000}))
		req := gangRequest(250_000)
		req.Reservation = "r"
		require.NoError(t, f.engines["m1"].Reserve(Reservation{ID: "r", Tokens: 90_000}))
		_, err := f.engines["leader"].Start(t.Context(), req)
		assert.Equal(t, http.StatusTooManyRequests, status(err))
		assert.Zero(t, used(f.engines["leader"]))
		assert.Zero(t, used(f.engines["m1"]))
		assert.Equal(t, 60_000, used(f.engines["m2"]))
		assert.Empty(t, f.engines["leader"].Streams())
	})
}

// Guards against a stream that goes on without a part of its KV cache, and
// against memory that a lost member would keep.
func TestLostMember(t *testing.T) {
	gang(t, func(t *testing.T, f *fabric, _ map[string]func()) {
		require.NoError(t, f.engines["m1"].Reserve(Reservation{ID: "r", Tokens: 90_000}))
		req := gangRequest(250_000)
		req.Reservation = "r"
		r := start(t, f.engines["leader"], req)
		f.lost["m2"] = true
		_, _, last := read(t, r)
		assert.Contains(t, last.Error, "m2")
		time.Sleep(ImportTTL + time.Second)
		for name, e := range f.engines {
			assert.Zero(t, used(e), name)
		}
	})
}

// Guards against members that keep memory for a leader that has died.
func TestLostLeader(t *testing.T) {
	gang(t, func(t *testing.T, f *fabric, stop map[string]func()) {
		req := gangRequest(150_000)
		r := start(t, f.engines["leader"], req)
		time.Sleep(time.Second)
		assert.NotZero(t, used(f.engines["m1"]))
		f.lost["m1"], f.lost["m2"] = true, true
		stop["leader"]()
		delete(stop, "leader")
		r.Close()
		time.Sleep(ImportTTL + time.Second)
		assert.Zero(t, used(f.engines["m1"]))
		assert.Zero(t, used(f.engines["m2"]))
	})
}

// Guards against an export that is evicted while it is copied, and an import
// that does not reach the cache.
func TestExportedPrefixIsImported(t *testing.T) {
	gang(t, func(t *testing.T, f *fabric, _ map[string]func()) {
		from, to := f.engines["leader"], f.engines["m1"]
		req := request("a", 10_000, 1)
		read(t, start(t, from, req))
		hashes := prefixHashes("o", req.Prompt)
		_, err := from.Export(Export{ID: "e", Organisation: "p", Prefix: formatHash(hashes[8])})
		assert.Equal(t, http.StatusNotFound, status(err), "prefix of another organisation")
		out, err := from.Export(Export{ID: "e", Organisation: "o", Prefix: formatHash(hashes[8]), TTLMillis: 60_000})
		require.NoError(t, err)
		assert.Equal(t, out.Tokens, used(from))
		_, err = to.Import(Import{ID: "e", Tokens: out.Tokens, Organisation: "o", Prefixes: out.Prefixes})
		require.NoError(t, err)
		require.True(t, to.FreeKV("e"))
		req.ID = "b"
		_, _, last := read(t, start(t, to, req))
		assert.Equal(t, 9*blockTokens, last.CachedTokens)
		time.Sleep(time.Minute + time.Second)
		assert.Zero(t, used(from))
	})
}
