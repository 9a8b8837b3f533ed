package config

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/cells"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// isWatcher reports whether this node is one of the watchers of its failure
// domain: the watchersPerDomain usable members with the highest rendezvous
// hashes.
func (mgr *Manager) isWatcher() bool {
	self := mgr.members.Self()
	if !self.Usable() {
		return false
	}
	var domainMembers []member.Member
	for _, m := range mgr.members.Members() {
		if m.Usable() && m.FailureDomain == self.FailureDomain {
			domainMembers = append(domainMembers, m)
		}
	}
	ranked := cells.Rank("config/watch/"+self.FailureDomain, domainMembers, func(m member.Member) string { return m.Name })
	for i, m := range ranked {
		if m.Name == self.Name {
			return i < watchersPerDomain
		}
	}
	return false
}

// watchLoop runs watch while this node is a watcher.
func (mgr *Manager) watchLoop(ctx context.Context) error {
	// A single wait with jitter: as the limit equals the delay, it is not doubled.
	delay := startDelay
	if !mgr.sleepBackoff(ctx, &delay, delay) {
		return ctx.Err()
	}
	for ctx.Err() == nil {
		changed := mgr.members.Changed()
		if mgr.isWatcher() {
			g := group.New(ctx)
			g.Go("watch", mgr.watch)
			for mgr.isWatcher() && g.Context().Err() == nil {
				select {
				case <-changed:
				case <-g.Context().Done():
				}
				changed = mgr.members.Changed()
			}
			g.Stop()
			if err := g.Wait(); err != nil {
				return err
			}
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// watch reads the manifest, and reads it again after each change. keyRevision is the
// platform's revision of ManifestKey, not the revision of the configuration.
func (mgr *Manager) watch(ctx context.Context) error {
	backoff := watchRetryMin
	var keyRevision plat.Revision
	needRead := true
	for {
		var err error
		if needRead {
			keyRevision, err = mgr.refresh(ctx)
			needRead = err != nil
		} else {
			var latest plat.Revision
			latest, err = mgr.store.Watch(ctx, ManifestKey, keyRevision)
			needRead = err != nil || latest > keyRevision
		}
		if err == nil {
			backoff = watchRetryMin
			continue
		}
		mgr.log.WithFields(logrus.Fields{"event": "config_watch_failed"}).WithError(err).Warn("reading or watching the manifest failed")
		if !mgr.sleepBackoff(ctx, &backoff, watchRetryMax) {
			return ctx.Err()
		}
	}
}

// refresh reads the manifest and puts the configuration in force if its revision is
// higher than the one in force. It returns the platform's revision of ManifestKey.
// The error is nil whenever another read is useless until the key changes: the key
// does not exist, the manifest is malformed, its revision is not higher, the
// configuration is refused, or a peer has sent the same or a newer one meanwhile.
func (mgr *Manager) refresh(ctx context.Context) (plat.Revision, error) {
	entry, err := mgr.store.Get(ctx, ManifestKey)
	if fault.Is(err, fault.NotFound) {
		mgr.setLastErr(fault.New(fault.NotFound, "the platform has no configuration"))
		return 0, nil
	}
	if err != nil {
		mgr.setLastErr(err)
		return 0, err
	}
	stored, err := decodeManifest(entry.Value)
	if err != nil {
		mgr.setLastErr(err)
		return entry.Revision, nil //nolint:nilerr // a retry fails until there is a new manifest
	}
	switch inForce := mgr.Revision(); {
	// Only tests disable RevisionCheck. A lower revision is then applied.
	case stored.Revision < inForce && mgr.disabled&RevisionCheck == 0:
		mgr.log.WithFields(logrus.Fields{"event": "config_lower", "revision": stored.Revision, "in_force": inForce}).
			Error("the platform holds a lower revision than the one in force; it is not applied")
		return entry.Revision, nil
	case stored.Revision == inForce:
		return entry.Revision, nil
	}
	contents, err := mgr.readParts(ctx, stored.Manifest, stored.Revision)
	if fault.Is(err, fault.Stale) {
		return entry.Revision, nil
	}
	if err != nil {
		mgr.setLastErr(err)
		return 0, err
	}
	if err := mgr.install(stored.Manifest, contents); err != nil {
		return entry.Revision, nil //nolint:nilerr // a retry fails until there is a new manifest
	}
	return entry.Revision, nil
}

// readParts returns the contents of a manifest's parts by hash. Only parts that
// this node does not hold are read from the platform. It returns Stale if a
// configuration revision of at least stopAt comes into force meanwhile, because
// further reads are then useless. After a restart of all nodes, most watchers
// receive the configuration from a peer before they have read all of its parts.
func (mgr *Manager) readParts(ctx context.Context, m Manifest, stopAt uint64) (map[string][]byte, error) {
	contents := mgr.partsInForce()
	reads := 0
	for name, part := range m.Parts {
		if _, ok := contents[part.Hash]; ok {
			continue
		}
		if mgr.disabled&RevisionCheck == 0 && mgr.Revision() >= stopAt {
			return nil, fault.New(fault.Stale, "revision %d was received from a peer", stopAt)
		}
		if reads++; reads > partBurst && !sleep(ctx, partInterval) {
			return nil, ctx.Err()
		}
		entry, err := mgr.store.Get(ctx, PartPrefix+part.Hash)
		if err != nil {
			return nil, err
		}
		if mgr.disabled&HashCheck == 0 {
			if err := part.verify(name, entry.Value); err != nil {
				return nil, err
			}
		}
		contents[part.Hash] = entry.Value
	}
	return contents, nil
}

// partsInForce returns the contents of the parts in force by hash, in a new map.
func (mgr *Manager) partsInForce() map[string][]byte {
	contents := map[string][]byte{}
	if snapshot := mgr.Current(); snapshot != nil {
		for hash, content := range snapshot.Contents {
			contents[hash] = content
		}
	}
	return contents
}

// owns reports whether this node owns a key. The key names a job that only one
// node should run.
func (mgr *Manager) owns(key string) bool {
	owner, ok := cells.KeyOwner(key, "", mgr.members.Members())
	return ok && owner.Name == mgr.members.Self().Name
}

// collectLoop runs Collect about every collectInterval, on the one node that owns
// the key config/collect.
func (mgr *Manager) collectLoop(ctx context.Context) error {
	for {
		// As the limit equals the interval, it is not doubled.
		wait := collectInterval
		if !mgr.sleepBackoff(ctx, &wait, wait) {
			return ctx.Err()
		}
		if !mgr.owns("config/collect") {
			continue
		}
		began := time.Now()
		removed, err := mgr.Collect(ctx)
		mgr.log.WithFields(logrus.Fields{
			"event": "config_collected", "removed": removed, "took": time.Since(began),
		}).WithError(err).Info("collection ended with this number of unused parts removed")
	}
}
