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
	// configBound is the maximum allowed time until an accepted revision is in
	// force on every connected node.
	configBound = 13 * time.Second
	// revisionCount is the number of changes that the operator makes.
	revisionCount = 10
)

// revisionLog records when each configuration revision was accepted and which
// revisions the nodes reported as in force.
type revisionLog struct {
	d *deployment

	mu         sync.Mutex
	acceptedAt map[uint64]time.Time
	// inForce is the last revision that each process reported.
	inForce map[*nodeProcess]uint64
	// checks counts the reports that were compared with acceptedAt.
	checks     int
	violations []string
}

// applyChange sends a changed document to random nodes, as an operator does, until
// one of them accepts it.
func (l *revisionLog) applyChange(ctx context.Context, random *rand.Rand, weight int) {
	for ctx.Err() == nil {
		node := random.IntN(nodeCount)
		status, body := l.d.adminRequest(node, http.MethodGet, "config/history", "")
		var history []struct{ Revision uint64 }
		if status == http.StatusOK && json.Unmarshal([]byte(body), &history) == nil && len(history) > 0 {
			changed := strings.Replace(document, `"weight": 1`, fmt.Sprintf(`"weight": %d`, weight), 1)
			status, body = l.d.adminRequest(node, http.MethodPut, fmt.Sprintf("config?base=%d", history[0].Revision), changed)
			var answer struct{ Revision uint64 }
			if status == http.StatusOK {
				require.NoError(l.d.t, json.Unmarshal([]byte(body), &answer))
				l.mu.Lock()
				l.acceptedAt[answer.Revision] = time.Now()
				l.mu.Unlock()
				return
			}
		}
		wait(ctx, 500*time.Millisecond)
	}
}

// poll reads the revision in force on a node once a second.
func (l *revisionLog) poll(ctx context.Context, node int) error {
	for ctx.Err() == nil {
		process := l.d.process(node)
		askedAt := time.Now()
		status, body := l.d.adminRequest(node, http.MethodGet, "health", "")
		var health struct{ Revision uint64 }
		if status != 0 && json.Unmarshal([]byte(body), &health) == nil {
			l.record(node, process, askedAt, health.Revision)
		}
		wait(ctx, time.Second)
	}
	return nil
}

// record checks the revision that a node reported. It must not be lower than the
// last revision that the same process reported. If the node had no fault for
// configBound, it must also not be lower than any revision that was accepted more
// than configBound before the request.
func (l *revisionLog) record(node int, process *nodeProcess, askedAt time.Time, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision < l.inForce[process] {
		l.violations = append(l.violations, fmt.Sprintf("%s went back from revision %d to %d", nodeName(node), l.inForce[process], revision))
	}
	l.inForce[process] = revision
	if !l.d.healthyFor(node, configBound) {
		return
	}
	l.checks++
	for r, at := range l.acceptedAt {
		if askedAt.Sub(at) > configBound && revision < r {
			l.violations = append(l.violations, fmt.Sprintf("%s has revision %d although %d was accepted %v ago", nodeName(node), revision, r, askedAt.Sub(at)))
		}
	}
}

// Guards, during faults of all kinds, against an accepted revision that is not in
// force on every connected node within configBound, and against a node that returns
// to an older revision.
func TestRevisionsUnderFaults(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := deploy(t)
				defer d.close()
				l := &revisionLog{d: d, acceptedAt: map[uint64]time.Time{}, inForce: map[*nodeProcess]uint64{}}
				polling := group.New(context.Background())
				for node := range nodeCount {
					polling.Go("poll revision", func(ctx context.Context) error { return l.poll(ctx, node) })
				}
				operator := group.New(context.Background())
				operator.Go("operator", func(ctx context.Context) error {
					random := rand.New(rand.NewPCG(seed, 1))
					for i := range revisionCount {
						l.applyChange(ctx, random, 2+i)
						wait(ctx, time.Duration(2+random.IntN(8))*time.Second)
					}
					return nil
				})
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				d.injectFaults(ctx, rand.New(rand.NewPCG(200+seed, 0)))
				require.NoError(t, operator.Wait())
				time.Sleep(2 * configBound)
				polling.Stop()
				require.NoError(t, polling.Wait())
				t.Logf("%d revisions accepted, %d checks", len(l.acceptedAt), l.checks)
				require.Len(t, l.acceptedAt, revisionCount)
				require.Greater(t, l.checks, 3*int(configBound/time.Second))
				require.Empty(t, l.violations)
			})
		})
	}
}

// Guards against two operators whose concurrent changes of the same revision are
// both accepted.
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
					statuses[node], bodies[node] = d.adminRequest(node, http.MethodPut, fmt.Sprintf("config?base=%d", base), changed)
					return nil
				})
			}
			require.NoError(t, g.Wait())
			accepted := 0
			for node, status := range statuses {
				if status == http.StatusOK {
					accepted++
					var answer struct{ Revision uint64 }
					require.NoError(t, json.Unmarshal([]byte(bodies[node]), &answer))
					base = answer.Revision
				} else {
					require.Equal(t, http.StatusConflict, status, bodies[node])
				}
			}
			require.Equal(t, 1, accepted, "%v %v", statuses, bodies)
			time.Sleep(configBound)
			for node := range nodeCount {
				_, body := d.adminRequest(node, http.MethodGet, "health", "")
				require.Contains(t, body, fmt.Sprintf(`"revision":%d`, base))
			}
		}
	})
}
