package system

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// configBound is the time in which a revision is in force everywhere.
	configBound   = 13 * time.Second
	revisionCount = 10
)

// revisions follows which revisions were accepted and which are in force.
type revisions struct {
	d *deployment

	mu       sync.Mutex
	accepted map[uint64]time.Time
	// inForce is the last revision seen on each process.
	inForce map[*nodeProcess]uint64
	checked int
	wrong   []string
}

// apply makes an operator change the document until a node accepts it.
func (v *revisions) apply(ctx context.Context, random *rand.Rand, weight int) {
	for ctx.Err() == nil {
		node := random.IntN(nodeCount)
		status, body := v.d.operate(node, http.MethodGet, "config/history", "")
		var history []struct{ Revision uint64 }
		if status == http.StatusOK && json.Unmarshal([]byte(body), &history) == nil && len(history) > 0 {
			changed := strings.Replace(document, `"weight": 1`, fmt.Sprintf(`"weight": %d`, weight), 1)
			status, body = v.d.operate(node, http.MethodPut, fmt.Sprintf("config?base=%d", history[0].Revision), changed)
			var answer struct{ Revision uint64 }
			if status == http.StatusOK {
				require.NoError(v.d.t, json.Unmarshal([]byte(body), &answer))
				v.mu.Lock()
				v.accepted[answer.Revision] = time.Now()
				v.mu.Unlock()
				return
			}
		}
		wait(ctx, 500*time.Millisecond)
	}
}

// watch asks a node for its revision once a second.
func (v *revisions) watch(ctx context.Context, node int) error {
	for ctx.Err() == nil {
		process := v.d.process(node)
		asked := time.Now()
		status, body := v.d.operate(node, http.MethodGet, "health", "")
		var health struct{ Revision uint64 }
		if status != 0 && json.Unmarshal([]byte(body), &health) == nil {
			v.note(node, process, asked, health.Revision)
		}
		wait(ctx, time.Second)
	}
	return nil
}

func (v *revisions) note(node int, process *nodeProcess, asked time.Time, revision uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if revision < v.inForce[process] {
		v.wrong = append(v.wrong, fmt.Sprintf("%s fell from %d to %d", nodeName(node), v.inForce[process], revision))
	}
	v.inForce[process] = revision
	if !v.d.settledFor(node, configBound) {
		return
	}
	v.checked++
	for r, at := range v.accepted {
		if asked.Sub(at) > configBound && revision < r {
			v.wrong = append(v.wrong, fmt.Sprintf("%s has %d, %d was accepted %v ago", nodeName(node), revision, r, asked.Sub(at)))
		}
	}
}

// Guards against an accepted revision that is not in force on a connected node
// within the bound, or that a node gives up again, during faults of all kinds.
func TestRevisionsUnderFaults(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := deploy(t)
				defer d.close()
				v := &revisions{d: d, accepted: map[uint64]time.Time{}, inForce: map[*nodeProcess]uint64{}}
				watch := group.New(context.Background())
				for node := range nodeCount {
					watch.Go("watch", func(ctx context.Context) error { return v.watch(ctx, node) })
				}
				operator := group.New(context.Background())
				operator.Go("operator", func(ctx context.Context) error {
					random := rand.New(rand.NewPCG(seed, 1))
					for i := range revisionCount {
						v.apply(ctx, random, 2+i)
						wait(ctx, time.Duration(2+random.IntN(8))*time.Second)
					}
					return nil
				})
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				d.disturb(ctx, rand.New(rand.NewPCG(200+seed, 0)))
				require.NoError(t, operator.Wait())
				time.Sleep(2 * configBound)
				watch.Stop()
				require.NoError(t, watch.Wait())
				t.Logf("%d revisions accepted, %d checks", len(v.accepted), v.checked)
				require.Len(t, v.accepted, revisionCount)
				require.Greater(t, v.checked, 3*int(configBound/time.Second))
				require.Empty(t, v.wrong)
			})
		})
	}
}

// Guards against two operators who both believe that their change of the same
// revision is in force.
func TestRacingOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t)
		defer d.close()
		base := uint64(1)
		for round := range 5 {
			statuses := make([]int, nodeCount)
			bodies := make([]string, nodeCount)
			g := group.New(t.Context())
			for node := range nodeCount {
				g.Go("operator", func(context.Context) error {
					changed := strings.Replace(document, `"weight": 1`, fmt.Sprintf(`"weight": %d`, 10*round+node+2), 1)
					statuses[node], bodies[node] = d.operate(node, http.MethodPut, fmt.Sprintf("config?base=%d", base), changed)
					return nil
				})
			}
			require.NoError(t, g.Wait())
			won := 0
			for node, status := range statuses {
				if status == http.StatusOK {
					won++
					var answer struct{ Revision uint64 }
					require.NoError(t, json.Unmarshal([]byte(bodies[node]), &answer))
					base = answer.Revision
				} else {
					require.Equal(t, http.StatusConflict, status, bodies[node])
				}
			}
			require.Equal(t, 1, won, "%v %v", statuses, bodies)
			time.Sleep(configBound)
			for node := range nodeCount {
				_, body := d.operate(node, http.MethodGet, "health", "")
				require.Contains(t, body, fmt.Sprintf(`"revision":%d`, base))
			}
		}
	})
}
