package batch

import (
	"container/list"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenapier/verbenapier/emul/internal/reply"
)

// blockBytes is the size of a cached block in prompt bytes. The length of a cached
// prefix is a multiple of it.
const blockBytes = 4096

// blockTokens is the memory of one cached block in tokens.
const blockTokens = blockBytes / reply.BytesPerToken

// block is the KV cache of one block of a prompt. It is pinned while refs is
// above 0, and can be evicted otherwise.
type block struct {
	hash         uint64 // of the prefix that ends with the block
	organisation string
	prefixTokens int           // length of the prefix that ends with the block
	parent       uint64        // hash of the previous block, 0 for the first
	refs         int           // streams, imports and exports that use the block
	idle         *list.Element // position in cache.idle, nil while pinned
}

// cache is the prefix cache. Its blocks are shared by the streams of one
// organisation.
type cache struct {
	blocks   map[uint64]*block
	idle     *list.List                  // of *block, least recently used first
	pinned   int                         // number of pinned blocks
	onChange func(kind string, b *block) // kind is stored or evicted
}

func newCache(onChange func(kind string, b *block)) *cache {
	return &cache{blocks: map[uint64]*block{}, idle: list.New(), onChange: onChange}
}

// prefixHashes returns the hash of each prefix whose length is a multiple of
// blockBytes. The hash covers the organisation, so that organisations share no
// blocks.
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

// formatHash returns a hash in the form used by the engine protocol.
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

// idleTokensOf returns the number of tokens in the blocks with these hashes that are
// cached and not pinned.
func (c *cache) idleTokensOf(hashes []uint64) int {
	n := 0
	for _, h := range hashes {
		if b := c.blocks[h]; b != nil && b.refs == 0 {
			n += blockTokens
		}
	}
	return n
}

// pin adds a reference to each block. All must be cached.
func (c *cache) pin(hashes []uint64) {
	for _, h := range hashes {
		b := c.blocks[h]
		if b.refs == 0 {
			c.idle.Remove(b.idle)
			b.idle = nil
			c.pinned++
		}
		b.refs++
	}
}

// unpin removes a reference from each block. It starts with the last block, which
// becomes the least recently used, so that a prefix is evicted from its end.
func (c *cache) unpin(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		b := c.blocks[hashes[i]]
		b.refs--
		if b.refs == 0 {
			b.idle = c.idle.PushBack(b)
			c.pinned--
		}
	}
}

// store pins the block hashes[index], and adds it first if it is not cached.
// hashes begin with the first block of a prompt.
func (c *cache) store(organisation string, hashes []uint64, index int) {
	hash := hashes[index]
	if c.blocks[hash] != nil {
		c.pin([]uint64{hash})
		return
	}
	b := &block{hash: hash, organisation: organisation, prefixTokens: (index + 1) * blockTokens, refs: 1}
	if index > 0 {
		b.parent = hashes[index-1]
	}
	c.blocks[hash] = b
	c.pinned++
	c.onChange("stored", b)
}

// prefixBlocks returns the hashes of the blocks of the prefix that ends with a
// block, first block first, or nil if one of them is not cached.
func (c *cache) prefixBlocks(hash uint64) []uint64 {
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

// evict removes the least recently used block that is not pinned. It returns
// false if there is none.
func (c *cache) evict() bool {
	front := c.idle.Front()
	if front == nil {
		return false
	}
	b := c.idle.Remove(front).(*block)
	delete(c.blocks, b.hash)
	c.onChange("evicted", b)
	return true
}

func (c *cache) pinnedTokens() int { return c.pinned * blockTokens }
func (c *cache) idleTokens() int   { return c.idle.Len() * blockTokens }
