// Package limits bounds the requests, tokens and concurrency of organisations
// over all nodes, and the retries of services and organisations.
package limits

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// leaseTime is how long an allowance may be used.
	leaseTime = time.Second
	// slotSpare is the number of running requests for which a node asks for one
	// slot in advance.
	slotSpare = 8

	defaultSlotTime    = 9 * time.Second
	defaultCallTimeout = 250 * time.Millisecond
	// idleTime is how long an organisation without requests is remembered.
	idleTime = time.Minute
	// renewLimit bounds the renewals in flight.
	renewLimit = 16
)

// Options of a Limiter. Caller, Home, Live and Node are required.
type Options struct {
	Caller wire.Caller
	// Home names the node that keeps an organisation's limits.
	Home func(organisation string) (member.Member, bool)
	// Live returns the number of live nodes.
	Live func() int
	Node string
	// SlotTime is how long the concurrency of a node that is gone stays taken.
	// Nodes renew it three times in this time.
	SlotTime time.Duration
	// CallTimeout bounds a lease call. After it the node uses its part of the
	// limits for a second.
	CallTimeout time.Duration
	Logger      logrus.FieldLogger
	Scope       tally.Scope
}

// Limiter admits requests. It leases allowances of one second from the
// organisation's home node, so that a node sends at most one message for each
// admitted request and about two a second for each of its organisations,
// whatever the size of the fleet.
//
// In any window of T seconds an organisation is admitted at most its limit times
// T+2: one second that the home node had saved up, and one second of allowances
// leased before the window. A prompt with more tokens than are left is admitted
// when no debt is left, so tokens exceed the bound by at most one such prompt.
//
// A node that cannot reach the home node uses its part: the limit divided by
// the number of live nodes it knows. Concurrency is rounded down. While a
// partition lasts, each side may find a home node of its own and admit up to the
// whole limit. Two sides together admit at most twice the limit times T+3; the
// third extra second is that of the parts, which a side may use just before its
// own home node answers. When the home node moves, the new one starts with one
// second saved up and learns of running requests within a third of SlotTime;
// until then up to twice the concurrency may run.
type Limiter struct {
	options Options

	mu       sync.Mutex
	accounts map[string]*account

	homesMu sync.Mutex
	homes   map[string]*home
}

// New returns a limiter.
func New(options Options) *Limiter {
	if options.SlotTime <= 0 {
		options.SlotTime = defaultSlotTime
	}
	if options.CallTimeout <= 0 {
		options.CallTimeout = defaultCallTimeout
	}
	if options.Logger == nil {
		options.Logger = logrus.StandardLogger()
	}
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	return &Limiter{options: options, accounts: map[string]*account{}, homes: map[string]*home{}}
}

// Register adds the handler of the peer message.
func (l *Limiter) Register(mux *wire.Mux) {
	mux.Handle(MethodLease, wire.Typed(l.handleLease))
}

// limited is a RateLimited error with the time after which to try again.
type limited struct {
	error
	after time.Duration
}

func (l limited) Unwrap() error { return l.error }

func errLimited(after time.Duration) error {
	return limited{fault.New(fault.RateLimited, "the organisation is over its limit"), after}
}

// RetryAfter returns the time to wait that a RateLimited error carries.
func RetryAfter(err error) (time.Duration, bool) {
	var l limited
	ok := errors.As(err, &l)
	return l.after, ok
}

// Admit admits a request with a number of tokens. Release must be called when
// the request has ended; it may be called more than once. The error is
// RateLimited, see RetryAfter, or NotStarted when the context ends first.
func (l *Limiter) Admit(ctx context.Context, organisation string, limits Limits, tokens int) (release func(), err error) {
	if limits.none() {
		return func() {}, nil
	}
	a := l.account(organisation)
	amount := Amount{Requests: 1, Tokens: float64(tokens)}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits = limits
	a.note(amount, time.Now())
	a.waiting.Requests += amount.Requests
	a.waiting.Tokens += amount.Tokens
	a.waitingCount++
	err = l.admit(ctx, a, amount)
	a.waiting.Requests -= amount.Requests
	a.waiting.Tokens -= amount.Tokens
	a.waitingCount--
	if err != nil {
		l.options.Scope.Counter("limits_refused").Inc(1)
		return nil, err
	}
	return sync.OnceFunc(func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.running--
	}), nil
}

// admit is called with the account locked; it unlocks it while it waits.
func (l *Limiter) admit(ctx context.Context, a *account, amount Amount) error {
	for {
		now := time.Now()
		switch {
		case a.take(amount, now):
			return nil
		case now.Before(a.aloneUntil):
			if wait, ok := a.takeShare(amount, l.options.Live(), now); !ok {
				return errLimited(wait)
			}
			return nil
		case now.Before(a.refusedUntil):
			return errLimited(a.refusedUntil.Sub(now))
		case a.leasing == nil:
			l.lease(ctx, a, amount)
		default:
			leasing := a.leasing
			a.mu.Unlock()
			select {
			case <-leasing:
			case <-ctx.Done():
			}
			a.mu.Lock()
		}
		if ctx.Err() != nil {
			return fault.Wrap(fault.NotStarted, ctx.Err(), "the time limit passed before the request was admitted")
		}
	}
}

// lease asks the home node for an allowance, with the account locked before
// and after the call. Requests that come meanwhile wait for its result.
func (l *Limiter) lease(ctx context.Context, a *account, need Amount) {
	done := make(chan struct{})
	a.leasing = done
	params := a.params(need, time.Now())
	a.mu.Unlock()
	result, err := l.call(ctx, params)
	a.mu.Lock()
	now := time.Now()
	switch {
	case err == nil:
		a.granted(params, result, now)
	case ctx.Err() == nil:
		a.aloneUntil = now.Add(leaseTime)
		l.options.Scope.Counter("limits_home_unreachable").Inc(1)
		l.options.Logger.WithError(err).Debug("limits_home_unreachable")
	}
	a.leasing = nil
	close(done)
}

func (l *Limiter) call(ctx context.Context, params LeaseParams) (LeaseResult, error) {
	owner, ok := l.options.Home(params.Organisation)
	if !ok {
		return LeaseResult{}, fault.New(fault.Unreachable, "the organisation has no home node")
	}
	if owner.Name == l.options.Node {
		return l.handleLease(ctx, l.options.Node, params)
	}
	ctx, cancel := context.WithTimeout(ctx, l.options.CallTimeout)
	defer cancel()
	l.options.Scope.Counter("limits_leases").Inc(1)
	var result LeaseResult
	err := l.options.Caller.Call(ctx, owner.PeerAddress, MethodLease, params, &result)
	return result, err
}

// handleLease answers as home node. It answers whoever asks: a node that is
// wrong about the home node gets an allowance from a second one.
func (l *Limiter) handleLease(_ context.Context, from string, params LeaseParams) (LeaseResult, error) {
	if params.Limits.none() || params.Running < 0 || params.Slots < 0 {
		return LeaseResult{}, fault.New(fault.Invalid, "malformed lease")
	}
	l.homesMu.Lock()
	defer l.homesMu.Unlock()
	h, ok := l.homes[params.Organisation]
	if !ok {
		h = &home{holds: map[string]hold{}, askers: map[string]time.Time{}}
		l.homes[params.Organisation] = h
	}
	return h.lease(from, params, time.Now(), l.options.SlotTime), nil
}

func (l *Limiter) account(organisation string) *account {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[organisation]
	if !ok {
		a = &account{organisation: organisation}
		l.accounts[organisation] = a
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used = time.Now() // before the sweep can see the account again
	return a
}

// Run reports running requests to the home nodes, so that concurrency becomes
// free when requests end, until the context ends.
func (l *Limiter) Run(ctx context.Context) error {
	ticker := time.NewTicker(leaseTime)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			l.sweep()
			l.renew(ctx)
		}
	}
}

// renew sends the number of running requests where it has changed or where the
// home node would forget it.
func (l *Limiter) renew(ctx context.Context) {
	due := l.due(time.Now())
	work := make(chan *account, len(due))
	for _, a := range due {
		work <- a
	}
	close(work)
	g := group.New(ctx)
	for range min(renewLimit, len(due)) {
		g.Go("limits renew", func(ctx context.Context) error {
			for a := range work {
				a.mu.Lock()
				if a.leasing == nil {
					l.lease(ctx, a, Amount{})
				}
				a.mu.Unlock()
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		l.options.Logger.WithError(err).Error("limits_renew_failed")
	}
}

func (l *Limiter) due(now time.Time) []*account {
	l.mu.Lock()
	defer l.mu.Unlock()
	var due []*account
	for _, a := range l.accounts {
		a.mu.Lock()
		old := a.running > 0 && now.Sub(a.reportedAt) >= l.options.SlotTime/3
		if a.limits.Concurrent > 0 && (a.running != a.reported || old) && !now.Before(a.aloneUntil) {
			due = append(due, a)
		}
		a.mu.Unlock()
	}
	return due
}

// sweep forgets organisations whose state is that of new ones.
func (l *Limiter) sweep() {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for organisation, a := range l.accounts {
		a.mu.Lock()
		idle := a.running == 0 && a.reported == 0 && a.waitingCount == 0 && now.Sub(a.used) > idleTime
		a.mu.Unlock()
		if idle {
			delete(l.accounts, organisation)
		}
	}
	l.homesMu.Lock()
	defer l.homesMu.Unlock()
	for organisation, h := range l.homes {
		if h.idle(now) {
			delete(l.homes, organisation)
		}
	}
}
