package relay

import (
	"context"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/place"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// reserveHold is how long an engine keeps memory aside without a renewal.
	// It is shorter than the four seconds after which memory that nobody uses
	// counts as lost, so that a reservation whose host died, or that an engine
	// made late, ends in time by itself.
	reserveHold = 3500 * time.Millisecond
	// reserveRenew leaves time for two renewals that get lost.
	reserveRenew = time.Second
	// deadChecks is how many checks in a row the engine of a request may leave
	// unanswered, one with each renewal, before the request is taken from it.
	// The helpers' memory is released then: within 2.5 s of its death.
	deadChecks = 2
	// orderTimeout bounds an order to an engine.
	orderTimeout = 500 * time.Millisecond
	// releaseTries is how often a release that was not answered is repeated.
	releaseTries = 3
)

// reservation is the memory that a request holds at helpers.
type reservation struct {
	server  *Server
	log     logrus.FieldLogger
	main    place.Upstream
	helpers []place.Helper
	renewal *group.Group
	// dead is called when the engine of the request does not answer.
	dead func()
}

// reserve sets memory aside at the helpers that need it. The helpers that it
// returns carry their tickets. On an error nothing stays reserved.
func (c *call) reserve(ctx context.Context, attempt int, g place.Grant, dead func()) ([]place.Helper, *reservation, error) {
	r := &reservation{server: c.server, log: c.server.options.Log.WithField("request", c.meta.ID), main: g.Upstream, dead: dead}
	ticketed := make([]place.Helper, len(g.Helpers))
	for i, h := range g.Helpers {
		if h.Reserve > 0 {
			h.Ticket = c.meta.ID + "-" + strconv.Itoa(attempt) + "-" + strconv.Itoa(i)
			r.helpers = append(r.helpers, h)
		}
		ticketed[i] = h
	}
	if len(r.helpers) == 0 {
		return g.Helpers, nil, nil
	}
	if err := r.hold(ctx); err != nil {
		r.release()
		return nil, nil, fault.Wrap(fault.Refused, err, "memory for the prompt was not reserved")
	}
	c.decide("reserved", "memory was reserved at helpers", logrus.Fields{
		"helpers": len(r.helpers), "tokens": r.helpers[0].Reserve,
	})
	r.renewal = group.New(c.server.options.Group.Context())
	r.renewal.Go("renewal", r.renew)
	return ticketed, r, nil
}

// hold makes or renews all reservations at once.
func (r *reservation) hold(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	g := group.New(ctx)
	for _, h := range r.helpers {
		g.Go("reserve", func(ctx context.Context) error {
			return r.server.options.Memory.Reserve(ctx, h, h.Reserve, reserveHold)
		})
	}
	return g.Wait()
}

func (r *reservation) renew(ctx context.Context) error {
	ticker := time.NewTicker(reserveRenew)
	defer ticker.Stop()
	unanswered := 0
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		if r.alive(ctx) {
			unanswered = 0
		} else if unanswered++; unanswered >= deadChecks {
			r.log.WithFields(logrus.Fields{"event": "engine_silent", "upstream": r.main.ID}).
				Warn("the engine of a request does not answer; its memory is released")
			r.dead()
			return nil
		}
		if err := r.hold(ctx); err != nil && ctx.Err() == nil {
			r.log.WithError(err).WithField("event", "renewal_failed").Warn("a reservation of memory was not renewed")
		}
	}
}

// alive reports whether the engine of the request answers.
func (r *reservation) alive(ctx context.Context) bool {
	attempt, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return r.server.options.Memory.Alive(attempt, r.main) == nil || ctx.Err() != nil
}

// release ends the renewal and the reservations. It does not wait.
func (r *reservation) release() {
	if r == nil {
		return
	}
	r.server.options.Group.Go("release", func(ctx context.Context) error {
		if r.renewal != nil {
			r.renewal.Stop()
			// The renewal ends without an error.
			_ = r.renewal.Wait()
		}
		for _, h := range r.helpers {
			r.releaseOne(ctx, h)
		}
		return nil
	})
}

func (r *reservation) releaseOne(ctx context.Context, h place.Helper) {
	var err error
	for range releaseTries {
		attempt, cancel := context.WithTimeout(ctx, orderTimeout)
		err = r.server.options.Memory.Release(attempt, h)
		cancel()
		if err == nil {
			return
		}
	}
	r.log.WithError(err).WithFields(logrus.Fields{"event": "release_failed", "upstream": h.ID, "ticket": h.Ticket}).
		Warn("a reservation was not released; it ends by itself")
}
