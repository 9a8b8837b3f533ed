package poison

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const keyPrefix = "poison/"

func shardKey(shard int) string { return fmt.Sprintf("%s%d", keyPrefix, shard) }

// Run keeps the registry up to date by watching the platform until the context ends.
// It also commits pending crash reports that come from a peer that has not committed
// them in time, or that this node has failed to commit.
func (r *Registry) Run(ctx context.Context) error {
	g := group.New(ctx)
	g.Go("poison watch", guard.Loop(r.options.Logger, "poison watch", r.watch))
	g.Go("poison pending", guard.Loop(r.options.Logger, "poison pending", r.commitPending))
	return g.Wait()
}

// watch keeps the registry up to date. Until the registry is loaded, it asks the peers
// for their copies whenever the platform does not answer.
func (r *Registry) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		err := r.refreshOrWatch(ctx)
		if err == nil {
			continue
		}
		r.mu.Lock()
		wasUp := !r.platformDown
		r.platformDown = true
		loaded := r.loaded
		r.mu.Unlock()
		if wasUp {
			r.options.Logger.WithError(err).Info("platform did not answer; the copy of the quarantine records may be out of date")
		}
		if !loaded {
			r.loadFromPeers(ctx)
		}
		pause(ctx, time.Duration((0.5+r.options.Rand())*float64(maxRetryPause)))
	}
	return ctx.Err()
}

// refreshOrWatch reads the records if the last watch or read failed. Otherwise it
// waits for a change and reads the records if there is one.
func (r *Registry) refreshOrWatch(ctx context.Context) error {
	r.mu.Lock()
	down, watched := r.platformDown, r.watchedRevision
	r.mu.Unlock()
	if down {
		return r.readAll(ctx)
	}
	watchCtx, cancel := context.WithTimeout(ctx, r.options.WatchTime)
	defer cancel()
	revision, err := r.options.Store.Watch(watchCtx, keyPrefix, watched)
	if err != nil {
		return err
	}
	if revision > watched {
		pause(ctx, time.Duration(r.options.Rand()*float64(refreshJitter)))
		return r.readAll(ctx)
	}
	r.mu.Lock()
	r.lastContact = time.Now()
	r.mu.Unlock()
	return nil
}

// readAll reads all shards from the platform.
func (r *Registry) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.options.CallTimeout)
	defer cancel()
	started := time.Now()
	entries, err := r.options.Store.List(ctx, keyPrefix)
	if err != nil {
		return err
	}
	var highest plat.Revision
	for _, entry := range entries {
		var shard int
		if _, err := fmt.Sscan(strings.TrimPrefix(entry.Key, keyPrefix), &shard); err != nil || shard < 0 || shard >= shardCount {
			continue
		}
		records, err := decodeRecords(entry.Value)
		if err != nil {
			return err
		}
		r.replaceShard(shard, entry.Revision, records)
		highest = max(highest, entry.Revision)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loaded, r.platformDown, r.lastContact = true, false, started
	r.watchedRevision = max(r.watchedRevision, highest)
	return nil
}

// commitPending commits the pending crash reports that are due, until the context
// ends.
func (r *Registry) commitPending(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, time.Duration((0.5+r.options.Rand())*float64(maxRetryPause)))
		r.mu.Lock()
		var reports []CrashReport
		for _, list := range r.pending {
			for _, p := range list {
				if time.Now().After(p.due) {
					reports = append(reports, p.report)
				}
			}
		}
		r.mu.Unlock()
		if len(reports) == 0 {
			continue
		}
		commitCtx, cancel := context.WithTimeout(ctx, r.options.CallTimeout)
		if r.commit(commitCtx, reports) == nil {
			r.push(commitCtx, PushParams{Shards: r.shardStates(reports)})
		}
		cancel()
	}
	return ctx.Err()
}

// push sends a message to all peers and reports whether all acknowledged it.
func (r *Registry) push(ctx context.Context, params PushParams) bool {
	ctx, cancel := context.WithTimeout(ctx, r.options.CallTimeout)
	defer cancel()
	peers := make(chan member.Member)
	var failed atomic.Bool
	g := group.New(ctx)
	members := r.options.Peers()
	for range min(maxConcurrentPushes, len(members)) {
		g.Go("poison push", func(ctx context.Context) error {
			for peer := range peers {
				err := guard.Do(ctx, r.options.Logger, "poison push", func(ctx context.Context) error {
					return r.options.Caller.Call(ctx, peer.PeerAddress, MethodPush, params, &PushResult{})
				})
				if err != nil {
					failed.Store(true)
				}
			}
			return nil
		})
	}
	for _, peer := range members {
		if peer.Name == r.options.Node {
			continue
		}
		select {
		case peers <- peer:
		case <-g.Context().Done():
			failed.Store(true)
		}
	}
	close(peers)
	return g.Wait() == nil && !failed.Load()
}

// loadFromPeers fills the copy from the first peer that has loaded the records. It
// is for a node that starts while the platform is down.
func (r *Registry) loadFromPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.options.CallTimeout)
	defer cancel()
	for _, peer := range r.options.Peers() {
		if peer.Name == r.options.Node || ctx.Err() != nil {
			continue
		}
		var result PushResult
		err := r.options.Caller.Call(ctx, peer.PeerAddress, MethodPush, PushParams{WantAll: true}, &result)
		if err != nil || !result.Loaded {
			continue
		}
		r.applyPeerState(result.Shards, result.CrashReports)
		r.mu.Lock()
		r.loaded = true
		r.mu.Unlock()
		return
	}
}

// applyPeerState updates the copy with the records and pending crash reports of a
// peer.
func (r *Registry) applyPeerState(shards []ShardState, reports []CrashReport) {
	for _, state := range shards {
		if state.Shard < 0 || state.Shard >= shardCount {
			continue
		}
		records := make(map[Fingerprint]Record, len(state.Records))
		for _, record := range state.Records {
			records[record.Fingerprint] = record
		}
		r.replaceShard(state.Shard, state.Revision, records)
	}
	// The random delay makes the nodes try to commit at different times. Once one of them
	// has committed the reports, the others do not need to.
	r.addPending(reports, time.Now().Add(time.Duration((1+r.options.Rand())*float64(takeoverDelay))))
}

func (r *Registry) handlePush(_ context.Context, _ string, params PushParams) (PushResult, error) {
	for _, state := range params.Shards {
		for _, record := range state.Records {
			if record.Fingerprint.shard() != state.Shard {
				return PushResult{}, fault.New(fault.Invalid, "a record is in the wrong shard")
			}
		}
	}
	r.applyPeerState(params.Shards, params.CrashReports)
	if !params.WantAll {
		return PushResult{}, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	result := PushResult{Loaded: r.loaded}
	for shard := range r.shards {
		result.Shards = append(result.Shards, r.shardState(shard))
	}
	for _, reports := range r.pending {
		for _, p := range reports {
			result.CrashReports = append(result.CrashReports, p.report)
		}
	}
	return result, nil
}

// pause sleeps until the duration has passed or the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
