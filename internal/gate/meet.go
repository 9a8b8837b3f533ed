package gate

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/feed"
	"github.com/verbenapier/verbenapier/internal/params"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// meetInterval is how often a gateway joins those that have announced themselves.
	meetInterval = 500 * time.Millisecond
	// A gateway that has known no other for aloneTime announces itself, for announceTTL
	// and again after half of that. Seeds that are alive answer much sooner.
	aloneTime   = 1500 * time.Millisecond
	announceTTL = 10 * time.Second
)

// meet joins the gateways that have announced themselves on the platform, and announces
// this one while it knows no other: all its seeds may be gone.
func (g *Gateway) meet(ctx context.Context) error {
	var aloneSince, announcedAt time.Time
	for {
		if err := g.members.Meet(ctx, g.state.Gateways()); err != nil {
			return err
		}
		switch now := time.Now(); {
		case len(g.members.Members()) > 1:
			aloneSince = time.Time{}
		case aloneSince.IsZero():
			aloneSince = now
		case now.Sub(aloneSince) >= aloneTime && now.Sub(announcedAt) >= announceTTL/2:
			announcedAt = now
			g.announce(ctx)
		}
		if !group.Sleep(ctx, meetInterval) {
			return ctx.Err()
		}
	}
}

// announce announces this gateway on the platform.
func (g *Gateway) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	log := g.log.WithField("event", "announced")
	if err := g.adapter.Meeting.Announce(ctx, g.settings.Name, g.settings.PeerAdvertise, announceTTL); err != nil {
		log.WithError(err).Warn("this host knows no other and could not announce itself on the platform; it tries again")
		return
	}
	log.Info("this host knows no other and has announced itself on the platform")
}

// Reload takes over the seeds of changed settings.
func (g *Gateway) Reload(s params.Gateway) { g.members.SetSeeds(s.Seeds) }

// readGateways returns the addresses of the gateways that have announced themselves. The
// caller holds mu.
func (s *state) readGateways(live map[string]feed.Entry) []string {
	var addresses []string
	for key, entry := range live {
		address, ok, err := s.adapter.DecodeGateway(key, entry.Value)
		switch {
		case err != nil && s.refused[key] != entry.Version:
			s.refused[key] = entry.Version
			s.log.WithError(err).WithFields(logrus.Fields{"event": "gateway_unreadable", "key": key}).
				Warn("the address of a gateway on the platform cannot be read and has no effect")
		case err != nil:
		case ok:
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Gateways returns the peer addresses of the gateways that have announced themselves.
func (s *state) Gateways() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gateways
}
