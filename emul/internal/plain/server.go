// Package plain is a stand-in for an upstream of a plain service.
package plain

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/emul/internal/serve"
)

// Config describes an upstream.
type Config struct {
	Name   string
	Status int
	// A call takes Latency, plus a random time of up to Jitter.
	Latency, Jitter time.Duration
	// Capacity is the number of calls that may run at the same time. It is only
	// reported, not enforced.
	Capacity int
	// LoadInterval is the interval between load reports.
	LoadInterval time.Duration
	Seed         uint64
	// Slow returns the factor on the time of a call; nil for 1.
	Slow func() float64
}

// Answer is the body of the answer to a call. BodyHash is the xxhash64 of the
// request's body, so that a caller can check that the answer belongs to its call.
type Answer struct {
	Upstream string `json:"upstream"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Key      string `json:"key"`
	BodyHash string `json:"body_hash"`
}

// Call is an entry of GET /_calls. Count is the number of times that the call ran.
type Call struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key"`
	Count  int    `json:"count"`
}

// Load is the answer of GET /v1/load.
type Load struct {
	Engine    string `json:"engine"`
	Capacity  int    `json:"capacity"`
	Running   int    `json:"running"`
	Waiting   int    `json:"waiting"`
	AgeMillis int64  `json:"age_ms"`
}

// Server answers calls with any method and path, lists them at /_calls, and
// reports its load and health.
type Server struct {
	log logrus.FieldLogger
	cfg Config

	mu         sync.Mutex
	calls      map[Call]int // number of times that each call ran; Count is 0 in the keys
	running    int
	rng        *rand.Rand
	report     Load
	reportedAt time.Time
}

// New returns an upstream that has run no calls.
func New(log logrus.FieldLogger, cfg Config) *Server {
	cfg.Status = cmp.Or(cfg.Status, http.StatusOK)
	if cfg.Slow == nil {
		cfg.Slow = func() float64 { return 1 }
	}
	return &Server{
		log: log, cfg: cfg, calls: map[Call]int{}, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/_calls":
		serve.JSON(w, http.StatusOK, map[string]any{"calls": s.listCalls()})
	case r.URL.Path == "/v1/load" && r.Method == http.MethodGet:
		serve.JSON(w, http.StatusOK, s.load())
	case r.URL.Path == "/v1/health" && r.Method == http.MethodGet:
		serve.JSON(w, http.StatusOK, map[string]string{"status": "ok"})
	default:
		s.run(w, r)
	}
}

// run answers a call. It records the call before it waits for the latency, so that
// the call counts as run even if the caller disconnects.
func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	call := Call{Method: r.Method, Path: r.URL.Path, Key: r.Header.Get("Idempotency-Key")}
	timer := time.NewTimer(s.begin(call))
	defer timer.Stop()
	defer s.end()
	s.log.WithFields(logrus.Fields{"method": call.Method, "path": call.Path}).Debug("plain call received")
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	serve.JSON(w, s.cfg.Status, Answer{
		Upstream: s.cfg.Name, Method: call.Method, Path: call.Path, Key: call.Key,
		BodyHash: fmt.Sprintf("%016x", xxhash.Sum64(body)),
	})
}

// begin records a call and returns how long it takes.
func (s *Server) begin(call Call) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.calls[call]++
	d := s.cfg.Latency + time.Duration(s.rng.Float64()*float64(s.cfg.Jitter))
	return time.Duration(float64(d) * s.cfg.Slow())
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) listCalls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Call, 0, len(s.calls))
	for call, count := range s.calls {
		call.Count = count
		list = append(list, call)
	}
	slices.SortFunc(list, func(a, b Call) int {
		return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Method, b.Method), cmp.Compare(a.Key, b.Key))
	})
	return list
}

// load returns the load report. If the last report is at least LoadInterval old, it
// first replaces it.
func (s *Server) load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if age := now.Sub(s.reportedAt); age >= s.cfg.LoadInterval {
		s.reportedAt = now
		s.report = Load{Engine: s.cfg.Name, Capacity: s.cfg.Capacity, Running: s.running}
	}
	report := s.report
	report.AgeMillis = now.Sub(s.reportedAt).Milliseconds()
	return report
}
