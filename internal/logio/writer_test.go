package logio

import (
	"bytes"
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/pkg/group"
)

// blockedWriter is a log output whose writes block until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// safeBuffer is a buffer to which goroutines may write concurrently. It must be read
// only after they have ended.
type safeBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func newLog(out io.Writer, rate int) (*logrus.Logger, *Writer) {
	w := New(out, &logrus.JSONFormatter{}, rate)
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(w)
	return log, w
}

// Guards against calls of the logger that wait for a slow reader of the log. They
// would delay the requests that are being served.
func TestNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := blockedWriter{make(chan struct{})}
		log, w := newLog(out, 1<<20)
		g := group.New(t.Context())
		g.Go("log", w.Run)
		startedAt := time.Now()
		for range 2*queueSize + 10 {
			log.Info("line")
		}
		require.Zero(t, time.Since(startedAt), "logging must not wait for the output")
		require.GreaterOrEqual(t, w.Dropped(), uint64(queueSize))
		close(out.release)
		g.Stop()
		require.NoError(t, g.Wait())
	})
}

// Guards against three faults: more lines per second are written than allowed;
// ordinary lines use up the limit, so that warnings are dropped; dropped lines are
// not reported.
func TestRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out safeBuffer
		log, w := newLog(&out, 100)
		ctx, cancel := context.WithCancel(t.Context())
		g := group.New(ctx)
		g.Go("log", w.Run)
		for range 500 {
			log.Info("ordinary")
		}
		for range 10 {
			log.Warn("failure")
		}
		time.Sleep(2 * time.Second)
		cancel()
		require.NoError(t, g.Wait())
		// Of the 100 lines per second, reservedShare is reserved for warnings and errors.
		require.Equal(t, 90, bytes.Count(out.Bytes(), []byte("ordinary")))
		require.Equal(t, 10, bytes.Count(out.Bytes(), []byte("failure")))
		require.Contains(t, out.String(), `"event":"log_lines_dropped","lines":410`)
	})
}
