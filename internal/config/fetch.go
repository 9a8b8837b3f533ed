package config

import (
	"context"
	"time"

	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// MethodFetch is the peer call that returns the configuration of the peer.
const MethodFetch = "config.fetch"

// hashPrefixLen is how many digits of the hash of a held part are sent in a
// request. If two parts share them, the request is repeated without prefixes.
const hashPrefixLen = 16

// FetchRequest asks for a configuration with a revision above Above, without the
// parts that the caller holds.
type FetchRequest struct {
	Above uint64 `json:"have"`
	// HeldPrefixes lists the first 16 digits of the hashes of the parts that
	// the caller holds.
	HeldPrefixes []string `json:"held,omitempty"`
}

// FetchReply is a manifest with parts that the caller does not hold. Truncated
// reports that further parts exceeded the size limit of a reply.
type FetchReply struct {
	Manifest  Manifest          `json:"manifest"`
	Parts     map[string][]byte `json:"parts,omitempty"`
	Truncated bool              `json:"more,omitempty"`
}

// Register adds the handlers of the configuration to a mux.
func (k *Keeper) Register(m *wire.Mux) {
	m.Handle(MethodFetch, wire.Typed(k.serveFetch))
}

// serveFetch returns the configuration in force. Its errors are NoConfig if there
// is none, Stale if its revision is not above the caller's, and Overloaded if
// maxConcurrentFetches are being served already.
func (k *Keeper) serveFetch(_ context.Context, _ string, request FetchRequest) (FetchReply, error) {
	select {
	case k.fetchSlots <- struct{}{}:
		defer func() { <-k.fetchSlots }()
	default:
		return FetchReply{}, fault.New(fault.Overloaded, "%d fetches in progress", maxConcurrentFetches)
	}
	s, err := k.Require()
	if err != nil {
		return FetchReply{}, err
	}
	if s.Manifest.Revision <= request.Above {
		return FetchReply{}, fault.New(fault.Stale, "revision %d is not above %d", s.Manifest.Revision, request.Above)
	}
	held := make(map[string]bool, len(request.HeldPrefixes))
	for _, h := range request.HeldPrefixes {
		held[h] = true
	}
	reply := FetchReply{Manifest: s.Manifest, Parts: map[string][]byte{}}
	size := 0
	for hash, content := range s.Parts {
		if held[hash[:hashPrefixLen]] {
			continue
		}
		if size > 0 && size+len(content) > maxReplyBytes {
			reply.Truncated = true
			continue
		}
		reply.Parts[hash] = content
		size += len(content)
	}
	return reply, nil
}

// Learn records that a peer has announced a revision. It triggers a fetch if the
// revision is above the one in force and was not refused recently.
func (k *Keeper) Learn(revision uint64, peer member.Member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if revision <= k.Revision() || revision == k.refusedRevision && time.Since(k.refusedAt) < refusedRetryDelay {
		return
	}
	if revision > k.announced {
		k.announced = revision
		k.announcers = nil
	}
	if revision == k.announced && len(k.announcers) < maxAnnouncers {
		k.announcers = append(k.announcers, peer)
	}
	select {
	case k.fetchSignal <- struct{}{}:
	default:
	}
}

// nextAnnouncer removes and returns a peer that announced the highest revision.
// The second result is false if that revision is in force already or no such
// peer is left; pings bring further announcements.
func (k *Keeper) nextAnnouncer() (member.Member, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.announced <= k.Revision() || len(k.announcers) == 0 {
		return member.Member{}, false
	}
	peer := k.announcers[0]
	k.announcers = k.announcers[1:]
	return peer, true
}

// fetchLoop fetches announced revisions until the context ends.
func (k *Keeper) fetchLoop(ctx context.Context) error {
	backoff := fetchRetryMin
	for {
		select {
		case <-k.fetchSignal:
		case <-ctx.Done():
			return ctx.Err()
		}
		for {
			peer, ok := k.nextAnnouncer()
			if !ok {
				break
			}
			err := k.fetch(ctx, peer)
			if err == nil {
				backoff = fetchRetryMin
				continue
			}
			k.log.WithField("event", "config_fetch_failed").WithField("peer", peer.Name).WithError(err).Warn("fetching the configuration from a peer failed")
			if !k.sleepBackoff(ctx, &backoff, fetchRetryMax) {
				return ctx.Err()
			}
		}
	}
}

// fetch reads the configuration of a peer, in several calls if it does not fit
// into one reply, and puts it in force.
func (k *Keeper) fetch(ctx context.Context, peer member.Member) error {
	if k.disabled&PeerFetch != 0 {
		return fault.New(fault.Unreachable, "fetching from peers is disabled")
	}
	contents := k.partsInForce()
	sendHeld := true
	for {
		request := FetchRequest{Above: k.Revision()}
		for hash := range contents {
			if sendHeld {
				request.HeldPrefixes = append(request.HeldPrefixes, hash[:hashPrefixLen])
			}
		}
		var reply FetchReply
		if err := k.callFetch(ctx, peer, request, &reply); err != nil {
			return err
		}
		for hash, content := range reply.Parts {
			if len(hash) != 2*32 {
				return fault.New(fault.Invalid, "malformed part hash from %s", peer.Name)
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
			if !sendHeld {
				return fault.New(fault.Invalid, "%s lacks %d parts of its own manifest", peer.Name, missing)
			}
			sendHeld = false
		}
	}
}

func (k *Keeper) callFetch(ctx context.Context, peer member.Member, request FetchRequest, reply *FetchReply) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	began := time.Now()
	err := k.caller.Call(ctx, peer.PeerAddress, MethodFetch, request, reply)
	if err != nil {
		return fault.Wrap(fault.KindOf(err), err, "fetch from %s after %s", peer.Name, time.Since(began))
	}
	return nil
}
