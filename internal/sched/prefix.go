package sched

import (
	"slices"
	"time"

	"github.com/verbenapier/verbenapier/internal/engine"
)

const (
	// maxEnginePrefixes bounds the prefixes remembered for one engine,
	// maxPrefixEngines the engines remembered for one prefix.
	maxEnginePrefixes = 4096
	maxPrefixEngines  = 4
	// maxPrefixAge is how long a prefix is expected to stay cached after the last
	// event or grant that stored it.
	maxPrefixAge = 5 * time.Minute
	// gapWeight is the fraction of a prefix that is expected to be cached after a
	// gap in the events. The event of its eviction may have been lost in the gap.
	gapWeight = 0.5
	// blockTokens is the estimated number of tokens in the shortest prefix of
	// Request.Prefixes, which has 4 KiB.
	blockTokens = 1024

	kindStored  = "stored"
	kindEvicted = "evicted"
)

// prefixIndex records which engines are expected to cache which prefixes. Cache
// events are late and have gaps, so an entry may be wrong; a release that reports
// far fewer cached tokens than expected removes entries.
type prefixIndex struct {
	entries map[string][]prefixEntry
}

// prefixEntry is a prefix that an engine is expected to cache. gaps is the number
// of gaps in the engine's events when the entry was recorded.
type prefixEntry struct {
	engine     *engineState
	tokens     int
	gaps       int
	recordedAt time.Time
}

// enginePrefixes is the part of the index that belongs to one engine.
type enginePrefixes struct {
	// lastSeq is the sequence number of the last event, gaps the number of gaps
	// in the events so far.
	lastSeq uint64
	gaps    int
	// hashes lists the hashes in the order in which they were recorded. The
	// oldest is removed first.
	hashes []string
}

func newPrefixIndex() *prefixIndex { return &prefixIndex{entries: map[string][]prefixEntry{}} }

// record adds a prefix to the index or updates its entry for the engine.
func (x *prefixIndex) record(e *engineState, hash string, tokens int, now time.Time) {
	list := x.entries[hash]
	entry := prefixEntry{e, tokens, e.prefixes.gaps, now}
	if i := slices.IndexFunc(list, func(p prefixEntry) bool { return p.engine == e }); i >= 0 {
		list[i] = entry
		return
	}
	if len(list) >= maxPrefixEngines {
		list = list[1:]
	}
	x.entries[hash] = append(list, entry)
	e.prefixes.hashes = append(e.prefixes.hashes, hash)
	if len(e.prefixes.hashes) > maxEnginePrefixes {
		x.remove(e, e.prefixes.hashes[0])
		e.prefixes.hashes = e.prefixes.hashes[1:]
	}
}

// remove removes the entry of a prefix for the engine.
func (x *prefixIndex) remove(e *engineState, hash string) {
	list := slices.DeleteFunc(x.entries[hash], func(p prefixEntry) bool { return p.engine == e })
	if x.entries[hash] = list; len(list) == 0 {
		delete(x.entries, hash)
	}
}

// removeEngine removes all prefixes of an engine.
func (x *prefixIndex) removeEngine(e *engineState) {
	for _, hash := range e.prefixes.hashes {
		x.remove(e, hash)
	}
	e.prefixes = enginePrefixes{}
}

// apply processes cache events of an engine. Repeated events are ignored.
func (x *prefixIndex) apply(e *engineState, events []engine.CacheEvent, now time.Time) {
	for _, ev := range events {
		if ev.Seq <= e.prefixes.lastSeq {
			continue
		}
		if e.prefixes.lastSeq != 0 && ev.Seq != e.prefixes.lastSeq+1 {
			e.prefixes.gaps++
		}
		e.prefixes.lastSeq = ev.Seq
		switch ev.Kind {
		case kindStored:
			x.record(e, ev.Prefix, ev.Tokens, now)
		case kindEvicted:
			x.remove(e, ev.Prefix)
		}
	}
}

// recordExpected records the prefixes that a granted request will leave in the
// engine's cache.
func (x *prefixIndex) recordExpected(e *engineState, t *ticket, now time.Time) {
	for i, hash := range t.req.Prefixes {
		x.record(e, hash, min(blockTokens<<i, t.req.PromptTokens), now)
	}
}

// cachedTokens is the number of prompt tokens that are expected in the engine's
// cache.
func (x *prefixIndex) cachedTokens(e *engineState, prefixes []string, now time.Time) int {
	for _, hash := range slices.Backward(prefixes) {
		for _, p := range x.entries[hash] {
			if p.engine == e && now.Sub(p.recordedAt) < maxPrefixAge {
				return p.expectedTokens()
			}
		}
	}
	return 0
}

// expectedTokens is the length of the prefix, reduced if there was a gap in the
// engine's events since the entry was recorded.
func (p prefixEntry) expectedTokens() int {
	if p.gaps != p.engine.prefixes.gaps {
		return int(gapWeight * float64(p.tokens))
	}
	return p.tokens
}

// longestMatch returns the entries of the longest prefix that any engine is
// expected to cache.
func (x *prefixIndex) longestMatch(prefixes []string) []prefixEntry {
	for _, hash := range slices.Backward(prefixes) {
		if list := x.entries[hash]; len(list) > 0 {
			return list
		}
	}
	return nil
}
