package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// The timeouts of the routes.
const (
	workTimeout  = 5 * time.Second
	slowTimeout  = 12 * time.Second
	draftTimeout = 10 * time.Second
	longTimeout  = 15 * time.Second
)

// caller sends requests to one host, one after another.
type caller struct {
	kind    string
	timeout time.Duration
	// keeps is set if the caller keeps its connection, and stays if it uses its host
	// until the process is gone.
	keeps, stays bool
	request      func(n int) Request
	pause        time.Duration
}

// work returns a call to a plain service, in chunks if sendTime is positive.
func work(path string, n int, timeout, sendTime time.Duration) Request {
	return Request{
		Host: host, Path: fmt.Sprintf("/%s/%d", path, n), Method: http.MethodPost, Key: key, Body: strings.Repeat("w", 600),
		Deadline: timeout + time.Second, SendTime: sendTime,
	}
}

// callers lists the callers of one host.
func callers() []caller {
	plain := func(n int) Request {
		return work("work", n, workTimeout, time.Duration(rand.IntN(2))*rand.N(300*time.Millisecond))
	}
	slow := func(n int) Request {
		return work("slow", n, slowTimeout, 500*time.Millisecond+rand.N(slowSendTime-500*time.Millisecond))
	}
	stream := func(n int) Request {
		q := Draft(n)
		q.Output = 34 * (10 + rand.IntN(longEvents-10))
		return q
	}
	var list []caller
	for i := range 4 {
		for _, keeps := range []bool{false, true} {
			list = append(list, caller{kind: "plain", timeout: workTimeout, keeps: keeps, stays: i < 3, request: plain, pause: 150 * time.Millisecond})
		}
	}
	for i := range 3 {
		list = append(list,
			caller{kind: "slow", timeout: slowTimeout, keeps: i == 0, stays: true, request: slow, pause: 300 * time.Millisecond},
			caller{kind: "stream", timeout: draftTimeout, keeps: i == 0, stays: i < 2, request: stream, pause: 400 * time.Millisecond})
	}
	return list
}

// startCallers starts the callers of a host.
func (c *stopCase) startCallers(home int) {
	for i, k := range callers() {
		c.traffic.Go(func() {
			kept := map[int]*Kept{}
			for n := i * 100000; !c.isOver(); n++ {
				target := home
				if c.ledger.isQuiet(home) || !k.stays {
					target = c.ledger.usable(home)
				}
				q := k.request(home*10000000 + n)
				var a Answer
				if k.keeps {
					if kept[target] == nil {
						kept[target] = NewKept(c.Front(target))
					}
					a = kept[target].Send(c.context(), q)
				} else {
					a = Send(c.context(), c.Front(target), q)
				}
				c.ledger.answered(target, k.kind, q, k.timeout, a)
				time.Sleep(k.wait(a))
			}
		})
	}
}

// wait returns how long the caller waits after an answer.
func (k caller) wait(a Answer) time.Duration {
	const longest = time.Second
	wait := time.Duration(rand.ExpFloat64() * float64(k.pause))
	if seconds, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64); err == nil {
		wait = max(wait, time.Duration(seconds*float64(time.Second)))
	}
	return min(wait, longest)
}

// context is that of the requests. Those in flight at the end of the run are answered.
func (c *stopCase) context() context.Context { return context.Background() }
