// Package guard contains unexpected errors (panics) to the work that caused them, so
// that one request, cell or message doesn't end what serves all others.
package guard

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// restartPause is the time before a loop that panicked runs again.
	restartPause = 50 * time.Millisecond
	// A loop that panics maxPanics times, each time within steadyTime of its start,
	// can't go on.
	maxPanics  = 5
	steadyTime = 10 * time.Second
)

// panics counts the panics of the process that were contained.
var panics atomic.Uint64

// Panics returns the number of panics that were contained since the start of the
// process.
func Panics() uint64 { return panics.Load() }

// Do calls fn, which does the named work for one request, cell, key or message. It
// logs and counts a panic of fn, and returns it as an error.
func Do(ctx context.Context, log logrus.FieldLogger, work string, fn func(ctx context.Context) error) error {
	err := group.Call(ctx, fn)
	if isPanic(err) && !isAbort(err) {
		panics.Add(1)
		log.WithError(err).WithFields(logrus.Fields{"event": "panic_contained", "work": work}).
			Error("an unexpected error was contained to the work that caused it")
	}
	return err
}

// Run is Do for work without a context or a result.
func Run(log logrus.FieldLogger, work string, fn func()) {
	// Do has logged the only error, a panic.
	_ = Do(context.Background(), log, work, func(context.Context) error { fn(); return nil })
}

// Loop returns a function that calls fn, a loop that serves more than one request, and
// calls it again after a panic. If the loop can't go on, the function returns the
// panic as an error, which stops the group that it runs in.
func Loop(log logrus.FieldLogger, name string, fn func(ctx context.Context) error) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		for count := 0; ; {
			startedAt := time.Now()
			err := Do(ctx, log, name, fn)
			if !isPanic(err) {
				return err
			}
			if time.Since(startedAt) >= steadyTime {
				count = 0
			}
			if count++; count == maxPanics || !group.Sleep(ctx, restartPause) {
				return err
			}
		}
	}
}

// Task returns a function that calls fn and returns no error, for work in a group that
// must not be stopped by it. It logs the error.
func Task(log logrus.FieldLogger, name string, fn func(ctx context.Context) error) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		if err := Do(ctx, log, name, fn); err != nil && !isPanic(err) && ctx.Err() == nil {
			log.WithError(err).WithFields(logrus.Fields{"event": "task_failed", "work": name}).Error("work in the background failed")
		}
		return nil
	}
}

// Locked calls fn with mu held. A panic of fn leaves mu unlocked.
func Locked(mu sync.Locker, fn func()) {
	mu.Lock()
	defer mu.Unlock()
	fn()
}

// Handler returns a handler that calls next. A panic of next ends the connection, as
// net/http does without a log line of ours.
func Handler(log logrus.FieldLogger, name string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		err := Do(r.Context(), log, name, func(context.Context) error {
			next.ServeHTTP(w, r)
			return nil
		})
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	})
}

func isPanic(err error) bool {
	var p *group.PanicError
	return errors.As(err, &p)
}

// isAbort reports whether a handler broke off its answer on purpose.
func isAbort(err error) bool {
	var p *group.PanicError
	return errors.As(err, &p) && p.Value == any(http.ErrAbortHandler)
}
