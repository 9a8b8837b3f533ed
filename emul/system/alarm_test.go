package system

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// alarmDelay is how long a node may take to tell of an outage of the
	// platform: the time that the condition must hold, and that between two
	// calls on the node and until the first is refused.
	alarmDelay = 20 * time.Second
	// alarmTail is how long the alarm may last after the outage.
	alarmTail = 15 * time.Second
)

// alarmLog holds the alarms that operators saw, by node and second.
type alarmLog struct {
	d *deployment

	mu     sync.Mutex
	seen   map[string]int
	wrong  []string
	asked  int
	active map[string]bool
}

// watch asks a node for its alarms once a second. A node that does not answer
// has none to show.
func (l *alarmLog) watch(ctx context.Context, node int) error {
	for ctx.Err() == nil {
		status, body := l.d.operate(node, http.MethodGet, "alarms", "")
		var alarms []struct{ Name, Subject, Evidence string }
		if status == http.StatusOK {
			require.NoError(l.d.t, json.Unmarshal([]byte(body), &alarms), body)
		}
		l.mu.Lock()
		l.asked++
		active := false
		for _, a := range alarms {
			l.seen[a.Name]++
			// The load of these tests breaks no other promise: the tests
			// check the answers, the memory and that no host stops early.
			justified := a.Name == "claims_refused" && l.d.platformFaultWithin(alarmTail)
			active = active || justified
			if !justified {
				l.wrong = append(l.wrong, fmt.Sprintf("%s on %s about %s: %s", a.Name, nodeName(node), a.Subject, a.Evidence))
			}
		}
		l.active[nodeName(node)] = active
		l.mu.Unlock()
		wait(ctx, time.Second)
	}
	return nil
}

func (l *alarmLog) start() *group.Group {
	l.seen, l.active = map[string]int{}, map[string]bool{}
	g := group.New(context.Background())
	for node := range nodeCount {
		g.Go("watch", func(ctx context.Context) error { return l.watch(ctx, node) })
	}
	return g
}

// Guards against an outage of the platform that refuses calls and raises no
// alarm, and against an alarm that stays.
func TestOutageRaisesAlarm(t *testing.T) {
	for name, faults := range map[string]string{
		"hang": `{"outage":"hang"}`, "unavailable": `{"outage":"unavailable"}`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := deploy(t)
				defer d.close()
				l := &alarmLog{d: d}
				g := l.start()
				for node := range nodeCount {
					g.Go("orders", func(ctx context.Context) error {
						c := d.caller(key)
						defer c.close()
						for ctx.Err() == nil {
							c.order(node, newKey(), "order")
							wait(ctx, time.Second)
						}
						return nil
					})
				}
				time.Sleep(5 * time.Second)
				d.breakPlatform(faults)
				begin := time.Now()
				raised := map[string]time.Duration{}
				for time.Since(begin) < 2*alarmDelay {
					time.Sleep(time.Second)
					l.mu.Lock()
					for node, active := range l.active {
						if _, ok := raised[node]; active && !ok {
							raised[node] = time.Since(begin)
						}
					}
					l.mu.Unlock()
				}
				d.repairPlatform()
				time.Sleep(alarmTail + 5*time.Second)
				g.Stop()
				require.NoError(t, g.Wait())
				t.Logf("raised after %v, seen %v", raised, l.seen)
				require.Len(t, raised, nodeCount)
				for node, after := range raised {
					require.LessOrEqual(t, after, alarmDelay, node)
				}
				require.Empty(t, l.wrong)
				for node, active := range l.active {
					require.False(t, active, node)
				}
			})
		})
	}
}
