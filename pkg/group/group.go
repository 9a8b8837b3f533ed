// Package group runs goroutines that are stopped and waited for together.
package group

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"
	"time"
)

// Group owns a set of goroutines. A goroutine that returns an error or panics
// stops the whole group; the first such error is the result of Wait.
type Group struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	wg     sync.WaitGroup

	mu  sync.Mutex
	err error
}

// errStopped is the cancellation cause after Stop.
var errStopped = errors.New("group stopped")

// New returns a group whose goroutines receive a context derived from ctx.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancelCause(ctx)
	return &Group{ctx: ctx, cancel: cancel}
}

// Context returns the context that ends when the group stops.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs fn in a goroutine of the group. The name appears in the error of a
// failed goroutine. An error that wraps context.Canceled is no failure once
// the group has stopped.
func (g *Group) Go(name string, fn func(ctx context.Context) error) {
	g.wg.Go(func() {
		err := Call(g.ctx, fn)
		if err == nil || (g.ctx.Err() != nil && errors.Is(err, context.Canceled)) {
			return
		}
		g.fail(fmt.Errorf("%s: %w", name, err))
	})
}

// Stop cancels the context of the group.
func (g *Group) Stop() { g.cancel(errStopped) }

// Wait blocks until every goroutine has returned, then cancels the context of
// the group and returns the first error.
func (g *Group) Wait() error {
	g.wg.Wait()
	g.cancel(errStopped)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}

// ErrRunning is the error of WaitFor if goroutines have not returned in time.
var ErrRunning = errors.New("goroutines of the group have not returned")

// WaitFor is Wait for at most d. If goroutines have not returned by then, the error
// wraps ErrRunning and the first error of the group.
func (g *Group) WaitFor(d time.Duration) error {
	done := make(chan error, 1)
	// The goroutine is not one of the group, whose goroutines it waits for.
	var waiter sync.WaitGroup
	waiter.Go(func() { done <- g.Wait() })
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case err := <-done:
		return err
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return errors.Join(ErrRunning, g.err)
}

// fail records the first error and stops the group.
func (g *Group) fail(err error) {
	g.mu.Lock()
	if g.err == nil {
		g.err = err
	}
	g.mu.Unlock()
	g.cancel(err)
}

// Sleep waits for d and returns true, or returns false when the context ends
// first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// PanicError is the error for a panic.
type PanicError struct {
	Value any
	Stack []byte
}

// Error returns the value of the panic and the stack.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v\n%s", e.Value, e.Stack) }

// Call calls fn and returns a panic of fn as a PanicError. It is for callbacks and
// other work whose failure must not stop a group or the process.
func Call(ctx context.Context, fn func(ctx context.Context) error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = &PanicError{p, debug.Stack()}
		}
	}()
	return fn(ctx)
}
