package config

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// History returns the current manifest and up to HistorySize earlier ones,
// the latest first.
func (mgr *Manager) History(ctx context.Context) ([]Manifest, error) {
	_, current, err := mgr.readManifest(ctx)
	if err != nil {
		return nil, err
	}
	earlier, _, err := mgr.listHistory(ctx, current.Revision)
	if err != nil {
		return nil, err
	}
	slices.SortFunc(earlier, func(a, b Manifest) int { return int(b.Revision) - int(a.Revision) })
	return append([]Manifest{current.Manifest}, earlier...), nil
}

// RollBack applies the contents of an earlier revision as a new one. The error
// is NotFound if that revision is not in the history; other errors are those of
// Apply.
func (mgr *Manager) RollBack(ctx context.Context, base, to uint64, author string) (Manifest, error) {
	entry, err := mgr.store.Get(ctx, historyKey(to))
	if err != nil {
		return Manifest{}, err
	}
	earlier, err := decodeManifest(entry.Value)
	if err != nil {
		return Manifest{}, err
	}
	byHash, err := mgr.readParts(ctx, earlier.Manifest, math.MaxUint64)
	if err != nil {
		return Manifest{}, err
	}
	contents := make(map[string][]byte, len(earlier.Parts))
	for name, part := range earlier.Parts {
		if err := part.verify(name, byHash[part.Hash]); err != nil {
			return Manifest{}, err
		}
		contents[name] = byHash[part.Hash]
	}
	return mgr.Apply(ctx, base, contents, author)
}

// readManifest returns the current manifest and its entry on the platform.
func (mgr *Manager) readManifest(ctx context.Context) (plat.Entry, storedManifest, error) {
	entry, err := mgr.store.Get(ctx, ManifestKey)
	if err != nil {
		return entry, storedManifest{}, err
	}
	current, err := decodeManifest(entry.Value)
	return entry, current, err
}

// listHistory returns the manifests of the history, and the entries that are
// more than HistorySize revisions below the given revision.
func (mgr *Manager) listHistory(ctx context.Context, revision uint64) ([]Manifest, []plat.Entry, error) {
	entries, err := mgr.store.List(ctx, HistoryPrefix)
	if err != nil {
		return nil, nil, err
	}
	var manifests []Manifest
	var expired []plat.Entry
	for _, entry := range entries {
		s, err := decodeManifest(entry.Value)
		if err != nil {
			mgr.log.WithError(err).WithFields(logrus.Fields{"event": "manifest_unreadable", "key": entry.Key}).
				Warn("a manifest of the history cannot be read and is left out")
			continue
		}
		if s.Revision+HistorySize < revision {
			expired = append(expired, entry)
		} else {
			manifests = append(manifests, s.Manifest)
		}
	}
	return manifests, expired, nil
}

// Collect deletes the parts to which neither the current manifest nor the
// history refers, and expired manifests of the history. It returns the number
// of parts deleted.
//
// It may run at any time and on several nodes at once. Before it deletes parts
// it rewrites the manifest, which raises the revision of ManifestKey. An Apply
// that wrote its parts earlier then fails to replace the manifest and writes its
// parts again. A part that was written again has a new revision, so Collect does
// not delete it.
func (mgr *Manager) Collect(ctx context.Context) (int, error) {
	removed := 0
	// The part keys end in a hash, so each first digit selects about a sixteenth of
	// the parts.
	for digit := range 16 {
		n, err := mgr.collectPrefix(ctx, PartPrefix+fmt.Sprintf("%x", digit))
		removed += n
		if err != nil {
			return removed, err
		}
	}
	_, current, err := mgr.readManifest(ctx)
	if err != nil {
		return removed, err
	}
	_, expired, err := mgr.listHistory(ctx, current.Revision)
	if err != nil {
		return removed, err
	}
	for _, entry := range expired {
		if err := mgr.deleteUnchanged(ctx, entry); err != nil {
			return removed, err
		}
	}
	return removed, nil
}

// collectPrefix deletes unused parts under one prefix and returns their number.
func (mgr *Manager) collectPrefix(ctx context.Context, prefix string) (int, error) {
	parts, err := mgr.store.List(ctx, prefix)
	if err != nil || len(parts) == 0 {
		return 0, err
	}
	entry, current, err := mgr.readManifest(ctx)
	if err != nil {
		return 0, err
	}
	earlier, _, err := mgr.listHistory(ctx, current.Revision)
	if err != nil {
		return 0, err
	}
	used := map[string]bool{}
	for _, m := range append(earlier, current.Manifest) {
		for _, part := range m.Parts {
			used[PartPrefix+part.Hash] = true
		}
	}
	parts = slices.DeleteFunc(parts, func(e plat.Entry) bool { return used[e.Key] })
	if len(parts) == 0 {
		return 0, nil
	}
	if mgr.disabled&CollectionFence == 0 {
		current.GarbageCollections++
		value, err := json.Marshal(current)
		if err != nil {
			return 0, fault.Wrap(fault.Internal, err, "encode manifest")
		}
		if _, err := mgr.store.Put(ctx, ManifestKey, value, entry.Revision); err != nil {
			return 0, err
		}
	}
	for i, part := range parts {
		if err := mgr.deleteUnchanged(ctx, part); err != nil {
			return i, err
		}
	}
	return len(parts), nil
}

// deleteUnchanged deletes an entry unless it was written again or is deleted
// already.
func (mgr *Manager) deleteUnchanged(ctx context.Context, entry plat.Entry) error {
	err := mgr.store.Delete(ctx, entry.Key, entry.Revision)
	if fault.Is(err, fault.Conflict) || fault.Is(err, fault.NotFound) {
		return nil
	}
	return err
}
