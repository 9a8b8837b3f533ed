package config

import (
	"context"
	"math"

	"github.com/verbenapier/verbenapier/pkg/confd"
)

// At returns the document of a revision that the platform still keeps. The
// error is NotFound if the revision is neither current nor in the history.
func (k *Keeper) At(ctx context.Context, revision uint64) (*confd.Document, error) {
	m, err := k.manifestAt(ctx, revision)
	if err != nil {
		return nil, err
	}
	byHash, err := k.readParts(ctx, m, math.MaxUint64)
	if err != nil {
		return nil, err
	}
	doc, _, err := k.validate(m, byHash)
	return doc, err
}

func (k *Keeper) manifestAt(ctx context.Context, revision uint64) (Manifest, error) {
	_, current, err := k.readManifest(ctx)
	if err != nil || current.Revision == revision {
		return current.Manifest, err
	}
	entry, err := k.store.Get(ctx, historyKey(revision))
	if err != nil {
		return Manifest{}, err
	}
	earlier, err := decodeManifest(entry.Value)
	return earlier.Manifest, err
}

// Newest returns the highest revision that is in force on this node or that
// peers have announced.
func (k *Keeper) Newest() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return max(k.announced, k.Revision())
}
