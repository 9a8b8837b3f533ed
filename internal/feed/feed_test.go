package feed

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
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

// history simulates an era of the platform's store: all changes in order, each of which
// raises the revision by one.
type history struct {
	era     uint64
	changes []Item
}

func (h *history) revision() uint64 { return uint64(len(h.changes)) }

func (h *history) write(key string, deleted bool) {
	h.changes = append(h.changes, Item{
		Key: key, Value: fmt.Appendf(nil, "%d/%d", h.era, h.revision()+1), Revision: h.revision() + 1, Deleted: deleted,
	})
}

// comeBack returns the era that begins when the store comes back from a copy.
func (h *history) comeBack(at uint64) *history {
	return &history{era: h.era + 1, changes: slices.Clone(h.changes[:at])}
}

// liveAt returns the live keys at a revision with their values.
func (h *history) liveAt(at uint64) map[string]string {
	keys := map[string]string{}
	for _, c := range h.changes[:at] {
		if c.Deleted {
			delete(keys, c.Key)
		} else {
			keys[c.Key] = string(c.Value)
		}
	}
	return keys
}

// list returns the complete batch at a revision.
func (h *history) list(at uint64) Batch {
	b := Batch{Version: Version{h.era, at}, Complete: true}
	listed := map[string]bool{}
	for _, c := range slices.Backward(h.changes[:at]) {
		if !listed[c.Key] && !c.Deleted {
			b.Items = append(b.Items, c)
		}
		listed[c.Key] = true
	}
	return b
}

// watch returns the changes after one revision up to another.
func (h *history) watch(after, at uint64) Batch {
	return Batch{Version: Version{h.era, at}, Items: h.changes[after:at]}
}

// play applies batches from lists, watches and peers in random order to three copies,
// while the store is written and comes back from copies. The reference is the whole
// history. Draw returns a random number from zero up to n. Receive returns a batch as a
// node takes it.
func play(draw func(n int) int, receive func(Batch) Batch) error {
	eras := []*history{{era: 1}}
	feeds := []*Feed{newFeed(), newFeed(), newFeed()}
	seen := make([]Version, len(feeds))
	for range 1 + draw(60) {
		i := draw(len(feeds) - 1)
		f, last := feeds[i], eras[len(eras)-1]
		// Batches may be late, also from an earlier era.
		late := eras[draw(len(eras)-1)]
		switch step := draw(9); {
		case step <= 2:
			last.write(string(rune('a'+draw(4))), draw(1) == 0)
		case step <= 4:
			f.Apply(receive(late.list(uint64(draw(int(late.revision()))))), time.Now())
		case step <= 6:
			if after := f.Version(); after.Era == late.era && after.Revision <= late.revision() {
				f.Apply(receive(late.watch(after.Revision, after.Revision+uint64(draw(int(late.revision()-after.Revision))))), time.Now())
			}
		case step <= 8:
			if from := feeds[draw(len(feeds)-1)]; from.Version().Revision > 0 {
				f.Apply(receive(from.changesSince(f.Version())), time.Now())
			}
		default:
			eras = append(eras, last.comeBack(uint64(draw(int(last.revision())))))
		}
		if version := f.Version(); version.Compare(seen[i]) < 0 {
			return fmt.Errorf("copy %d went back from %v to %v", i, seen[i], version)
		}
		seen[i] = f.Version()
		if err := checkValues(f, eras); err != nil {
			return err
		}
	}
	last := eras[len(eras)-1]
	for _, f := range feeds {
		f.Apply(receive(last.list(last.revision())), time.Now())
		live := map[string]string{}
		for key, e := range f.Live() {
			live[key] = string(e.Value)
		}
		if expected := last.liveAt(last.revision()); last.revision() > 0 && !maps.Equal(expected, live) {
			return fmt.Errorf("a copy holds %v instead of %v", live, expected)
		}
	}
	return nil
}

// checkValues returns an error if a copy holds a value that the store did not write with
// the revision in the era of the copy, or one that was replaced or deleted before the
// version of the copy.
func checkValues(f *Feed, eras []*history) error {
	if v := f.Version(); v.Era > 0 && v.Revision <= eras[v.Era-1].revision() {
		expected := eras[v.Era-1].liveAt(v.Revision)
		for key, e := range f.Live() {
			if e.Version.Revision <= v.Revision && expected[key] != string(e.Value) {
				return fmt.Errorf("a copy at %v holds %s of version %v of key %s instead of %q", v, e.Value, e.Version, key, expected[key])
			}
		}
	}
	for key, e := range f.Live() {
		if e.Version.Era == 0 || e.Version.Revision > eras[e.Version.Era-1].revision() {
			return fmt.Errorf("key %s has version %v, which the store never gave out", key, e.Version)
		}
		if c := eras[e.Version.Era-1].changes[e.Version.Revision-1]; c.Key != key || !bytes.Equal(c.Value, e.Value) {
			return fmt.Errorf("key %s holds %s of version %v, where the store wrote %s to %s", key, e.Value, e.Version, c.Value, c.Key)
		}
	}
	return nil
}

// Guards against a copy that goes back to an older value, restores a deleted key, misses a
// change or mixes eras.
func TestCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n).Draw(t, "n") }
		require.NoError(t, play(draw, func(b Batch) Batch { return b }))
	})
}

// Shows that play sees nodes that order batches by their revisions alone.
func TestCopiesWithoutEras(t *testing.T) {
	failed := 0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		err := play(func(n int) int { return random.IntN(n + 1) }, func(b Batch) Batch {
			b.Era = 1
			return b
		})
		if err != nil {
			failed++
		}
	}
	require.Greater(t, failed, 20)
}

// Guards against a copy that counts as up to date because an old reply arrived
// late, and against a node without a copy that replies to peers with an empty
// batch instead of an error.
func TestAge(t *testing.T) {
	f := newFeed()
	_, err := f.waitForChanges(context.Background(), Version{}, time.Millisecond)
	require.True(t, fault.Is(err, fault.NoConfig))
	now := time.Now()
	f.Apply(Batch{Version: Version{Revision: 5}, Complete: true, Items: []Item{{Key: "k", Revision: 5}}}, now)
	f.Apply(Batch{Version: Version{Revision: 3}}, now.Add(time.Hour))
	require.Less(t, time.Since(f.syncedAt), time.Minute)
	require.GreaterOrEqual(t, f.Age(), time.Duration(0), "an old reply must not make the copy newer")
	f.Apply(Batch{Version: Version{Revision: 6}, Age: 10 * time.Second}, now)
	require.Equal(t, now, f.syncedAt, "an older batch of a peer must not make the copy older")
}

// listed is a complete batch of an era with the given keys.
func listed(era, revision uint64, items ...Item) Batch {
	return Batch{Version: Version{era, revision}, Complete: true, Items: items}
}

// Guards against a deleted key that comes back with an answer of a peer that was sent
// before, after a return of the platform and when a node starts.
func TestLateBatch(t *testing.T) {
	kept, deleted := Item{Key: "a", Revision: 3}, Item{Key: "deleted", Revision: 5}
	for name, before := range map[string]Batch{
		"after a return": listed(1, 100, Item{Key: "a", Revision: 100}),
		"at the start":   {},
	} {
		t.Run(name, func(t *testing.T) {
			f, peer := newFeed(), newFeed()
			f.Apply(before, time.Now())
			peer.Apply(listed(2, 8, kept, deleted), time.Now())
			late := peer.changesSince(f.Version())
			f.Apply(listed(2, 12, kept), time.Now())
			f.Apply(late, time.Now())
			require.NotContains(t, f.Live(), "deleted")
		})
	}
}

// Guards against a deletion that a node misses because the peer that it follows listed the
// keys after it, and so has no tombstone of it.
func TestPeerWithoutTombstone(t *testing.T) {
	kept, deleted := Item{Key: "a", Revision: 3}, Item{Key: "deleted", Revision: 5}
	f, peer := newFeed(), newFeed()
	f.Apply(listed(2, 8, kept, deleted), time.Now())
	peer.Apply(listed(2, 12, kept), time.Now())
	f.Apply(peer.changesSince(f.Version()), time.Now())
	require.Equal(t, peer.Version(), f.Version())
	require.NotContains(t, f.Live(), "deleted")
}
