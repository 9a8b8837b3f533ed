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

// watches reports whether this node is one of the watchers of its failure
// domain: the usable members with the highest rendezvous hashes.
func (k *Keeper) watches() bool {
	self := k.members.Self()
	if !self.Usable() {
		return false
	}
	var near []member.Member
	for _, m := range k.members.Members() {
		if m.Usable() && m.FailureDomain == self.FailureDomain {
			near = append(near, m)
		}
	}
	ranked := cells.Ranked("config/watch/"+self.FailureDomain, near, func(m member.Member) string { return m.Name })
	for i, m := range ranked {
		if m.Name == self.Name {
			return i < watchersPerZone
		}
	}
	return false
}

// watchLoop watches the platform while this node is a watcher.
func (k *Keeper) watchLoop(ctx context.Context) error {
	start := startTime
	if !k.pause(ctx, &start, start) {
		return ctx.Err()
	}
	for ctx.Err() == nil {
		changed := k.members.Changed()
		if k.watches() {
			g := group.New(ctx)
			g.Go("watch", k.watch)
			for k.watches() && ctx.Err() == nil {
				select {
				case <-changed:
				case <-ctx.Done():
				}
				changed = k.members.Changed()
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

// watch reads the manifest, then waits for changes of it.
func (k *Keeper) watch(ctx context.Context) error {
	backoff := watchRetryMin
	var seen plat.Revision
	read := true
	for {
		var err error
		if read {
			seen, err = k.readManifest(ctx)
			read = err != nil
		} else {
			var top plat.Revision
			top, err = k.store.Watch(ctx, ManifestKey, seen)
			read = err != nil || top > seen
		}
		if err == nil {
			backoff = watchRetryMin
			continue
		}
		k.log.WithFields(logrus.Fields{"event": "config_watch_failed"}).WithError(err).Warn("manifest not read")
		if !k.pause(ctx, &backoff, watchRetryMax) {
			return ctx.Err()
		}
	}
}

// readManifest reads the manifest and puts it in force when it is newer. A
// refused configuration is not an error: only a new manifest can help.
func (k *Keeper) readManifest(ctx context.Context) (plat.Revision, error) {
	entry, err := k.store.Get(ctx, ManifestKey)
	if fault.Is(err, fault.NotFound) {
		k.fail(fault.New(fault.NotFound, "the platform holds no configuration"))
		return 0, nil
	}
	if err != nil {
		k.fail(err)
		return 0, err
	}
	s, err := decode(entry.Value)
	if err != nil {
		k.fail(err)
		return entry.Revision, nil //nolint:nilerr // see above
	}
	switch have := k.Revision(); {
	case s.Revision < have && k.without&RevisionCheck == 0:
		k.log.WithFields(logrus.Fields{"event": "config_lower", "revision": s.Revision, "in_force": have}).
			Error("platform holds a lower revision; it is not applied")
		return entry.Revision, nil
	case s.Revision == have:
		return entry.Revision, nil
	}
	contents, err := k.readParts(ctx, s.Manifest, s.Revision)
	if fault.Is(err, fault.Stale) {
		return entry.Revision, nil
	}
	if err != nil {
		k.fail(err)
		return 0, err
	}
	if err := k.install(s.Manifest, contents); err != nil {
		return entry.Revision, nil //nolint:nilerr // see above
	}
	return entry.Revision, nil
}

// readParts returns the contents of a manifest by hash. Only those that this
// node does not hold are read from the platform. It returns Stale when the
// revision until comes into force meanwhile: after a restart of all nodes most
// watchers get the document from a peer before they have read all of it.
func (k *Keeper) readParts(ctx context.Context, m Manifest, until uint64) (map[string][]byte, error) {
	contents := k.held()
	reads := 0
	for name, part := range m.Parts {
		if _, ok := contents[part.Hash]; ok {
			continue
		}
		if k.without&RevisionCheck == 0 && k.Revision() >= until {
			return nil, fault.New(fault.Stale, "revision %d arrived from a peer", until)
		}
		if reads++; reads > partBurst && !sleep(ctx, partPace) {
			return nil, ctx.Err()
		}
		entry, err := k.store.Get(ctx, PartPrefix+part.Hash)
		if err != nil {
			return nil, err
		}
		if k.without&HashCheck == 0 {
			if err := part.verify(name, entry.Value); err != nil {
				return nil, err
			}
		}
		contents[part.Hash] = entry.Value
	}
	return contents, nil
}

// held returns a copy of the parts in force by hash.
func (k *Keeper) held() map[string][]byte {
	contents := map[string][]byte{}
	if s := k.Current(); s != nil {
		for hash, content := range s.Parts {
			contents[hash] = content
		}
	}
	return contents
}

// owns reports whether this node does the jobs that only one node should do.
func (k *Keeper) owns(key string) bool {
	owner, ok := cells.OwnerOf(key, "", k.members.Members())
	return ok && owner.Name == k.members.Self().Name
}

// collectLoop removes unused parts from the platform from one node at a time.
func (k *Keeper) collectLoop(ctx context.Context) error {
	for {
		wait := collectTime
		if !k.pause(ctx, &wait, wait) {
			return ctx.Err()
		}
		if !k.owns("config/collect") {
			continue
		}
		began := time.Now()
		removed, err := k.Collect(ctx)
		k.log.WithFields(logrus.Fields{
			"event": "config_collected", "removed": removed, "took": time.Since(began),
		}).WithError(err).Info("unused parts removed")
	}
}
