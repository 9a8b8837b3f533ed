package system

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/pkg/group"
)

// failure describes a failure while calls that are not idempotent are running.
type failure struct {
	// inject starts the failure before the calls are sent. injectLate runs 500 ms
	// after they are sent. repair ends the failure before the calls are sent for
	// the third time.
	inject, injectLate, repair func(d *deployment)
}

// setDeskFaults returns a function that sets the faults of all desks, the plain
// upstreams.
func setDeskFaults(faults string) func(d *deployment) {
	return func(d *deployment) {
		for _, sw := range d.desks {
			require.NoError(d.t, sw.Apply([]byte(faults)))
		}
	}
}

// Guards against a call that runs twice, and against a call that is reported as not
// run although it ran. The failures are an upstream that stops answering, a reply that
// is lost after the call took effect, a node that dies between the claim and the
// answer, and a platform that loses replies.
func TestCallsRunOnce(t *testing.T) {
	nothing := func(*deployment) {}
	for name, f := range map[string]failure{
		"no failure": {inject: nothing, injectLate: nothing, repair: nothing},
		"silent connections": {
			inject: setDeskFaults(`{"slow_factor":400}`),
			injectLate: func(d *deployment) {
				for i := range deskCount {
					d.net.Silence(deskName(i), callerHost)
				}
			},
			repair: setDeskFaults(`{"slow_factor":1}`),
		},
		"silent before the call": {
			inject: setDeskFaults(`{"freeze":true}`), injectLate: nothing, repair: setDeskFaults(`{"freeze":false}`),
		},
		"reply lost": {
			inject: setDeskFaults(`{"lose_share":1,"methods":["POST"]}`), injectLate: nothing, repair: setDeskFaults(`{"lose_share":0}`),
		},
		"node killed": {
			inject:     setDeskFaults(`{"slow_factor":400}`),
			injectLate: func(d *deployment) { d.killNode(0); d.startNode(0); time.Sleep(8 * time.Second) },
			repair:     setDeskFaults(`{"slow_factor":1}`),
		},
		"platform loses replies": {
			inject:     func(d *deployment) { require.NoError(d.t, d.platform.Apply([]byte(`{"lose_share":0.5}`))) },
			injectLate: nothing,
			repair:     func(d *deployment) { require.NoError(d.t, d.platform.Apply([]byte(`{"lose_share":0}`))) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { f.run(t) })
		})
	}
}

// callCount is the number of calls that each case sends.
const callCount = 18

func (f failure) run(t *testing.T) {
	d := deploy(t)
	defer d.close()
	keys := make([]string, callCount)
	for i := range keys {
		keys[i] = newIdempotencyKey()
	}
	// These calls open the connections to the upstreams before the failure.
	warm := d.newCaller(shopKey)
	defer warm.close()
	for node := range nodeCount {
		require.True(t, warm.postOrder(node, newIdempotencyKey(), "warm").ok())
	}
	f.inject(d)
	first := make([]reply, callCount)
	g := group.New(t.Context())
	for i := range keys {
		g.Go("call", func(context.Context) error {
			c := d.newCaller(shopKey)
			defer c.close()
			first[i] = c.postOrder(i%nodeCount, keys[i], fmt.Sprint("order ", i))
			return nil
		})
	}
	time.Sleep(500 * time.Millisecond)
	f.injectLate(d)
	// The callers send again through another node while the first attempt may still
	// be running.
	early := d.resend(keys, 1)
	require.NoError(t, g.Wait())
	f.repair(d)
	time.Sleep(time.Second)
	late := d.resend(keys, 2)
	runs := d.runCounts()
	answers := map[string]int{}
	for i, key := range keys {
		require.LessOrEqual(t, runs[key], 1, "call %d ran %d times: %+v %+v %+v", i, runs[key], first[i], early[i], late[i])
		for attempt, r := range map[string]reply{"first": first[i], "early": early[i], "late": late[i]} {
			answers[fmt.Sprintf("%s %d %s %s", attempt, r.status, r.code, r.run)]++
			if r.run == "no" {
				require.Zero(t, runs[key], "call %d ran but the %s answer reports it as not run: %+v", i, attempt, r)
			}
			if r.ok() {
				require.Equal(t, 1, runs[key], "call %d has a successful %s answer %+v", i, attempt, r)
			}
		}
		if first[i].ok() {
			require.Equal(t, first[i].body, late[i].body, "the late answer differs from the first one")
		}
		if runs[key] == 1 {
			require.True(t, late[i].ok() || late[i].code == "already_claimed", "%+v", late[i])
		}
	}
	// The calls that opened the connections, one through each node, are not counted.
	t.Logf("calls run %d of %d, answers %v", len(runs)-nodeCount, callCount, answers)
}

// resend sends every call again with its idempotency key, through the node that is
// nodeOffset after the first one.
func (d *deployment) resend(keys []string, nodeOffset int) []reply {
	replies := make([]reply, len(keys))
	g := group.New(context.Background())
	for i := range keys {
		g.Go("resend", func(context.Context) error {
			c := d.newCaller(shopKey)
			defer c.close()
			replies[i] = c.postOrder((i+nodeOffset)%nodeCount, keys[i], fmt.Sprint("order ", i))
			return nil
		})
	}
	require.NoError(d.t, g.Wait())
	return replies
}

// runCounts returns how often each call ran on all upstreams, by idempotency key.
func (d *deployment) runCounts() map[string]int {
	runs := map[string]int{}
	c := d.newCaller(shopKey)
	defer c.close()
	for i := range deskCount {
		r := c.call(http.MethodGet, deskAddr(i), "/_calls", "", nil)
		require.True(d.t, r.ok(), "%+v", r)
		var list struct {
			Calls []struct {
				Method, Key string
				Count       int
			}
		}
		require.NoError(d.t, json.Unmarshal([]byte(r.body), &list))
		for _, call := range list.Calls {
			if call.Method == http.MethodPost {
				runs[call.Key] += call.Count
			}
		}
	}
	return runs
}
