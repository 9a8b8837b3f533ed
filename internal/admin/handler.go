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
		mux.Handle(pattern, s.serve(s.localSlots, fn))
	}
	for pattern, fn := range map[string]endpoint{
		"GET /admin/v1/quarantine":                  s.quarantined,
		"DELETE /admin/v1/quarantine/{fingerprint}": s.lift,
		"GET /admin/v1/config/history":              s.history,
		"GET /admin/v1/config/{revision}":           s.revision,
	} {
		mux.Handle(pattern, s.serve(s.remoteSlots, fn))
	}
	mux.Handle("PUT /admin/v1/config", s.serve(s.applySlots, s.apply))
	return mux
}

// view returns an endpoint that answers with the result of fn.
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
	s.Log.WithFields(logrus.Fields{"event": "drain_ordered", "operator": operatorName(r)}).Info("drain ordered")
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
	s.Log.WithFields(logrus.Fields{"event": "quarantine_lifted", "fingerprint": fingerprint, "operator": operatorName(r)}).Info("quarantine lifted")
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
	revision, err := parseNumber("revision", r.PathValue("revision"))
	if err != nil {
		return answer{}, err
	}
	doc, err := s.Config.At(r.Context(), revision)
	return answer{body: ConfigAnswer{Revision: revision, Document: doc}}, err
}

func parseNumber(name, text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fault.New(fault.Invalid, "%s must be a whole number, not %q", name, text)
	}
	return n, nil
}

func (s *Server) apply(r *http.Request) (answer, error) {
	base, err := parseNumber("base", r.URL.Query().Get("base"))
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
	revision, err := s.Config.Apply(r.Context(), doc, base, operatorName(r))
	if fault.Is(err, fault.Conflict) {
		return answer{}, s.addChanges(r.Context(), base, err)
	}
	if err != nil {
		return answer{}, err
	}
	result := ConfigAnswer{Revision: revision}
	if before, err := s.baseDocument(r.Context(), base); err == nil {
		result.Changes = confd.Diff(before, doc)
	}
	s.Log.WithFields(logrus.Fields{
		"event": "config_applied", "revision": revision, "base": base, "changes": len(result.Changes), "operator": operatorName(r),
	}).Info("configuration applied")
	return answer{body: result}, nil
}

// baseDocument returns the document of the revision base. Base 0 stands for no
// revision and yields an empty document.
func (s *Server) baseDocument(ctx context.Context, base uint64) (*confd.Document, error) {
	if base == 0 {
		return &confd.Document{}, nil
	}
	return s.Config.At(ctx, base)
}

// conflictError adds to a Conflict error the newest revision and the changes
// between the base revision and the newest.
type conflictError struct {
	error
	revision uint64
	changes  []confd.Change
}

func (e *conflictError) Unwrap() error { return e.error }

// addChanges wraps a Conflict error in a conflictError. If the newest document
// cannot be read, it returns err unchanged; if only the base document cannot be
// read, it leaves out the changes.
func (s *Server) addChanges(ctx context.Context, base uint64, err error) error {
	newest, revision, newestErr := s.Config.Newest(ctx)
	if newestErr != nil {
		return err
	}
	conflict := &conflictError{error: err, revision: revision}
	if before, baseErr := s.baseDocument(ctx, base); baseErr == nil {
		conflict.changes = confd.Diff(before, newest)
	}
	return conflict
}

// writeError writes an error with the status and code that package fault
// defines for its kind. If a document has problems, the status is 422 instead, so
// that a client can tell this from a malformed request.
func (s *Server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	defined := fault.KindOf(err).Answer()
	body := ErrorBody{Code: defined.Code, Message: fault.MessageOf(err), Problems: strict.ProblemsOf(err)}
	status := defined.Status
	if len(body.Problems) > 0 {
		status = http.StatusUnprocessableEntity
	}
	var conflict *conflictError
	if errors.As(err, &conflict) {
		body.Revision, body.Changes = conflict.revision, conflict.changes
	}
	s.Log.WithFields(logrus.Fields{
		"event": "admin_refused", "method": r.Method, "path": r.URL.Path, "code": defined.Code, "message": body.Message,
	}).Info("operator's request refused")
	writeJSON(w, status, ErrorAnswer{body})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
		data = []byte(`{"error":{"code":"internal_error","message":"the answer cannot be encoded"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write is ignored: the operator's client sees the lost connection.
	_, _ = w.Write(append(data, '\n'))
}
