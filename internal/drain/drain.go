// Package drain lets a process stop without leaving a request unanswered: requests
// know when the process stops, and servers stop when their connections are idle.
package drain

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/guard"
)

// ErrStopping is the cancellation cause of work that cannot end before the process
// stops.
var ErrStopping = errors.New("the process stops")

// Drain holds the time at which a process stops answering, once that is known.
type Drain struct {
	log logrus.FieldLogger

	mu sync.Mutex
	// stopAt is zero until Begin.
	stopAt time.Time
	alarms map[*alarm]struct{}
}

// alarm calls a function once less than need is left until the stop.
type alarm struct {
	need time.Duration
	call func()

	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
}

// New returns a Drain without a stop time. It logs the panics of functions that it calls.
func New(log logrus.FieldLogger) *Drain { return &Drain{log: log, alarms: map[*alarm]struct{}{}} }

// Begin sets the stop time. A later call can only bring it forward.
func (d *Drain) Begin(stopAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stopAt.IsZero() && !stopAt.Before(d.stopAt) {
		return
	}
	d.stopAt = stopAt
	for a := range d.alarms {
		a.arm(stopAt)
	}
}

// Fits reports whether work that takes the given time ends before the stop.
func (d *Drain) Fits(need time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopAt.IsZero() || time.Until(d.stopAt) > need
}

// Context returns a context that also ends, with the cause ErrStopping, once less than
// need is left until the stop.
func (d *Drain) Context(ctx context.Context, need time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := d.Before(need, func() { cancel(ErrStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// Before calls fn once less than need is left until the stop, at once if that is so
// already. It returns a function after whose return fn is no longer called. Fn must not
// block.
func (d *Drain) Before(need time.Duration, fn func()) (stop func()) {
	if !d.Fits(need) {
		fn()
		return func() {}
	}
	a := &alarm{need: need, call: func() { guard.Run(d.log, "drain", fn) }}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.alarms[a] = struct{}{}
	if !d.stopAt.IsZero() {
		a.arm(d.stopAt)
	}
	return func() {
		d.mu.Lock()
		delete(d.alarms, a)
		d.mu.Unlock()
		a.stop()
	}
}

func (a *alarm) arm(stopAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.timer != nil {
		a.timer.Stop()
	}
	a.timer = time.AfterFunc(time.Until(stopAt)-a.need, a.fire)
}

func (a *alarm) fire() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.stopped {
		a.stopped = true
		a.call()
	}
}

func (a *alarm) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	if a.timer != nil {
		a.timer.Stop()
	}
}
