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
// force on this node. Contents are keyed by part name.
//
// Its errors are, by kind: Conflict if another operator wrote a revision above
// base first; Apply then also returns the platform's current manifest. Invalid or
// TooLarge if the contents are refused. Stale if the platform holds a lower
// revision than the one in force on this node. PlatformDown if nothing was
// changed. ReplyLost if it is unknown whether the revision was written; the caller
// must read the manifest before applying again.
func (mgr *Manager) Apply(ctx context.Context, base uint64, contents map[string][]byte, author string) (Manifest, error) {
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
	if _, _, err := mgr.validate(m, byHash); err != nil {
		return Manifest{}, err
	}
	a := &application{manager: mgr, manifest: m, contents: byHash}
	if current, err := a.run(ctx); err != nil {
		return current, err
	}
	mgr.log.WithFields(logrus.Fields{"event": "config_applied", "revision": m.Revision, "author": author}).Info("configuration applied")
	if err := mgr.install(m, byHash); err != nil && !fault.Is(err, fault.Stale) {
		return m, err
	}
	return m, nil
}

// application is the state of one call of Apply.
type application struct {
	manager  *Manager
	manifest Manifest
	contents map[string][]byte
	// mayBeWritten reports that a write of the manifest failed but may have
	// taken effect.
	mayBeWritten bool
}

// run repeats tryWrite until the outcome is final, an error rules out a retry, or
// the context ends.
func (a *application) run(ctx context.Context) (Manifest, error) {
	backoff := applyRetryMin
	for {
		current, done, err := a.tryWrite(ctx)
		if done {
			return current, err
		}
		retry := err == nil || fault.Is(err, fault.ReplyLost) || fault.Is(err, fault.Conflict)
		if a.mayBeWritten && a.manager.disabled&ReadBack == 0 {
			retry = true
		}
		if !retry || !a.manager.sleepBackoff(ctx, &backoff, applyRetryMax) {
			return Manifest{}, a.finalError(err)
		}
	}
}

// finalError returns the error of an application that ends without a final
// result of tryWrite.
func (a *application) finalError(err error) error {
	if a.mayBeWritten {
		return fault.Wrap(fault.ReplyLost, err, "the outcome of revision %d is unknown", a.manifest.Revision)
	}
	if fault.Is(err, fault.Canceled) || fault.Is(err, fault.Timeout) || fault.Is(err, fault.ReplyLost) || fault.Is(err, fault.Conflict) {
		return fault.Wrap(fault.PlatformDown, err, "revision %d was not written", a.manifest.Revision)
	}
	return err
}

// tryWrite reads the current manifest, writes the parts and the history entry
// that the new one needs, and replaces the manifest. The second result reports
// whether the outcome is final.
func (a *application) tryWrite(ctx context.Context) (Manifest, bool, error) {
	mgr := a.manager
	entry, err := mgr.store.Get(ctx, ManifestKey)
	var current storedManifest
	switch {
	case fault.Is(err, fault.NotFound):
	case err != nil:
		return Manifest{}, false, err
	default:
		if current, err = decodeManifest(entry.Value); err != nil {
			return Manifest{}, true, err
		}
	}
	if inForce := mgr.Revision(); current.Revision < inForce && mgr.disabled&RevisionCheck == 0 {
		return current.Manifest, true, fault.New(fault.Stale, "the platform holds revision %d, below %d in force", current.Revision, inForce)
	}
	if current.Revision != a.manifest.Revision-1 {
		return a.resolve(ctx, current.Manifest)
	}
	if err := a.writeParts(ctx, current.Manifest); err != nil {
		return Manifest{}, false, err
	}
	if current.Revision > 0 {
		if err := a.writeHistory(ctx, current.Manifest); err != nil {
			return Manifest{}, false, err
		}
	}
	value, err := json.Marshal(storedManifest{Manifest: a.manifest, GarbageCollections: current.GarbageCollections})
	if err != nil {
		return Manifest{}, true, fault.Wrap(fault.Internal, err, "encode manifest")
	}
	_, err = mgr.store.Put(ctx, ManifestKey, value, entry.Revision)
	switch {
	case err == nil:
		return a.manifest, true, nil
	case fault.Is(err, fault.PlatformDown), fault.Is(err, fault.Conflict):
		// The manifest was not written by this call. After a conflict the
		// next call of tryWrite reads the manifest that was written instead.
		return Manifest{}, false, err
	case fault.Is(err, fault.TooLarge):
		return Manifest{}, true, err
	case mgr.disabled&ReadBack != 0:
		return Manifest{}, true, err
	}
	a.mayBeWritten = true
	return Manifest{}, false, err
}

// resolve determines the outcome when the current revision is not the base:
// either this application wrote its manifest, or another application wrote one.
func (a *application) resolve(ctx context.Context, current Manifest) (Manifest, bool, error) {
	conflict := fault.New(fault.Conflict, "revision %d by %s is in force, not the base %d",
		current.Revision, current.Author, a.manifest.Revision-1)
	if current.Attempt == a.manifest.Attempt {
		return current, true, nil
	}
	if !a.mayBeWritten || current.Revision <= a.manifest.Revision {
		return current, true, conflict
	}
	// The current manifest is a later one; the history shows whether this
	// application wrote its revision.
	entry, err := a.manager.store.Get(ctx, historyKey(a.manifest.Revision))
	if fault.Is(err, fault.NotFound) {
		return current, true, fault.New(fault.ReplyLost, "revision %d has left the history", a.manifest.Revision)
	}
	if err != nil {
		return Manifest{}, false, err
	}
	earlier, err := decodeManifest(entry.Value)
	if err != nil {
		return Manifest{}, true, err
	}
	if earlier.Attempt == a.manifest.Attempt {
		return earlier.Manifest, true, nil
	}
	return current, true, conflict
}

// writeParts writes the parts that the current manifest does not refer to. A
// part that exists already is written again, which raises the revision of its
// key. A garbage collection that selected the part at the earlier revision then
// does not delete it.
func (a *application) writeParts(ctx context.Context, current Manifest) error {
	inUse := map[string]bool{}
	for _, part := range current.Parts {
		inUse[part.Hash] = true
	}
	for _, hash := range slices.Sorted(maps.Keys(a.contents)) {
		if inUse[hash] {
			continue
		}
		if err := a.writePart(ctx, PartPrefix+hash, a.contents[hash]); err != nil {
			return err
		}
	}
	return nil
}

// writePart writes a part over any existing one.
func (a *application) writePart(ctx context.Context, key string, content []byte) error {
	store := a.manager.store
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

// writeHistory copies the manifest that is about to be replaced to the history.
func (a *application) writeHistory(ctx context.Context, current Manifest) error {
	value, err := json.Marshal(current)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode manifest")
	}
	_, err = a.manager.store.Put(ctx, historyKey(current.Revision), value, 0)
	if fault.Is(err, fault.Conflict) {
		// Another application with the same base wrote the same value.
		return nil
	}
	return err
}
