package entry

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// runHeader says, on an error response, whether an upstream ran the request.
const runHeader = "X-Verbenapier-Run"

// retryAfterSeconds is the Retry-After value of an error response, unless a
// rate limit or a service without engines asks for a longer one.
const retryAfterSeconds = 1

// errorBody is the error body of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

func newErrorBody(err error) errorBody {
	response := fault.KindOf(err).Answer()
	return errorBody{Error: errorDetail{
		Message: fault.MessageOf(err),
		Type:    errorType(response.Status),
		Code:    response.Code,
	}}
}

// errorType returns the type that the OpenAI API uses for a status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

// writeError responds to a request with an error. It must be called before
// anything is written to w.
func (s *Server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	kind := fault.KindOf(err)
	response := kind.Answer()
	s.options.Metrics.Tagged(map[string]string{"code": response.Code}).Counter("errors").Inc(1)
	s.options.Log.WithFields(logrus.Fields{
		"event": "request_failed", "code": response.Code, "run": response.Run, "path": r.URL.Path,
	}).Debug(err.Error())

	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(runHeader, string(response.Run))
	if response.Resend {
		header.Set("Retry-After", strconv.Itoa(s.retryAfter(err)))
	}
	if kind == fault.TooLarge || kind == fault.HostLeaving {
		header.Set("Connection", "close")
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.options.Limits.WriteTimeout))
	w.WriteHeader(response.Status)
	// A failed write means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(newErrorBody(err))
}

// retryAfter returns the Retry-After value for an error, in whole seconds.
func (s *Server) retryAfter(err error) int {
	if after, ok := s.options.Admission.RetryAfter(err); ok {
		return max(retryAfterSeconds, int(math.Ceil(after.Seconds())))
	}
	var later retryLater
	if errors.As(err, &later) {
		return max(retryAfterSeconds, int(math.Ceil(later.after.Seconds())))
	}
	return retryAfterSeconds
}
