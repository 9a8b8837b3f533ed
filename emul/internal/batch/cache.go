package batch

import (
	"container/list"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenapier/verbenapier/emul/internal/reply"
)

// blockBytes is the interval of prompt bytes at which prefixes are cached.
const blockBytes = 4096

// blockTokens is the memory of one cached block.
const blockTokens = blockBytes / reply.BytesPerToken

// block is the last part of a cached prefix. A block with users is pinned.
type block struct {
	hash         uint64
	organisation string
	length       int    // tokens of the prefix that ends with the block
	parent       uint64 // hash of the block before, 0 for the first
	users        int
	idle         *list.Element // position in cache.idle, nil while pinned
}

// cache holds prefix blocks, shared by the streams of one organisation.
type cache struct {
	blocks map[uint64]*block
	idle   *list.List // of *block, least recently used first
	pinned int        // blocks with users
	notify func(kind string, b *block)
}

func newCache(notify func(kind string, b *block)) *cache {
	return &cache{blocks: map[uint64]*block{}, idle: list.New(), notify: notify}
}

// prefixHashes returns the hash of each prefix at a multiple of blockBytes.
func prefixHashes(organisation, prompt string) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	digest := xxhash.New()
	_, _ = digest.WriteString(organisation)
	_, _ = digest.Write([]byte{0})
	for ; len(prompt) >= blockBytes; prompt = prompt[blockBytes:] {
		_, _ = digest.WriteString(prompt[:blockBytes])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// formatHash returns a hash in the form of the interface.
func formatHash(hash uint64) string {
	return fmt.Sprintf("%016x", hash)
}

// match returns how many leading blocks of hashes are cached.
func (c *cache) match(hashes []uint64) int {
	for i, h := range hashes {
		if c.blocks[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// idleAmong returns the tokens of the cached blocks of hashes without users.
func (c *cache) idleAmong(hashes []uint64) int {
	n := 0
	for _, h := range hashes {
		if b := c.blocks[h]; b != nil && b.users == 0 {
			n += blockTokens
		}
	}
	return n
}

// pin adds a user to the cached blocks of hashes.
func (c *cache) pin(hashes []uint64) {
	for _, h := range hashes {
		b := c.blocks[h]
		if b.users == 0 {
			c.idle.Remove(b.idle)
			b.idle = nil
			c.pinned++
		}
		b.users++
	}
}

// unpin removes a user. The last block becomes the least recently used, so that
// a prefix is evicted from its end.
func (c *cache) unpin(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		b := c.blocks[hashes[i]]
		b.users--
		if b.users == 0 {
			b.idle = c.idle.PushBack(b)
			c.pinned--
		}
	}
}

// store gives the block at index of hashes a user, and adds the block if it is
// not cached.
func (c *cache) store(organisation string, hashes []uint64, index int) {
	hash := hashes[index]
	if c.blocks[hash] != nil {
		c.pin([]uint64{hash})
		return
	}
	b := &block{hash: hash, organisation: organisation, length: (index + 1) * blockTokens, users: 1}
	if index > 0 {
		b.parent = hashes[index-1]
	}
	c.blocks[hash] = b
	c.pinned++
	c.notify("stored", b)
}

// chain returns the hashes of the prefix that ends with a block, or nil if a
// part of it is not cached.
func (c *cache) chain(hash uint64) []uint64 {
	var hashes []uint64
	for hash != 0 {
		b := c.blocks[hash]
		if b == nil {
			return nil
		}
		hashes = append(hashes, hash)
		hash = b.parent
	}
	slices.Reverse(hashes)
	return hashes
}

// evict removes the least recently used block without users.
func (c *cache) evict() bool {
	front := c.idle.Front()
	if front == nil {
		return false
	}
	b := c.idle.Remove(front).(*block)
	delete(c.blocks, b.hash)
	c.notify("evicted", b)
	return true
}

func (c *cache) pinnedTokens() int { return c.pinned * blockTokens }
func (c *cache) idleTokens() int   { return c.idle.Len() * blockTokens }
