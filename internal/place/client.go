package place

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/cells"
	"github.com/verbenapier/verbenapier/internal/crash"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// The peer calls.
const (
	MethodAcquire = "place.acquire"
	MethodReport  = "place.report"
)

const (
	// holdTime is how long the owner holds a call while its request waits. After
	// that the owner answers without a decision, and the node calls again.
	holdTime = 200 * time.Millisecond
	// ownerTimeout is how long an answer may take beyond holdTime before the
	// owner counts as failed. It is several times the latency between failure
	// domains and the pauses of a busy host.
	ownerTimeout = 250 * time.Millisecond
	// ownerBarTime is how long an owner that did not answer is barred: it is not
	// considered as the owner of any cell.
	ownerBarTime = 2 * time.Second
	// reportInterval is how often all running requests are reported.
	reportInterval = 500 * time.Millisecond
	// reportBatchDelay is how long changes are collected into one report.
	reportBatchDelay = 5 * time.Millisecond
	// ownerLearnTime is how long a node passes on the limits that it knows to a new
	// owner.
	ownerLearnTime = time.Second
	// maxOwnerRetries is how often a call that got no answer is sent to the same
	// owner again while that owner answers other calls. Another owner would not
	// know the running requests.
	maxOwnerRetries = 2
	// maxCellsAsked is the maximum number of cells that are asked before a request is refused.
	// If the cells change meanwhile, the request may go on in up to as many new ones.
	maxCellsAsked = 2
	// maxOwnersAsked is the maximum number of owners that are asked before this node
	// chooses an engine itself.
	maxOwnersAsked = 2
)

// Members is the part of the cluster membership that the client uses.
type Members interface {
	Self() member.Member
	Members() []member.Member
}

// Crashes is what this node knows of content that ends engines (see crash.Registry).
type Crashes interface {
	Check(c crash.Content) crash.Verdict
	Began(c crash.Content)
	Completed(c crash.Content)
	Report(r crash.Report)
}

// ClientOptions are the dependencies of a Client.
type ClientOptions struct {
	Members Members
	Caller  wire.Caller
	// Pool returns this node's scheduler of a cell, used while this node is the
	// owner. Cells names the cells of a service, and Upstreams lists its
	// upstreams.
	Pool      func(cell string) *Pool
	Cells     func(service string) []string
	Upstreams func(service string) []Upstream
	// UpstreamGone reports whether this node knows that an upstream is leaving or
	// has left.
	UpstreamGone func(id string) bool
	Notices      *Notices
	Crashes      Crashes
	Random       *rand.Rand
	Log          logrus.FieldLogger
}

// Client has the requests of this node placed by the owners of cells, and reports
// to the owners how the requests proceed.
type Client struct {
	options ClientOptions
	local   *localPicker
	wake    chan struct{}

	mu sync.Mutex
	// running holds the granted requests by cell and ID, changed the IDs of those
	// that changed since the last report, and ended the requests that ended since
	// the last report, both by cell.
	running map[string]map[string]*RunningRequest
	changed map[string]map[string]bool
	ended   map[string][]EndedRequest
	// grants holds the grants of running requests, by ID.
	grants map[string]*heldGrant
	// barredAt is when an owner last failed to answer.
	barredAt map[string]time.Time
	// passedOverAt is when the owner of a cell last answered that it knows no engine
	// of the cell.
	passedOverAt map[ownedCell]time.Time
	// listedRunning is set for cells whose last full report listed requests.
	listedRunning map[string]bool
	// lastAnswer is when each owner last answered.
	lastAnswer map[string]time.Time
	// observed holds the observations of limits since the last report, by cell.
	observed map[string][]LimitObservation
	// owners holds the owner that was last asked for each cell.
	owners map[string]ownership

	// limits holds what this node heard of the limits of upstreams. It gives out this
	// node's part of them. permits gives out the limits of servers of plain services
	// for all nodes.
	limits, permits *limitTable
}

// ownedCell is a cell and the name of its owner.
type ownedCell struct{ owner, cell string }

// ownership is an owner of a cell, with its incarnation, and the time since which this node
// asks it.
type ownership struct {
	name        string
	incarnation uint64
	since       time.Time
}

// heldGrant is a grant of a running request.
type heldGrant struct {
	Grant
	content crash.Content
	// obtainedAt is when this node obtained the grant.
	obtainedAt time.Time
	// begun is set once the request has begun to be answered.
	begun bool
}

// NewClient returns a client. Reports are sent by Run.
func NewClient(o ClientOptions) *Client {
	newRandom := func() *rand.Rand { return rand.New(rand.NewPCG(o.Random.Uint64(), o.Random.Uint64())) }
	equalPart := func() float64 { return 1 / float64(max(1, len(o.Members.Members()))) }
	return &Client{
		limits: newLimitTable(equalPart, newRandom()), permits: newLimitTable(func() float64 { return reachableShare(o.Members.Members()) }, newRandom()),
		observed: map[string][]LimitObservation{}, owners: map[string]ownership{},
		options: o, local: newLocalPicker(o.Random), wake: make(chan struct{}, 1),
		running: map[string]map[string]*RunningRequest{}, changed: map[string]map[string]bool{},
		ended: map[string][]EndedRequest{}, grants: map[string]*heldGrant{}, barredAt: map[string]time.Time{},
		passedOverAt:  map[ownedCell]time.Time{},
		listedRunning: map[string]bool{}, lastAnswer: map[string]time.Time{},
	}
}

// acquireCall is the parameter of MethodAcquire. Hold is the longest time that the
// owner may hold the call.
type acquireCall struct {
	Request Request       `json:"request"`
	Hold    time.Duration `json:"hold_ns"`
	// Limits are sent to a new owner.
	Limits []knownLimit `json:"limits,omitempty"`
	// Leaving is as in Report.
	Leaving []string `json:"leaving,omitempty"`
}

// Register adds the handlers of the calls that this node answers as an owner.
func (c *Client) Register(m *wire.Mux) {
	m.Handle(MethodAcquire, wire.Typed(func(ctx context.Context, _ string, call acquireCall) (Verdict, error) {
		c.options.Notices.learn(call.Leaving, call.Request.Node)
		pool := c.options.Pool(call.Request.Cell)
		pool.limits.learn(call.Limits)
		return pool.Acquire(ctx, call.Request, min(call.Hold, holdTime)), nil
	}))
	c.registerPermits(m)
	m.Handle(MethodReport, wire.Typed(func(_ context.Context, _ string, r Report) (struct{}, error) {
		c.options.Pool(r.Cell).Report(r)
		return struct{}{}, nil
	}))
}

// Acquire returns a grant, or a refusal if the request was not placed. It waits
// as long as the owner keeps the request waiting. The request may be placed under
// a different ID, which is then the ID of the grant.
func (c *Client) Acquire(ctx context.Context, req Request) (Verdict, error) {
	req.Node = c.options.Members.Self().Name
	started := time.Now()
	if r := quarantineRefusal(c.options.Crashes.Check(req.Content)); r != nil {
		return Verdict{Refusal: r}, nil
	}
	if r := c.options.Notices.pausedRefusal(c.options.Upstreams(req.Service)); r != nil {
		return Verdict{Refusal: r}, nil
	}
	var v Verdict
	var asked []string
	for len(asked) < 2*maxCellsAsked {
		cell, ok := c.nextCell(req, asked)
		if !ok {
			break
		}
		attempt := req.afterWait(time.Since(started))
		attempt.Cell = cell
		// Each attempt to place a request has its own ID.
		attempt.ID += strings.Repeat("+", len(asked))
		asked = append(asked, cell)
		var err error
		v, err = c.acquireIn(ctx, attempt)
		if err != nil || v.Grant != nil || v.Refusal.Quarantined {
			return v, err
		}
	}
	return v, nil
}

// afterWait returns the request with its remaining times shortened by a wait.
func (r Request) afterWait(waited time.Duration) Request {
	r.Goal, r.Remaining, r.AbandonTimeout = r.Goal-waited, r.Remaining-waited, r.AbandonTimeout-waited
	return r
}

// cells returns the cells that are asked to place a request. A repeated request goes
// to the same cells.
func (c *Client) cells(req Request) []string {
	names := c.options.Cells(req.Service)
	if len(names) == 0 {
		// Its owner knows since when the service has been without engines.
		return []string{cells.FirstName(req.Service)}
	}
	key := strconv.FormatUint(uint64(req.Content.Whole), 36)
	names = cells.Rank(key, names, func(name string) string { return name })
	return names[:min(len(names), maxCellsAsked)]
}

// nextCell returns the first cell of the request that was not asked yet.
func (c *Client) nextCell(req Request, asked []string) (string, bool) {
	for _, cell := range c.cells(req) {
		if !slices.Contains(asked, cell) {
			return cell, true
		}
	}
	return "", false
}

// cellIsEmpty reports whether a verdict that the owner of a cell knows no engine of it
// is final: this node knows no usable engine of the service either, or the cell no
// longer exists here and the service has others.
func (c *Client) cellIsEmpty(req Request, v Verdict) bool {
	if v.Refusal == nil {
		return false
	}
	names := c.options.Cells(req.Service)
	return !c.hasUsable(req.Service) || len(names) > 0 && !slices.Contains(names, req.Cell)
}

// hasUsable reports whether this node knows an upstream of a service that is not
// leaving.
func (c *Client) hasUsable(service string) bool {
	return slices.ContainsFunc(c.options.Upstreams(service), func(u Upstream) bool { return !u.Leaving })
}

// acquireIn asks the owner of the request's cell to place the request, then the
// next owners if that owner does not answer. Without any answer this node chooses
// the engine itself.
func (c *Client) acquireIn(ctx context.Context, req Request) (Verdict, error) {
	started, retries, original := time.Now(), 0, req
	for tries := 0; tries < maxOwnersAsked; {
		owner, ok := c.owner(req.Cell)
		if !ok {
			break
		}
		askedAt := time.Now()
		current := original.afterWait(askedAt.Sub(started))
		req.Paused = c.options.Notices.pauses()
		req.Goal, req.Remaining, req.AbandonTimeout = current.Goal, current.Remaining, current.AbandonTimeout
		v, err := c.acquireFrom(ctx, owner, req)
		if ctx.Err() != nil {
			c.withdraw(req)
			return Verdict{}, fault.Wrap(fault.KindOf(ctx.Err()), ctx.Err(), "waiting for a place")
		}
		if err == nil && v.NoEngineKnown {
			if c.cellIsEmpty(req, v) {
				return Verdict{Refusal: v.Refusal}, nil
			}
			c.passOver(owner, req)
			tries++
			continue
		}
		if err != nil && retries < maxOwnerRetries && c.answeredSince(owner, askedAt) {
			retries++
			continue
		}
		if err != nil {
			c.barOwner(owner, req, err)
			tries++
			continue
		}
		if v.Grant != nil {
			c.track(req, *v.Grant)
			if closed, isClosed := c.closedUpstream(*v.Grant); isClosed {
				// What the owner knows of upstreams is older than what this node knows.
				c.options.Notices.share(closed.Process)
				ended := EndedRequest{Outcome: Rejected, Fault: closed.ID}
				if c.options.Notices.PauseLeft(closed.Process) > 0 {
					// Other nodes may use the engine.
					ended = EndedRequest{Outcome: Completed}
				}
				c.ReportEnded(*v.Grant, ended, false)
				req.Avoid = append(slices.Clone(req.Avoid), closed.ID)
				// The next attempt has its own ID.
				req.ID += "'"
				tries++
				continue
			}
		}
		if v.Grant != nil || v.Refusal != nil {
			return v, nil
		}
	}
	return c.placeWithoutOwner(ctx, original.afterWait(time.Since(started)), req)
}

// placeWithoutOwner chooses an engine by the number and the failures of this node's
// own requests at each engine. Timed is the request with its remaining times.
func (c *Client) placeWithoutOwner(ctx context.Context, timed, req Request) (Verdict, error) {
	if !c.hasUsable(req.Service) {
		return Verdict{Refusal: &Refusal{Reason: "the service has no engine", RetryAfter: minBarTime}}, nil
	}
	suspects, refusal, err := c.awaitTrial(ctx, req.Content, min(timed.AbandonTimeout, timed.Remaining))
	if err != nil || refusal != nil {
		return Verdict{Refusal: refusal}, err
	}
	upstreams := c.options.Upstreams(req.Service)
	u, ok := c.local.pick(c.limits.takers(c.options.Notices.takers(upstreams)), req.Avoid, "")
	if !ok {
		if r := c.options.Notices.pausedRefusal(upstreams); r != nil {
			return Verdict{Refusal: r}, nil
		}
		return Verdict{Refusal: &Refusal{
			Reason: "the service has no upstream that takes a request now", RetryAfter: max(minBarTime, c.limits.untilAny(upstreams)),
		}}, nil
	}
	c.limits.take(u.Process())
	g := Grant{ID: req.ID, Cell: req.Cell, Upstream: u, WithoutOwner: true, Suspects: c.trialAt(u, suspects)}
	c.options.Log.WithFields(logrus.Fields{
		"event": "placed_alone", "request": req.ID, "cell": req.Cell, "upstream": u.ID,
	}).Warn("no owner answered; this node placed the request without knowing the load of its cell")
	c.track(req, g)
	return Verdict{Grant: &g}, nil
}

// Current reports whether a grant may still be used: the node obtained it within
// reportTimeout, after which the owner forgets requests that are not reported, and
// its engines have not left since. A process that was paused finds its grants expired.
func (c *Client) Current(g Grant) bool {
	c.mu.Lock()
	held, ok := c.grants[g.ID]
	c.mu.Unlock()
	_, isClosed := c.closedUpstream(g)
	return ok && time.Since(held.obtainedAt) < reportTimeout && !isClosed
}

// closedUpstream returns the first upstream of a grant that takes nothing new from this
// node: it is leaving, has left, or asked for a pause.
func (c *Client) closedUpstream(g Grant) (Helper, bool) {
	for _, h := range append([]Helper{{ID: g.Upstream.ID, Process: g.Upstream.Process()}}, g.Helpers...) {
		if c.options.UpstreamGone(h.ID) || c.options.Notices.Leaving(h.Process) || c.options.Notices.PauseLeft(h.Process) > 0 {
			return h, true
		}
	}
	return Helper{}, false
}

// ReportNotice records the notice in an answer to a granted request.
func (c *Client) ReportNotice(g Grant, n Notice) {
	c.options.Notices.Observe(g.Upstream.Process(), n)
	if n.Leaving {
		c.wakeRun()
	}
}

// withdraw reports to the owner that the caller of a request no longer waits.
func (c *Client) withdraw(req Request) {
	c.mu.Lock()
	c.ended[req.Cell] = append(c.ended[req.Cell], EndedRequest{ID: req.ID, Outcome: Completed})
	c.mu.Unlock()
	c.wakeRun()
}
