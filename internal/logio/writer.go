// Package logio writes log lines without blocking the code that logs, and
// limits the number of lines per second.
package logio

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// queueSize is the maximum number of lines that are queued while the reader
	// of the log is slow. They take about 600 KB at 300 bytes a line.
	queueSize = 2048
	// reservedShare is the share of the lines per second that is reserved for
	// warnings and errors.
	reservedShare = 0.1
)

// Writer is a logrus hook that queues lines for an io.Writer. Lines above the
// rate limit, and lines for which the queue has no room, are dropped and counted.
type Writer struct {
	out       io.Writer
	format    logrus.Formatter
	perSecond int
	lines     chan []byte
	dropped   atomic.Uint64

	// admitted is the number of lines admitted in the current second, and second
	// that second in Unix time. mu guards both.
	mu       sync.Mutex
	second   int64
	admitted int
}

// New returns a Writer that formats lines and writes at most perSecond lines
// per second to out.
func New(out io.Writer, format logrus.Formatter, perSecond int) *Writer {
	return &Writer{out: out, format: format, perSecond: perSecond, lines: make(chan []byte, queueSize)}
}

// Levels implements logrus.Hook.
func (w *Writer) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook. It never blocks.
func (w *Writer) Fire(entry *logrus.Entry) error {
	if !w.admit(entry.Level) {
		w.dropped.Add(1)
		return nil
	}
	line, err := w.format.Format(entry)
	if err != nil {
		return err
	}
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return nil
}

// Dropped returns the number of lines that were dropped or could not be
// written.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// admit reports whether one more line may be written in the current second, and
// counts it.
func (w *Writer) admit(level logrus.Level) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now().Unix(); now != w.second {
		w.second, w.admitted = now, 0
	}
	limit := w.perSecond
	if level > logrus.WarnLevel {
		limit -= int(float64(limit) * reservedShare)
	}
	if w.admitted >= limit {
		return false
	}
	w.admitted++
	return true
}

// Run writes queued lines until the context ends, then the rest of the queue.
// Once per second it writes a line with the number of dropped lines, if there
// were any.
func (w *Writer) Run(ctx context.Context) error {
	report := time.NewTicker(time.Second)
	defer report.Stop()
	var reported uint64
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-report.C:
			if n := w.dropped.Load(); n != reported {
				w.write(fmt.Appendf(nil, `{"level":"warning","event":"log_lines_dropped","lines":%d,"total":%d}`+"\n", n-reported, n))
				reported = n
			}
		case <-ctx.Done():
			w.Flush()
			return nil
		}
	}
}

// Flush writes the lines in the queue and returns.
func (w *Writer) Flush() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

func (w *Writer) write(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}
