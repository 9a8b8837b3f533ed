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

// outage is a failure while calls that are not idempotent are under way.
type outage struct {
	// before begins the failure, during goes on with it 500 ms after the calls
	// were sent, and after repairs it before the calls are sent again.
	before, during, after func(d *deployment)
}

func allDesks(faults string) func(d *deployment) {
	return func(d *deployment) {
		for _, sw := range d.desks {
			require.NoError(d.t, sw.Apply([]byte(faults)))
		}
	}
}

// Guards against a call that runs twice, and against a resend that is told that
// the call was not run, when its upstream goes silent, when the reply is lost
// after the effect and when its node dies between the claim and the answer.
func TestCallsRunOnce(t *testing.T) {
	nothing := func(*deployment) {}
	for name, o := range map[string]outage{
		"no failure": {before: nothing, during: nothing, after: nothing},
		"silent connections": {
			before: allDesks(`{"slow_factor":400}`),
			during: func(d *deployment) {
				for i := range deskCount {
					d.net.Silence(deskName(i), callerHost)
				}
			},
			after: allDesks(`{"slow_factor":1}`),
		},
		"silent before the call": {
			before: allDesks(`{"freeze":true}`), during: nothing, after: allDesks(`{"freeze":false}`),
		},
		"reply lost": {
			before: allDesks(`{"lose_share":1,"methods":["POST"]}`), during: nothing, after: allDesks(`{"lose_share":0}`),
		},
		"node killed": {
			before: allDesks(`{"slow_factor":400}`),
			during: func(d *deployment) { d.killNode(0); d.startNode(0); time.Sleep(8 * time.Second) },
			after:  allDesks(`{"slow_factor":1}`),
		},
		"platform loses replies": {
			before: func(d *deployment) { require.NoError(d.t, d.platform.Apply([]byte(`{"lose_share":0.5}`))) },
			during: nothing,
			after:  func(d *deployment) { require.NoError(d.t, d.platform.Apply([]byte(`{"lose_share":0}`))) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { o.run(t) })
		})
	}
}

const callCount = 18

func (o outage) run(t *testing.T) {
	d := deploy(t)
	defer d.close()
	keys := make([]string, callCount)
	for i := range keys {
		keys[i] = newKey()
	}
	// Connections to the upstreams are open before the failure.
	warm := d.caller(key)
	defer warm.close()
	for node := range nodeCount {
		require.True(t, warm.order(node, newKey(), "warm").ok())
	}
	o.before(d)
	first := make([]reply, callCount)
	g := group.New(t.Context())
	for i := range keys {
		g.Go("call", func(context.Context) error {
			c := d.caller(key)
			defer c.close()
			first[i] = c.order(i%nodeCount, keys[i], fmt.Sprint("order ", i))
			return nil
		})
	}
	time.Sleep(500 * time.Millisecond)
	o.during(d)
	// A caller without an answer sends again through another node while the
	// first attempt may still run.
	early := d.resend(keys, 1)
	require.NoError(t, g.Wait())
	o.after(d)
	time.Sleep(time.Second)
	late := d.resend(keys, 2)
	ran := d.callsRun()
	told := map[string]int{}
	for i, key := range keys {
		require.LessOrEqual(t, ran[key], 1, "call %d ran %d times: %+v %+v %+v", i, ran[key], first[i], early[i], late[i])
		for at, r := range map[string]reply{"first": first[i], "early": early[i], "late": late[i]} {
			told[fmt.Sprintf("%s %d %s %s", at, r.status, r.code, r.run)]++
			if r.run == "no" {
				require.Zero(t, ran[key], "call %d ran, told at %s %+v", i, at, r)
			}
			if r.ok() {
				require.Equal(t, 1, ran[key], "call %d, %s %+v", i, at, r)
			}
		}
		if first[i].ok() {
			require.Equal(t, first[i].raw, late[i].raw, "the recorded outcome")
		}
		if ran[key] == 1 {
			require.True(t, late[i].ok() || late[i].code == "already_claimed", "%+v", late[i])
		}
	}
	t.Logf("calls run %d of %d, answers %v", len(ran)-nodeCount, callCount, told)
}

// resend sends every call again with its key through another node.
func (d *deployment) resend(keys []string, shift int) []reply {
	replies := make([]reply, len(keys))
	g := group.New(context.Background())
	for i := range keys {
		g.Go("resend", func(context.Context) error {
			c := d.caller(key)
			defer c.close()
			replies[i] = c.order((i+shift)%nodeCount, keys[i], fmt.Sprint("order ", i))
			return nil
		})
	}
	require.NoError(d.t, g.Wait())
	return replies
}

// callsRun returns how often each call ran on all upstreams, by key.
func (d *deployment) callsRun() map[string]int {
	ran := map[string]int{}
	c := d.caller(key)
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
		require.NoError(d.t, json.Unmarshal([]byte(r.raw), &list))
		for _, call := range list.Calls {
			if call.Method == http.MethodPost {
				ran[call.Key] += call.Count
			}
		}
	}
	return ran
}
