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

func (p *localPeers) Import(_ context.Context, address string, req ImportRequest) (int, error) {
	if p.unreachable[address] {
		return 0, errors.New("unreachable")
	}
	return p.engines[address].Import(req)
}

func (p *localPeers) Free(_ context.Context, address, id string) error {
	if p.unreachable[address] {
		return errors.New("unreachable")
	}
	p.engines[address].FreeKV(id)
	return nil
}

// runGroup runs the engines "leader", "m1" and "m2" with 100,000 tokens each.
func runGroup(t *testing.T, fn func(t *testing.T, p *localPeers, stop map[string]func())) {
	synctest.Test(t, func(t *testing.T) {
		p := &localPeers{engines: map[string]*Engine{}, unreachable: map[string]bool{}}
		stop := map[string]func(){}
		for _, name := range []string{"leader", "m1", "m2"} {
			cfg := DefaultConfig()
			cfg.CapacityTokens, cfg.Peers = 100_000, p
			cfg.Models = []Model{{Name: "base"}}
			p.engines[name], stop[name] = startEngine(t, cfg)
		}
		fn(t, p, stop)
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
	runGroup(t, func(t *testing.T, p *localPeers, _ map[string]func()) {
		for _, name := range []string{"m1", "m2"} {
			require.NoError(t, p.engines[name].Reserve(Reservation{ID: "r", Tokens: 90_000, TTLMillis: 3000}))
		}
		req := groupRequest(250_000)
		req.Reservation = "r"
		r := start(t, p.engines["leader"], req)
		assert.Equal(t, 100_000, usedTokens(p.engines["leader"]))
		assert.Equal(t, 90_000, usedTokens(p.engines["m1"]))
		assert.Equal(t, 250_100-190_000, usedTokens(p.engines["m2"]))
		text, _, _ := read(t, r)
		assert.Equal(t, reply.NewSource(req.Prompt).Text(100), text)
		time.Sleep(time.Second)
		for name, e := range p.engines {
			assert.Zero(t, usedTokens(e), name)
		}
	})
}

// Guards against a stream that starts without all of its memory, and against a
// refusal that leaves memory taken.
func TestStartIsRefusedIfMembersLackMemory(t *testing.T) {
	runGroup(t, func(t *testing.T, p *localPeers, _ map[string]func()) {
		require.NoError(t, p.engines["m2"].Reserve(Reservation{ID: "x", Tokens: 60_000}))
		req := groupRequest(250_000)
		req.Reservation = "r"
		require.NoError(t, p.engines["m1"].Reserve(Reservation{ID: "r", Tokens: 90_000}))
		_, err := p.engines["leader"].Start(t.Context(), req)
		assert.Equal(t, http.StatusTooManyRequests, status(err))
		assert.Zero(t, usedTokens(p.engines["leader"]))
		assert.Zero(t, usedTokens(p.engines["m1"]))
		assert.Equal(t, 60_000, usedTokens(p.engines["m2"]))
		assert.Empty(t, p.engines["leader"].Streams())
	})
}

// Guards against a stream that goes on after a member with a part of its KV cache
// became unreachable, and against an import on that member that never expires.
func TestUnreachableMember(t *testing.T) {
	runGroup(t, func(t *testing.T, p *localPeers, _ map[string]func()) {
		require.NoError(t, p.engines["m1"].Reserve(Reservation{ID: "r", Tokens: 90_000}))
		req := groupRequest(250_000)
		req.Reservation = "r"
		r := start(t, p.engines["leader"], req)
		p.unreachable["m2"] = true
		_, _, last := read(t, r)
		assert.Contains(t, last.Error, "m2")
		time.Sleep(ImportTTL + time.Second)
		for name, e := range p.engines {
			assert.Zero(t, usedTokens(e), name)
		}
	})
}

// Guards against members that keep the imports of a leader that no longer runs.
func TestStoppedLeader(t *testing.T) {
	runGroup(t, func(t *testing.T, p *localPeers, stop map[string]func()) {
		req := groupRequest(150_000)
		r := start(t, p.engines["leader"], req)
		time.Sleep(time.Second)
		assert.NotZero(t, usedTokens(p.engines["m1"]))
		p.unreachable["m1"], p.unreachable["m2"] = true, true
		stop["leader"]()
		delete(stop, "leader")
		r.Close()
		time.Sleep(ImportTTL + time.Second)
		assert.Zero(t, usedTokens(p.engines["m1"]))
		assert.Zero(t, usedTokens(p.engines["m2"]))
	})
}

// Guards against an export of another organisation's prefix, an exported prefix
// that is evicted before its export ends, and an import that is not added to the
// cache.
func TestExportedPrefixIsImported(t *testing.T) {
	runGroup(t, func(t *testing.T, p *localPeers, _ map[string]func()) {
		from, to := p.engines["leader"], p.engines["m1"]
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
