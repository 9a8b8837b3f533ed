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

// shortRun sends short prompts of one organisation to all nodes and returns
// their sorted times to first token and the codes of those that failed.
func shortRun(d *deployment, count int) (firsts []time.Duration, failed []string) {
	random := rand.New(rand.NewPCG(3, 0))
	var mu sync.Mutex
	g := group.New(context.Background())
	c := d.caller(rivalKey)
	defer c.close()
	for i := range count {
		wait(g.Context(), time.Duration(random.ExpFloat64()*float64(time.Second)/20))
		tokens := 200 + random.IntN(800)
		g.Go("short", func(context.Context) error {
			r := c.stream(i%nodeCount, promptOf(fmt.Sprintf("short-%d", i), tokens), 60, 30*time.Second)
			mu.Lock()
			defer mu.Unlock()
			if r.ok() {
				firsts = append(firsts, r.firstToken)
			} else {
				failed = append(failed, fmt.Sprintf("%d %s %v", r.status, r.code, r.err))
			}
			return nil
		})
	}
	require.NoError(d.t, g.Wait())
	slices.Sort(firsts)
	return firsts, failed
}

// flood sends long prompts of the other organisation to all nodes until the
// context ends, more than the engines can run.
func flood(ctx context.Context, d *deployment, workers int) (sent int) {
	var mu sync.Mutex
	g := group.New(ctx)
	c := d.caller(key)
	defer c.close()
	for w := range workers {
		g.Go("flood", func(ctx context.Context) error {
			for i := 0; ctx.Err() == nil; i++ {
				mu.Lock()
				sent++
				mu.Unlock()
				r := c.stream(w%nodeCount, promptOf(fmt.Sprintf("flood-%d-%d", w, i), 40_000), 100, time.Minute)
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

// runFlood runs the short prompts alone or during the flood.
func runFlood(t *testing.T, flooded bool) (p95 time.Duration, failed []string) {
	synctest.Test(t, func(t *testing.T) {
		// The engines take up prompts in small pieces, since a short prompt
		// waits for the step in progress wherever it is placed.
		d := deployPlan(t, plan{document: twoShops(""), chunk: 256})
		defer d.close()
		ctx, cancel := context.WithCancel(t.Context())
		g := group.New(ctx)
		sent := 0
		if flooded {
			g.Go("flood", func(ctx context.Context) error { sent = flood(ctx, d, 24); return nil })
			time.Sleep(5 * time.Second)
		}
		var firsts []time.Duration
		firsts, failed = shortRun(d, 300)
		cancel()
		require.NoError(t, g.Wait())
		p95 = firsts[len(firsts)*95/100]
		t.Logf("flooded %v: p50 %v p95 %v most %v, %d long prompts sent, failed %v",
			flooded, firsts[len(firsts)/2], p95, firsts[len(firsts)-1], sent, failed)
	})
	return p95, failed
}

// Guards against an organisation whose flood of long prompts on all nodes makes
// requests of another one fail.
func TestFloodRefusesNoOthers(t *testing.T) {
	_, failed := runFlood(t, true)
	require.Empty(t, failed)
}

// Guards against an organisation that slows another down by flooding all nodes
// with long prompts.
func TestFloodDelaysNoOthers(t *testing.T) {
	alone, _ := runFlood(t, false)
	flooded, _ := runFlood(t, true)
	require.LessOrEqual(t, flooded, alone+alone/10, "p95 of the time to first token")
}

// Guards against limits of an organisation that grow with the number of nodes.
// The bounds are those stated in package limits: the limit times T+2 requests
// in T seconds, and the limit of requests that run at once.
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
				var running gauge
				d := deployPlan(t, plan{document: twoShops(c.limits), engine: running.wrap})
				defer d.close()
				d.pressLimits(seconds * time.Second)
				admitted, most := running.total, running.most
				t.Logf("admitted %d in %d s, most at once %d", admitted, seconds, most)
				require.Positive(t, admitted)
				if c.concurrent > 0 {
					require.LessOrEqual(t, most, c.concurrent)
					require.Greater(t, most, c.concurrent/2)
				}
				if c.perSecond > 0 {
					require.LessOrEqual(t, admitted, c.perSecond*(seconds+2))
					require.GreaterOrEqual(t, admitted, c.perSecond*(seconds-2))
				}
			})
		})
	}
}

// gauge counts the streams that begin on engines and those that run at once.
type gauge struct {
	mu               sync.Mutex
	now, most, total int
}

func (g *gauge) add(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.now += n
	g.most = max(g.most, g.now)
	g.total += max(n, 0)
}

func (g *gauge) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begun := 0
		if r.Method != http.MethodPost || r.URL.Path != "/v1/streams" {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(&beginWriter{ResponseWriter: w, begun: func() { begun = 1; g.add(1) }}, r)
		g.add(-begun)
	})
}

// pressLimits sends through all nodes as fast as they answer.
func (d *deployment) pressLimits(duration time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	g := group.New(ctx)
	for w := range 30 {
		g.Go("caller", func(ctx context.Context) error {
			c := d.caller(key)
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
