package plat

import (
	"maps"
	"net/http"
	"strings"
	"sync"

	"golang.org/x/time/rate"
)

// callLimiter counts the calls of each kind, and limits the rates of reads and of
// writes.
type callLimiter struct {
	reads, writes *rate.Limiter

	mu      sync.Mutex
	total   map[string]uint64 // all calls by kind, refused ones included
	refused map[string]uint64 // refused calls by kind
}

func newCallLimiter(readRate, writeRate float64) *callLimiter {
	return &callLimiter{
		reads: newLimiter(readRate), writes: newLimiter(writeRate),
		total: map[string]uint64{}, refused: map[string]uint64{},
	}
}

// newLimiter returns a limiter for a number of calls per second, or one without a
// limit if the number is 0 or less. The calls of one second may come in one burst.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// callKind returns the kind of a call, or an empty string for a call that is neither
// counted nor limited: tests change the host list and read statistics by such calls.
func callKind(r *http.Request) string {
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

// admit counts a call and returns false if it exceeds the rate limit.
func (l *callLimiter) admit(kind string) bool {
	limiter := l.reads
	switch kind {
	case "":
		return true
	case "put", "delete", "lease", "renew":
		limiter = l.writes
	}
	ok := limiter.Allow()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total[kind]++
	if !ok {
		l.refused[kind]++
	}
	return ok
}

// counts returns the numbers of all calls and of the refused calls of each kind.
func (l *callLimiter) counts() (total, refused map[string]uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.total), maps.Clone(l.refused)
}
