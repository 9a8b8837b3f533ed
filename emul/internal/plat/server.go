// Package plat is a stand-in for the platform: key-value store, host list and
// weight store over HTTP.
package plat

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/verbenapier/verbenapier/emul/internal/serve"
	"github.com/verbenapier/verbenapier/emul/internal/store"
)

const (
	// maxValue is the maximum size of a value in bytes.
	maxValue = 1 << 20
	// maxWait is the maximum wait of a watch, and the wait of a watch that gives
	// none.
	maxWait = 30 * time.Second
	// weightChunk is the number of bytes of weights that are sent at once, and the
	// burst of the weight store's rate limit.
	weightChunk = 64 << 10
)

// Config describes a platform.
type Config struct {
	// HostDelay is the time until a change of the host list becomes visible. Hosts
	// are the initial hosts, which are visible at once.
	HostDelay time.Duration
	Hosts     []Host
	// ReadRate and WriteRate are the limits in calls per second, 0 for unlimited.
	// A watch counts as one read.
	ReadRate, WriteRate float64
	// WeightSize is the size of each model in bytes. WeightRate is the rate in
	// bytes per second that all readers share, 0 for unlimited.
	WeightSize int64
	WeightRate float64
}

// Server is the HTTP handler of the platform.
type Server struct {
	log     logrus.FieldLogger
	cfg     Config
	store   *store.Store
	hosts   *hosts
	calls   *callLimiter
	weights *rate.Limiter
	mux     *http.ServeMux
}

// New returns a platform with an empty store.
func New(log logrus.FieldLogger, cfg Config) *Server {
	s := &Server{
		log: log, cfg: cfg, store: store.New(), hosts: newHosts(cfg.HostDelay, cfg.Hosts),
		calls: newCallLimiter(cfg.ReadRate, cfg.WriteRate), weights: rate.NewLimiter(rate.Inf, 0),
		mux: http.NewServeMux(),
	}
	if cfg.WeightRate > 0 {
		s.weights = rate.NewLimiter(rate.Limit(cfg.WeightRate), weightChunk)
	}
	for pattern, handler := range map[string]http.HandlerFunc{
		"GET /kv/{key...}":        s.get,
		"GET /kv":                 s.list,
		"PUT /kv/{key...}":        s.put,
		"DELETE /kv/{key...}":     s.remove,
		"GET /watch":              s.watch,
		"POST /leases":            s.grant,
		"POST /leases/{id}/renew": s.renew,
		"DELETE /leases/{id}":     s.revoke,
		"GET /hosts":              s.listHosts,
		"POST /hosts":             s.putHosts,
		"DELETE /hosts/{name}":    s.removeHost,
		"GET /weights/{model}":    s.readWeights,
		"GET /stats":              s.stats,
	} {
		s.mux.HandleFunc(pattern, handler)
	}
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.calls.admit(callKind(r)) {
		w.Header().Set("Retry-After", "1")
		serve.Error(w, http.StatusTooManyRequests, "rate limit exceeded")
		return
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	entry, err := s.store.Get(r.PathValue("key"))
	if err != nil {
		serve.Error(w, http.StatusNotFound, err.Error())
		return
	}
	w.Header().Set("X-Revision", strconv.FormatUint(entry.Revision, 10))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(entry.Value)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	serve.JSON(w, http.StatusOK, map[string]any{"entries": s.store.List(r.URL.Query().Get("prefix"))})
}

// baseRevision returns the base revision of a write, or answers 400 and returns
// false.
func baseRevision(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	n, err := strconv.ParseUint(r.URL.Query().Get("base"), 10, 64)
	if err != nil {
		serve.Error(w, http.StatusBadRequest, "base is missing or not a number")
	}
	return n, err == nil
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	revision, ok := baseRevision(w, r)
	if !ok {
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
	if err != nil {
		serve.Error(w, http.StatusBadRequest, "body is incomplete")
		return
	}
	if len(value) > maxValue {
		serve.Error(w, http.StatusRequestEntityTooLarge, "value is larger than 1 MiB")
		return
	}
	revision, err = s.store.Put(r.PathValue("key"), value, revision, r.URL.Query().Get("lease"))
	writeRevision(w, revision, err)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	revision, ok := baseRevision(w, r)
	if !ok {
		return
	}
	revision, err := s.store.Delete(r.PathValue("key"), revision)
	writeRevision(w, revision, err)
}

// writeRevision answers a write with its revision, or with the error of the store
// and the current revision.
func writeRevision(w http.ResponseWriter, revision uint64, err error) {
	w.Header().Set("X-Revision", strconv.FormatUint(revision, 10))
	switch {
	case err == nil:
		serve.JSON(w, http.StatusOK, map[string]uint64{"revision": revision})
	case errors.Is(err, store.ErrConflict):
		serve.JSON(w, http.StatusConflict, map[string]any{"error": err.Error(), "revision": revision})
	default:
		serve.Error(w, http.StatusNotFound, err.Error())
	}
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil && query.Has("after") {
		serve.Error(w, http.StatusBadRequest, "after is not a number")
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil || wait > maxWait {
		wait = maxWait
	}
	revision, err := s.store.Watch(r.Context(), query.Get("prefix"), after, wait)
	if err != nil {
		serve.Error(w, http.StatusServiceUnavailable, "watch ended")
		return
	}
	serve.JSON(w, http.StatusOK, map[string]uint64{"revision": revision})
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var req struct {
		TTLMillis int64 `json:"ttl_ms"`
	}
	if !serve.ReadJSON(w, r, &req) {
		return
	}
	if req.TTLMillis <= 0 {
		serve.Error(w, http.StatusBadRequest, "ttl_ms is missing")
		return
	}
	id := s.store.Grant(time.Duration(req.TTLMillis) * time.Millisecond)
	serve.JSON(w, http.StatusOK, map[string]any{"id": id, "ttl_ms": req.TTLMillis})
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request) {
	ttl, err := s.store.Renew(r.PathValue("id"))
	if err != nil {
		serve.Error(w, http.StatusNotFound, err.Error())
		return
	}
	serve.JSON(w, http.StatusOK, map[string]any{"id": r.PathValue("id"), "ttl_ms": ttl.Milliseconds()})
}

func (s *Server) revoke(w http.ResponseWriter, r *http.Request) {
	if !s.store.Revoke(r.PathValue("id")) {
		serve.Error(w, http.StatusNotFound, store.ErrLease.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) listHosts(w http.ResponseWriter, _ *http.Request) {
	serve.JSON(w, http.StatusOK, map[string]any{"hosts": s.hosts.list()})
}

// putHosts takes one host, or several as {"hosts":[...]}.
func (s *Server) putHosts(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Host
		Hosts []Host `json:"hosts"`
	}
	if !serve.ReadJSON(w, r, &req) {
		return
	}
	if req.Name != "" {
		req.Hosts = append(req.Hosts, req.Host)
	}
	s.hosts.put(req.Hosts)
	s.log.WithField("hosts", len(req.Hosts)).Info("host list changed")
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) removeHost(w http.ResponseWriter, r *http.Request) {
	s.hosts.remove(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) readWeights(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", strconv.FormatInt(s.cfg.WeightSize, 10))
	w.Header().Set("Content-Type", "application/octet-stream")
	chunk := make([]byte, weightChunk)
	for left := s.cfg.WeightSize; left > 0; {
		n := min(left, weightChunk)
		if s.weights.WaitN(r.Context(), int(n)) != nil {
			return
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		left -= n
	}
}

func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	revision, keys, watches := s.store.Stats()
	total, refused := s.calls.counts()
	serve.JSON(w, http.StatusOK, map[string]any{
		"calls": total, "refused": refused, "waiting_watches": watches, "revision": revision, "keys": keys,
	})
}
