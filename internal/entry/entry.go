// Package entry serves callers: the OpenAI-compatible interface, the routes to
// plain services and the list of addresses. It carries each request from
// admission to its last byte within its time limit.
package entry

import (
	"context"
	"crypto/sha256"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"

	"github.com/verbenapier/verbenapier/internal/dialer"
	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/internal/sched"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// Configuration gives the configuration in force.
type Configuration interface {
	// Document returns the document and its revision, or NoConfig.
	Document() (*confd.Document, uint64, error)
}

// Cells ranks the cells of a service and talks to their schedulers.
type Cells interface {
	// Rank returns the cells of a service, best first, for a key.
	Rank(service, key string) []string
	// Acquire asks the scheduler of the request's cell for a grant.
	Acquire(ctx context.Context, req sched.Request) (sched.Grant, error)
	// Renew extends the grants that this node holds in one cell.
	Renew(ctx context.Context, r sched.Renewal) error
	// Release ends a grant.
	Release(ctx context.Context, r sched.Release) error
}

// Engines starts and resumes streams.
type Engines interface {
	Start(ctx context.Context, address string, req engine.StartRequest) (Frames, error)
	Resume(ctx context.Context, address, id string, attempt, from int) (Frames, error)
	Cancel(ctx context.Context, address, id string) error
}

// Frames are the frames of one stream over one connection.
type Frames interface {
	// Next returns the next frame. UpstreamLost says that the connection broke;
	// its cause is engine.ErrSilent when the connection went silent instead.
	Next() (engine.Frame, error)
	// Close releases the connection and leaves the stream running.
	Close()
}

// Quarantine knows the prompts that crashed engines.
type Quarantine interface {
	// Admit returns whether the dispatch must run alone, or Quarantined. It
	// waits while a suspect must not be dispatched.
	Admit(ctx context.Context, d Dispatch) (alone bool, err error)
	// Blame records that an engine died while it ran the dispatch. It returns
	// after the record is committed.
	Blame(ctx context.Context, engine string, d Dispatch, alone bool) error
	// Release gives up a dispatch that was admitted to run alone and that no
	// engine began, so that the next one need not wait for its time limit.
	Release(ctx context.Context, d Dispatch) error
	// Cleared records that a dispatch that ran alone has finished.
	Cleared(ctx context.Context, d Dispatch) error
}

// Dispatch identifies one attempt to run a prompt.
type Dispatch struct {
	// ID is unique over the fleet and over time.
	ID          string
	Fingerprint string
	// QuarantineTime is that of the service.
	QuarantineTime time.Duration
}

// Limits enforces the limits of organisations and the retry budgets.
type Limits interface {
	// Admit returns a function that ends the request, or RateLimited.
	Admit(ctx context.Context, organisation string, limits confd.Organisation, tokens int) (release func(), err error)
	// RetryAfter returns the pause that a RateLimited error asks for.
	RetryAfter(err error) (time.Duration, bool)
	// Admitted counts a request towards the retry budgets.
	Admitted(service, organisation string, ratio float64)
	// Retry reports whether a retry is within the budgets and uses it up.
	Retry(service, organisation string) bool
}

// Claims makes calls that are not idempotent run at most once.
type Claims interface {
	// Acquire returns a function that records the outcome when this node may
	// run the call now, the recorded outcome of an earlier run, or an error.
	Acquire(ctx context.Context, call Claim) (finish FinishFunc, recorded *Recorded, err error)
}

// FinishFunc records the outcome of a call that this node may run.
type FinishFunc func(ctx context.Context, outcome Recorded) error

// Claim identifies a call that is not idempotent.
type Claim struct {
	Service      string
	Organisation string
	Key          string
	// Digest is a hash of method, path and body.
	Digest [sha256.Size]byte
	// Window is how long a resend with the same key is valid.
	Window time.Duration
}

// Recorded is the outcome of a call.
type Recorded struct {
	// NotRun says that the call was not run and its claim is used up.
	NotRun      bool
	Status      int
	ContentType string
	Body        []byte
	// BodyOmitted says that the body was too large to keep.
	BodyOmitted bool
}

// Address is an address that callers may use.
type Address struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}

// Directory lists the addresses and upstreams known to this node.
type Directory interface {
	// Addresses returns the usable entry hosts, none of them leaving.
	Addresses() []Address
	// Upstreams returns the addresses of the plain upstreams of a service,
	// those in the failure domain of this host first.
	Upstreams(service string) []string
}

// Options of a Server. All fields are required unless they say otherwise.
type Options struct {
	Name          string
	Incarnation   uint64
	FailureDomain string
	Limits        Bounds
	Configuration Configuration
	Cells         Cells
	Engines       Engines
	Quarantine    Quarantine
	Admission     Limits
	Claims        Claims
	Directory     Directory
	// Dial opens connections to plain upstreams.
	Dial    dialer.Func
	Group   *group.Group
	Log     logrus.FieldLogger
	Metrics tally.Scope
}

// Bounds limits what callers may use of this process.
type Bounds struct {
	// MaxBody bounds a request body, MaxBuffered all bodies together, in
	// bytes.
	MaxBody     int64
	MaxBuffered int64
	// MaxRequests bounds the requests in flight.
	MaxRequests int64
	// BodyTimeout bounds the reading of a request body.
	BodyTimeout time.Duration
	// WriteTimeout bounds each write to a caller.
	WriteTimeout time.Duration
}

// Server is the callers' interface of one node.
type Server struct {
	options  Options
	handler  http.Handler
	tokens   *tokenRatio
	keys     keyIndex
	ledger   *ledger
	plain    *http.Client
	once     *http.Client
	buffered *semaphore.Weighted
	inflight atomic.Int64
	leaving  atomic.Bool
	sequence atomic.Uint64
	late     atomic.Uint64
	admitted atomic.Int64
	digests  digests
	uses     uses
	routes   routeIndex

	mu    sync.Mutex
	calls map[string]*call
}

// New returns a server. Run must run for its grants to be renewed.
func New(options Options) *Server {
	s := &Server{
		options:  options,
		tokens:   newTokenRatio(),
		ledger:   newLedger(options.Name, options.Incarnation),
		plain:    &http.Client{Transport: dialer.Transport(options.Dial), CheckRedirect: keepRedirect},
		once:     &http.Client{Transport: newOnceTransport(options.Dial), CheckRedirect: keepRedirect},
		buffered: semaphore.NewWeighted(options.Limits.MaxBuffered),
		calls:    map[string]*call{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.guard(s.completions))
	mux.HandleFunc("POST /v1/chat/completions", s.guard(s.chat))
	mux.HandleFunc("GET /v1/models", s.guard(s.models))
	mux.HandleFunc("GET /v1/addresses", s.addresses)
	mux.HandleFunc("/services/{service}/{path...}", s.guard(s.service))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.fail(w, r, fault.New(fault.NotFound, "there is nothing at %s %s", r.Method, r.URL.Path))
	})
	s.handler = mux
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The bound also holds for the rest of a body that net/http reads before it
	// sends an answer. readBody lifts it when the body is whole.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.options.Limits.BodyTimeout))
	s.handler.ServeHTTP(w, r)
}

// Run renews the grants that this node holds until the context ends.
func (s *Server) Run(ctx context.Context) error {
	return s.ledger.run(ctx, s.options.Cells, s.options.Log)
}

// Leave makes the server refuse new requests. Requests in flight go on.
func (s *Server) Leave() { s.leaving.Store(true) }

// Leaving reports whether Leave was called.
func (s *Server) Leaving() bool { return s.leaving.Load() }

// LastAdmitted returns when this node last took a request, or the zero time.
func (s *Server) LastAdmitted() time.Time {
	if at := s.admitted.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 { return s.inflight.Load() }

// Late returns the number of requests that ended after their time limit.
func (s *Server) Late() uint64 { return s.late.Load() }

// Held returns the grants that this node holds in a cell.
func (s *Server) Held(cell string) []sched.Held { return s.ledger.held(cell) }

// guard wraps a handler with the checks that come before the body is read.
func (s *Server) guard(next func(http.ResponseWriter, *http.Request, caller)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.leaving.Load() {
			w.Header().Set("Connection", "close")
			s.fail(w, r, fault.New(fault.Leaving, "host %s is leaving; ask for other addresses", s.options.Name))
			return
		}
		if s.inflight.Add(1) > s.options.Limits.MaxRequests {
			s.inflight.Add(-1)
			s.fail(w, r, fault.New(fault.Overloaded, "host %s has too many requests in flight", s.options.Name))
			return
		}
		defer s.inflight.Add(-1)
		who, err := s.authenticate(r)
		if err != nil {
			s.fail(w, r, err)
			return
		}
		s.admitted.Store(time.Now().UnixNano())
		next(w, r, who)
	}
}
