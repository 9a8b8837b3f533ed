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
	// leavingNode is the node that leaves in the tests of this file.
	leavingNode = 0
	// leaveNotice is how long other nodes and callers may use a host after it
	// announced that it leaves.
	leaveNotice = 5 * time.Second
	// longAnswer is generated in more than 30 s.
	longAnswer = 2_000
)

// leaver sends requests to a host from before it announces that it leaves until
// the stream that runs there has ended.
type leaver struct {
	d *deployment

	mu        sync.Mutex
	announced time.Time
	accepted  int
	late      int
	refused   int
	lost      []string
	long      reply
	longTime  time.Duration
}

// poll sends short prompts on kept-open connections, by an old address list.
func (l *leaver) poll(ctx context.Context, id int) {
	c := l.d.caller(key)
	defer c.close()
	for i := 0; ctx.Err() == nil; i++ {
		prompt := fmt.Sprintf("leaving-%d-%d", id, i)
		sent := time.Now()
		r := c.stream(leavingNode, prompt, 2, 10*time.Second)
		l.note(prompt, sent, r)
		wait(ctx, time.Duration(41+id)*time.Millisecond)
	}
}

func (l *leaver) note(prompt string, sent time.Time, r reply) {
	l.d.mu.Lock()
	ran := len(l.d.ran[prompt])
	l.d.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case r.err != nil:
		l.lost = append(l.lost, fmt.Sprintf("%s %v ran %d", prompt, r.err, ran))
	case r.code == "host_leaving" && r.run == "no" && ran == 0:
		l.refused++
	case r.ok() && r.done:
		l.accepted++
		if !l.announced.IsZero() && sent.Sub(l.announced) > leaveNotice {
			l.late++
		}
	default:
		l.lost = append(l.lost, fmt.Sprintf("%s %d %s run=%s ran %d", prompt, r.status, r.code, r.run, ran))
	}
}

// burst sends a prompt on each of many kept-open connections, some of them just
// before the announcement, so that they arrive while the host begins to leave.
func (l *leaver) burst(g *group.Group, begin time.Time) {
	for i := range 60 {
		g.Go("burst", func(ctx context.Context) error {
			c := l.d.caller(key)
			defer c.close()
			// Opens the connection.
			r := c.call(http.MethodGet, nodeAddr(leavingNode, 80), "/v1/addresses", "", nil)
			require.True(l.d.t, r.ok(), "%+v", r)
			wait(ctx, time.Until(begin.Add(time.Duration(i)*100*time.Microsecond)))
			prompt := fmt.Sprintf("burst-%d", i)
			sent := time.Now()
			l.note(prompt, sent, c.stream(leavingNode, prompt, 2, 10*time.Second))
			return nil
		})
	}
}

// watch looks at the address lists and the owners of cells that other nodes
// know, from the time when the leaving host must have gone from them.
func (l *leaver) watch(ctx context.Context) {
	c := l.d.caller(key)
	defer c.close()
	wait(ctx, leaveNotice)
	for ctx.Err() == nil {
		for node := range nodeCount {
			if node == leavingNode {
				continue
			}
			r := c.call(http.MethodGet, nodeAddr(node, 80), "/v1/addresses", "", nil)
			require.True(l.d.t, r.ok(), "%+v", r)
			require.NotContains(l.d.t, r.raw, nodeAddr(leavingNode, 80))
			require.Contains(l.d.t, r.raw, nodeAddr(node, 80))
			_, body := l.d.operate(node, http.MethodGet, "cells", "")
			var cells []struct{ Name, Owner string }
			require.NoError(l.d.t, json.Unmarshal([]byte(body), &cells), body)
			require.Len(l.d.t, cells, len(domains))
			for _, cell := range cells {
				require.NotEqual(l.d.t, nodeName(leavingNode), cell.Owner, cell.Name)
			}
			require.True(l.d.t, c.stream(node, "elsewhere", 2, 10*time.Second).ok())
		}
		wait(ctx, time.Second)
	}
}

// Guards against a leaving host that still gets work, that loses a request sent
// to it on a kept-open connection, or that cuts a long stream short.
func TestLeave(t *testing.T) {
	for name, leave := range map[string]func(d *deployment){
		"signal": func(d *deployment) { d.nodes[nodeName(leavingNode)].stop() },
		"operators' drain": func(d *deployment) {
			status, body := d.operate(leavingNode, http.MethodPost, "drain", "")
			require.Equal(d.t, http.StatusAccepted, status, body)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := deploy(t)
				defer d.close()
				l := &leaver{d: d}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				g := group.New(ctx)
				g.Go("long stream", func(context.Context) error {
					defer cancel()
					c := d.caller(key)
					defer c.close()
					begin := time.Now()
					l.long = c.stream(leavingNode, "long", longAnswer, 2*time.Minute)
					l.longTime = time.Since(begin)
					return nil
				})
				for i := range 4 {
					g.Go("poll", func(ctx context.Context) error { l.poll(ctx, i); return nil })
				}
				l.burst(g, time.Now().Add(2*time.Second-3*time.Millisecond))
				time.Sleep(2 * time.Second)
				require.Positive(t, l.accepted)
				l.mu.Lock()
				l.announced = time.Now()
				l.mu.Unlock()
				leave(d)
				g.Go("watch", func(ctx context.Context) error { l.watch(ctx); return nil })
				require.NoError(t, g.Wait())
				t.Logf("accepted %d, refused %d, lost %d %.3v, stream of %v", l.accepted, l.refused, len(l.lost), l.lost, l.longTime)
				require.True(t, l.long.ok() && l.long.done, "%+v", l.long.err)
				require.Equal(t, longAnswer, l.long.pieces)
				require.Greater(t, l.longTime, 30*time.Second)
				require.Positive(t, l.refused)
				require.Zero(t, l.late, "requests that ran although the host had left")
				require.Empty(t, l.lost, "requests without a true answer")
				d.nodes[nodeName(leavingNode)].awaitEnd(t)
			})
		})
	}
}
