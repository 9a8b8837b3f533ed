// Package limits enforces limits on the requests, tokens and concurrency of
// organisations over all nodes. On each node it also limits the retries of services
// and organisations.
package limits

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// leaseTime is the validity of an allowance.
	leaseTime = time.Second
	// runningPerSpareSlot is the number of running requests per spare slot. A spare
	// slot is one that a node requests in addition to those of its waiting requests.
	runningPerSpareSlot = 8

	defaultRunningTTL  = 9 * time.Second
	defaultCallTimeout = 250 * time.Millisecond
	// idleTimeout is how long the account of an organisation without requests is
	// kept.
	idleTimeout = time.Minute
	// maxConcurrentRenewals limits the renewals in flight.
	maxConcurrentRenewals = 16
)

// Options configure a Limiter. Caller, Home, Live and Node are required.
type Options struct {
	Caller wire.Caller
	// Home returns the organisation's home node, which leases parts of its limits to
	// the nodes; false if there is none.
	Home func(organisation string) (member.Member, bool)
	// Live returns the number of live nodes.
	Live func() int
	Node string
	// RunningTTL is how long reported running requests occupy concurrency if the node
	// does not report again, for example because it has failed. A node renews its
	// report after a third of RunningTTL. Slots of requests that have not started yet
	// expire earlier, after three lease times.
	RunningTTL time.Duration
	// CallTimeout is the timeout of a lease call. After a failed call, the node admits
	// requests from its own share of the limits for one second.
	CallTimeout time.Duration
	Logger      logrus.FieldLogger
	Scope       tally.Scope
}

// Limiter admits requests of organisations within their limits. It leases
// allowances that are valid for one second from the organisation's home node. A node
// sends at most one message for each admitted request, and about two a second for
// each of its organisations, independent of the number of nodes.
//
// In any window of T seconds, an organisation is admitted at most its limit times
// T+2. One of the two extra seconds is the burst that the home node allows. The other
// covers the allowances leased in the second before the window. A prompt with more
// tokens than are left is admitted once the home node's bucket has at least one
// token, so the admitted tokens exceed the bound by at most one such prompt.
//
// A node that cannot reach the home node uses its share: the limit divided by the
// number of live nodes that it knows. For concurrency the share is rounded down.
// During a network partition, each side may have its own home node and admit up to
// the whole limit. Two sides together admit at most twice the limit times T+3. The
// third extra second covers the shares: the nodes of a side may use them just before
// the side's own home node answers.
//
// When the home node changes, the new one starts with a burst of one second. It
// learns of the running requests within a third of RunningTTL. Until then up to twice the
// allowed concurrency may run.
type Limiter struct {
	options Options

	mu       sync.Mutex
	accounts map[string]*account

	homesMu sync.Mutex
	homes   map[string]*home
}

// New returns a limiter. Run must be called for it to renew leases.
func New(options Options) *Limiter {
	if options.RunningTTL <= 0 {
		options.RunningTTL = defaultRunningTTL
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

// Register adds the handler of lease calls from other nodes.
func (l *Limiter) Register(mux *wire.Mux) {
	mux.Handle(MethodLease, wire.Typed(l.handleLease))
}

// rateLimitedError is a RateLimited error with the time to wait before a retry.
type rateLimitedError struct {
	error
	retryAfter time.Duration
}

func (l rateLimitedError) Unwrap() error { return l.error }

func newRateLimitedError(retryAfter time.Duration) error {
	return rateLimitedError{fault.New(fault.RateLimited, "the organisation is over its limit"), retryAfter}
}

// RetryAfter returns the time to wait before a retry that err carries, if any.
func RetryAfter(err error) (time.Duration, bool) {
	var limited rateLimitedError
	ok := errors.As(err, &limited)
	return limited.retryAfter, ok
}

// Admit admits a request with a number of tokens. It may wait for a lease call. The
// caller must call release when the request has ended. Further calls of release have
// no effect.
// The error is of the kind RateLimited, with the time to wait in RetryAfter, or
// NotStarted if the context ends first.
func (l *Limiter) Admit(ctx context.Context, organisation string, limits Limits, tokens int) (release func(), err error) {
	if limits.unlimited() {
		return func() {}, nil
	}
	a := l.account(organisation)
	amount := Amount{Requests: 1, Tokens: float64(tokens)}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits = limits
	a.recordDemand(amount, time.Now())
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

// admit must be called with the account locked. It unlocks the account while it
// waits.
func (l *Limiter) admit(ctx context.Context, a *account, amount Amount) error {
	for {
		now := time.Now()
		switch {
		case a.takeAllowance(amount, now):
			return nil
		case now.Before(a.homeUnreachableUntil):
			if wait, ok := a.takeShare(amount, l.options.Live(), now); !ok {
				return newRateLimitedError(wait)
			}
			return nil
		case now.Before(a.refusedUntil):
			return newRateLimitedError(a.refusedUntil.Sub(now))
		case a.leaseDone == nil:
			l.lease(ctx, a, amount)
		default:
			leaseDone := a.leaseDone
			a.mu.Unlock()
			select {
			case <-leaseDone:
			case <-ctx.Done():
			}
			a.mu.Lock()
		}
		if ctx.Err() != nil {
			return fault.Wrap(fault.NotStarted, ctx.Err(), "the time limit passed before the request was admitted")
		}
	}
}

// lease asks the home node for an allowance that covers need. If need is zero, it
// only renews the report of the running requests. It must be called with the account
// locked and unlocks the account during the call. Requests that arrive meanwhile wait
// for the result, unless the allowance still covers them.
func (l *Limiter) lease(ctx context.Context, a *account, need Amount) {
	done := make(chan struct{})
	a.leaseDone = done
	params := a.leaseParams(need, time.Now())
	a.mu.Unlock()
	var result LeaseResult
	// The account is locked again and the waiting requests are woken in any case.
	err := guard.Do(ctx, l.options.Logger, "lease", func(ctx context.Context) (err error) {
		result, err = l.call(ctx, params)
		return err
	})
	a.mu.Lock()
	defer func() {
		a.leaseDone = nil
		close(done)
	}()
	now := time.Now()
	switch {
	case err == nil:
		a.applyLease(params, result, now)
	case ctx.Err() == nil:
		a.homeUnreachableUntil = now.Add(leaseTime)
		l.options.Scope.Counter("limits_home_unreachable").Inc(1)
		l.options.Logger.WithError(err).Debug("limits_home_unreachable")
	}
}

func (l *Limiter) call(ctx context.Context, params LeaseParams) (LeaseResult, error) {
	homeNode, ok := l.options.Home(params.Organisation)
	if !ok {
		return LeaseResult{}, fault.New(fault.Unreachable, "the organisation has no home node")
	}
	if homeNode.Name == l.options.Node {
		return l.handleLease(ctx, l.options.Node, params)
	}
	ctx, cancel := context.WithTimeout(ctx, l.options.CallTimeout)
	defer cancel()
	l.options.Scope.Counter("limits_leases").Inc(1)
	var result LeaseResult
	err := l.options.Caller.Call(ctx, homeNode.PeerAddress, MethodLease, params, &result)
	return result, err
}

// handleLease answers a lease call as home node. It does not check whether this node
// is the home node: a caller with an outdated view of the members then gets an
// allowance from a second home node.
func (l *Limiter) handleLease(_ context.Context, from string, params LeaseParams) (LeaseResult, error) {
	if params.Limits.unlimited() || params.Running < 0 || params.Slots < 0 {
		return LeaseResult{}, fault.New(fault.Invalid, "malformed lease")
	}
	l.homesMu.Lock()
	defer l.homesMu.Unlock()
	h, ok := l.homes[params.Organisation]
	if !ok {
		h = &home{concurrencyByNode: map[string]nodeConcurrency{}, refusedNodes: map[string]time.Time{}}
		l.homes[params.Organisation] = h
	}
	return h.lease(from, params, time.Now(), l.options.RunningTTL), nil
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
	a.lastUsed = time.Now() // set under l.mu, so that evictIdle cannot remove the account before its use
	return a
}

// Run reports changed numbers of running requests to the home nodes every second, so
// that the concurrency of ended requests becomes free. It also evicts idle state. It
// returns when the context ends.
func (l *Limiter) Run(ctx context.Context) error {
	ticker := time.NewTicker(leaseTime)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			guard.Run(l.options.Logger, "limits", func() { l.evictIdle(); l.renew(ctx) })
		}
	}
}

// renew reports the number of running requests to the home node of each organisation
// whose number has changed or whose last report would expire soon.
func (l *Limiter) renew(ctx context.Context) {
	accounts := l.accountsToRenew(time.Now())
	queue := make(chan *account, len(accounts))
	for _, a := range accounts {
		queue <- a
	}
	close(queue)
	g := group.New(ctx)
	for range min(maxConcurrentRenewals, len(accounts)) {
		g.Go("limits renew", func(ctx context.Context) error {
			for a := range queue {
				guard.Run(l.options.Logger, "lease renewal", func() {
					a.mu.Lock()
					defer a.mu.Unlock()
					if a.leaseDone == nil {
						l.lease(ctx, a, Amount{})
					}
				})
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		l.options.Logger.WithError(err).Error("lease renewal failed")
	}
}

// accountsToRenew returns the accounts whose number of running requests must be
// reported.
func (l *Limiter) accountsToRenew(now time.Time) []*account {
	l.mu.Lock()
	defer l.mu.Unlock()
	var accounts []*account
	for _, a := range l.accounts {
		a.mu.Lock()
		stale := a.running > 0 && now.Sub(a.reportedAt) >= l.options.RunningTTL/3
		if a.limits.Concurrent > 0 && (a.running != a.reported || stale) && !now.Before(a.homeUnreachableUntil) {
			accounts = append(accounts, a)
		}
		a.mu.Unlock()
	}
	return accounts
}

// evictIdle removes accounts and homes whose state is equivalent to a new one.
func (l *Limiter) evictIdle() {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for organisation, a := range l.accounts {
		a.mu.Lock()
		idle := a.running == 0 && a.reported == 0 && a.waitingCount == 0 && now.Sub(a.lastUsed) > idleTimeout
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
