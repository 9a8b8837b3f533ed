// Package relay serves callers: it finds the route and the organisation of a
// request, obtains a grant for an engine from the scheduler, forwards the
// request unchanged and returns the response. If the route allows it, a stream
// whose engine fails is resumed on another engine within the same response.
package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/verbenapier/verbenapier/internal/answer"
	"github.com/verbenapier/verbenapier/internal/crash"
	"github.com/verbenapier/verbenapier/internal/dialer"
	"github.com/verbenapier/verbenapier/internal/drain"
	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/internal/place"
	"github.com/verbenapier/verbenapier/internal/quota"
	"github.com/verbenapier/verbenapier/internal/retry"
	"github.com/verbenapier/verbenapier/internal/route"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// freshAge is the age of the configuration up to which a request with an
	// unknown route or key is refused permanently. Beyond it, a newer version
	// may have the route or key.
	freshAge = 1800 * time.Millisecond
	// connectTimeout bounds the opening of a connection to an upstream. It is
	// several times the latency between failure domains plus the handshake.
	connectTimeout = 400 * time.Millisecond
	// maxBufferedBody is the number of bytes of a response body that are read
	// before any are sent to the caller. The remainder of a longer body is
	// passed on as it arrives.
	maxBufferedBody = 128 << 10
	// maxEventBytes is the maximum size of an event of a stream, and of what an
	// upstream may send between two events that make progress. Several hundred
	// streams at once must fit into the memory of a small host.
	maxEventBytes = 128 << 10
	// writeTimeout bounds each write to a caller.
	writeTimeout = 10 * time.Second
	// bodyTimeout is the maximum time for reading a request body, the same as
	// for the header. A sender that stalls must not hold the memory of its body
	// for longer.
	bodyTimeout = 10 * time.Second
	// defaultMaxBody is the size limit of a request body, in bytes, if the
	// configuration sets none.
	defaultMaxBody = 4 << 20
	// busyRetryAfter is the Retry-After time of a request that found no free
	// engine, and leavingRetryAfter that of a request to a host that is
	// leaving: another host can serve it at once.
	busyRetryAfter    = 250 * time.Millisecond
	leavingRetryAfter = 20 * time.Millisecond
	// outageRetryMin and outageRetryMax bound the Retry-After time in an outage
	// of the platform. A host that starts has its configuration within half a
	// second, hence the minimum. Callers wait no longer than a third of the time
	// that they have left, hence the maximum.
	outageRetryMin = 500 * time.Millisecond
	outageRetryMax = 4 * time.Second
)

// RequestMeta is the metadata of a request, apart from its method, path and body.
type RequestMeta struct {
	// ID identifies the attempt of the caller.
	ID string
	// Remaining is how long the caller waits for the answer; zero if not
	// stated.
	Remaining time.Duration
	// Credential is the caller's API key.
	Credential string
	// PromptTokens is the length of the prompt and OutputTokens the expected length
	// of the output, both in tokens.
	PromptTokens int
	OutputTokens int
	// SharedParts identifies the parts of the prompt that other requests may have
	// too.
	SharedParts []string
	// After is the number of the last event of the stream that the caller has
	// received.
	After    int64
	HasAfter bool
}

// ForwardOptions holds what the gateway adds to the header of a request that it
// forwards.
type ForwardOptions struct {
	// Remaining is how long the upstream may work on the request. Zero means until
	// the deadline of the request.
	Remaining    time.Duration
	Upstream     string
	Organisation string
	Helpers      []place.Helper
	// After replaces the last event number sent by the caller if HasAfter is
	// set.
	After    int64
	HasAfter bool
}

// ResponseVerdict is what the header and status of a response state about the
// upstream and the request.
type ResponseVerdict struct {
	// NotRun says that the upstream did not run the request and never will.
	NotRun bool
	// Misdirected says that the address now belongs to another upstream.
	Misdirected bool
	// Signed says that the response carries the upstream's signature.
	Signed bool
	// ID identifies the attempt that the response belongs to.
	ID string
	// RateLimit is the number of requests per second that the upstream takes from all
	// hosts together, if HasRateLimit is set. Otherwise the upstream names no limit.
	RateLimit    float64
	HasRateLimit bool
	// Notice is what the response says of further requests to the upstream.
	Notice place.Notice
	// FailedUpstream is the address of the upstream that caused a failure, or empty.
	FailedUpstream string
}

// Codec reads and writes the headers that a platform uses.
type Codec interface {
	// Decode reads the metadata of a request.
	Decode(h http.Header) RequestMeta
	// SetHeaders sets the headers of a request that is forwarded.
	SetHeaders(h http.Header, o ForwardOptions)
	// ReadVerdict reads the verdict from a response.
	ReadVerdict(resp *http.Response) ResponseVerdict
}

// Placer assigns requests to upstreams.
type Placer interface {
	// Acquire asks the scheduler for an engine.
	Acquire(ctx context.Context, req place.Request) (place.Verdict, error)
	// Current reports whether a grant may still be used.
	Current(g place.Grant) bool
	// ReportFirstEvent reports the first event of a granted request.
	ReportFirstEvent(g place.Grant)
	// ReportLimit reports whether the answer to a granted request named a limit on the
	// requests per second that its upstream takes from all hosts.
	ReportLimit(g place.Grant, perSecond float64, named bool)
	// ReportNotice reports what the answer to a granted request says of further requests
	// to its upstream.
	ReportNotice(g place.Grant, n place.Notice)
	// ReportEnded reports the end of a granted request, and whether its engine ended
	// while it ran the request.
	ReportEnded(g place.Grant, e place.EndedRequest, upstreamEnded bool)
	// AcquirePlain grants an upstream of a plain service to a request with the given
	// ID, or refuses it. It waits no longer than the limit.
	AcquirePlain(ctx context.Context, id, service string, content crash.Content, avoid []string, limit time.Duration) (place.Verdict, error)
	// ReleasePlain reports the end of a request to a plain service, and whether the
	// upstream ended while it ran the request.
	ReleasePlain(g place.Grant, o place.Outcome, upstreamEnded bool)
}

// Reserver reserves memory on engines. Each call ends with its context. A call
// that fails may still take effect later.
type Reserver interface {
	// Reserve makes or renews a reservation, which expires after hold.
	Reserve(ctx context.Context, u place.Helper, tokens int, hold time.Duration) error
	// Release ends a reservation.
	Release(ctx context.Context, u place.Helper) error
	// Alive returns an error when a process of an upstream does not answer at all, of the
	// kind Stale when another process answers at its address.
	Alive(ctx context.Context, u place.Upstream) error
}

// Witnesses find out whether upstreams ended.
type Witnesses interface {
	// Ended reports whether the process of an upstream to which this host lost a connection
	// has ended, as far as this host and others can tell.
	Ended(ctx context.Context, u place.Upstream) bool
}

// Options are the dependencies of a Server.
type Options struct {
	Codec     Codec
	Placer    Placer
	Reserver  Reserver
	Witnesses Witnesses
	// Drain holds when the process stops answering.
	Drain *drain.Drain
	// Quota bounds what callers make the process hold.
	Quota *quota.Quota
	// Group runs work that outlasts a request: the release of reserved memory.
	Group *group.Group
	// Table returns the configuration in force, or nil, and ConfigAge the time
	// since it was last known to be the newest. CopyVersion returns the era and the
	// revision of the platform up to which this host knows all changes.
	Table       func() *route.Table
	ConfigAge   func() time.Duration
	CopyVersion func() (era, revision uint64)
	// UpstreamID returns the id of the upstream at an address, or an empty
	// string.
	UpstreamID func(address string) string
	Budget     *retry.Budget
	Dial       dialer.Func
	// Linked reports whether a failure to reach the upstream at an address counts against
	// the upstream, and not against the links of this host. It may wait for some hundred
	// milliseconds. Nil means always.
	Linked func(ctx context.Context, address string) bool
	// Answers bounds what answers of upstreams hold apart from their requests.
	Answers answer.Memory
	Random  *rand.Rand
	Log     logrus.FieldLogger
	Metrics tally.Scope
}

// Server is the HTTP handler for requests of callers.
type Server struct {
	options Options
	started time.Time
	client  *http.Client
	metrics metrics
	// buffers holds copy buffers for reuse.
	buffers sync.Pool

	// inFlight is the number of requests that are being served, and lastArrival
	// when the last request arrived, in nanoseconds after started.
	inFlight    atomic.Int64
	lastArrival atomic.Int64
	stages      stageCounts
	// placements counts the requests for an upstream. It makes their IDs unique.
	placements atomic.Uint64
	// leavingSince is when Leave was first called, or nil.
	leavingSince atomic.Pointer[time.Time]
	// cut is set once the connections of callers are closed, answered or not.
	cut atomic.Bool

	randomMu sync.Mutex
	random   *rand.Rand
}

// New returns a server.
func New(o Options) *Server {
	metrics := newMetrics(o.Metrics)
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		conn, err := o.Dial(ctx, address)
		metrics.recordDial(err)
		return conn, err
	}
	return &Server{
		options: o, started: time.Now(), random: o.Random, metrics: metrics,
		client:  dialer.Client(dial, o.Answers).Client,
		buffers: sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }},
	}
}

// InFlight returns the number of requests that are being served.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// InFlightByStage returns the number of requests that are being served, by stage.
func (s *Server) InFlightByStage() map[string]int64 { return s.stages.byName() }

// Cut tells the server that the connections of callers are about to be closed, so that
// requests which end with their connection do not count as left by their callers.
func (s *Server) Cut() { s.cut.Store(true) }

// SinceLastRequest returns the time since the last request arrived.
func (s *Server) SinceLastRequest() time.Duration {
	return time.Since(s.started) - time.Duration(s.lastArrival.Load())
}

// Leave makes the server close connections after each response, so that callers
// move to other hosts. The server continues to serve.
func (s *Server) Leave() {
	now := time.Now()
	s.leavingSince.CompareAndSwap(nil, &now)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.lastArrival.Store(int64(time.Since(s.started)))
	c := &call{server: s, w: w, r: r, arrived: time.Now(), lateHold: s.options.Quota.Hold(r.Context())}
	s.stages[stageReading].Add(1)
	defer func() { s.stages[c.stage].Add(-1) }()
	defer func() {
		c.bodyHold.Release()
		c.lateHold.Release()
	}()
	err := guard.Do(r.Context(), s.options.Log, "request", func(context.Context) error { return c.run() })
	if fault.Is(err, fault.Internal) {
		s.metrics.recordPanic()
	}
	c.finish(err)
}

// refusal is the error for a request that was not run. It carries the time
// after which the caller may try again.
type refusal struct {
	error
	retryAfter time.Duration
}

func (r refusal) Unwrap() error { return r.error }

// refuse returns a refusal of the given kind.
func refuse(kind fault.Kind, retryAfter time.Duration, format string, args ...any) error {
	return refusal{fault.New(kind, format, args...), retryAfter}
}

// readBody reads the request body.
func (c *call) readBody() (err error) {
	limit := c.table.MaxBodyBytes()
	if limit <= 0 {
		limit = defaultMaxBody
	}
	o := c.server.options
	c.body, c.bodyHold, err = o.Quota.ReadBody(c.w, c.r, quota.BodyOptions{Limit: limit, Timeout: bodyTimeout, Factor: 1, Drain: o.Drain})
	switch fault.KindOf(err) {
	case fault.HostLeaving:
		return refuseStopping()
	case fault.RequestTimeout, fault.Overloaded:
		return refusal{err, busyRetryAfter}
	case fault.Invalid:
		// A body that is not framed as announced says nothing of the end of the request.
		return fault.Wrap(fault.Canceled, err, "the body did not arrive")
	}
	return err
}

// pickService picks a service of the route at random by weight.
func (s *Server) pickService(r *route.Route) string {
	s.randomMu.Lock()
	defer s.randomMu.Unlock()
	return r.Pick(s.random)
}
