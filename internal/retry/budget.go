// Package retry limits the retries of requests, so that a failing service is not
// overloaded by them.
package retry

import (
	"sync"
	"time"
)

// bucketCount is the number of buckets in a window. A request or retry counts until
// the whole bucket that contains it is older than the window.
const bucketCount = 10

// Budget limits the retries that one node sends. Over all nodes, the retries for
// a service within a sliding window must not exceed ratio times its requests plus
// the allowance. Each node uses the ratio of the requests that callers sent to it
// and an equal part of the allowance, so that the sum stays within the limit
// without coordination.
type Budget struct {
	window    time.Duration
	ratio     float64
	allowance int
	nodes     func() int

	mu       sync.Mutex
	services map[string]*bucketCounts
}

// bucketCounts are the counts of a service in a ring of buckets. currentBucket is
// the number of the latest bucket, counted in bucket lengths since the Unix epoch.
type bucketCounts struct {
	requests, retries [bucketCount + 1]int
	currentBucket     int64
}

// safetyFactor is the part of the limit that is used. Engines may receive a retry
// late and count it in a later window than the node that sent it. Such retries add
// to those that the nodes send in the later window.
const safetyFactor = 0.7

// New returns a budget. The function nodes returns the number of nodes that share
// the allowance.
func New(ratio float64, allowance int, window time.Duration, nodes func() int) *Budget {
	return &Budget{window: window, ratio: ratio, allowance: allowance, nodes: nodes, services: map[string]*bucketCounts{}}
}

// Request counts a request for a service.
func (b *Budget) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(service)
	c.requests[c.index()]++
}

// Take reports whether a request for a service may be retried, and counts the
// retry if so.
func (b *Budget) Take(service string) bool {
	nodes := max(1, b.nodes())
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(service)
	requests, retries := 0, 0
	for i := range c.requests {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	bound := safetyFactor * (b.ratio*float64(requests) + float64(b.allowance)/float64(nodes))
	if float64(retries+1) > bound {
		return false
	}
	c.retries[c.index()]++
	return true
}

// advance moves the window of a service to the present: it clears expired buckets
// and returns the counts. The caller holds mu.
func (b *Budget) advance(service string) *bucketCounts {
	c := b.services[service]
	if c == nil {
		c = &bucketCounts{}
		b.services[service] = c
	}
	now := time.Now().UnixNano() / int64(b.window/bucketCount)
	for n := max(c.currentBucket+1, now-bucketCount); n <= now; n++ {
		c.requests[n%(bucketCount+1)], c.retries[n%(bucketCount+1)] = 0, 0
	}
	c.currentBucket = max(c.currentBucket, now)
	return c
}

// index returns the index of the current bucket.
func (c *bucketCounts) index() int64 { return c.currentBucket % (bucketCount + 1) }
