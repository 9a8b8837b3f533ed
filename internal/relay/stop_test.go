package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/drain"
	"github.com/verbenapier/verbenapier/internal/route"
)

// stoppedWriter announces an immediate stop while the deadline of a body that was read is
// removed, and records the deadline that was set last.
type stoppedWriter struct {
	http.ResponseWriter
	drain *drain.Drain
	last  time.Time
}

func (w *stoppedWriter) SetReadDeadline(t time.Time) error {
	w.last = t
	if t.IsZero() {
		w.drain.Begin(time.Now())
		time.Sleep(time.Millisecond)
	}
	return nil
}

// Guards against a stop that sets a past read deadline on a connection whose request was
// read whole: net/http then ends the context of the request as if its caller had left,
// and the request gets no answer.
func TestStopLeavesReadRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := drain.New(logrus.New())
		s := &Server{options: Options{Drain: d, Quota: newQuota(logrus.New())}}
		w := &stoppedWriter{ResponseWriter: httptest.NewRecorder(), drain: d}
		r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "/", strings.NewReader("body"))
		c := &call{server: s, w: w, r: r, table: route.NewTable(&route.Config{})}
		require.NoError(t, c.readBody())
		require.Equal(t, "body", string(c.body))
		require.Zero(t, w.last, "the connection of a request that was read has a read deadline in the past")
	})
}
