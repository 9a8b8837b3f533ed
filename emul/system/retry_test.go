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
	// retryRatio is the retry_ratio setting of the engine service in this file.
	retryRatio = 0.1
	// retryBurst is how many retries a node may send at once when its retry budget
	// is full.
	retryBurst = 10
)

// Guards against retries that multiply the load when half of the engines fail. Each
// admitted request needs one request to an engine to start its stream; the test calls
// these starts. The additional starts are retries. All nodes together may send the
// share retryRatio of the admitted requests as retries, plus retryBurst for each node.
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
				const seconds, perSecond = 15, 40
				members := fmt.Sprintf(`"retry_ratio": %v, "kind": "engine"`, retryRatio)
				log := &syncBuffer{}
				d := deployWith(t, options{document: strings.Replace(document, `"kind": "engine"`, members, 1), logOutput: log})
				defer d.close()
				var mu sync.Mutex
				codes := map[string]int{}
				g := group.New(t.Context())
				c := d.newCaller(shopKey)
				defer c.close()
				for i := range seconds * perSecond {
					if i == seconds*perSecond/5 {
						for e := range engineCount / 2 {
							fail(d, e)
						}
					}
					g.Go("caller", func(context.Context) error {
						r := c.stream(i%nodeCount, makePrompt(fmt.Sprintf("storm-%d", i), 1_000), 10, 20*time.Second)
						mu.Lock()
						defer mu.Unlock()
						codes[fmt.Sprint(r.status, " ", r.code, " ", r.run)]++
						return nil
					})
					time.Sleep(time.Second / perSecond)
				}
				require.NoError(t, g.Wait())
				admitted := seconds * perSecond
				// A start that is sent to a dead engine reaches no stand-in and is not
				// in startRequests. The retry that follows it is in the log.
				retries := strings.Count(log.String(), "event=request_retried")
				d.mu.Lock()
				starts := max(d.startRequests, admitted+retries)
				d.mu.Unlock()
				bound := int(float64(admitted)*(1+retryRatio)) + nodeCount*retryBurst
				t.Logf("%d admitted, %d starts, %d retries, bound %d, answers %v", admitted, starts, retries, bound, codes)
				require.Positive(t, retries)
				require.LessOrEqual(t, starts, bound)
			})
		})
	}
}
