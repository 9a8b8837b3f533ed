package admin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/confd/strict"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Handler returns the handler of all endpoints.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	for pattern, fn := range map[string]endpoint{
		"GET /admin/v1/nodes":         view(func() any { return s.State.Nodes() }),
		"GET /admin/v1/cells":         view(func() any { return s.State.Cells() }),
		"GET /admin/v1/engines":       view(func() any { return s.State.Engines() }),
		"GET /admin/v1/organisations": view(func() any { return s.State.Organisations() }),
		"GET /admin/v1/requests":      view(func() any { return s.State.Requests() }),
		"GET /admin/v1/alarms":        view(func() any { return s.Alarms.Active() }),
		"GET /admin/v1/metrics":       view(func() any { return s.State.Metrics() }),
		"GET /admin/v1/dump":          view(func() any { return s.State.Dump() }),
		"GET /admin/v1/config":        s.current,
		"GET /admin/v1/health":        s.health,
		"POST /admin/v1/drain":        s.drain,
		"/": func(r *http.Request) (answer, error) {
			return answer{}, fault.New(fault.NotFound, "there is no %s %s", r.Method, r.URL.Path)
		},
	} {
		mux.Handle(pattern, s.serve(s.local, fn))
	}
	for pattern, fn := range map[string]endpoint{
		"GET /admin/v1/quarantine":                  s.quarantined,
		"DELETE /admin/v1/quarantine/{fingerprint}": s.lift,
		"GET /admin/v1/config/history":              s.history,
		"GET /admin/v1/config/{revision}":           s.revision,
	} {
		mux.Handle(pattern, s.serve(s.remote, fn))
	}
	mux.Handle("PUT /admin/v1/config", s.serve(s.applying, s.apply))
	return mux
}

func view(fn func() any) endpoint {
	return func(*http.Request) (answer, error) { return answer{body: fn()}, nil }
}

func (s *Server) health(*http.Request) (answer, error) {
	h := s.State.Health()
	if !h.Ready {
		return answer{http.StatusServiceUnavailable, h}, nil
	}
	return answer{body: h}, nil
}

func (s *Server) drain(r *http.Request) (answer, error) {
	if err := s.Drainer.Drain(r.Context()); err != nil {
		return answer{}, err
	}
	s.Log.WithFields(logrus.Fields{"event": "drain_ordered", "operator": operator(r)}).Info("drain ordered")
	return answer{http.StatusAccepted, s.State.Health()}, nil
}

func (s *Server) quarantined(r *http.Request) (answer, error) {
	list, err := s.Quarantine.Quarantined(r.Context())
	return answer{body: list}, err
}

func (s *Server) lift(r *http.Request) (answer, error) {
	fingerprint := r.PathValue("fingerprint")
	if err := s.Quarantine.Lift(r.Context(), fingerprint); err != nil {
		return answer{}, err
	}
	s.Log.WithFields(logrus.Fields{"event": "quarantine_lifted", "fingerprint": fingerprint, "operator": operator(r)}).Info("quarantine lifted")
	return answer{body: map[string]string{"lifted": fingerprint}}, nil
}

func (s *Server) current(*http.Request) (answer, error) {
	doc, revision, err := s.Config.Current()
	return answer{body: ConfigAnswer{Revision: revision, Document: doc}}, err
}

func (s *Server) history(r *http.Request) (answer, error) {
	list, err := s.Config.History(r.Context())
	return answer{body: list}, err
}

func (s *Server) revision(r *http.Request) (answer, error) {
	revision, err := number("revision", r.PathValue("revision"))
	if err != nil {
		return answer{}, err
	}
	doc, err := s.Config.At(r.Context(), revision)
	return answer{body: ConfigAnswer{Revision: revision, Document: doc}}, err
}

func number(name, text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fault.New(fault.Invalid, "%s must be a whole number, not %q", name, text)
	}
	return n, nil
}

func (s *Server) apply(r *http.Request) (answer, error) {
	base, err := number("base", r.URL.Query().Get("base"))
	if err != nil {
		return answer{}, err
	}
	data, err := io.ReadAll(r.Body)
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return answer{}, fault.Wrap(fault.TooLarge, err, "the document exceeds %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return answer{}, fault.Wrap(fault.Invalid, err, "read the document")
	}
	doc, err := confd.Parse("document", data)
	if err != nil {
		return answer{}, err
	}
	revision, err := s.Config.Apply(r.Context(), doc, base, operator(r))
	if fault.Is(err, fault.Conflict) {
		return answer{}, s.conflict(r.Context(), base, err)
	}
	if err != nil {
		return answer{}, err
	}
	result := ConfigAnswer{Revision: revision}
	if before, err := s.base(r.Context(), base); err == nil {
		result.Changes = confd.Diff(before, doc)
	}
	s.Log.WithFields(logrus.Fields{
		"event": "config_applied", "revision": revision, "base": base, "changes": len(result.Changes), "operator": operator(r),
	}).Info("configuration applied")
	return answer{body: result}, nil
}

func (s *Server) base(ctx context.Context, base uint64) (*confd.Document, error) {
	if base == 0 {
		return &confd.Document{}, nil
	}
	return s.Config.At(ctx, base)
}

// raceError is a conflict with what the other operator changed.
type raceError struct {
	error
	revision uint64
	changes  []confd.Change
}

func (e *raceError) Unwrap() error { return e.error }

// conflict adds what changed since base to a conflict, where it is known.
func (s *Server) conflict(ctx context.Context, base uint64, err error) error {
	newest, revision, newestErr := s.Config.Newest(ctx)
	if newestErr != nil {
		return err
	}
	race := &raceError{error: err, revision: revision}
	if before, baseErr := s.base(ctx, base); baseErr == nil {
		race.changes = confd.Diff(before, newest)
	}
	return race
}

// fail writes an error by the table of package fault. A document with
// problems is 422, so that a client tells it from a malformed request.
func (s *Server) fail(w http.ResponseWriter, r *http.Request, err error) {
	table := fault.KindOf(err).Answer()
	body := ErrorBody{Code: table.Code, Message: fault.MessageOf(err), Problems: strict.ProblemsOf(err)}
	status := table.Status
	if len(body.Problems) > 0 {
		status = http.StatusUnprocessableEntity
	}
	var race *raceError
	if errors.As(err, &race) {
		body.Revision, body.Changes = race.revision, race.changes
	}
	s.Log.WithFields(logrus.Fields{
		"event": "admin_refused", "method": r.Method, "path": r.URL.Path, "code": table.Code, "message": body.Message,
	}).Info("operator's request refused")
	write(w, status, ErrorAnswer{body})
}

func write(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
		data = []byte(`{"error":{"code":"internal_error","message":"the answer cannot be encoded"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A lost connection is the operator's to notice.
	_, _ = w.Write(append(data, '\n'))
}
