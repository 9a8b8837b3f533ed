// Package logio writes log lines without ever blocking the writer, within a
// bound on the lines of a second.
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
	// queued is the number of lines that wait for a slow reader of the log;
	// at 300 bytes a line about 600 KB.
	queued = 2048
	// reserved is the part of the lines of a second that only warnings and
	// errors may use.
	reserved = 0.1
)

// Writer is a logrus hook that queues lines for a writer. Lines beyond the
// rate, or beyond the queue while the writer is slow, are dropped and counted.
type Writer struct {
	out       io.Writer
	format    logrus.Formatter
	perSecond int
	lines     chan []byte
	dropped   atomic.Uint64

	mu     sync.Mutex
	second int64
	used   int
}

// New returns a writer to out of at most perSecond lines a second.
func New(out io.Writer, format logrus.Formatter, perSecond int) *Writer {
	return &Writer{out: out, format: format, perSecond: perSecond, lines: make(chan []byte, queued)}
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

// Dropped returns the number of lines that were not written.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// admit reports whether a line of this second is within the rate.
func (w *Writer) admit(level logrus.Level) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now().Unix(); now != w.second {
		w.second, w.used = now, 0
	}
	bound := w.perSecond
	if level > logrus.WarnLevel {
		bound -= int(float64(bound) * reserved)
	}
	if w.used >= bound {
		return false
	}
	w.used++
	return true
}

// Run writes lines until the context ends, then those that wait. It says once
// a second how many lines were dropped.
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

// Flush writes the lines that wait.
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
