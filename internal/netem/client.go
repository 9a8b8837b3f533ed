package netem

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// hostSize is the assumed size of an entry of the host list in bytes.
const hostSize = 200

// Client is a node's access to a Store.
type Client struct {
	store *Store
	// node is nil for a client without a node, which is never paused or killed.
	node *Endpoint

	mu     sync.Mutex
	random *rand.Rand
	// cut is set while this client alone cannot reach the platform.
	cut   bool
	calls Calls
	// bytes counts the bytes sent and received.
	bytes int64
}

var (
	_ plat.Store      = (*Client)(nil)
	_ plat.HostLister = (*Client)(nil)
)

// SetCut sets whether this client alone is cut off from the platform. Calls of a
// client that is cut off fail with PlatformDown.
func (c *Client) SetCut(cut bool) {
	c.mu.Lock()
	c.cut = cut
	c.mu.Unlock()
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.notify()
}

// Calls returns the numbers of calls that this client has made.
func (c *Client) Calls() Calls {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// Bytes returns the number of bytes of keys and values that this client has sent
// and received, including the envelopes of its calls.
func (c *Client) Bytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes
}

// addBytes adds size to the number of bytes sent and received.
func (c *Client) addBytes(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytes += int64(size)
}

// Get returns the entry of a key. The error is NotFound if there is none.
func (c *Client) Get(ctx context.Context, key string) (plat.Entry, error) {
	var entry plat.Entry
	err := c.read(ctx, func(n *Calls) { n.Get++ }, func() error {
		var ok bool
		if entry, ok = c.store.entries[key]; !ok {
			return fault.New(fault.NotFound, "no key %s", key)
		}
		entry.Value = slices.Clone(entry.Value)
		c.addBytes(len(key) + len(entry.Value))
		return nil
	})
	return entry, err
}

// List returns the entries under prefix in key order.
func (c *Client) List(ctx context.Context, prefix string) ([]plat.Entry, error) {
	var entries []plat.Entry
	err := c.read(ctx, func(n *Calls) { n.List++ }, func() error {
		for key, entry := range c.store.entries {
			if strings.HasPrefix(key, prefix) {
				entry.Value = slices.Clone(entry.Value)
				entries = append(entries, entry)
				c.addBytes(len(key) + len(entry.Value))
			}
		}
		return nil
	})
	slices.SortFunc(entries, func(a, b plat.Entry) int { return strings.Compare(a.Key, b.Key) })
	return entries, err
}

// Hosts returns the list of hosts.
func (c *Client) Hosts(ctx context.Context) ([]plat.Host, error) {
	var hosts []plat.Host
	err := c.read(ctx, func(n *Calls) { n.Hosts++ }, func() error {
		hosts = slices.Clone(c.store.hosts)
		c.addBytes(len(hosts) * hostSize)
		return nil
	})
	return hosts, err
}

// Put replaces a value by compare-and-swap.
func (c *Client) Put(ctx context.Context, key string, value []byte, base plat.Revision) (plat.Revision, error) {
	var revision plat.Revision
	err := c.write(ctx, func(n *Calls) { n.Put++ }, func() (err error) {
		c.addBytes(len(key) + len(value))
		revision, err = c.store.put(key, value, base)
		return err
	})
	return revision, err
}

// Delete removes a key by compare-and-swap.
func (c *Client) Delete(ctx context.Context, key string, base plat.Revision) error {
	return c.write(ctx, func(n *Calls) { n.Delete++ }, func() error {
		return c.store.delete(key, base)
	})
}

// Watch waits, at most 30 s, until a key under prefix has a revision above after,
// and returns the highest revision under prefix.
func (c *Client) Watch(ctx context.Context, prefix string, after plat.Revision) (plat.Revision, error) {
	if err := c.begin(ctx, func(n *Calls) { n.Watch++ }); err != nil {
		return 0, err
	}
	s := c.store
	s.mu.Lock()
	s.waiting++
	s.mu.Unlock()
	highest, err := c.wait(ctx, prefix, after)
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return highest, c.end(ctx)
}

// wait blocks until a key under prefix has a revision above after, or for maxWait,
// and returns the highest revision under prefix.
func (c *Client) wait(ctx context.Context, prefix string, after plat.Revision) (plat.Revision, error) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for {
		if err := c.reachable(ctx); err != nil {
			return 0, err
		}
		c.store.mu.Lock()
		top, changed := c.store.highest(prefix), c.store.changed
		c.store.mu.Unlock()
		if top > after {
			return top, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return top, nil
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// read simulates a call that reads. It calls get under the lock of the store and
// returns its error. The function count increments the counter of the call.
func (c *Client) read(ctx context.Context, count func(*Calls), get func() error) error {
	if err := c.begin(ctx, count); err != nil {
		return err
	}
	c.store.mu.Lock()
	result := get()
	c.store.mu.Unlock()
	if err := c.end(ctx); err != nil {
		return err
	}
	return result
}

// write simulates a call that writes. It calls effect under the lock of the store
// and returns the error of effect, or ReplyLost when the reply is lost. If the
// context ends before the write reaches a platform that is up, the write is applied
// with a probability of 0.5.
func (c *Client) write(ctx context.Context, count func(*Calls), effect func() error) error {
	applied := true
	err := c.begin(ctx, count)
	if err != nil {
		if fault.Is(err, fault.PlatformDown) || !c.chance(0.5) {
			applied = false
		}
		if c.reachable(ctx) != nil {
			applied = false
		}
	}
	var result error
	if applied {
		c.store.mu.Lock()
		result = effect()
		c.store.mu.Unlock()
	}
	if err != nil {
		if fault.Is(err, fault.PlatformDown) {
			return err
		}
		return fault.Wrap(fault.ReplyLost, err, "context ended before the platform answered the write")
	}
	c.store.mu.Lock()
	loss := c.store.loss
	c.store.mu.Unlock()
	if c.end(ctx) != nil || c.chance(loss) {
		return fault.New(fault.ReplyLost, "reply of the platform lost")
	}
	return result
}

// begin counts the call and simulates the delay of the request: half the latency,
// and any time for which the platform is silent.
func (c *Client) begin(ctx context.Context, count func(*Calls)) error {
	if err := c.waitRunning(); err != nil {
		return err
	}
	c.mu.Lock()
	count(&c.calls)
	c.bytes += 2 * headerSize
	c.mu.Unlock()
	c.store.mu.Lock()
	count(&c.store.calls)
	latency := c.store.latency
	c.store.mu.Unlock()
	if err := sleep(ctx, latency/2); err != nil {
		return err
	}
	return c.reachable(ctx)
}

// end simulates the delay of the reply: the other half of the latency.
func (c *Client) end(ctx context.Context) error {
	c.store.mu.Lock()
	latency := c.store.latency
	c.store.mu.Unlock()
	err := sleep(ctx, latency/2)
	if endErr := c.waitRunning(); endErr != nil {
		return endErr
	}
	return err
}

// reachable returns nil if the platform is up, and PlatformDown if it is down or
// this client is cut off. It blocks while the platform is silent.
func (c *Client) reachable(ctx context.Context) error {
	for {
		c.mu.Lock()
		cut := c.cut
		c.mu.Unlock()
		c.store.mu.Lock()
		mode, changed := c.store.mode, c.store.changed
		c.store.mu.Unlock()
		switch {
		case mode == Down || cut:
			return fault.New(fault.PlatformDown, "platform down")
		case mode == Up:
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.Wrap(fault.PlatformDown, ctx.Err(), "platform silent")
		}
	}
}

// waitRunning blocks while the client's node is paused and fails when the node has
// ended.
func (c *Client) waitRunning() error {
	if c.node == nil {
		return nil
	}
	return c.node.waitRunning()
}

// chance reports true with probability p.
func (c *Client) chance(p float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64() < p
}
