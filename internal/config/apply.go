package config

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Apply writes a configuration as the revision after base and puts it in
// force on this node. Contents are by part name.
//
// Conflict returns the manifest that another operator wrote instead. Invalid
// and TooLarge refuse the contents. Stale means that the platform has lost
// revisions that are in force. PlatformDown means that nothing changed;
// ReplyLost that the outcome could not be learned before the context ended:
// read the manifest back before deciding.
func (k *Keeper) Apply(ctx context.Context, base uint64, contents map[string][]byte, author string) (Manifest, error) {
	byHash := make(map[string][]byte, len(contents))
	m := Manifest{
		Revision: base + 1, Author: author, Time: time.Now().UTC(), Attempt: uuid.NewString(),
		Parts: make(map[string]Part, len(contents)),
	}
	for name, content := range contents {
		if len(content) > MaxPartSize {
			return Manifest{}, fault.New(fault.TooLarge, "part %q has %d bytes", name, len(content))
		}
		hash := HashOf(content)
		m.Parts[name] = Part{Hash: hash, Size: len(content)}
		byHash[hash] = content
	}
	if _, _, err := k.accept(m, byHash); err != nil {
		return Manifest{}, err
	}
	a := &application{keeper: k, manifest: m, contents: byHash}
	if other, err := a.run(ctx); err != nil {
		return other, err
	}
	k.log.WithFields(logrus.Fields{"event": "config_applied", "revision": m.Revision, "author": author}).Info("configuration applied")
	if err := k.install(m, byHash); err != nil && !fault.Is(err, fault.Stale) {
		return m, err
	}
	return m, nil
}

// application is one Apply in progress.
type application struct {
	keeper   *Keeper
	manifest Manifest
	contents map[string][]byte
	// uncertain is set when a write of the manifest may have taken effect.
	uncertain bool
}

// run repeats the steps until the manifest is known to be written or not.
func (a *application) run(ctx context.Context) (Manifest, error) {
	backoff := applyRetryMin
	for {
		other, done, err := a.step(ctx)
		if done {
			return other, err
		}
		retry := err == nil || fault.Is(err, fault.ReplyLost) || fault.Is(err, fault.Conflict)
		if a.uncertain && a.keeper.without&ReadBack == 0 {
			retry = true
		}
		if !retry || !a.keeper.pause(ctx, &backoff, applyRetryMax) {
			return Manifest{}, a.verdict(err)
		}
	}
}

// verdict is the error for an application that ends without a known result.
func (a *application) verdict(err error) error {
	if a.uncertain {
		return fault.Wrap(fault.ReplyLost, err, "the outcome of revision %d is unknown", a.manifest.Revision)
	}
	if fault.Is(err, fault.Canceled) || fault.Is(err, fault.Timeout) || fault.Is(err, fault.ReplyLost) || fault.Is(err, fault.Conflict) {
		return fault.Wrap(fault.PlatformDown, err, "revision %d was not written", a.manifest.Revision)
	}
	return err
}

// step reads the manifest, writes what it needs and replaces it. Done means
// that the result is final.
func (a *application) step(ctx context.Context) (Manifest, bool, error) {
	k := a.keeper
	entry, err := k.store.Get(ctx, ManifestKey)
	var now stored
	switch {
	case fault.Is(err, fault.NotFound):
	case err != nil:
		return Manifest{}, false, err
	default:
		if now, err = decode(entry.Value); err != nil {
			return Manifest{}, true, err
		}
	}
	if have := k.Revision(); now.Revision < have && k.without&RevisionCheck == 0 {
		return now.Manifest, true, fault.New(fault.Stale, "the platform holds revision %d, below %d in force", now.Revision, have)
	}
	if now.Revision != a.manifest.Revision-1 {
		return a.settle(ctx, now.Manifest)
	}
	if err := a.writeParts(ctx, now.Manifest); err != nil {
		return Manifest{}, false, err
	}
	if now.Revision > 0 {
		if err := a.writeHistory(ctx, now.Manifest); err != nil {
			return Manifest{}, false, err
		}
	}
	value, err := json.Marshal(stored{Manifest: a.manifest, Collections: now.Collections})
	if err != nil {
		return Manifest{}, true, fault.Wrap(fault.Internal, err, "encode manifest")
	}
	_, err = k.store.Put(ctx, ManifestKey, value, entry.Revision)
	switch {
	case err == nil:
		return a.manifest, true, nil
	case fault.Is(err, fault.PlatformDown), fault.Is(err, fault.Conflict):
		// Not written by this call. After a conflict the next step reads who
		// was first.
		return Manifest{}, false, err
	case fault.Is(err, fault.TooLarge):
		return Manifest{}, true, err
	case k.without&ReadBack != 0:
		return Manifest{}, true, err
	}
	a.uncertain = true
	return Manifest{}, false, err
}

// settle decides between this application and others when the revision is no
// longer the base.
func (a *application) settle(ctx context.Context, now Manifest) (Manifest, bool, error) {
	conflict := fault.New(fault.Conflict, "revision %d by %s is in force, not the base %d",
		now.Revision, now.Author, a.manifest.Revision-1)
	if now.Attempt == a.manifest.Attempt {
		return now, true, nil
	}
	if !a.uncertain || now.Revision <= a.manifest.Revision {
		return now, true, conflict
	}
	// A later revision hides whether this one was written before it.
	entry, err := a.keeper.store.Get(ctx, historyKey(a.manifest.Revision))
	if fault.Is(err, fault.NotFound) {
		return now, true, fault.New(fault.ReplyLost, "revision %d has left the history", a.manifest.Revision)
	}
	if err != nil {
		return Manifest{}, false, err
	}
	past, err := decode(entry.Value)
	if err != nil {
		return Manifest{}, true, err
	}
	if past.Attempt == a.manifest.Attempt {
		return past.Manifest, true, nil
	}
	return now, true, conflict
}

// writeParts writes the parts that the manifest in force does not refer to.
// An existing part is written again: its new revision keeps a garbage
// collection that has already chosen it from deleting it.
func (a *application) writeParts(ctx context.Context, now Manifest) error {
	live := map[string]bool{}
	for _, part := range now.Parts {
		live[part.Hash] = true
	}
	for _, hash := range slices.Sorted(maps.Keys(a.contents)) {
		if live[hash] {
			continue
		}
		if err := a.writePart(ctx, PartPrefix+hash, a.contents[hash]); err != nil {
			return err
		}
	}
	return nil
}

func (a *application) writePart(ctx context.Context, key string, content []byte) error {
	store := a.keeper.store
	base := plat.Revision(0)
	for {
		_, err := store.Put(ctx, key, content, base)
		if err == nil || !fault.Is(err, fault.Conflict) {
			return err
		}
		entry, err := store.Get(ctx, key)
		if err != nil && !fault.Is(err, fault.NotFound) {
			return err
		}
		base = entry.Revision
	}
}

// writeHistory keeps the manifest that is about to be replaced.
func (a *application) writeHistory(ctx context.Context, now Manifest) error {
	value, err := json.Marshal(now)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode manifest")
	}
	_, err = a.keeper.store.Put(ctx, historyKey(now.Revision), value, 0)
	if fault.Is(err, fault.Conflict) {
		// Another application of the same base wrote the same value.
		return nil
	}
	return err
}
