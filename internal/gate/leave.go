package gate

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/drain"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// leave announces that this host leaves and serves until callers have moved, at most
// until stopAt.
func (g *Gateway) leave(callers *drain.Server, stopAt time.Time) {
	startedAt := time.Now()
	g.leaving.Store(true)
	g.drain.Begin(stopAt)
	g.relay.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	g.group.Go("announce", func(context.Context) error {
		if err := g.members.Leave(ctx); err != nil {
			g.log.WithError(err).WithField("event", "leave_not_announced").Warn("could not announce to the other hosts that this one leaves")
		}
		return nil
	})
	g.log.WithFields(logrus.Fields{"event": "leaving", "requests": g.relay.InFlight()}).Info("this host is leaving")
	minLeaveTime := time.Duration(addressLifetimes * float64(g.settings.AddressLifetime))
	for time.Now().Before(stopAt) {
		if time.Since(startedAt) > minLeaveTime && !callers.Busy() && g.links.tunnels.InUse() == 0 && g.relay.SinceLastRequest() > quietPeriod {
			break
		}
		time.Sleep(leavePollInterval)
	}
	g.log.WithFields(logrus.Fields{"event": "left", "requests": g.relay.InFlight(), "stages": g.relay.InFlightByStage(), "ms": time.Since(startedAt).Milliseconds()}).
		Info("this host stops serving")
}

// stopServers stops the servers. Requests on open connections are answered until the
// given time.
func (g *Gateway) stopServers(servers []*drain.Server, end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	stopping := group.New(ctx)
	for _, s := range servers {
		stopping.Go("stop", func(ctx context.Context) error {
			if err := s.Stop(ctx); err != nil {
				g.relay.Cut()
				g.log.WithError(err).WithFields(logrus.Fields{"event": "requests_cut", "requests": g.relay.InFlight(), "stages": g.relay.InFlightByStage()}).
					Warn("requests were still running when this host stopped")
			}
			return s.Close()
		})
	}
	if err := stopping.Wait(); err != nil {
		g.log.WithError(err).WithField("event", "stop_failed").Warn("a server could not be closed")
	}
}
