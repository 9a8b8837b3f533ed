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

// localPeers calls engines in the same process by name. Calls to an engine in
// unreachable fail.
type localPeers struct {
	engines     map[string]*Engine
	unreachable map[string]bool
}

func (f *localPeers) Import(_ context.Context, address string, req ImportRequest) (int, error) {
	if f.unreachable[address] {
		return 0, errors.New("unreachable")
	}
	return f.engines[address].Import(req)
}

func (f *localPeers) Free(_ context.Context, address, id string) error {
	if f.unreachable[address] {
		return errors.New("unreachable")
	}
	f.engines[address].FreeKV(id)
	return nil
}

// runGroup runs the engines "leader", "m1" and "m2" with 100,000 tokens each.
func runGroup(t *testing.T, fn func(t *testing.T, f *localPeers, stop map[string]func())) {
	synctest.Test(t, func(t *testing.T) {
		f := &localPeers{engines: map[string]*Engine{}, unreachable: map[string]bool{}}
		stop := map[string]func(){}
		for _, name := range []string{"leader", "m1", "m2"} {
			cfg := DefaultConfig()
			cfg.CapacityTokens, cfg.Peers = 100_000, f
			cfg.Models = []Model{{Name: "base"}}
			f.engines[name], stop[name] = startEngine(t, cfg)
		}
		fn(t, f, stop)
		for _, s := range stop {
			s()
		}
	})
}

func groupRequest(tokens int) StartRequest {
	req := request("g", tokens, 100)
	req.Members = []string{"m1", "m2"}
	return req
}

// Guards against a long prompt whose memory is not taken, or not freed, on each
// engine that holds a part of it.
func TestLongPromptSpansMembers(t *testing.T) {
	runGroup(t, func(t *testing.T, f *localPeers, _ map[string]func()) {
		for _, name := range []string{"m1", "m2"} {
			require.NoError(t, f.engines[name].Reserve(Reservation{ID: "r", Tokens: 90_000, TTLMillis: 3000}))
		}
		req := groupRequest(250_000)
		req.Reservation = "r"
		r := start(t, f.engines["leader"], req)
		assert.Equal(t, 100_000, usedTokens(f.engines["leader"]))
		assert.Equal(t, 90_000, usedTokens(f.engines["m1"]))
		assert.Equal(t, 250_100-190_000, usedTokens(f.engines["m2"]))
		text, _, _ := read(t, r)
		assert.Equal(t, reply.NewSource(req.Prompt).Text(100), text)
		time.Sleep(time.Second)
		for name, e := range f.engines {
			assert.Zero(t, usedTokens(e), name)
		}
	})
}

// Guards against a stream that starts without all of its memory, and against a
// refusal that leaves memory taken.
func TestMembersThatDoNotFitRefuseTheStart(t *testing.T) {
	runGroup(t, func(t *testing.T, f *localPeers, _ map[string]func()) {
		require.NoError(t, f.engines["m2"].Reserve(Reservation{ID: "x", Tokens: 60_000}))
		req := groupRequest(250_000)
		req.Reservation = "r"
		require.NoError(t, f.engines["m1"].Reserve(Reservation{ID: "r", Tokens: 90_000}))
		_, err := f.engines["leader"].Start(t.Context(), req)
		assert.Equal(t, http.StatusTooManyRequests, status(err))
		assert.Zero(t, usedTokens(f.engines["leader"]))
		assert.Zero(t, usedTokens(f.engines["m1"]))
		assert.Equal(t, 60_000, usedTokens(f.engines["m2"]))
		assert.Empty(t, f.engines["leader"].Streams())
	})
}

// Guards against a stream that goes on after a member with a part of its KV cache
// became unreachable, and against an import on that member that never expires.
func TestLostMember(t *testing.T) {
	runGroup(t, func(t *testing.T, f *localPeers, _ map[string]func()) {
		require.NoError(t, f.engines["m1"].Reserve(Reservation{ID: "r", Tokens: 90_000}))
		req := groupRequest(250_000)
		req.Reservation = "r"
		r := start(t, f.engines["leader"], req)
		f.unreachable["m2"] = true
		_, _, last := read(t, r)
		assert.Contains(t, last.Error, "m2")
		time.Sleep(ImportTTL + time.Second)
		for name, e := range f.engines {
			assert.Zero(t, usedTokens(e), name)
		}
	})
}

// Guards against members that keep imports of a leader that has died.
func TestLostLeader(t *testing.T) {
	runGroup(t, func(t *testing.T, f *localPeers, stop map[string]func()) {
		req := groupRequest(150_000)
		r := start(t, f.engines["leader"], req)
		time.Sleep(time.Second)
		assert.NotZero(t, usedTokens(f.engines["m1"]))
		f.unreachable["m1"], f.unreachable["m2"] = true, true
		stop["leader"]()
		delete(stop, "leader")
		r.Close()
		time.Sleep(ImportTTL + time.Second)
		assert.Zero(t, usedTokens(f.engines["m1"]))
		assert.Zero(t, usedTokens(f.engines["m2"]))
	})
}

// Guards against an export of another organisation's prefix, an exported prefix
// that is evicted before its export ends, and an import that is not added to the
// cache.
func TestExportedPrefixIsImported(t *testing.T) {
	runGroup(t, func(t *testing.T, f *localPeers, _ map[string]func()) {
		from, to := f.engines["leader"], f.engines["m1"]
		req := request("a", 10_000, 1)
		read(t, start(t, from, req))
		hashes := prefixHashes("o", req.Prompt)
		_, err := from.Export(ExportRequest{ID: "e", Organisation: "p", Prefix: formatHash(hashes[8])})
		assert.Equal(t, http.StatusNotFound, status(err), "prefix of another organisation")
		out, err := from.Export(ExportRequest{ID: "e", Organisation: "o", Prefix: formatHash(hashes[8]), TTLMillis: 60_000})
		require.NoError(t, err)
		assert.Equal(t, out.Tokens, usedTokens(from))
		_, err = to.Import(ImportRequest{ID: "e", Tokens: out.Tokens, Organisation: "o", Prefixes: out.Prefixes})
		require.NoError(t, err)
		require.True(t, to.FreeKV("e"))
		req.ID = "b"
		_, _, last := read(t, start(t, to, req))
		assert.Equal(t, 9*blockTokens, last.CachedTokens)
		time.Sleep(time.Minute + time.Second)
		assert.Zero(t, usedTokens(from))
	})
}
