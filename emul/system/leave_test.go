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
	// leaveNotice is how long other nodes and callers may still send requests to a
	// host after it has announced that it leaves.
	leaveNotice = 5 * time.Second
	// longAnswer is the number of tokens of an answer that takes longer than 30 s.
	longAnswer = 2_000
)

// leaveObserver sends requests to the leaving host and records the outcomes. It begins
// before the host announces that it leaves, and continues until a long stream on the
// host has ended.
type leaveObserver struct {
	d *deployment

	mu        sync.Mutex
	announced time.Time
	// accepted counts the prompts that succeeded. acceptedLate counts those of the
	// accepted prompts that were sent more than leaveNotice after the announcement.
	accepted     int
	acceptedLate int
	// refused counts the prompts that were refused and not run because the host
	// leaves.
	refused int
	// unexpected describes the prompts with any other outcome.
	unexpected  []string
	longReply   reply
	longElapsed time.Duration
}

// poll sends short prompts to the leaving host over a keep-alive connection, as a
// caller with an outdated address list does.
func (l *leaveObserver) poll(ctx context.Context, id int) {
	c := l.d.newCaller(shopKey)
	defer c.close()
	for i := 0; ctx.Err() == nil; i++ {
		prompt := fmt.Sprintf("leaving-%d-%d", id, i)
		sent := time.Now()
		r := c.stream(leavingNode, prompt, 2, 10*time.Second)
		l.record(prompt, sent, r)
		wait(ctx, time.Duration(41+id)*time.Millisecond)
	}
}

func (l *leaveObserver) record(prompt string, sent time.Time, r reply) {
	l.d.mu.Lock()
	starts := len(l.d.startedOn[prompt])
	l.d.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case r.err != nil:
		l.unexpected = append(l.unexpected, fmt.Sprintf("%s %v ran %d", prompt, r.err, starts))
	case r.code == "host_leaving" && r.run == "no" && starts == 0:
		l.refused++
	case r.ok() && r.done:
		l.accepted++
		if !l.announced.IsZero() && sent.Sub(l.announced) > leaveNotice {
			l.acceptedLate++
		}
	default:
		l.unexpected = append(l.unexpected, fmt.Sprintf("%s %d %s run=%s ran %d", prompt, r.status, r.code, r.run, starts))
	}
}

// burst opens 60 keep-alive connections and sends one prompt on each. The first
// prompt is sent at begin, the others at intervals of 100 µs. Prompts that are sent
// just before the announcement arrive while the host begins to leave.
func (l *leaveObserver) burst(g *group.Group, begin time.Time) {
	for i := range 60 {
		g.Go("burst", func(ctx context.Context) error {
			c := l.d.newCaller(shopKey)
			defer c.close()
			// This request opens the connection.
			r := c.call(http.MethodGet, nodeAddr(leavingNode, 80), "/v1/addresses", "", nil)
			require.True(l.d.t, r.ok(), "%+v", r)
			wait(ctx, time.Until(begin.Add(time.Duration(i)*100*time.Microsecond)))
			prompt := fmt.Sprintf("burst-%d", i)
			sent := time.Now()
			l.record(prompt, sent, c.stream(leavingNode, prompt, 2, 10*time.Second))
			return nil
		})
	}
}

// checkOthers waits for leaveNotice and then checks the other nodes until the context
// ends. They must list the leaving host neither as an address nor as the owner of a
// cell, and they must serve requests.
func (l *leaveObserver) checkOthers(ctx context.Context) {
	c := l.d.newCaller(shopKey)
	defer c.close()
	wait(ctx, leaveNotice)
	for ctx.Err() == nil {
		for node := range nodeCount {
			if node == leavingNode {
				continue
			}
			r := c.call(http.MethodGet, nodeAddr(node, 80), "/v1/addresses", "", nil)
			require.True(l.d.t, r.ok(), "%+v", r)
			require.NotContains(l.d.t, r.body, nodeAddr(leavingNode, 80))
			require.Contains(l.d.t, r.body, nodeAddr(node, 80))
			_, body := l.d.adminRequest(node, http.MethodGet, "cells", "")
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

// Guards against requests that a leaving host accepts after leaveNotice or loses on
// keep-alive connections, and against a long stream that the host ends early.
func TestLeave(t *testing.T) {
	for name, leave := range map[string]func(d *deployment){
		"stop signal": func(d *deployment) { d.nodes[nodeName(leavingNode)].stop() },
		"drain through the admin interface": func(d *deployment) {
			status, body := d.adminRequest(leavingNode, http.MethodPost, "drain", "")
			require.Equal(d.t, http.StatusAccepted, status, body)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := deploy(t)
				defer d.close()
				l := &leaveObserver{d: d}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				g := group.New(ctx)
				g.Go("long stream", func(context.Context) error {
					defer cancel()
					c := d.newCaller(shopKey)
					defer c.close()
					begin := time.Now()
					l.longReply = c.stream(leavingNode, "long", longAnswer, 2*time.Minute)
					l.longElapsed = time.Since(begin)
					return nil
				})
				for i := range 4 {
					g.Go("poll", func(ctx context.Context) error { l.poll(ctx, i); return nil })
				}
				// The burst lasts 6 ms and begins 3 ms before the announcement.
				l.burst(g, time.Now().Add(2*time.Second-3*time.Millisecond))
				time.Sleep(2 * time.Second)
				require.Positive(t, l.accepted)
				l.mu.Lock()
				l.announced = time.Now()
				l.mu.Unlock()
				leave(d)
				g.Go("check others", func(ctx context.Context) error { l.checkOthers(ctx); return nil })
				require.NoError(t, g.Wait())
				t.Logf("accepted %d, refused %d, unexpected outcomes %d %.3v, long stream took %v", l.accepted, l.refused, len(l.unexpected), l.unexpected, l.longElapsed)
				require.True(t, l.longReply.ok() && l.longReply.done, "%+v", l.longReply.err)
				require.Equal(t, longAnswer, l.longReply.textEvents)
				require.Greater(t, l.longElapsed, 30*time.Second)
				require.Positive(t, l.refused)
				require.Zero(t, l.acceptedLate, "requests accepted more than leaveNotice after the announcement")
				require.Empty(t, l.unexpected, "requests with an unexpected outcome")
				d.nodes[nodeName(leavingNode)].awaitEnd(t)
			})
		})
	}
}
