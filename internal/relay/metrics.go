package relay

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics records requests by service and outcome. Both labels have few values:
// the services of the configuration and the error kinds.
type metrics struct{ scope tally.Scope }

func newMetrics(scope tally.Scope) metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	return metrics{scope}
}

func (m metrics) recordRequest(service, outcome string, took time.Duration) {
	tagged := m.scope.Tagged(map[string]string{"service": service, "outcome": outcome})
	tagged.Counter("requests_total").Inc(1)
	tagged.Timer("request_seconds").Record(took)
}

// recordDial counts an attempt to connect to an upstream by its result.
func (m metrics) recordDial(err error) {
	result := "failed"
	switch {
	case err == nil:
		result = "connected"
	case errors.Is(err, syscall.ECONNREFUSED):
		result = "refused"
	case errors.Is(err, syscall.ECONNRESET):
		result = "reset"
	case errors.Is(err, context.Canceled):
		result = "canceled"
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		result = "timeout"
	}
	m.scope.Tagged(map[string]string{"result": result}).Counter("dials_total").Inc(1)
}

// recordPanic counts a request that met an unexpected error of the gateway itself.
func (m metrics) recordPanic() { m.scope.Counter("panics_total").Inc(1) }

// recordCut counts a request that ended without a complete answer because this host
// stopped.
func (m metrics) recordCut(s stage) {
	m.scope.Tagged(map[string]string{"stage": s.String()}).Counter("requests_cut_total").Inc(1)
}

func (m metrics) recordFirstEvent(service string, took time.Duration) {
	m.scope.Tagged(map[string]string{"service": service}).Timer("first_event_seconds").Record(took)
}
