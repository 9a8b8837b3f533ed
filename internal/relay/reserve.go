package relay

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/internal/place"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// reservationTTL is how long a helper keeps a reservation without a
	// renewal. A reservation may never be released, because the host that
	// requested it died or because the helper made it late, after the call to
	// release it. It must then expire before the four seconds have passed after
	// which unused memory counts as lost.
	reservationTTL = 3500 * time.Millisecond
	// renewInterval allows for two lost renewals within reservationTTL.
	renewInterval = time.Second
	// maxFailedChecks is the number of successive liveness checks without an
	// answer after which the attempt on an engine is ended. The engine is checked
	// with each renewal. The helpers' memory is thus released within 2.5 s of the
	// engine's death.
	maxFailedChecks = 2
	// engineCallTimeout bounds one call to reserve, to release or to check an
	// engine.
	engineCallTimeout = 500 * time.Millisecond
	// releaseAttempts is how often a release is tried until it is answered.
	releaseAttempts = 3
)

// reservation is the memory that a request has reserved on its helpers. It is
// renewed until it is released.
type reservation struct {
	server *Server
	log    logrus.FieldLogger
	// engine is the engine that runs the request.
	engine  place.Upstream
	helpers []place.Helper
	renewal *group.Group
	// onDead is called if the engine does not answer maxFailedChecks checks in a
	// row.
	onDead func()
}

// reserve reserves memory on the helpers of the grant that need it, and returns
// all helpers, with the tickets of their reservations. Number is the number of
// the attempt, which makes the tickets unique. The reservation is nil if no
// helper needs memory. After an error everything that was reserved is released.
func (c *call) reserve(ctx context.Context, number int, g place.Grant, onDead func()) ([]place.Helper, *reservation, error) {
	r := &reservation{server: c.server, log: c.server.options.Log.WithField("request", c.meta.ID), engine: g.Upstream, onDead: onDead}
	ticketed := make([]place.Helper, len(g.Helpers))
	for i, h := range g.Helpers {
		if h.Reserve > 0 {
			h.Ticket = c.meta.ID + "-" + strconv.Itoa(number) + "-" + strconv.Itoa(i)
			r.helpers = append(r.helpers, h)
		}
		ticketed[i] = h
	}
	if len(r.helpers) == 0 {
		return g.Helpers, nil, nil
	}
	if err := r.reserveAll(ctx); err != nil {
		r.release()
		return nil, nil, fault.Wrap(fault.UpstreamRefused, err, "memory for the prompt was not reserved")
	}
	c.logDecision("reserved", "memory was reserved at helpers", logrus.Fields{
		"helpers": len(r.helpers), "tokens": r.helpers[0].Reserve,
	})
	r.renewal = group.New(c.server.options.Group.Context())
	r.renewal.Go("renewal", r.renew)
	return ticketed, r, nil
}

// reserveAll makes the reservations on all helpers in parallel, until the first fails.
func (r *reservation) reserveAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	g := group.New(ctx)
	for _, h := range r.helpers {
		g.Go("reserve", func(ctx context.Context) error {
			return r.server.options.Reserver.Reserve(ctx, h, h.Reserve, reservationTTL)
		})
	}
	return g.Wait()
}

// renewAll renews the reservations on all helpers in parallel. A helper that does not take
// its renewal has no effect on the others.
func (r *reservation) renewAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	g := group.New(ctx)
	errs := make([]error, len(r.helpers))
	for i, h := range r.helpers {
		g.Go("renew", func(ctx context.Context) error {
			errs[i] = r.server.options.Reserver.Reserve(ctx, h, h.Reserve, reservationTTL)
			return nil
		})
	}
	return errors.Join(append(errs, g.Wait())...)
}

// renew checks the engine and renews the reservations until the context ends or
// the engine counts as dead.
func (r *reservation) renew(ctx context.Context) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	unanswered := 0
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		if r.engineAlive(ctx) {
			unanswered = 0
		} else if unanswered++; unanswered >= maxFailedChecks {
			r.log.WithFields(logrus.Fields{"event": "engine_silent", "upstream": r.engine.ID}).
				Warn("the engine of a request does not answer; its helpers' memory is released")
			r.onDead()
			return nil
		}
		if err := r.renewAll(ctx); err != nil && ctx.Err() == nil {
			r.log.WithError(err).WithField("event", "renewal_failed").Warn("a reservation of memory on the helpers could not be renewed")
		}
	}
}

// engineAlive reports whether the engine of the request answers. It returns
// true if ctx ended meanwhile.
func (r *reservation) engineAlive(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	return r.server.options.Reserver.Alive(callCtx, r.engine) == nil || ctx.Err() != nil
}

// release stops the renewal and releases the reservations, in the background. A
// nil reservation is allowed.
func (r *reservation) release() {
	if r == nil {
		return
	}
	r.server.options.Group.Go("release", guard.Task(r.log, "release", r.releaseAll))
}

// releaseAll waits for the end of the renewal, and releases all reservations.
func (r *reservation) releaseAll(ctx context.Context) error {
	var err error
	if r.renewal != nil {
		r.renewal.Stop()
		err = r.renewal.Wait()
	}
	for _, h := range r.helpers {
		guard.Run(r.log, "release", func() { r.releaseOne(ctx, h) })
	}
	return err
}

// releaseOne releases the reservation on one helper. If no try is answered, the
// reservation expires by itself.
func (r *reservation) releaseOne(ctx context.Context, h place.Helper) {
	var err error
	for range releaseAttempts {
		callCtx, cancel := context.WithTimeout(ctx, engineCallTimeout)
		err = r.server.options.Reserver.Release(callCtx, h)
		cancel()
		if err == nil {
			return
		}
	}
	r.log.WithError(err).WithFields(logrus.Fields{"event": "release_failed", "upstream": h.ID, "ticket": h.Ticket}).
		Warn("a reservation of memory on a helper could not be released; it expires by itself")
}
