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
	// alarmRaiseBound is the maximum allowed time from the start of a platform
	// outage until a node raises the alarm. It covers the hold time of the condition,
	// the interval between two calls on the node, and the time until the first
	// call is refused.
	alarmRaiseBound = 20 * time.Second
	// alarmClearBound is the maximum allowed time for which the alarm stays active
	// after the platform is repaired.
	alarmClearBound = 15 * time.Second
)

// alarmLog collects the alarms that the nodes report to operators.
type alarmLog struct {
	d *deployment

	mu sync.Mutex
	// counts holds how often each alarm was seen, by its name.
	counts map[string]int
	// unjustified describes the alarms that no injected fault explains.
	unjustified []string
	polls       int
	// activeOn holds, for each node, whether its last answer had a justified alarm.
	activeOn map[string]bool
}

// poll reads the alarms of a node once a second. A node that does not answer
// counts as one without alarms.
func (l *alarmLog) poll(ctx context.Context, node int) error {
	for ctx.Err() == nil {
		status, body := l.d.adminRequest(node, http.MethodGet, "alarms", "")
		var alarms []struct{ Name, Subject, Evidence string }
		if status == http.StatusOK {
			require.NoError(l.d.t, json.Unmarshal([]byte(body), &alarms), body)
		}
		l.mu.Lock()
		l.polls++
		active := false
		for _, a := range alarms {
			l.counts[a.Name]++
			// An alarm about another promise is unjustified, since no other
			// promise is violated in these tests: they check the answers, the
			// memory, and that no host stops early.
			justified := a.Name == "claims_refused" && l.d.platformFaultWithin(alarmClearBound)
			active = active || justified
			if !justified {
				l.unjustified = append(l.unjustified, fmt.Sprintf("%s on %s about %s: %s", a.Name, nodeName(node), a.Subject, a.Evidence))
			}
		}
		l.activeOn[nodeName(node)] = active
		l.mu.Unlock()
		wait(ctx, time.Second)
	}
	return nil
}

func (l *alarmLog) startPolling() *group.Group {
	l.counts, l.activeOn = map[string]int{}, map[string]bool{}
	g := group.New(context.Background())
	for node := range nodeCount {
		g.Go("poll alarms", func(ctx context.Context) error { return l.poll(ctx, node) })
	}
	return g
}

// Guards against a node that raises no alarm although it refuses calls because of a
// platform outage, and against an alarm that stays active after the outage.
func TestOutageRaisesAlarm(t *testing.T) {
	for name, faults := range map[string]string{
		"hang": `{"outage":"hang"}`, "unavailable": `{"outage":"unavailable"}`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := deploy(t)
				defer d.close()
				l := &alarmLog{d: d}
				g := l.startPolling()
				for node := range nodeCount {
					g.Go("orders", func(ctx context.Context) error {
						c := d.newCaller(shopKey)
						defer c.close()
						for ctx.Err() == nil {
							c.postOrder(node, newIdempotencyKey(), "order")
							wait(ctx, time.Second)
						}
						return nil
					})
				}
				time.Sleep(5 * time.Second)
				d.breakPlatform(faults)
				begin := time.Now()
				raised := map[string]time.Duration{}
				for time.Since(begin) < 2*alarmRaiseBound {
					time.Sleep(time.Second)
					l.mu.Lock()
					for node, active := range l.activeOn {
						if _, ok := raised[node]; active && !ok {
							raised[node] = time.Since(begin)
						}
					}
					l.mu.Unlock()
				}
				d.repairPlatform()
				time.Sleep(alarmClearBound + 5*time.Second)
				g.Stop()
				require.NoError(t, g.Wait())
				t.Logf("raised after %v, alarms by name %v", raised, l.counts)
				require.Len(t, raised, nodeCount)
				for node, after := range raised {
					require.LessOrEqual(t, after, alarmRaiseBound, node)
				}
				require.Empty(t, l.unjustified)
				for node, active := range l.activeOn {
					require.False(t, active, node)
				}
			})
		})
	}
}
