package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// eventTime is the time between the events of a stream.
	eventTime = 45 * time.Millisecond
	plainTime = 30 * time.Millisecond
)

// Run is one request that an engine received.
type Run struct {
	Engine  *Engine
	ID      string
	Body    string
	Header  http.Header
	Arrived time.Time
}

// Engine is a stand-in for an engine or, without slots for streams, for a server of a
// plain service.
type Engine struct {
	service, zone, address string
	capacity               int
	stream                 bool
	// tokensPerMS is the speed of reading, 154 if it is not set.
	tokensPerMS float64
	store       *Store
	record      *Record
	// onEvent is called before each event of a stream, with its number. It returns
	// false if the engine is to crash.
	onEvent func(r Run, event int) bool
	// onArrival is called with each request that is taken.
	onArrival func(r Run)
	// onDone is called when the engine no longer works on a request. Whole is set if it
	// has written the whole answer.
	onDone func(r Run, whole bool)
	// workTime returns how long a server of a plain service works on a request. If it is
	// not set, that is plainTime.
	workTime func() time.Duration
	// onRequest is called with each request as it came.
	onRequest func(r *http.Request)
	// downTime is how long the engine is away after a crash.
	downTime time.Duration

	server *Server
	mu     sync.Mutex
	id     string
	starts int
	seq    int
	born   time.Time
	active int
	up     bool
	silent bool
	// draining is set from the notice until the end.
	draining bool
	// busyUntil is when the prompts that the engine reads are read.
	busyUntil time.Time
}

// Register writes the entry of the engine. It is called at the start and with each
// heartbeat.
func (e *Engine) register() {
	e.mu.Lock()
	if !e.up || e.silent {
		e.mu.Unlock()
		return
	}
	e.seq++
	state := "available"
	if e.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "capacity": e.capacity,
		"state": state, "cold_remaining_ms": 0, "sequence": e.seq, "born": e.born.UnixMilli(),
	}
	id := e.id
	e.mu.Unlock()
	e.store.Put("servers/"+id, entry)
}

// Start starts a new incarnation of the engine.
func (e *Engine) Start() error {
	e.mu.Lock()
	e.starts++
	e.id = fmt.Sprintf("i-%s-%d", strings.NewReplacer(".", "", ":", "").Replace(e.address), e.starts)
	e.born, e.up, e.active, e.seq, e.draining, e.busyUntil = time.Now(), true, 0, 0, false, time.Time{}
	if e.server == nil {
		e.server = NewServer(e.address, e)
	}
	e.mu.Unlock()
	if err := e.server.Start(); err != nil {
		return err
	}
	e.register()
	return nil
}

// Crash ends the engine without notice.
func (e *Engine) Crash() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	id := e.id
	e.mu.Unlock()
	e.record.Printf("engine   %s at %s crashes", id, e.address)
	e.server.Crash()
	// The store removes the entry after three heartbeats of silence.
	time.AfterFunc(3*heartbeat, func() { e.store.Remove("servers/" + id) })
	if e.downTime > 0 {
		time.AfterFunc(e.downTime, func() {
			if err := e.Start(); err != nil {
				e.record.Printf("engine   at %s cannot start again: %v", e.address, err)
			}
		})
	}
}

// ID returns the id of the current incarnation.
func (e *Engine) ID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	id, draining := e.id, e.draining
	e.mu.Unlock()
	if draining {
		w.Header().Set("Server-Leaving", "1")
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("Instance-Id", id)
		return
	case "/api/report":
		e.mu.Lock()
		active := e.active
		e.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{
			"phase": "combined", "busy": false, "sequence": 0, "queued": 0, "active": active, "kv_in_use": 0, "kv_limit": 405000, "kv_handles": 0,
		})
		return
	case "/api/order":
		var in struct {
			Operation string `json:"operation"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		reply(w, http.StatusOK, map[string]any{"unused": 0})
		return
	}
	if e.onRequest != nil {
		e.onRequest(r)
	}
	body, _ := io.ReadAll(r.Body)
	run := Run{Engine: e, ID: r.Header.Get("Attempt-Id"), Body: string(body), Header: r.Header, Arrived: time.Now()}
	w.Header().Set("Attempt-Id", run.ID)
	switch expected := r.Header.Get("Expect-Instance"); {
	case run.ID == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case expected != "" && expected != id:
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	full := e.active >= e.capacity
	if !full {
		e.active++
	}
	load := fmt.Sprintf("%d,0,%d", e.active, e.capacity)
	e.mu.Unlock()
	if full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		if e.active > 0 {
			e.active--
		}
		e.mu.Unlock()
	}()
	if e.onArrival != nil {
		e.onArrival(run)
	}
	if e.onDone != nil {
		defer func() { e.onDone(run, r.Context().Err() == nil) }()
	}
	w.Header().Set("Server-Load", load)
	if e.stream {
		e.serveStream(w, r, run)
		return
	}
	work := plainTime
	if e.workTime != nil {
		work = e.workTime()
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Server-Seal", "seal."+id+"."+run.ID)
	_, _ = fmt.Fprintf(w, "answer of %s to %s\n%s", id, run.ID, strings.Repeat("x", 760))
}

// prefill reads a prompt, after those that the engine reads already.
func (e *Engine) prefill(r *http.Request, d time.Duration) {
	e.mu.Lock()
	now := time.Now()
	if e.busyUntil.Before(now) {
		e.busyUntil = now
	}
	e.busyUntil = e.busyUntil.Add(d)
	wait := e.busyUntil.Sub(now)
	e.mu.Unlock()
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
	}
}

// serveStream reads the prompt and writes the events.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, run Run) {
	prompt, output, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	tokens, _ := strconv.Atoi(prompt)
	most, _ := strconv.Atoi(output)
	events := max(1, most/34)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	parts := 1.0
	if list := r.Header.Get("Helper-Nodes"); list != "" {
		parts += float64(len(strings.Split(list, ",")))
	}
	rate := e.tokensPerMS
	if rate == 0 {
		rate = 154
	}
	prefill := float64(tokens)/rate + float64(tokens)*float64(tokens)/2/1e6*0.162
	e.prefill(r, time.Duration(prefill/parts*float64(time.Millisecond)))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Server-Seal", "seal."+e.ID()+"."+run.ID)
	flusher := http.NewResponseController(w)
	for n := after + 1; n <= events; n++ {
		if r.Context().Err() != nil {
			return
		}
		if e.onEvent != nil && !e.onEvent(run, n) {
			e.Crash()
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("t", 50))
		_ = flusher.Flush()
		time.Sleep(eventTime)
	}
}

// Drain reports that the engine leaves, and Leave ends it: its entry is removed and its
// connections are closed.
func (e *Engine) Drain() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.register()
	e.record.Printf("engine   %s reports draining", e.ID())
}

// Leave ends the engine after it has drained.
func (e *Engine) Leave() {
	e.mu.Lock()
	e.up = false
	id := e.id
	e.mu.Unlock()
	e.server.Crash()
	time.Sleep(300 * time.Millisecond)
	e.store.Remove("servers/" + id)
	e.record.Printf("engine   %s has left", id)
}

// Forget ends the heartbeats of the engine, which goes on serving.
func (e *Engine) Forget() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = true
}
