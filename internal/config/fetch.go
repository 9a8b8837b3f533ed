package config

import (
	"context"
	"time"

	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// MethodFetch asks a peer for its configuration.
const MethodFetch = "config.fetch"

// heldDigits is how many digits of a held hash travel in a fetch. Should two
// parts share them, the fetch is repeated without held hashes.
const heldDigits = 16

// Fetch asks for a revision above Have, without the parts already held.
type Fetch struct {
	Have uint64 `json:"have"`
	// Held lists the first 16 digits of the hashes already held.
	Held []string `json:"held,omitempty"`
}

// FetchReply is a manifest with some of the parts that were not held. More
// says that others did not fit.
type FetchReply struct {
	Manifest Manifest          `json:"manifest"`
	Parts    map[string][]byte `json:"parts,omitempty"`
	More     bool              `json:"more,omitempty"`
}

// Register adds the handlers of the configuration to a mux.
func (k *Keeper) Register(m *wire.Mux) {
	m.Handle(MethodFetch, wire.Typed(k.serveFetch))
}

// serveFetch returns NoConfig when this node has none, Stale when it has none
// above the caller's and Overloaded when it serves many fetches already.
func (k *Keeper) serveFetch(_ context.Context, _ string, f Fetch) (FetchReply, error) {
	select {
	case k.serving <- struct{}{}:
		defer func() { <-k.serving }()
	default:
		return FetchReply{}, fault.New(fault.Overloaded, "%d fetches in progress", maxServing)
	}
	s, err := k.Require()
	if err != nil {
		return FetchReply{}, err
	}
	if s.Manifest.Revision <= f.Have {
		return FetchReply{}, fault.New(fault.Stale, "revision %d is not above %d", s.Manifest.Revision, f.Have)
	}
	held := make(map[string]bool, len(f.Held))
	for _, h := range f.Held {
		held[h] = true
	}
	reply := FetchReply{Manifest: s.Manifest, Parts: map[string][]byte{}}
	size := 0
	for hash, content := range s.Parts {
		if held[hash[:heldDigits]] {
			continue
		}
		if size > 0 && size+len(content) > maxReply {
			reply.More = true
			continue
		}
		reply.Parts[hash] = content
		size += len(content)
	}
	return reply, nil
}

// Learn tells that a peer has a higher revision in force.
func (k *Keeper) Learn(revision uint64, peer member.Member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if revision <= k.Revision() || revision == k.refused && time.Since(k.refusedAt) < refusedTime {
		return
	}
	if revision > k.wanted {
		k.wanted = revision
		k.sources = nil
	}
	if revision == k.wanted && len(k.sources) < maxSources {
		k.sources = append(k.sources, peer)
	}
	select {
	case k.learned <- struct{}{}:
	default:
	}
}

// source takes the next peer to fetch from: one that announced the wanted
// revision. The second result is false when there is nothing to fetch or
// nobody to ask; pings bring further announcements.
func (k *Keeper) source() (member.Member, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.wanted <= k.Revision() || len(k.sources) == 0 {
		return member.Member{}, false
	}
	peer := k.sources[0]
	k.sources = k.sources[1:]
	return peer, true
}

// fetchLoop fetches revisions that peers announce.
func (k *Keeper) fetchLoop(ctx context.Context) error {
	backoff := fetchRetryMin
	for {
		select {
		case <-k.learned:
		case <-ctx.Done():
			return ctx.Err()
		}
		for {
			peer, ok := k.source()
			if !ok {
				break
			}
			err := k.fetch(ctx, peer)
			if err == nil {
				backoff = fetchRetryMin
				continue
			}
			k.log.WithField("event", "config_fetch_failed").WithField("peer", peer.Name).WithError(err).Warn("configuration not fetched")
			if !k.pause(ctx, &backoff, fetchRetryMax) {
				return ctx.Err()
			}
		}
	}
}

// fetch gets the configuration of a peer and puts it in force.
func (k *Keeper) fetch(ctx context.Context, peer member.Member) error {
	if k.without&PeerFetch != 0 {
		return fault.New(fault.Unreachable, "fetching from peers is switched off")
	}
	contents := k.held()
	announce := true
	for {
		f := Fetch{Have: k.Revision()}
		for hash := range contents {
			if announce {
				f.Held = append(f.Held, hash[:heldDigits])
			}
		}
		var reply FetchReply
		if err := k.call(ctx, peer, f, &reply); err != nil {
			return err
		}
		for hash, content := range reply.Parts {
			if len(hash) != 2*32 {
				return fault.New(fault.Invalid, "malformed hash from %s", peer.Name)
			}
			contents[hash] = content
		}
		missing := 0
		for _, part := range reply.Manifest.Parts {
			if _, ok := contents[part.Hash]; !ok {
				missing++
			}
		}
		if missing == 0 {
			err := k.install(reply.Manifest, contents)
			if fault.Is(err, fault.Stale) {
				return nil
			}
			return err
		}
		if len(reply.Parts) == 0 {
			if !announce {
				return fault.New(fault.Invalid, "%s lacks %d parts of its own manifest", peer.Name, missing)
			}
			announce = false
		}
	}
}

func (k *Keeper) call(ctx context.Context, peer member.Member, f Fetch, reply *FetchReply) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	began := time.Now()
	err := k.caller.Call(ctx, peer.PeerAddress, MethodFetch, f, reply)
	if err != nil {
		return fault.Wrap(fault.KindOf(err), err, "fetch from %s after %s", peer.Name, time.Since(began))
	}
	return nil
}
