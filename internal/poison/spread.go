package poison

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const keyPrefix = "poison/"

func shardKey(shard int) string { return fmt.Sprintf("%s%d", keyPrefix, shard) }

// Run keeps the copy up to date by watching the platform, and commits suspects
// whose blaming node did not, until the context ends.
func (r *Registry) Run(ctx context.Context) error {
	g := group.New(ctx)
	g.Go("poison watch", r.watch)
	g.Go("poison pending", r.commitPending)
	return g.Wait()
}

func (r *Registry) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		err := r.follow(ctx)
		if err == nil {
			continue
		}
		r.mu.Lock()
		first := !r.down
		r.down = true
		loaded := r.loaded
		r.mu.Unlock()
		if first {
			r.options.Logger.WithError(err).Info("quarantine_copy_stale")
		}
		if !loaded {
			r.askPeers(ctx)
		}
		pause(ctx, time.Duration((0.5+r.options.Rand())*float64(retryMax)))
	}
	return ctx.Err()
}

// follow reads the records if the copy is old, then waits for a change.
func (r *Registry) follow(ctx context.Context) error {
	r.mu.Lock()
	down, seen := r.down, r.seen
	r.mu.Unlock()
	if down {
		return r.read(ctx)
	}
	watch, cancel := context.WithTimeout(ctx, r.options.WatchTime)
	defer cancel()
	revision, err := r.options.Store.Watch(watch, keyPrefix, seen)
	if err != nil {
		return err
	}
	if revision > seen {
		pause(ctx, time.Duration(r.options.Rand()*float64(refreshJitter)))
		return r.read(ctx)
	}
	r.mu.Lock()
	r.contact = time.Now()
	r.mu.Unlock()
	return nil
}

func (r *Registry) read(ctx context.Context) error {
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
		r.adopt(shard, entry.Revision, records)
		highest = max(highest, entry.Revision)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loaded, r.down, r.contact = true, false, started
	r.seen = max(r.seen, highest)
	return nil
}

// commitPending commits marks that are overdue.
func (r *Registry) commitPending(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, time.Duration((0.5+r.options.Rand())*float64(retryMax)))
		r.mu.Lock()
		var marks []Mark
		for _, list := range r.pending {
			for _, p := range list {
				if time.Now().After(p.due) {
					marks = append(marks, p.mark)
				}
			}
		}
		r.mu.Unlock()
		if len(marks) == 0 {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, r.options.CallTimeout)
		if r.commit(limited, marks) == nil {
			r.push(limited, PushParams{Shards: r.states(marks)})
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
	var missed atomic.Bool
	g := group.New(ctx)
	members := r.options.Peers()
	for range min(pushLimit, len(members)) {
		g.Go("poison push", func(ctx context.Context) error {
			for peer := range peers {
				var result PushResult
				if err := r.options.Caller.Call(ctx, peer.PeerAddress, MethodPush, params, &result); err != nil {
					missed.Store(true)
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
			missed.Store(true)
		}
	}
	close(peers)
	return g.Wait() == nil && !missed.Load()
}

// askPeers fills the copy of a node that starts while the platform is down.
func (r *Registry) askPeers(ctx context.Context) {
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
		r.take(result.Shards, result.Marks)
		r.mu.Lock()
		r.loaded = true
		r.mu.Unlock()
		return
	}
}

func (r *Registry) take(shards []ShardState, marks []Mark) {
	for _, state := range shards {
		if state.Shard < 0 || state.Shard >= shardCount {
			continue
		}
		records := make(map[Fingerprint]Record, len(state.Records))
		for _, record := range state.Records {
			records[record.Fingerprint] = record
		}
		r.adopt(state.Shard, state.Revision, records)
	}
	// Peers try at different times, so the first of them spares the others.
	r.hold(marks, time.Now().Add(time.Duration((1+r.options.Rand())*float64(adoptTime))))
}

func (r *Registry) handlePush(_ context.Context, _ string, params PushParams) (PushResult, error) {
	for _, state := range params.Shards {
		for _, record := range state.Records {
			if record.Fingerprint.shard() != state.Shard {
				return PushResult{}, fault.New(fault.Invalid, "a record is in the wrong shard")
			}
		}
	}
	r.take(params.Shards, params.Marks)
	if !params.WantAll {
		return PushResult{}, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	result := PushResult{Loaded: r.loaded}
	for shard := range r.shards {
		result.Shards = append(result.Shards, r.state(shard))
	}
	for _, marks := range r.pending {
		for _, p := range marks {
			result.Marks = append(result.Marks, p.mark)
		}
	}
	return result, nil
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
