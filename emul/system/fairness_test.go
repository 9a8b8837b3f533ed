package system

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/pkg/group"
)

// sendShortPrompts sends short prompts of the rival organisation to all nodes, 20
// per second on average. It returns the sorted times to first token of those that
// succeeded and the errors of those that failed.
func sendShortPrompts(d *deployment, count int) (firstTokens []time.Duration, failed []string) {
	random := rand.New(rand.NewPCG(3, 0))
	var mu sync.Mutex
	g := group.New(context.Background())
	c := d.newCaller(rivalKey)
	defer c.close()
	for i := range count {
		wait(g.Context(), time.Duration(random.ExpFloat64()*float64(time.Second)/20))
		tokens := 200 + random.IntN(800)
		g.Go("short", func(context.Context) error {
			r := c.stream(i%nodeCount, makePrompt(fmt.Sprintf("short-%d", i), tokens), 60, 30*time.Second)
			mu.Lock()
			defer mu.Unlock()
			if r.ok() {
				firstTokens = append(firstTokens, r.firstToken)
			} else {
				failed = append(failed, fmt.Sprintf("%d %s %v", r.status, r.code, r.err))
			}
			return nil
		})
	}
	require.NoError(d.t, g.Wait())
	slices.Sort(firstTokens)
	return firstTokens, failed
}

// flood sends long prompts of the shop organisation to all nodes until the context
// ends. The engines cannot run all of these prompts at once. flood returns the number
// of prompts sent.
func flood(ctx context.Context, d *deployment, workers int) (sent int) {
	var mu sync.Mutex
	g := group.New(ctx)
	c := d.newCaller(shopKey)
	defer c.close()
	for w := range workers {
		g.Go("flood", func(ctx context.Context) error {
			for i := 0; ctx.Err() == nil; i++ {
				mu.Lock()
				sent++
				mu.Unlock()
				r := c.stream(w%nodeCount, makePrompt(fmt.Sprintf("flood-%d-%d", w, i), 40_000), 100, time.Minute)
				if !r.ok() {
					wait(ctx, 200*time.Millisecond)
				}
			}
			return nil
		})
	}
	_ = g.Wait()
	return sent
}

// runShortPrompts sends the short prompts, during a flood if flooded is set. It
// returns the 95th percentile of the time to first token and the errors.
func runShortPrompts(t *testing.T, flooded bool) (p95 time.Duration, failed []string) {
	synctest.Test(t, func(t *testing.T) {
		// A short prompt waits until the step in progress on its engine ends. The
		// engines prefill in small chunks, which keeps the steps short.
		d := deployWith(t, options{document: twoOrganisations(""), chunk: 256})
		defer d.close()
		ctx, cancel := context.WithCancel(t.Context())
		g := group.New(ctx)
		sent := 0
		if flooded {
			g.Go("flood", func(ctx context.Context) error { sent = flood(ctx, d, 24); return nil })
			time.Sleep(5 * time.Second)
		}
		var firstTokens []time.Duration
		firstTokens, failed = sendShortPrompts(d, 300)
		cancel()
		require.NoError(t, g.Wait())
		p95 = firstTokens[len(firstTokens)*95/100]
		t.Logf("flooded %v: time to first token p50 %v p95 %v max %v, %d long prompts sent, failed %v",
			flooded, firstTokens[len(firstTokens)/2], p95, firstTokens[len(firstTokens)-1], sent, failed)
	})
	return p95, failed
}

// Guards against failed requests of an organisation while another organisation floods
// all nodes with long prompts.
func TestFloodRefusesNoOthers(t *testing.T) {
	_, failed := runShortPrompts(t, true)
	require.Empty(t, failed)
}

// Guards against a higher time to first token of an organisation while another
// organisation floods all nodes with long prompts.
func TestFloodDelaysNoOthers(t *testing.T) {
	alone, _ := runShortPrompts(t, false)
	flooded, _ := runShortPrompts(t, true)
	require.LessOrEqual(t, flooded, alone+alone/10, "p95 of the time to first token")
}

// Guards against limits of an organisation that grow with the number of nodes.
// The bounds are those stated in package limits: in T seconds at most T+2 times
// the limit of requests per second, and at any time at most the limit of
// concurrent requests.
func TestLimitsOverNodes(t *testing.T) {
	for name, c := range map[string]struct {
		limits     string
		concurrent int
		perSecond  int
	}{
		"concurrency": {limits: `"concurrent": 6, `, concurrent: 6},
		"rate":        {limits: `"requests_per_second": 5, `, perSecond: 5},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const seconds = 12
				var streams streamCounter
				d := deployWith(t, options{document: twoOrganisations(c.limits), wrapEngine: streams.wrap})
				defer d.close()
				d.saturateLimits(seconds * time.Second)
				admitted, peak := streams.total, streams.peak
				t.Logf("admitted %d in %d s, at most %d at once", admitted, seconds, peak)
				require.Positive(t, admitted)
				if c.concurrent > 0 {
					require.LessOrEqual(t, peak, c.concurrent)
					require.Greater(t, peak, c.concurrent/2)
				}
				if c.perSecond > 0 {
					require.LessOrEqual(t, admitted, c.perSecond*(seconds+2))
					require.GreaterOrEqual(t, admitted, c.perSecond*(seconds-2))
				}
			})
		})
	}
}

// streamCounter counts the streams on all engines: those that are running, the
// maximum that ran at once (peak), and all that were started (total).
type streamCounter struct {
	mu                   sync.Mutex
	running, peak, total int
}

// add counts n streams that start, or -n streams that end if n is negative.
func (c *streamCounter) add(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running += n
	c.peak = max(c.peak, c.running)
	c.total += max(n, 0)
}

func (c *streamCounter) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started := 0
		if r.Method != http.MethodPost || r.URL.Path != "/v1/streams" {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(&acceptWriter{ResponseWriter: w, accepted: func() { started = 1; c.add(1) }}, r)
		c.add(-started)
	})
}

// saturateLimits sends prompts to all nodes from 30 callers. Each caller sends its
// next prompt 50 ms after the answer to its previous one.
func (d *deployment) saturateLimits(duration time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	g := group.New(ctx)
	for w := range 30 {
		g.Go("caller", func(ctx context.Context) error {
			c := d.newCaller(shopKey)
			defer c.close()
			for i := 0; ctx.Err() == nil; i++ {
				c.stream(w%nodeCount, fmt.Sprintf("limited-%d-%d", w, i), 20, 30*time.Second)
				wait(ctx, 50*time.Millisecond)
			}
			return nil
		})
	}
	require.NoError(d.t, g.Wait())
}
