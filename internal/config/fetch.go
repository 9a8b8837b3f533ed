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

// hashPrefixLen is how many digits of the hash of each held part a request
// contains. If a missing part has the same digits as a held one, the peer leaves
// it out; the request is then repeated without prefixes.
const hashPrefixLen = 16

// FetchRequest asks for a configuration with a revision above Above, without the
// parts that the caller holds.
type FetchRequest struct {
	Above uint64 `json:"have"`
	// HeldPrefixes lists the first 16 digits of the hashes of the parts that
	// the caller holds.
	HeldPrefixes []string `json:"held,omitempty"`
}

// FetchReply is a manifest with parts that the caller does not hold.
type FetchReply struct {
	Manifest Manifest `json:"manifest"`
	// Contents holds the contents of the parts, by hash.
	Contents map[string][]byte `json:"parts,omitempty"`
	// Truncated reports that further parts exceeded the size limit of a reply.
	Truncated bool `json:"more,omitempty"`
}

// Register adds the handlers of the configuration to a mux.
func (mgr *Manager) Register(m *wire.Mux) {
	m.Handle(MethodFetch, wire.Typed(mgr.serveFetch))
}

// serveFetch returns the configuration in force. Its errors are NoConfig if there
// is none, Stale if its revision is not above the caller's, and Overloaded if
// maxConcurrentFetches are being served already.
func (mgr *Manager) serveFetch(_ context.Context, _ string, request FetchRequest) (FetchReply, error) {
	select {
	case mgr.fetchSlots <- struct{}{}:
		defer func() { <-mgr.fetchSlots }()
	default:
		return FetchReply{}, fault.New(fault.Overloaded, "%d fetches in progress", maxConcurrentFetches)
	}
	s, err := mgr.Require()
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
	reply := FetchReply{Manifest: s.Manifest, Contents: map[string][]byte{}}
	size := 0
	for hash, content := range s.Contents {
		if held[hash[:hashPrefixLen]] {
			continue
		}
		if size > 0 && size+len(content) > maxReplyBytes {
			reply.Truncated = true
			continue
		}
		reply.Contents[hash] = content
		size += len(content)
	}
	return reply, nil
}

// HandlePeerRevision records that a peer has announced a revision. It triggers a
// fetch if the revision is above the one in force and was not refused recently.
func (mgr *Manager) HandlePeerRevision(revision uint64, peer member.Member) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	if revision <= mgr.Revision() || revision == mgr.refusedRevision && time.Since(mgr.refusedAt) < refusedRetryDelay {
		return
	}
	if revision > mgr.announced {
		mgr.announced = revision
		mgr.announcers = nil
	}
	if revision == mgr.announced && len(mgr.announcers) < maxAnnouncers {
		mgr.announcers = append(mgr.announcers, peer)
	}
	select {
	case mgr.fetchSignal <- struct{}{}:
	default:
	}
}

// nextAnnouncer removes and returns a peer that announced the highest revision.
// The second result is false if that revision is in force already or no such
// peer is left. Pings that arrive later announce the revision again.
func (mgr *Manager) nextAnnouncer() (member.Member, bool) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	if mgr.announced <= mgr.Revision() || len(mgr.announcers) == 0 {
		return member.Member{}, false
	}
	peer := mgr.announcers[0]
	mgr.announcers = mgr.announcers[1:]
	return peer, true
}

// fetchLoop fetches announced revisions until the context ends.
func (mgr *Manager) fetchLoop(ctx context.Context) error {
	backoff := fetchRetryMin
	for {
		select {
		case <-mgr.fetchSignal:
		case <-ctx.Done():
			return ctx.Err()
		}
		for {
			peer, ok := mgr.nextAnnouncer()
			if !ok {
				break
			}
			err := mgr.fetch(ctx, peer)
			if err == nil {
				backoff = fetchRetryMin
				continue
			}
			mgr.log.WithField("event", "config_fetch_failed").WithField("peer", peer.Name).WithError(err).Warn("fetching the configuration from a peer failed")
			if !mgr.sleepBackoff(ctx, &backoff, fetchRetryMax) {
				return ctx.Err()
			}
		}
	}
}

// fetch reads the configuration of a peer, in several calls if it does not fit
// into one reply, and puts it in force.
func (mgr *Manager) fetch(ctx context.Context, peer member.Member) error {
	if mgr.disabled&PeerFetch != 0 {
		return fault.New(fault.Unreachable, "fetching from peers is disabled")
	}
	contents := mgr.partsInForce()
	sendHeld := true
	for {
		request := FetchRequest{Above: mgr.Revision()}
		for hash := range contents {
			if sendHeld {
				request.HeldPrefixes = append(request.HeldPrefixes, hash[:hashPrefixLen])
			}
		}
		var reply FetchReply
		if err := mgr.callFetch(ctx, peer, request, &reply); err != nil {
			return err
		}
		for hash, content := range reply.Contents {
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
			err := mgr.install(reply.Manifest, contents)
			if fault.Is(err, fault.Stale) {
				return nil
			}
			return err
		}
		if len(reply.Contents) == 0 {
			if !sendHeld {
				return fault.New(fault.Invalid, "%s lacks %d parts of its own manifest", peer.Name, missing)
			}
			sendHeld = false
		}
	}
}

func (mgr *Manager) callFetch(ctx context.Context, peer member.Member, request FetchRequest, reply *FetchReply) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	began := time.Now()
	err := mgr.caller.Call(ctx, peer.PeerAddress, MethodFetch, request, reply)
	if err != nil {
		return fault.Wrap(fault.KindOf(err), err, "fetch from %s after %s", peer.Name, time.Since(began))
	}
	return nil
}
