package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["path"] = runPath }

// plainPaths are request targets that every client sends, and doubledPaths those that
// begin with two slashes, as a client sends them that joins a base address which ends
// with a slash and a path which begins with one.
var (
	plainPaths   = []string{"/", "/orders/7", "/orders//7", "/orders/7?copy=1&x=%2F", "/orders/%2e%2e/7", "/orders/7?", "/a/../b", "/orders/7;v=1"}
	doubledPaths = []string{"//orders/7", "//orders/7?copy=1", "//", "//lookup", "///orders/7"}
)

// runPath sends requests with different paths on a route whose prefix is a slash, and
// compares the request line that the server gets with the one that the client sent.
func runPath(f *Fleet, trouble bool) (int, error) {
	var mu sync.Mutex
	got := map[string]string{}
	for _, zone := range []string{"sofia-a", "sofia-b", "sofia-c"} {
		e := &Engine{service: plainService, zone: zone, capacity: 6}
		e.onRequest = func(r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			got[r.Header.Get("Attempt-Id")] = r.Method + " " + r.RequestURI
		}
		if err := f.AddEngine(e); err != nil {
			return notRun, err
		}
	}
	f.Background()
	f.store.Put("op/config", Document(7, map[string]any{
		"name": "r-all", "hostname": "desk.example", "prefix": "/", "route_type": "non_idempotent", "timeout_ms": 1200, "latency_goal_ms": 150,
		"priority": 2, "service": plainService, "max_attempts": 1, "anonymous": false,
	}))
	if err := f.AddGateways([]string{"sofia-a", "sofia-b", "sofia-c"}); err != nil {
		return notRun, err
	}
	if err := f.AwaitReady(10 * time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(3 * time.Second)
	paths := plainPaths
	if trouble {
		paths = append(paths, doubledPaths...)
	}
	changed, ran := 0, 0
	for n, path := range paths {
		id := NewID()
		gateway := n % len(f.gateways)
		status, err := sendRaw(f.Front(gateway), "POST "+path+" HTTP/1.1", id)
		mu.Lock()
		seen, ok := got[id]
		mu.Unlock()
		f.record.Printf("client   sends POST %s to %s as %s: status %d, %v; the server ran: %q", path, f.gateways[gateway].Name, id, status, err, seen)
		if !ok {
			continue
		}
		ran++
		if seen != "POST "+path {
			changed++
		}
	}
	f.record.Say("%d requests sent, %d run by a server, %d of them with another path than the client's", len(paths), ran, changed)
	if ran < len(plainPaths) {
		return notRun, nil
	}
	if changed > 0 {
		return broken, nil
	}
	return held, nil
}

// sendRaw sends a request with the given request line and returns the status.
func sendRaw(address, line, id string) (int, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	body := "order " + id
	head := []string{
		line, "Host: desk.example", "Attempt-Id: " + id, "Deadline-Remaining: 2500", "Credential: " + key,
		fmt.Sprintf("Content-Length: %d", len(body)), "Connection: close", "", body,
	}
	if _, err := c.Write([]byte(strings.Join(head, "\r\n"))); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}
