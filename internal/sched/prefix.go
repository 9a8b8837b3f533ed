package sched

import (
	"slices"
	"time"

	"github.com/verbenapier/verbenapier/internal/engine"
)

const (
	// maxSlotPrefixes bounds the prefixes remembered for one engine and
	// maxPrefixSlots the engines remembered for one prefix.
	maxSlotPrefixes = 4096
	maxPrefixSlots  = 4
	// prefixAge is how long a prefix is expected to stay cached without news.
	prefixAge = 5 * time.Minute
	// gapTrust is the weight of a prefix that may have been evicted in a gap
	// of the events.
	gapTrust = 0.5
	// blockTokens is the length of the shortest prefix in a request.
	blockTokens = 1024

	kindStored  = "stored"
	kindEvicted = "evicted"
)

// prefixIndex knows which engines cache which prefixes. Events are late and
// have gaps, so an entry is a guess that releases correct.
type prefixIndex struct {
	entries map[string][]prefixEntry
}

type prefixEntry struct {
	slot   *slot
	tokens int
	gap    int
	at     time.Time
}

// slotPrefixes is the part of the index that belongs to one engine.
type slotPrefixes struct {
	// seq is the last event, gaps counts the gaps seen.
	seq  uint64
	gaps int
	// known lists hashes in order of arrival for eviction.
	known []string
}

func newPrefixIndex() *prefixIndex { return &prefixIndex{entries: map[string][]prefixEntry{}} }

func (x *prefixIndex) store(e *slot, hash string, tokens int, now time.Time) {
	list := x.entries[hash]
	entry := prefixEntry{e, tokens, e.prefixes.gaps, now}
	if i := slices.IndexFunc(list, func(p prefixEntry) bool { return p.slot == e }); i >= 0 {
		list[i] = entry
		return
	}
	if len(list) >= maxPrefixSlots {
		list = list[1:]
	}
	x.entries[hash] = append(list, entry)
	e.prefixes.known = append(e.prefixes.known, hash)
	if len(e.prefixes.known) > maxSlotPrefixes {
		x.drop(e, e.prefixes.known[0])
		e.prefixes.known = e.prefixes.known[1:]
	}
}

func (x *prefixIndex) drop(e *slot, hash string) {
	list := slices.DeleteFunc(x.entries[hash], func(p prefixEntry) bool { return p.slot == e })
	if x.entries[hash] = list; len(list) == 0 {
		delete(x.entries, hash)
	}
}

// forget removes all prefixes of a lost engine.
func (x *prefixIndex) forget(e *slot) {
	for _, hash := range e.prefixes.known {
		x.drop(e, hash)
	}
	e.prefixes = slotPrefixes{}
}

// apply takes over events. Repeated ones are ignored.
func (x *prefixIndex) apply(e *slot, events []engine.CacheEvent, now time.Time) {
	for _, ev := range events {
		if ev.Seq <= e.prefixes.seq {
			continue
		}
		if e.prefixes.seq != 0 && ev.Seq != e.prefixes.seq+1 {
			e.prefixes.gaps++
		}
		e.prefixes.seq = ev.Seq
		switch ev.Kind {
		case kindStored:
			x.store(e, ev.Prefix, ev.Tokens, now)
		case kindEvicted:
			x.drop(e, ev.Prefix)
		}
	}
}

// expect notes the prefixes that a granted request will leave in the cache.
func (x *prefixIndex) expect(e *slot, t *ticket, now time.Time) {
	for i, hash := range t.req.Prefixes {
		x.store(e, hash, min(blockTokens<<i, t.req.PromptTokens), now)
	}
}

// cached is the number of prompt tokens expected in the engine's cache.
func (x *prefixIndex) cached(e *slot, prefixes []string, now time.Time) int {
	for _, hash := range slices.Backward(prefixes) {
		for _, p := range x.entries[hash] {
			if p.slot == e && now.Sub(p.at) < prefixAge {
				return p.trusted()
			}
		}
	}
	return 0
}

func (p prefixEntry) trusted() int {
	if p.gap != p.slot.prefixes.gaps {
		return int(gapTrust * float64(p.tokens))
	}
	return p.tokens
}

// candidates returns the engines that cache the longest known prefix.
func (x *prefixIndex) candidates(prefixes []string) []prefixEntry {
	for _, hash := range slices.Backward(prefixes) {
		if list := x.entries[hash]; len(list) > 0 {
			return list
		}
	}
	return nil
}
