package batch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/emul/internal/reply"
)

// run starts an engine in a synctest bubble, where time is virtual, and stops it
// after fn.
func run(t *testing.T, change func(*Config), fn func(t *testing.T, e *Engine)) {
	synctest.Test(t, func(t *testing.T) {
		cfg := DefaultConfig()
		cfg.Models = []Model{{Name: "base", Version: "1"}}
		cfg.EventLossShare = 0
		if change != nil {
			change(&cfg)
		}
		e, stop := startEngine(t, cfg)
		defer stop()
		fn(t, e)
	})
}

func startEngine(t *testing.T, cfg Config) (*Engine, func()) {
	e := New(cfg)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { e.Run(ctx) })
	return e, func() {
		cancel()
		group.Wait()
	}
}

func prompt(tokens int, name string) string {
	return name + strings.Repeat("x", max(0, tokens*reply.BytesPerToken-len(name)))
}

func request(id string, tokens, answer int) StartRequest {
	return StartRequest{ID: id, Attempt: 1, Organisation: "o", Model: "base", Prompt: prompt(tokens, id), MaxTokens: answer}
}

func start(t *testing.T, e *Engine, req StartRequest) *Reader {
	r, err := e.Start(t.Context(), req)
	require.NoError(t, err)
	return r
}

// read reads a stream to its end. It returns the text, the time until the first
// token, and the last frame.
func read(t *testing.T, r *Reader) (string, time.Duration, Frame) {
	var text strings.Builder
	begin := time.Now()
	var first time.Duration
	for {
		f, err := r.Next(t.Context())
		require.NoError(t, err)
		if f.Keepalive {
			continue
		}
		if first == 0 {
			first = time.Since(begin)
		}
		text.WriteString(f.Text)
		if f.Done {
			_, err := r.Next(t.Context())
			require.ErrorIs(t, err, io.EOF)
			r.Close()
			return text.String(), first, f
		}
	}
}

func status(err error) int {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Status
	}
	return 0
}

// usedTokens returns the memory in use now; load reports are older.
func usedTokens(e *Engine) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usedTokens()
}

func serves(e *Engine, model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.serves(model)
}

// Guards against frames that are lost, duplicated or out of order when streams
// share a batch, and against finished streams that keep memory.
func TestConcurrentStreamsGetTheirOwnAnswers(t *testing.T) {
	run(t, nil, func(t *testing.T, e *Engine) {
		readers := map[string]*Reader{}
		for i := range 100 {
			req := request(fmt.Sprint("s", i), 10+i*50, 20+i)
			readers[req.ID] = start(t, e, req)
		}
		for i := range 100 {
			id := fmt.Sprint("s", i)
			text, _, last := read(t, readers[id])
			assert.Equal(t, reply.NewSource(prompt(10+i*50, id)).Text(20+i), text)
			assert.Equal(t, "length", last.FinishReason)
			assert.Equal(t, 10+i*50, last.PromptTokens)
		}
		assert.Zero(t, usedTokens(e))
	})
}

// Guards against a prefill time that grows only in proportion to the prompt's length.
func TestPrefillGrowsFasterThanLength(t *testing.T) {
	run(t, nil, func(t *testing.T, e *Engine) {
		_, short, _ := read(t, start(t, e, request("a", 100_000, 1)))
		_, long, _ := read(t, start(t, e, request("b", 400_000, 1)))
		assert.Greater(t, long, 5*short)
	})
}

// Guards against head-of-line blocking by a long prompt of lower priority.
func TestHigherPriorityOvertakesPrefill(t *testing.T) {
	run(t, nil, func(t *testing.T, e *Engine) {
		long := request("long", 300_000, 1)
		long.Priority = 5
		slow := start(t, e, long)
		time.Sleep(time.Second)
		_, first, _ := read(t, start(t, e, request("short", 1000, 1)))
		assert.Less(t, first, 200*time.Millisecond)
		_, rest, _ := read(t, slow)
		assert.Greater(t, rest, 5*time.Second)
	})
}

// Guards against a refused start that takes memory or leaves a stream.
func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*StartRequest)
		status int
	}{
		"duplicate id":  {func(r *StartRequest) { r.ID = "first" }, http.StatusConflict},
		"unknown model": {func(r *StartRequest) { r.Model = "other" }, http.StatusNotFound},
		"memory":        {func(r *StartRequest) { r.MaxTokens = 400_000 }, http.StatusTooManyRequests},
		"no id":         {func(r *StartRequest) { r.ID = "" }, http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, nil, func(t *testing.T, e *Engine) {
				first := start(t, e, request("first", 100_000, 10))
				before := usedTokens(e)
				req := request("second", 1000, 10)
				c.change(&req)
				_, err := e.Start(t.Context(), req)
				assert.Equal(t, c.status, status(err))
				assert.Equal(t, before, usedTokens(e))
				assert.Len(t, e.Streams(), 1)
				first.Close()
			})
		})
	}
}

// Guards against a stream that loses or repeats frames when its reader reconnects,
// and against a stream without a reader that keeps its memory.
func TestResumeAndDetach(t *testing.T) {
	run(t, nil, func(t *testing.T, e *Engine) {
		req := request("s", 100, 2000)
		r := start(t, e, req)
		for range 5 {
			_, err := r.Next(t.Context())
			require.NoError(t, err)
		}
		r.Close()
		time.Sleep(DetachedTTL - time.Second)
		r, err := e.Resume("s", 2, 5)
		require.NoError(t, err)
		f, err := r.Next(t.Context())
		require.NoError(t, err)
		assert.Equal(t, Frame{Attempt: 2, Seq: 5, Text: reply.NewSource(req.Prompt).Token(5)}, f)
		r.Close()
		assert.NotZero(t, usedTokens(e))
		time.Sleep(DetachedTTL + 2*sweepInterval)
		assert.Zero(t, usedTokens(e))
		_, err = e.Resume("s", 3, 6)
		assert.Equal(t, http.StatusNotFound, status(err))
	})
}

// Guards against missing keepalive frames. Without them a reader can't tell a stream
// that waits for its first token from a dead connection.
func TestKeepaliveWhileWaiting(t *testing.T) {
	run(t, nil, func(t *testing.T, e *Engine) {
		begin := time.Now()
		r := start(t, e, request("s", 400_000, 1))
		defer r.Close()
		f, err := r.Next(t.Context())
		require.NoError(t, err)
		assert.True(t, f.Keepalive)
		assert.Equal(t, Keepalive, time.Since(begin))
	})
}

// Guards against prefixes shared between organisations, and against cached blocks
// that are not evicted for a stream that needs the memory.
func TestPrefixCache(t *testing.T) {
	run(t, nil, func(t *testing.T, e *Engine) {
		ask := func(id, organisation string) Frame {
			req := request(id, 1000, 1)
			req.Organisation, req.Prompt = organisation, prompt(10_000, "same")
			_, _, last := read(t, start(t, e, req))
			return last
		}
		assert.Zero(t, ask("a", "o").CachedTokens)
		assert.Equal(t, 9*blockTokens, ask("b", "o").CachedTokens)
		assert.Zero(t, ask("c", "p").CachedTokens)
		events, _ := e.Events(0)
		assert.Empty(t, events, "events are late")
		time.Sleep(2 * time.Second)
		events, next := e.Events(0)
		require.Len(t, events, 18)
		assert.Equal(t, "stored", events[0].Kind)
		assert.Equal(t, formatHash(prefixHashes("o", prompt(10_000, "same"))[0]), events[0].Prefix)
		read(t, start(t, e, request("big", 479_000, 1)))
		time.Sleep(2 * time.Second)
		events, _ = e.Events(next)
		assert.Equal(t, "evicted", events[0].Kind)
		assert.Equal(t, 9*blockTokens, events[0].Tokens, "a prefix is evicted from its end")
	})
}

// Guards against a reservation that other streams can use or that its own stream can't
// use. It must expire at the end of its time to live, and never if it has none.
func TestReservations(t *testing.T) {
	run(t, nil, func(t *testing.T, e *Engine) {
		require.NoError(t, e.Reserve(Reservation{ID: "r", Tokens: 400_000, TTLMillis: 5000}))
		require.NoError(t, e.Reserve(Reservation{ID: "kept", Tokens: 1000}))
		_, err := e.Start(t.Context(), request("other", 100_000, 1))
		assert.Equal(t, http.StatusTooManyRequests, status(err))
		req := request("own", 100_000, 1)
		req.Reservation = "r"
		read(t, start(t, e, req))
		assert.Equal(t, 1000, usedTokens(e))
		require.NoError(t, e.Reserve(Reservation{ID: "r2", Tokens: 10, TTLMillis: 5000}))
		time.Sleep(time.Hour)
		assert.Equal(t, 1000, usedTokens(e), "memory without a time to live that no one frees stays taken")
		assert.True(t, e.FreeReservation("kept"))
		assert.Zero(t, usedTokens(e))
	})
}

// Guards against an order with an old fencing number that takes effect although the
// engine checks fencing numbers, or that is refused although the engine doesn't.
func TestOrders(t *testing.T) {
	for name, check := range map[string]bool{"checks fences": true, "ignores fences": false} {
		t.Run(name, func(t *testing.T) {
			run(t, func(c *Config) { c.CheckFence = check }, func(t *testing.T, e *Engine) {
				_, err := e.Order(Order{Fence: 7, Kind: "load", Model: "new", Version: "2"})
				require.NoError(t, err)
				_, err = e.Order(Order{Fence: 6, Kind: "unload", Model: "base"})
				if check {
					var r *Refusal
					require.ErrorAs(t, err, &r)
					assert.Equal(t, uint64(7), r.Fence)
				} else {
					require.NoError(t, err)
				}
				assert.Equal(t, check, serves(e, "base"))
				assert.False(t, serves(e, "new"), "loading takes time")
				time.Sleep(3 * time.Second)
				assert.True(t, serves(e, "new@2"))
			})
		})
	}
}

// Guards against load reports that are always fresh: the tests of the serving
// layer would then miss its errors in handling old reports.
func TestLoadReportsLag(t *testing.T) {
	run(t, func(c *Config) { c.LoadInterval = 3 * time.Second }, func(t *testing.T, e *Engine) {
		r := start(t, e, request("s", 100_000, 1000))
		defer r.Close()
		time.Sleep(2 * time.Second)
		report := e.Load()
		assert.Zero(t, report.UsedTokens)
		assert.Equal(t, int64(2000), report.AgeMillis)
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, 101_000, e.Load().UsedTokens)
	})
}

// Guards against a crash without the marker, and against a prompt with the marker that
// causes no crash.
func TestCrashMarker(t *testing.T) {
	crashed := false
	run(t, func(c *Config) { c.CrashMarker, c.Crash = "BOOM", func() { crashed = true } },
		func(t *testing.T, e *Engine) {
			req := request("s", 10, 1)
			read(t, start(t, e, req))
			assert.False(t, crashed)
			req.ID, req.Prompt = "t", "a BOOM b"
			read(t, start(t, e, req))
			synctest.Wait()
			assert.True(t, crashed)
		})
}

// Guards against memory that is freed twice or never: random operations never
// overcommit the memory, and none is in use after they have ended.
func TestRandomOperationsKeepMemoryConsistent(t *testing.T) {
	for seed := range uint64(20) {
		run(t, func(c *Config) { c.CapacityTokens = 40_000 }, func(t *testing.T, e *Engine) {
			rng := rand.New(rand.NewPCG(seed, 0))
			var readers []*Reader
			for i := range 300 {
				id := fmt.Sprint("s", rng.IntN(40))
				switch rng.IntN(6) {
				case 0, 1, 2:
					req := request(id, 1000, 1+rng.IntN(200))
					req.Prompt = prompt(10+rng.IntN(12_000), fmt.Sprint(rng.IntN(3)))
					req.Reservation = fmt.Sprint("s", rng.IntN(40))
					if r, err := e.Start(t.Context(), req); err == nil {
						readers = append(readers, r)
					}
				case 3:
					e.Cancel(id)
				case 4:
					_ = e.Reserve(Reservation{ID: id, Tokens: 1 + rng.IntN(5000), TTLMillis: 2000})
				case 5:
					_, _ = e.Import(ImportRequest{ID: id, Tokens: 1 + rng.IntN(3000), Reservation: id})
				}
				time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
				e.mu.Lock()
				total := e.usedTokens() + e.cache.idleTokens()
				e.mu.Unlock()
				require.LessOrEqual(t, total, e.cfg.CapacityTokens, "seed %d operation %d", seed, i)
			}
			for _, r := range readers {
				r.Close()
			}
			time.Sleep(time.Minute)
			assert.Zero(t, usedTokens(e), "seed %d", seed)
			assert.Empty(t, e.Streams())
			assert.Empty(t, e.Allocations())
		})
	}
}
