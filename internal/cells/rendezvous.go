// Package cells groups engines into cells. By rendezvous hashing it chooses the
// owners of cells, of the shards into which the claims of a service are divided, and
// of organisations' limits.
package cells

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// score is the rendezvous hash of a key and a candidate: the xxhash64 of the
// key, a zero byte and the candidate's name.
func score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Highest returns the candidate with the highest rendezvous hash for a key.
// The second result is false when there are no candidates. Among candidates with
// equal hashes, the one with the highest name is chosen, so that every node picks
// the same one.
func Highest[T any](key string, candidates []T, name func(T) string) (T, bool) {
	var best T
	var bestScore uint64
	found := false
	for _, c := range candidates {
		s := score(key, name(c))
		if !found || s > bestScore || s == bestScore && name(c) > name(best) {
			best, bestScore, found = c, s, true
		}
	}
	return best, found
}

// Rank returns the candidates in descending order of their rendezvous hash
// for a key. Candidates with equal hashes are in descending order of their names.
func Rank[T any](key string, candidates []T, name func(T) string) []T {
	type scored struct {
		value T
		score uint64
	}
	all := make([]scored, len(candidates))
	for i, c := range candidates {
		all[i] = scored{c, score(key, name(c))}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(name(b.value), name(a.value)))
	})
	out := make([]T, len(all))
	for i, s := range all {
		out[i] = s.value
	}
	return out
}
