// Package retry bounds the second attempts of requests, so that a failing
// service is not buried under repeats.
package retry

import (
	"sync"
	"time"
)

// buckets divide a window; an attempt counts until its whole bucket is older
// than the window.
const buckets = 10

// Budget bounds the second attempts of one node. The bound on a service over
// all nodes is ratio x its requests + an allowance within a window that slides.
// Each node takes the ratio of the requests it entered itself, and an equal
// part of the allowance, so that the sum holds without asking each other.
type Budget struct {
	window    time.Duration
	ratio     float64
	allowance int
	nodes     func() int

	mu       sync.Mutex
	services map[string]*counts
}

type counts struct {
	requests, repeats [buckets + 1]int
	at                int64
}

// margin is the part of the bound that is used: repeats that engines receive
// late count in a later window than here.
const margin = 0.7

// New returns a budget. Nodes returns the number of nodes that share the
// allowance.
func New(ratio float64, allowance int, window time.Duration, nodes func() int) *Budget {
	return &Budget{window: window, ratio: ratio, allowance: allowance, nodes: nodes, services: map[string]*counts{}}
}

// Request counts a request for a service.
func (b *Budget) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.current(service)
	c.requests[c.slot()]++
}

// Take reports whether a request may be sent once more, and counts that.
func (b *Budget) Take(service string) bool {
	nodes := max(1, b.nodes())
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.current(service)
	requests, repeats := 0, 0
	for i := range c.requests {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	bound := margin * (b.ratio*float64(requests) + float64(b.allowance)/float64(nodes))
	if float64(repeats+1) > bound {
		return false
	}
	c.repeats[c.slot()]++
	return true
}

// current returns the counts of a service with expired buckets cleared. The
// caller holds mu.
func (b *Budget) current(service string) *counts {
	c := b.services[service]
	if c == nil {
		c = &counts{}
		b.services[service] = c
	}
	now := time.Now().UnixNano() / int64(b.window/buckets)
	for n := max(c.at+1, now-buckets); n <= now; n++ {
		c.requests[n%(buckets+1)], c.repeats[n%(buckets+1)] = 0, 0
	}
	c.at = max(c.at, now)
	return c
}

func (c *counts) slot() int64 { return c.at % (buckets + 1) }
