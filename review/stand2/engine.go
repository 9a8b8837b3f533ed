package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the engines and of the platform, as the pages state them for small
// deployments.
const (
	heartbeat     = 1200 * time.Millisecond
	eventTokens   = 34
	stepTime      = 1310 * time.Microsecond
	tokensPerMS   = 154
	engineSlots   = 16
	engineMemory  = 405_000
	lastEventName = "Last-Event-Id"
)

// engines are the stand-ins of the engines of one service.
type engines struct {
	service string
	store   *store
	log     *record
	// limit is the requests a second that each engine names, or 0.
	limit float64
	// poison is the body of a request that crashes each engine that begins to run it,
	// and downTime how long such an engine is down. Bodies that begin with early, unless
	// it is empty, crash engines before their first event.
	poison   string
	early    string
	downTime time.Duration
	started  atomic.Int64

	mu   sync.Mutex
	runs []run
	// namedAt is when an engine first named its limit, by address.
	namedAt map[string]time.Time
	// servers are the running engines by address.
	servers map[string]*engine
}

// run is the arrival of a request at an engine.
type run struct {
	at              time.Time
	attempt, engine string
	address, body   string
}

// engine is one incarnation.
type engine struct {
	all           *engines
	id, address   string
	zone          string
	born          time.Time
	server        *http.Server
	active        atomic.Int64
	mu            sync.Mutex
	conns         map[net.Conn]struct{}
	crashed, gone bool
}

func newEngines(service string, s *store, log *record) *engines {
	return &engines{service: service, store: s, log: log, namedAt: map[string]time.Time{}, servers: map[string]*engine{}}
}

// start starts an engine at an address and registers it.
func (a *engines) start(address, zone string) error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	e := &engine{all: a, id: fmt.Sprintf("i-%06x", a.started.Add(1)), address: address, zone: zone, born: time.Now(), conns: map[net.Conn]struct{}{}}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second, ConnState: e.track}
	a.mu.Lock()
	a.servers[address] = e
	a.mu.Unlock()
	background.Go(func() { _ = e.server.Serve(l) })
	a.store.put("servers/"+e.id, map[string]any{
		"service": a.service, "address": address, "zone": zone, "version": "v1", "capacity": engineSlots,
		"state": "available", "cold_remaining_ms": 0, "phase": "combined", "sequence": 1, "born": e.born.UnixMilli(),
		"model_list": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	})
	a.log.add("engine-start", "engine", e.id, "address", address)
	return nil
}

func (e *engine) track(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state == http.StateClosed {
		delete(e.conns, c)
	} else {
		e.conns[c] = struct{}{}
	}
}

// crash ends the process of an engine: its port closes and its connections are reset.
// Its registration is removed after three heartbeats, and another incarnation starts at
// its address after the down time.
func (e *engine) crash(attempt string) {
	e.mu.Lock()
	if e.crashed {
		e.mu.Unlock()
		return
	}
	e.crashed = true
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	e.mu.Unlock()
	e.all.log.add("engine-crash", "engine", e.id, "attempt", attempt)
	_ = e.server.Close()
	time.AfterFunc(3*heartbeat, func() { e.all.store.remove("servers/" + e.id) })
	time.AfterFunc(e.all.downTime, func() {
		if err := e.all.start(e.address, e.zone); err != nil {
			e.all.log.add("engine-not-restarted", "address", e.address, "error", err.Error())
		}
	})
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	attempt := r.Header.Get("Attempt-Id")
	if attempt != "" {
		h.Set("Attempt-Id", attempt)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		h.Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		h.Set("Instance-Id", e.id)
		return
	case "/api/report":
		answer(w, http.StatusOK, map[string]any{
			"phase": "combined", "model_list": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false,
			"sequence": 1, "queued": 0, "active": e.active.Load(), "kv_in_use": 0, "kv_limit": engineMemory, "kv_handles": 0,
			"born": e.born.UnixMilli(),
		})
		return
	case "/api/order":
		answer(w, http.StatusOK, map[string]any{"unused": 0})
		return
	}
	e.serveRequest(w, r, attempt)
}

// serveRequest runs a request: it prefills the prompt, and then sends the events of a
// stream.
func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request, attempt string) {
	a, h := e.all, w.Header()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if e.active.Add(1) > engineSlots {
		e.active.Add(-1)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.active.Add(-1)
	now := time.Now()
	a.mu.Lock()
	a.runs = append(a.runs, run{now, attempt, e.id, e.address, string(body)})
	if a.limit > 0 {
		if _, ok := a.namedAt[e.address]; !ok {
			a.namedAt[e.address] = now
		}
		h.Set("Server-Limit", strconv.FormatFloat(a.limit, 'f', -1, 64))
	}
	a.mu.Unlock()
	a.log.add("run", "attempt", attempt, "engine", e.id)
	prompt, output := tokens(r.Header.Get("Token-Count"))
	h.Set("Server-Seal", "seal."+e.id+"."+attempt)
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", e.active.Load(), engineSlots))
	h.Set("Content-Type", "text/event-stream")
	if !pause(r, time.Duration(prompt/tokensPerMS)*time.Millisecond) {
		return
	}
	after, _ := strconv.Atoi(r.Header.Get(lastEventName))
	for n := after + 1; n <= max(1, output/eventTokens); n++ {
		if !pause(r, eventTokens*stepTime) {
			return
		}
		if a.early != "" && strings.HasPrefix(string(body), a.early) {
			e.crash(attempt)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
		if a.poison != "" && string(body) == a.poison {
			// The engine has begun to run the request: its first token is out.
			time.Sleep(100 * time.Millisecond)
			e.crash(attempt)
			return
		}
	}
}

func tokens(header string) (prompt, output int) {
	first, second, _ := strings.Cut(header, ",")
	prompt, _ = strconv.Atoi(first)
	output, _ = strconv.Atoi(second)
	return prompt, output
}

// pause waits, and reports false if the caller of the engine left meanwhile.
func pause(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// document is the operator's configuration with one streaming route.
func document(service string, resumable bool, attempts int) map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "hostname": hostName, "prefix": "/draft/", "route_type": "streaming", "timeout_ms": 10000, "latency_goal_ms": 300,
			"priority": 1, "service": service, "max_attempts": attempts, "anonymous": false, "session_affinity": true, "resumable": resumable, "gap_aim_ms": 250,
		}},
		"services": []any{map[string]any{
			"name": service, "health_path": "/healthz", "max_connections": 284, "protocol": "h1", "tls_enabled": false,
			"engine_type": json.RawMessage(`{"capacity":16,"kv_capacity":405000,"kv_token_bytes":163840,"bandwidth_mbps":400000.0,"step_size":34,"model_list":[{"name":"m"}],"step_ms":1.31,"per_seq_ms":0.000917,"context_per_k":0.00213,"read_per_s":154000.0,"pairs_per_m":0.162,"chunk":2048,"report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":8,"delays":[],"usual":{"prompt":1000,"answer":340},"hop_latency_ms":0.1}`),
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "shop-1", "api_keys": []string{apiKey}, "priority": 1}},
	}
}
