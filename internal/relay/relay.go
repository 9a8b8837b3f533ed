// Package relay serves callers: it finds the route and the organisation of a
// request, gets a place for it, passes it on byte for byte and brings back the
// answer. A stream whose engine is lost goes on at another one within the same
// answer, where the route allows it.
package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/verbenapier/verbenapier/internal/dialer"
	"github.com/verbenapier/verbenapier/internal/place"
	"github.com/verbenapier/verbenapier/internal/retry"
	"github.com/verbenapier/verbenapier/internal/route"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// freshAge is the age of the configuration up to which an unknown route or
	// key is refused for good; beyond it a newer version may hold it.
	freshAge = 1800 * time.Millisecond
	// connectTimeout bounds the opening of a connection to an upstream: several
	// times the way between failure domains and the handshake.
	connectTimeout = 400 * time.Millisecond
	// maxAnswer bounds an answer that is read whole before it is passed on, in
	// bytes; longer ones are passed on as they arrive.
	maxAnswer = 1 << 20
	// writeTimeout bounds each write to a caller.
	writeTimeout = 10 * time.Second
	// bodyTimeout bounds the reading of a body, as long as that of a header: a
	// sender that stops must not hold the memory of its body.
	bodyTimeout = 10 * time.Second
	// defaultBody bounds a body where the configuration sets no limit.
	defaultBody = 4 << 20
	// busyRetry is the time to come back for a request that found an engine
	// full, leaveRetry for one on a host that leaves: another host serves it
	// now.
	busyRetry  = 250 * time.Millisecond
	leaveRetry = 20 * time.Millisecond
	// outageMin and outageMax bound the time to come back in an outage of the
	// platform: a host that starts has its configuration within half a second, and
	// callers wait no longer than a third of the time that they have left.
	outageMin = 500 * time.Millisecond
	outageMax = 4 * time.Second
)

// Meta is what a caller says of a request beside its method, path and body.
type Meta struct {
	// ID names the caller's attempt.
	ID string
	// Remaining is how long the caller waits; zero when it does not say.
	Remaining time.Duration
	Key       string
	// Prompt and Output are numbers of tokens; Output is the expected one.
	Prompt int
	Output int
	// After is the number of the last event that the caller has of a stream.
	After    int64
	HasAfter bool
}

// Passing is what the gateway adds to a request that it passes on.
type Passing struct {
	Remaining    time.Duration
	Upstream     string
	Organisation string
	Helpers      []place.Helper
	// After replaces the caller's last event when HasAfter is set.
	After    int64
	HasAfter bool
}

// Verdict is what an answer says of its upstream.
type Verdict struct {
	// NotRun says that the request was not run there and never will be.
	NotRun bool
	// Misdirected says that another upstream has the address.
	Misdirected bool
	// Signed answers carry the upstream's signature.
	Signed bool
	// ID is the attempt that the answer belongs to.
	ID string
	// Fault is the address of the upstream that caused a failure.
	Fault string
}

// Codec reads and writes the headers of a deployment.
type Codec interface {
	Decode(h http.Header) Meta
	// Pass sets the headers of a request that is passed on.
	Pass(h http.Header, p Passing)
	Judge(resp *http.Response) Verdict
}

// Placer gets places for requests.
type Placer interface {
	Acquire(ctx context.Context, req place.Request) (place.Verdict, error)
	Begun(g place.Grant)
	Ended(g place.Grant, e place.Ending)
	AcquirePlain(service string, avoid []string) (place.Upstream, bool)
	EndPlain(u place.Upstream, o place.Outcome)
}

// Reserver sets memory of engines aside. Each call ends with its context. A
// call that fails may still have an effect later.
type Reserver interface {
	Reserve(ctx context.Context, u place.Helper, tokens int, hold time.Duration) error
	Release(ctx context.Context, u place.Helper) error
	// Alive returns an error when an engine does not answer.
	Alive(ctx context.Context, u place.Upstream) error
}

// Options are the dependencies of a Server.
type Options struct {
	Codec  Codec
	Placer Placer
	Memory Reserver
	// Group runs what outlives a request: the release of its memory.
	Group *group.Group
	// Table returns the configuration in force, or nil, and Age how long ago it
	// was known to be the newest.
	Table func() *route.Table
	Age   func() time.Duration
	// Upstream finds an upstream by its address.
	Upstream func(address string) string
	Budget   *retry.Budget
	Dial     dialer.Func
	Random   *rand.Rand
	Log      logrus.FieldLogger
	Metrics  tally.Scope
}

// Server is the callers' handler.
type Server struct {
	options Options
	started time.Time
	client  *http.Client
	metrics metrics
	// bodies recycles the buffers of streams.
	bodies sync.Pool

	inFlight atomic.Int64
	last     atomic.Int64
	leaving  atomic.Pointer[time.Time]

	randomMu sync.Mutex
	random   *rand.Rand
}

// New returns a server.
func New(o Options) *Server {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (conn, error) {
			ctx, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			c, err := o.Dial(ctx, address)
			return c, fault.Wrap(fault.Unreachable, err, "cannot connect to %s", address)
		},
		// Each attempt has a connection of its own: net/http repeats some
		// requests when a used connection breaks, and a late answer on a used
		// one could be taken for that of the next request.
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	return &Server{
		options: o, started: time.Now(), random: o.Random, metrics: newMetrics(o.Metrics),
		client: &http.Client{Transport: transport, CheckRedirect: keepRedirect},
		bodies: sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }},
	}
}

// keepRedirect returns redirects to the caller instead of following them.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// InFlight returns the number of requests that have no final answer yet.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Quiet returns how long ago the last request arrived.
func (s *Server) Quiet() time.Duration {
	return time.Duration(time.Now().UnixNano() - s.last.Load())
}

// Leave makes the server ask callers to go elsewhere. It goes on serving.
func (s *Server) Leave() {
	now := time.Now()
	s.leaving.CompareAndSwap(nil, &now)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.last.Store(time.Now().UnixNano())
	c := &call{server: s, w: w, r: r, arrived: time.Now()}
	if s.leaving.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	err := c.run()
	c.finish(err)
}

// lateLeave is how long after the start of its leaving a host takes new
// requests. Later ones might not end before the process does.
const lateLeave = 3 * time.Second

// refuseLate refuses requests that arrive too late on a host that leaves.
func (s *Server) refuseLate(stream bool) error {
	since := s.leaving.Load()
	if since == nil || !stream || time.Since(*since) < lateLeave {
		return nil
	}
	return refuse(fault.Leaving, leaveRetry, "this host stops soon")
}

// refusal is an error for a request that was not run, with the time after
// which to try again.
type refusal struct {
	error
	after time.Duration
}

func (r refusal) Unwrap() error { return r.error }

func refuse(kind fault.Kind, after time.Duration, format string, args ...any) error {
	return refusal{fault.New(kind, format, args...), after}
}

// readBody reads the whole body.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if limit <= 0 {
		limit = defaultBody
	}
	control := http.NewResponseController(w)
	if r.ContentLength != 0 {
		_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refuse(fault.SlowSender, busyRetry, "the body did not arrive within %s", bodyTimeout)
	case errors.As(err, &large):
		return nil, fault.New(fault.TooLarge, "the body exceeds %d bytes", limit)
	case err != nil:
		return nil, fault.Wrap(fault.Canceled, err, "the body did not arrive")
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

func (s *Server) pick(r *route.Route) string {
	s.randomMu.Lock()
	defer s.randomMu.Unlock()
	return r.Pick(s.random)
}
