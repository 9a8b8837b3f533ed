// Package quota bounds what clients make a process hold. All ports that clients reach
// share one quota: their connections, the headers and bodies that arrive on these, and
// the answers that clients have not read yet. When the quota is used up, what makes the
// least progress gives way: idle connections, requests that do not arrive, and answers
// that are not read. A request that was read is never broken off.
package quota

import (
	"context"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

const (
	// processMemory is the memory of a process without clients, in bytes. Clients may
	// hold half of the rest, but not less than minHeld: the other half is for garbage
	// that is not collected yet.
	processMemory = 32 << 20
	heldShare     = 0.5
	minHeld       = 8 << 20
	// connMemory is what a connection holds apart from what is reserved for its
	// request: the state of the request, and the buffers of the kernel for the
	// connection and for one to an upstream.
	connMemory = 96 << 10
	// connReserve is the share of the quota that only connections may take, so that
	// large bodies keep no small request out.
	connReserve = 0.25
	// ReservedFiles is the number of descriptors that are kept for files.
	ReservedFiles = 200
	// socketsPerClient is the number of the other descriptors that a client takes: for its
	// connection, for that to an upstream, and for a call about the upstream.
	socketsPerClient = 3
	// minConns is the number of connections that are always allowed.
	minConns = 16
	// slowTime is how long a request may take to arrive, and a write of an answer to
	// be read, before it gives way to others.
	slowTime = time.Second
	// waitTime is how long a request waits for memory.
	waitTime = 500 * time.Millisecond
	// logInterval is the time between two log lines on clients that give way.
	logInterval = time.Second
)

// Options are the dependencies of a Quota.
type Options struct {
	// Memory is the memory of the machine for the process, in bytes, and Files the
	// number of descriptors that it may have open.
	Memory int64
	Files  int
	Log    logrus.FieldLogger
	// Metrics counts connections that were closed and memory that was refused.
	Metrics tally.Scope
}

// Quota is what the clients of a process may hold together.
type Quota struct {
	memory   int64
	maxConns int
	log      logrus.FieldLogger

	refusedConns, refusedMemory, evictions tally.Counter

	mu    sync.Mutex
	held  int64
	conns map[*conn]struct{}
	// released is closed and replaced when memory is released.
	released chan struct{}
	loggedAt time.Time
}

// New returns a quota for a machine.
func New(o Options) *Quota {
	return &Quota{
		memory:   max(minHeld, int64(heldShare*float64(o.Memory-processMemory))),
		maxConns: max(minConns, (o.Files-ReservedFiles)/socketsPerClient),
		log:      o.Log, conns: map[*conn]struct{}{}, released: make(chan struct{}),
		refusedConns:  o.Metrics.Counter("connections_refused"),
		refusedMemory: o.Metrics.Counter("memory_refused"),
		evictions:     o.Metrics.Counter("evictions"),
	}
}

// collectorShare is the share of the machine's memory above which the garbage collector
// runs more often.
const collectorShare = 0.6

// BoundHeap makes the garbage collector of this process run more often when its memory
// comes close to that of the machine, which is given in bytes.
func BoundHeap(memory int64) { debug.SetMemoryLimit(int64(collectorShare * float64(memory))) }

// Files returns the number of descriptors that the process may have open: the setting,
// or the limit of the kernel if that is lower.
func Files(setting int) int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur > uint64(setting) {
		return setting
	}
	return int(limit.Cur)
}

// Held returns the bytes that clients hold, and the number of their connections.
func (q *Quota) Held() (bytes int64, conns int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.held, len(q.conns)
}

// maxBodies is what may be held for headers, bodies and answers, in bytes.
func (q *Quota) maxBodies() int64 { return int64((1 - connReserve) * float64(q.memory)) }

// take takes memory from the quota if it is free. The caller holds mu.
func (q *Quota) take(n int64) bool {
	if n > 0 && q.held+n > q.maxBodies() {
		return false
	}
	q.held += n
	return true
}

// giveBack returns memory to the quota. The caller holds mu.
func (q *Quota) giveBack(n int64) {
	q.held -= n
	if n > 0 {
		close(q.released)
		q.released = make(chan struct{})
	}
}

// addConn takes the place of a connection and reports whether there is one.
func (q *Quota) addConn(c *conn) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.conns) >= q.maxConns || q.held+connMemory > q.memory {
		slowest := q.slowest(time.Now(), idle, arriving, unread)
		if slowest == nil {
			q.refusedConns.Inc(1)
			q.logPressure("client_refused")
			return false
		}
		q.evict(slowest)
	}
	q.held += connMemory
	q.conns[c] = struct{}{}
	return true
}

// removeConn gives the place of a connection back. Only the first call has an effect.
func (q *Quota) removeConn(c *conn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.remove(c)
}

// remove does the same. The caller holds mu.
func (q *Quota) remove(c *conn) {
	if _, ok := q.conns[c]; ok {
		delete(q.conns, c)
		q.giveBack(connMemory + c.headHeld)
		c.headHeld = 0
	}
}

// slowest returns the connection that gives way first, or nil: of the first of the given
// states that a connection is in, the one that has been in it for longest. All but idle
// connections have slowTime. The caller holds mu.
func (q *Quota) slowest(now time.Time, states ...progress) *conn {
	var slowest *conn
	rank := len(states)
	for c := range q.conns {
		state, since := c.progress()
		r := slices.Index(states, state)
		if r < 0 || c.evicted || state != idle && now.Sub(since) < slowTime {
			continue
		}
		if r < rank || r == rank && since.Before(slowest.progressSince()) {
			slowest, rank = c, r
		}
	}
	return slowest
}

// evict closes a connection. The caller holds mu.
func (q *Quota) evict(c *conn) {
	q.remove(c)
	c.evicted = true
	q.evictions.Inc(1)
	q.logPressure("client_evicted")
	// The error would be that of a connection that is already closed.
	_ = c.Conn.Close()
}

// logPressure logs that clients hold all that they may. The caller holds mu.
func (q *Quota) logPressure(event string) {
	now := time.Now()
	if now.Sub(q.loggedAt) < logInterval {
		return
	}
	q.loggedAt = now
	q.log.WithFields(logrus.Fields{"event": event, "held_bytes": q.held, "connections": len(q.conns)}).
		Warn("clients hold all the memory or connections that they may; those without progress give way")
}

// Hold is memory that is reserved for one request. It may be used by one goroutine at a
// time.
type Hold struct {
	quota *Quota
	conn  *conn
	bytes int64
}

// Hold returns an empty reservation for the request with the given context.
func (q *Quota) Hold(ctx context.Context) *Hold { return &Hold{quota: q, conn: connOf(ctx)} }

// TryGrow reserves n more bytes if they are free.
func (h *Hold) TryGrow(n int64) bool {
	h.quota.mu.Lock()
	defer h.quota.mu.Unlock()
	if !h.quota.take(n) {
		return false
	}
	h.bytes += n
	return true
}

// Grow reserves n more bytes. If they are not free, requests that do not arrive and
// answers that are not read give way, and Grow waits for up to waitTime. The error is
// TooLarge if the process never has that much, Overloaded if it has not now, and
// Canceled if the context ends.
func (h *Hold) Grow(ctx context.Context, n int64) error {
	q := h.quota
	if h.bytes+n > q.maxBodies() {
		return fault.New(fault.TooLarge, "the request needs %d bytes of memory; this host has %d", h.bytes+n, q.maxBodies())
	}
	timer := time.NewTimer(waitTime)
	defer timer.Stop()
	for {
		released := h.growOrMakeRoom(n)
		if released == nil {
			return nil
		}
		select {
		case <-released:
		case <-timer.C:
			q.refusedMemory.Inc(1)
			return fault.New(fault.Overloaded, "this host has no memory for the request now")
		case <-ctx.Done():
			return fault.Wrap(fault.Canceled, ctx.Err(), "the request ended while it waited for memory")
		}
	}
}

// growOrMakeRoom reserves n bytes and returns nil. If they are not free, it makes other
// connections give way and returns the channel that is closed when memory is released.
func (h *Hold) growOrMakeRoom(n int64) <-chan struct{} {
	q := h.quota
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.take(n) {
		h.bytes += n
		return nil
	}
	released := q.released
	q.makeRoom(h.conn, n)
	return released
}

// makeRoom makes connections other than self give way until n bytes are about to be free,
// if there are enough of them. The caller holds mu.
func (q *Quota) makeRoom(self *conn, n int64) {
	for n > 0 {
		c := q.slowest(time.Now(), arriving, unread, idle)
		if c == nil || c == self {
			return
		}
		n -= connMemory + c.headHeld + c.bodyHeld
		if c.phase == body {
			q.stopReading(c)
		} else {
			q.evict(c)
		}
	}
}

// stopReading ends the reading of a body, so that its request is refused. The caller
// holds mu.
func (q *Quota) stopReading(c *conn) {
	c.evicted = true
	q.evictions.Inc(1)
	q.logPressure("body_evicted")
	_ = c.SetReadDeadline(past)
}

// Shrink gives n bytes back.
func (h *Hold) Shrink(n int64) {
	h.quota.mu.Lock()
	defer h.quota.mu.Unlock()
	h.bytes -= n
	h.quota.giveBack(n)
}

// Release gives all bytes back.
func (h *Hold) Release() {
	if h != nil {
		h.Shrink(h.bytes)
	}
}
