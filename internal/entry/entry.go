// Package entry serves callers: the OpenAI-compatible interface, the routes to
// plain services and the list of addresses. It handles each request from
// admission to the last byte of the response, within the request's time limit.
package entry

import (
	"context"
	"crypto/sha256"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/verbenapier/verbenapier/internal/answer"
	"github.com/verbenapier/verbenapier/internal/dialer"
	"github.com/verbenapier/verbenapier/internal/drain"
	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/internal/quota"
	"github.com/verbenapier/verbenapier/internal/sched"
	"github.com/verbenapier/verbenapier/internal/target"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// Configuration provides the configuration in force.
type Configuration interface {
	// Document returns the document and its revision, or an error of kind
	// NoConfig if this node has not received a document yet.
	Document() (*confd.Document, uint64, error)
}

// Cells ranks the cells of a service and talks to their schedulers. A cell is a
// group of engines that share a scheduler.
type Cells interface {
	// Rank returns the cells of a service in the order of preference for a
	// key.
	Rank(service, key string) []string
	// Known reports whether the cells are known, which may be none.
	Known() bool
	// Acquire asks the scheduler of the request's cell for a grant, the
	// permission to run the request on an engine.
	Acquire(ctx context.Context, req sched.Request) (sched.Grant, error)
	// Renew extends the grants that this node holds in one cell.
	Renew(ctx context.Context, r sched.Renewal) error
	// Release ends a grant.
	Release(ctx context.Context, r sched.Release) error
}

// Engines starts, resumes and cancels streams.
type Engines interface {
	Start(ctx context.Context, address string, req engine.StartRequest) (Frames, error)
	Resume(ctx context.Context, address, id string, attempt, from int) (Frames, error)
	Cancel(ctx context.Context, address, id string) error
}

// Frames reads the frames of one stream from one connection.
type Frames interface {
	// Next returns the next frame. An error of kind UpstreamLost says that the
	// connection was lost; its cause is engine.ErrSilent if the connection
	// delivered nothing more but was not closed.
	Next() (engine.Frame, error)
	// Close releases the connection. The engine keeps the stream running.
	Close()
}

// Witnesses find out whether engines died.
type Witnesses interface {
	// Ended reports whether an engine that this node does not reach has died, as far as
	// this node and others can tell.
	Ended(ctx context.Context, engine, address string) bool
}

// Quarantine tracks the prompts that are suspected of crashing engines. Such a
// prompt is called a suspect.
type Quarantine interface {
	// Admit reports whether a dispatch must run alone on its engine, because
	// its prompt is a suspect. It waits while the suspect must not be
	// dispatched. The error is of kind Quarantined if the prompt is quarantined.
	Admit(ctx context.Context, d Dispatch) (alone bool, err error)
	// RecordCrash records that an engine died while it ran the dispatch. It returns
	// after the record is committed.
	RecordCrash(ctx context.Context, engine string, d Dispatch, alone bool) error
	// Release ends the reservation of a prompt for a dispatch that was admitted
	// to run alone but that no engine started. The next dispatch of the prompt
	// then need not wait for the time limit of this dispatch.
	Release(ctx context.Context, d Dispatch) error
	// Clear records that a dispatch ran alone and finished, so that its prompt
	// is no longer a suspect.
	Clear(ctx context.Context, d Dispatch) error
}

// Dispatch identifies one attempt to run a prompt.
type Dispatch struct {
	// ID is unique in the fleet and is never used again.
	ID string
	// Fingerprint identifies the prompt.
	Fingerprint string
	// QuarantineTime is how long the service refuses a prompt that crashed
	// engines.
	QuarantineTime time.Duration
}

// Admission enforces the limits of organisations and the retry budgets.
type Admission interface {
	// Admit returns a function to be called when the request ends, or an error
	// of kind RateLimited.
	Admit(ctx context.Context, organisation string, limits confd.Organisation, tokens int) (release func(), err error)
	// RetryAfter returns the delay after which the caller may resend, if err
	// is a RateLimited error that states one.
	RetryAfter(err error) (time.Duration, bool)
	// Admitted adds the service's retry ratio, the number of retries allowed
	// for each admitted request, to the retry budgets.
	Admitted(service, organisation string, ratio float64)
	// Retry reports whether the budgets allow a retry. If they do, it takes the
	// retry from them.
	Retry(service, organisation string) bool
}

// Claims makes sure that a call that is not idempotent runs at most once.
type Claims interface {
	// Acquire returns a function that records the outcome if this node may run
	// the call now, the recorded outcome if the call was run before, or an
	// error.
	Acquire(ctx context.Context, call Claim) (finish FinishFunc, recorded *Outcome, err error)
}

// FinishFunc records the outcome of a call that Claims allowed this node to
// run.
type FinishFunc func(ctx context.Context, outcome Outcome) error

// Claim identifies a call that is not idempotent.
type Claim struct {
	Service      string
	Organisation string
	// Key is the idempotency key.
	Key string
	// Digest is a hash of method, path, query and body.
	Digest [sha256.Size]byte
	// Window is how long resends with the key are accepted.
	Window time.Duration
}

// Outcome is the outcome of a call.
type Outcome struct {
	// NotRun is true if the call was not run. A resend with the same key is not
	// run either.
	NotRun      bool
	Status      int
	ContentType string
	Body        []byte
	// BodyOmitted is true if the body was too large to be stored.
	BodyOmitted bool
}

// Address is the address of an entry host that callers may use.
type Address struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}

// Directory lists the addresses and upstreams known to this node.
type Directory interface {
	// Addresses returns the addresses of the entry hosts that take new
	// requests.
	Addresses() []Address
	// Upstreams returns the addresses of the plain upstreams of a service,
	// those in the failure domain of this host first.
	Upstreams(service string) []string
}

// Options of a Server. All fields are required.
type Options struct {
	Name          string
	Incarnation   uint64
	FailureDomain string
	Limits        Limits
	Configuration Configuration
	Cells         Cells
	Engines       Engines
	Witnesses     Witnesses
	Quarantine    Quarantine
	Content       Content
	Admission     Admission
	Claims        Claims
	Directory     Directory
	// Drain holds when the process stops answering.
	Drain *drain.Drain
	// Quota bounds what callers make the process hold.
	Quota *quota.Quota
	// Dial opens connections to plain upstreams. Answers bounds what their answers hold
	// apart from the requests.
	Dial    dialer.Func
	Answers answer.Memory
	Group   *group.Group
	Log     logrus.FieldLogger
	Metrics tally.Scope
}

// Limits bounds the resources of this process that callers may use.
type Limits struct {
	// MaxBody limits the size of one request body, in bytes.
	MaxBody int64
	// MaxRequests limits the number of requests in flight.
	MaxRequests int64
	// BodyTimeout limits the time for reading a request body.
	BodyTimeout time.Duration
	// WriteTimeout limits the time of each write to a caller.
	WriteTimeout time.Duration
}

// Server serves the callers of one node.
type Server struct {
	options      Options
	handler      http.Handler
	tokens       *tokenEstimator
	keys         keyIndex
	grants       *grantSet
	plainClient  *http.Client
	inflight     atomic.Int64
	leaving      atomic.Bool
	sequence     atomic.Uint64
	lateRequests atomic.Uint64
	lastAdmitted atomic.Int64
	digests      loadDigests
	usage        usageCounters
	routes       routeIndex
	content      *contentGate
	empty        emptyServices

	mu    sync.Mutex
	calls map[string]*call
}

// New returns a server. Its grants are renewed only while Run is running.
func New(options Options) *Server {
	s := &Server{
		options:     options,
		tokens:      newTokenEstimator(),
		grants:      newGrantSet(options.Name, options.Incarnation),
		plainClient: dialer.Client(options.Dial, options.Answers).Client,
		calls:       map[string]*call{},
		content:     newContentGate(options.Content),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.guard(s.completions))
	mux.HandleFunc("POST /v1/chat/completions", s.guard(s.chat))
	mux.HandleFunc("GET /v1/models", s.guard(s.models))
	mux.HandleFunc("GET /v1/addresses", s.addresses)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.writeError(w, r, fault.New(fault.NotFound, "there is nothing at %s %s", r.Method, r.URL.Path))
	})
	s.handler = guard.Handler(options.Log, "request", mux)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The read deadline also applies to the rest of a body that net/http reads
	// before it sends a response. readBody removes the deadline when it has
	// read the whole body.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.options.Limits.BodyTimeout))
	t, err := target.Parse(r)
	switch {
	case err != nil:
		s.writeError(w, r, err)
	case strings.HasPrefix(t.Path(), servicesPrefix):
		// http.ServeMux would redirect callers whose path it would write otherwise.
		s.guard(func(w http.ResponseWriter, r *http.Request, caller caller) { s.service(w, r, caller, t) })(w, r)
	default:
		s.handler.ServeHTTP(w, r)
	}
}

// Run renews the grants that this node holds until the context ends.
func (s *Server) Run(ctx context.Context) error {
	return s.grants.run(ctx, s.options.Cells, s.options.Log)
}

// Leave makes the server refuse new requests. Requests in flight go on until the stop
// of the drain.
func (s *Server) Leave() { s.leaving.Store(true) }

// Leaving reports whether Leave was called.
func (s *Server) Leaving() bool { return s.leaving.Load() }

// LastAdmitted returns when this node last accepted a request, or the zero
// time.
func (s *Server) LastAdmitted() time.Time {
	if at := s.lastAdmitted.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 { return s.inflight.Load() }

// LateRequests returns the number of requests that ended after their time limit.
func (s *Server) LateRequests() uint64 { return s.lateRequests.Load() }

// HeldGrants returns the grants that this node holds in a cell.
func (s *Server) HeldGrants(cell string) []sched.HeldGrant { return s.grants.held(cell) }

// guard wraps a handler with the checks that are made before the body is read.
func (s *Server) guard(next func(http.ResponseWriter, *http.Request, caller)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.leaving.Load() {
			w.Header().Set("Connection", "close")
			s.writeError(w, r, fault.New(fault.HostLeaving, "host %s is leaving; ask for other addresses", s.options.Name))
			return
		}
		if s.inflight.Add(1) > s.options.Limits.MaxRequests {
			s.inflight.Add(-1)
			s.writeError(w, r, fault.New(fault.Overloaded, "host %s has too many requests in flight", s.options.Name))
			return
		}
		defer s.inflight.Add(-1)
		caller, err := s.authenticate(r)
		if err != nil {
			s.writeError(w, r, err)
			return
		}
		s.lastAdmitted.Store(time.Now().UnixNano())
		next(w, r, caller)
	}
}
