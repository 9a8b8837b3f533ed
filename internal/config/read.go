package config

import (
	"context"
	"math"

	"github.com/verbenapier/verbenapier/pkg/confd"
)

// DocumentAt returns the document of a revision that the platform still keeps. The
// error is NotFound if the revision is neither current nor in the history.
func (mgr *Manager) DocumentAt(ctx context.Context, revision uint64) (*confd.Document, error) {
	m, err := mgr.manifestAt(ctx, revision)
	if err != nil {
		return nil, err
	}
	byHash, err := mgr.readParts(ctx, m, math.MaxUint64)
	if err != nil {
		return nil, err
	}
	doc, _, err := mgr.validate(m, byHash)
	return doc, err
}

func (mgr *Manager) manifestAt(ctx context.Context, revision uint64) (Manifest, error) {
	_, current, err := mgr.readManifest(ctx)
	if err != nil || current.Revision == revision {
		return current.Manifest, err
	}
	entry, err := mgr.store.Get(ctx, historyKey(revision))
	if err != nil {
		return Manifest{}, err
	}
	earlier, err := decodeManifest(entry.Value)
	return earlier.Manifest, err
}

// HighestKnownRevision returns the highest revision that is in force on this node
// or that peers have announced.
func (mgr *Manager) HighestKnownRevision() uint64 {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	return max(mgr.announced, mgr.Revision())
}
