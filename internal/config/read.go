package config

import (
	"context"
	"math"

	"github.com/verbenapier/verbenapier/pkg/confd"
)

// At returns the document of a revision that the platform still keeps.
// NotFound means that it is neither current nor in the history.
func (k *Keeper) At(ctx context.Context, revision uint64) (*confd.Document, error) {
	m, err := k.manifestAt(ctx, revision)
	if err != nil {
		return nil, err
	}
	byHash, err := k.readParts(ctx, m, math.MaxUint64)
	if err != nil {
		return nil, err
	}
	doc, _, err := k.accept(m, byHash)
	return doc, err
}

func (k *Keeper) manifestAt(ctx context.Context, revision uint64) (Manifest, error) {
	_, now, err := k.manifest(ctx)
	if err != nil || now.Revision == revision {
		return now.Manifest, err
	}
	entry, err := k.store.Get(ctx, historyKey(revision))
	if err != nil {
		return Manifest{}, err
	}
	past, err := decode(entry.Value)
	return past.Manifest, err
}

// Newest returns the highest revision that this node knows of, whether it is
// in force here or not.
func (k *Keeper) Newest() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return max(k.wanted, k.Revision())
}
