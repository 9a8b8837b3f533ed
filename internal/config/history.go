package config

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"slices"

	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// History returns the current manifest and up to HistorySize earlier ones,
// the latest first.
func (k *Keeper) History(ctx context.Context) ([]Manifest, error) {
	_, now, err := k.manifest(ctx)
	if err != nil {
		return nil, err
	}
	past, _, err := k.past(ctx, now.Revision)
	if err != nil {
		return nil, err
	}
	slices.SortFunc(past, func(a, b Manifest) int { return int(b.Revision) - int(a.Revision) })
	return append([]Manifest{now.Manifest}, past...), nil
}

// RollBack applies the contents of an earlier revision as a new one. NotFound
// means that the revision is not in the history; the other errors are those
// of Apply.
func (k *Keeper) RollBack(ctx context.Context, base, to uint64, author string) (Manifest, error) {
	entry, err := k.store.Get(ctx, historyKey(to))
	if err != nil {
		return Manifest{}, err
	}
	past, err := decode(entry.Value)
	if err != nil {
		return Manifest{}, err
	}
	byHash, err := k.readParts(ctx, past.Manifest, math.MaxUint64)
	if err != nil {
		return Manifest{}, err
	}
	contents := make(map[string][]byte, len(past.Parts))
	for name, part := range past.Parts {
		if err := part.verify(name, byHash[part.Hash]); err != nil {
			return Manifest{}, err
		}
		contents[name] = byHash[part.Hash]
	}
	return k.Apply(ctx, base, contents, author)
}

func (k *Keeper) manifest(ctx context.Context) (plat.Entry, stored, error) {
	entry, err := k.store.Get(ctx, ManifestKey)
	if err != nil {
		return entry, stored{}, err
	}
	now, err := decode(entry.Value)
	return entry, now, err
}

// past returns the manifests of the history and the entries that are too old.
func (k *Keeper) past(ctx context.Context, now uint64) ([]Manifest, []plat.Entry, error) {
	entries, err := k.store.List(ctx, HistoryPrefix)
	if err != nil {
		return nil, nil, err
	}
	var kept []Manifest
	var old []plat.Entry
	for _, entry := range entries {
		s, err := decode(entry.Value)
		if err != nil {
			return nil, nil, err
		}
		if s.Revision+HistorySize < now {
			old = append(old, entry)
		} else {
			kept = append(kept, s.Manifest)
		}
	}
	return kept, old, nil
}

// Collect removes the parts to which neither the current manifest nor the
// history refers, and manifests that have left the history. It returns the
// number of parts removed.
//
// It is safe at any time and on several nodes at once: before deleting it
// raises the revision of the manifest's key, so that an Apply that wrote its
// parts before fails to replace the manifest, and writes them again. A part
// that was written again has a new revision and is not deleted.
func (k *Keeper) Collect(ctx context.Context) (int, error) {
	removed := 0
	for digit := range 16 {
		n, err := k.collect(ctx, PartPrefix+fmt.Sprintf("%x", digit))
		removed += n
		if err != nil {
			return removed, err
		}
	}
	_, now, err := k.manifest(ctx)
	if err != nil {
		return removed, err
	}
	_, old, err := k.past(ctx, now.Revision)
	if err != nil {
		return removed, err
	}
	for _, entry := range old {
		if err := k.remove(ctx, entry); err != nil {
			return removed, err
		}
	}
	return removed, nil
}

// collect removes unused parts under one prefix.
func (k *Keeper) collect(ctx context.Context, prefix string) (int, error) {
	parts, err := k.store.List(ctx, prefix)
	if err != nil || len(parts) == 0 {
		return 0, err
	}
	entry, now, err := k.manifest(ctx)
	if err != nil {
		return 0, err
	}
	past, _, err := k.past(ctx, now.Revision)
	if err != nil {
		return 0, err
	}
	used := map[string]bool{}
	for _, m := range append(past, now.Manifest) {
		for _, part := range m.Parts {
			used[PartPrefix+part.Hash] = true
		}
	}
	parts = slices.DeleteFunc(parts, func(e plat.Entry) bool { return used[e.Key] })
	if len(parts) == 0 {
		return 0, nil
	}
	if k.without&CollectionFence == 0 {
		now.Collections++
		value, err := json.Marshal(now)
		if err != nil {
			return 0, fault.Wrap(fault.Internal, err, "encode manifest")
		}
		if _, err := k.store.Put(ctx, ManifestKey, value, entry.Revision); err != nil {
			return 0, err
		}
	}
	for i, part := range parts {
		if err := k.remove(ctx, part); err != nil {
			return i, err
		}
	}
	return len(parts), nil
}

// remove deletes an entry unless it was written again or is already gone.
func (k *Keeper) remove(ctx context.Context, entry plat.Entry) error {
	err := k.store.Delete(ctx, entry.Key, entry.Revision)
	if fault.Is(err, fault.Conflict) || fault.Is(err, fault.NotFound) {
		return nil
	}
	return err
}
