package plat

import (
	"maps"
	"net/http"
	"strings"
	"sync"

	"golang.org/x/time/rate"
)

// calls counts the calls of each kind and limits their rates.
type calls struct {
	reads, writes *rate.Limiter

	mu      sync.Mutex
	counts  map[string]uint64
	refused map[string]uint64
}

func newCalls(readRate, writeRate float64) *calls {
	return &calls{
		reads: limiter(readRate), writes: limiter(writeRate),
		counts: map[string]uint64{}, refused: map[string]uint64{},
	}
}

// limiter allows a burst of one second; a rate of 0 is unlimited.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// kind returns the kind of a call, or an empty string for a call that tests
// make and that is neither counted nor limited.
func kind(r *http.Request) string {
	path := r.URL.Path
	switch {
	case path == "/hosts" && r.Method == http.MethodGet:
		return "hosts"
	case path == "/watch":
		return "watch"
	case path == "/kv":
		return "list"
	case strings.HasPrefix(path, "/kv/"):
		return strings.ToLower(r.Method)
	case strings.HasPrefix(path, "/leases/") && strings.HasSuffix(path, "/renew"):
		return "renew"
	case strings.HasPrefix(path, "/leases"):
		return "lease"
	case strings.HasPrefix(path, "/weights/"):
		return "weights"
	}
	return ""
}

// admit counts a call and returns false if it exceeds the rate.
func (c *calls) admit(kind string) bool {
	limit := c.reads
	switch kind {
	case "":
		return true
	case "put", "delete", "lease", "renew":
		limit = c.writes
	}
	ok := limit.Allow()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[kind]++
	if !ok {
		c.refused[kind]++
	}
	return ok
}

func (c *calls) totals() (counts, refused map[string]uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts), maps.Clone(c.refused)
}
