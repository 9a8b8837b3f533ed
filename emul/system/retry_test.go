package system

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// retryRatio is that of the engine service in this file.
	retryRatio = 0.1
	// retryBurst is how many retries a node may use at once after a quiet time.
	retryBurst = 10
)

// Guards against retries that multiply the load when half of the engines fail.
// Over all nodes the starts are at most the requests admitted, the share of
// them that may be retried, and a burst on each node.
func TestRetryStorm(t *testing.T) {
	for name, fail := range map[string]func(d *deployment, i int){
		"processes die": func(d *deployment, i int) { d.killEngine(i) },
		"engines answer 503": func(d *deployment, i int) {
			require.NoError(d.t, d.engines[engineName(i)].sw.Apply([]byte(`{"outage":"unavailable"}`)))
		},
		"engines close connections": func(d *deployment, i int) {
			require.NoError(d.t, d.engines[engineName(i)].sw.Apply([]byte(`{"outage":"closed"}`)))
		},
		"engines hang": func(d *deployment, i int) {
			require.NoError(d.t, d.engines[engineName(i)].sw.Apply([]byte(`{"outage":"hang"}`)))
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const length, perSecond = 15, 40
				ratio := fmt.Sprintf(`"retry_ratio": %v, "kind": "engine"`, retryRatio)
				log := &syncBuffer{}
				d := deployPlan(t, plan{document: strings.Replace(document, `"kind": "engine"`, ratio, 1), log: log})
				defer d.close()
				var mu sync.Mutex
				codes := map[string]int{}
				g := group.New(t.Context())
				c := d.caller(key)
				defer c.close()
				for i := range length * perSecond {
					if i == length*perSecond/5 {
						for e := range engineCount / 2 {
							fail(d, e)
						}
					}
					g.Go("caller", func(context.Context) error {
						r := c.stream(i%nodeCount, promptOf(fmt.Sprintf("storm-%d", i), 1_000), 10, 20*time.Second)
						mu.Lock()
						defer mu.Unlock()
						codes[fmt.Sprint(r.status, " ", r.code, " ", r.run)]++
						return nil
					})
					time.Sleep(time.Second / perSecond)
				}
				require.NoError(t, g.Wait())
				admitted := length * perSecond
				// A start on a dead process reaches no stand-in, but its retry is
				// logged.
				retried := strings.Count(log.String(), "event=request_retried")
				d.mu.Lock()
				starts := max(d.starts, admitted+retried)
				d.mu.Unlock()
				bound := int(float64(admitted)*(1+retryRatio)) + nodeCount*retryBurst
				t.Logf("%d admitted, %d starts, %d retried, bound %d, answers %v", admitted, starts, retried, bound, codes)
				require.Positive(t, retried)
				require.LessOrEqual(t, starts, bound)
			})
		})
	}
}
