package feed

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

func newFeed() *Feed {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(log)
}

// history simulates the platform's store: all changes in order, each of which
// raises the revision by one.
type history struct{ changes []Item }

func (h *history) revision() uint64 { return uint64(len(h.changes)) }

func (h *history) write(key string, deleted bool) {
	h.changes = append(h.changes, Item{Key: key, Value: fmt.Appendf(nil, "%d", len(h.changes)+1), Revision: h.revision() + 1, Deleted: deleted})
}

// liveAt returns the live keys at a revision with the revisions of their values.
func (h *history) liveAt(at uint64) map[string]uint64 {
	keys := map[string]uint64{}
	for _, c := range h.changes[:at] {
		if c.Deleted {
			delete(keys, c.Key)
		} else {
			keys[c.Key] = c.Revision
		}
	}
	return keys
}

// list returns the complete batch at a revision.
func (h *history) list(at uint64) Batch {
	b := Batch{Revision: at, Complete: true}
	for key, revision := range h.liveAt(at) {
		b.Items = append(b.Items, Item{Key: key, Revision: revision, Value: h.changes[revision-1].Value})
	}
	return b
}

// watch returns the changes after one revision up to another.
func (h *history) watch(after, at uint64) Batch {
	return Batch{Revision: at, Items: h.changes[after:at]}
}

// Guards against a copy that goes back to an older value, restores a deleted
// key or misses a change. Batches from lists, watches and peers are applied in
// random order; the reference is the whole history.
func TestCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{}
		feeds := []*Feed{newFeed(), newFeed(), newFeed()}
		seen := make([]map[string]uint64, len(feeds))
		for i := range seen {
			seen[i] = map[string]uint64{}
		}
		check := func() {
			for i, f := range feeds {
				f.mu.Lock()
				for key, r := range f.items {
					require.GreaterOrEqual(t, r.Revision, seen[i][key], "feed %d, key %s", i, key)
					seen[i][key] = r.Revision
				}
				f.mu.Unlock()
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			f := feeds[rapid.IntRange(0, len(feeds)-1).Draw(t, "feed")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				h.write(string(rune('a'+rapid.IntRange(0, 4).Draw(t, "key"))), rapid.Bool().Draw(t, "deleted"))
			case 1:
				// A list may be outdated when it is applied.
				f.Apply(h.list(uint64(rapid.IntRange(0, int(h.revision())).Draw(t, "at"))), time.Now())
			case 2:
				at := f.Revision()
				f.Apply(h.watch(at, uint64(rapid.IntRange(int(at), int(h.revision())).Draw(t, "until"))), time.Now())
			case 3:
				from := feeds[rapid.IntRange(0, len(feeds)-1).Draw(t, "peer")]
				if from.Revision() > 0 {
					f.Apply(from.changesSince(f.Revision()), time.Now())
				}
			}
			check()
		}
		for _, f := range feeds {
			f.Apply(h.list(h.revision()), time.Now())
			live := map[string]uint64{}
			for key, e := range f.Live() {
				live[key] = e.Revision
			}
			require.Equal(t, h.liveAt(h.revision()), live)
		}
	})
}

// Guards against a copy that counts as up to date because an old reply arrived
// late, and against a node without a copy that replies to peers with an empty
// batch instead of an error.
func TestAge(t *testing.T) {
	f := newFeed()
	_, err := f.waitForChanges(context.Background(), 0, time.Millisecond)
	require.True(t, fault.Is(err, fault.NoConfig))
	now := time.Now()
	f.Apply(Batch{Revision: 5, Complete: true, Items: []Item{{Key: "k", Revision: 5}}}, now)
	f.Apply(Batch{Revision: 3}, now.Add(time.Hour))
	require.Less(t, time.Since(f.syncedAt), time.Minute)
	require.GreaterOrEqual(t, f.Age(), time.Duration(0), "an old reply must not make the copy newer")
	f.Apply(Batch{Revision: 6, Age: 10 * time.Second}, now)
	require.Equal(t, now, f.syncedAt, "an older batch of a peer must not make the copy older")
}
