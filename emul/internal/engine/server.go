// Package engine serves the simulated engine of package batch over HTTP.
package engine

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/emul/internal/batch"
	"github.com/verbenapier/verbenapier/emul/internal/serve"
)

// Server is the HTTP handler of the engine protocol.
type Server struct {
	log    logrus.FieldLogger
	engine *batch.Engine
	mux    *http.ServeMux
}

// New returns a server for a simulated engine.
func New(log logrus.FieldLogger, engine *batch.Engine) *Server {
	s := &Server{log: log, engine: engine, mux: http.NewServeMux()}
	for pattern, handler := range map[string]http.HandlerFunc{
		"POST /v1/streams":             s.start,
		"POST /v1/streams/{id}/resume": s.resume,
		"DELETE /v1/streams/{id}":      s.cancel,
		"GET /v1/streams":              s.streams,
		"POST /v1/reservations":        s.reserve,
		"DELETE /v1/reservations/{id}": s.freeReservation,
		"POST /v1/kv/export":           s.exportKV,
		"POST /v1/kv/import":           s.importKV,
		"DELETE /v1/kv/{id}":           s.freeKV,
		"GET /v1/kv":                   s.listKV,
		"GET /v1/load":                 s.load,
		"GET /v1/cache/events":         s.events,
		"POST /v1/orders":              s.order,
		"GET /v1/health":               s.health,
	} {
		s.mux.HandleFunc(pattern, handler)
	}
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) start(w http.ResponseWriter, r *http.Request) {
	var req batch.StartRequest
	if !serve.ReadJSON(w, r, &req) {
		return
	}
	reader, err := s.engine.Start(r.Context(), req)
	if err != nil {
		s.writeStreamError(w, req.ID, err)
		return
	}
	s.log.WithFields(logrus.Fields{"stream": req.ID, "attempt": req.Attempt}).Debug("stream started")
	s.stream(w, r, reader)
}

func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Attempt int `json:"attempt"`
		From    int `json:"from"`
	}
	if !serve.ReadJSON(w, r, &req) {
		return
	}
	reader, err := s.engine.Resume(r.PathValue("id"), req.Attempt, req.From)
	if err != nil {
		s.writeStreamError(w, r.PathValue("id"), err)
		return
	}
	s.log.WithFields(logrus.Fields{"stream": r.PathValue("id"), "attempt": req.Attempt}).Debug("stream_resumed")
	s.stream(w, r, reader)
}

// stream writes frames to the connection until the stream ends or the client
// disconnects.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, reader *batch.Reader) {
	defer reader.Close()
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	if control.Flush() != nil {
		return
	}
	for {
		frame, err := reader.Next(r.Context())
		if err != nil {
			return
		}
		if _, err := w.Write(encodeFrame(frame)); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
	}
}

// encodeFrame returns a frame as a line of JSON.
func encodeFrame(frame batch.Frame) []byte {
	if frame.Keepalive {
		return []byte("{\"keepalive\":true}\n")
	}
	b, _ := json.Marshal(frame)
	return append(b, '\n')
}

// writeError answers with the status of a refusal, or with 503 for any other
// error.
func (s *Server) writeError(w http.ResponseWriter, err error) {
	var refusal *batch.Refusal
	if !errors.As(err, &refusal) {
		serve.Error(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	s.log.WithFields(logrus.Fields{"status": refusal.Status, "reason": refusal.Reason}).Debug("refused")
	if refusal.Fence > 0 {
		serve.JSON(w, refusal.Status, map[string]any{"error": refusal.Reason, "fence": refusal.Fence})
		return
	}
	serve.Error(w, refusal.Status, refusal.Reason)
}

// writeStreamError is writeError for a call about a stream, which the answer names.
func (s *Server) writeStreamError(w http.ResponseWriter, id string, err error) {
	status := http.StatusServiceUnavailable
	if refusal := (*batch.Refusal)(nil); errors.As(err, &refusal) {
		status = refusal.Status
	}
	s.log.WithFields(logrus.Fields{"status": status, "stream": id, "reason": err.Error()}).Debug("refused")
	serve.JSON(w, status, map[string]any{"error": err.Error(), "id": id})
}

// writeDeleted answers 204, or 404 if there was nothing to delete.
func writeDeleted(w http.ResponseWriter, found bool) {
	if !found {
		serve.Error(w, http.StatusNotFound, "not found")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	writeDeleted(w, s.engine.Cancel(r.PathValue("id")))
}

func (s *Server) streams(w http.ResponseWriter, _ *http.Request) {
	serve.JSON(w, http.StatusOK, map[string]any{"streams": s.engine.Streams()})
}

func (s *Server) reserve(w http.ResponseWriter, r *http.Request) {
	var req batch.Reservation
	if !serve.ReadJSON(w, r, &req) {
		return
	}
	if err := s.engine.Reserve(req); err != nil {
		s.writeError(w, err)
		return
	}
	serve.JSON(w, http.StatusOK, req)
}

func (s *Server) freeReservation(w http.ResponseWriter, r *http.Request) {
	writeDeleted(w, s.engine.FreeReservation(r.PathValue("id")))
}

func (s *Server) exportKV(w http.ResponseWriter, r *http.Request) {
	var req batch.ExportRequest
	if !serve.ReadJSON(w, r, &req) {
		return
	}
	exported, err := s.engine.Export(req)
	if err != nil {
		s.writeError(w, err)
		return
	}
	serve.JSON(w, http.StatusOK, exported)
}

func (s *Server) importKV(w http.ResponseWriter, r *http.Request) {
	var req batch.ImportRequest
	if !serve.ReadJSON(w, r, &req) {
		return
	}
	tokens, err := s.engine.Import(req)
	if err != nil {
		s.writeError(w, err)
		return
	}
	serve.JSON(w, http.StatusOK, importResponse{ID: req.ID, Tokens: tokens})
}

func (s *Server) freeKV(w http.ResponseWriter, r *http.Request) {
	writeDeleted(w, s.engine.FreeKV(r.PathValue("id")))
}

func (s *Server) listKV(w http.ResponseWriter, _ *http.Request) {
	serve.JSON(w, http.StatusOK, map[string]any{"kv": s.engine.Allocations()})
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	serve.JSON(w, http.StatusOK, s.engine.Load())
}

func (s *Server) events(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		serve.Error(w, http.StatusBadRequest, "after is not a number")
		return
	}
	events, next := s.engine.Events(after)
	serve.JSON(w, http.StatusOK, map[string]any{"events": events, "next": next})
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var req batch.Order
	if !serve.ReadJSON(w, r, &req) {
		return
	}
	fence, err := s.engine.Order(req)
	if err != nil {
		s.writeError(w, err)
		return
	}
	s.log.WithFields(logrus.Fields{"kind": req.Kind, "model": req.Model, "fence": req.Fence}).Info("order accepted")
	serve.JSON(w, http.StatusOK, map[string]uint64{"fence": fence})
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	serve.JSON(w, http.StatusOK, map[string]string{"status": "ok"})
}

var _ batch.Peers = (*Peers)(nil)
