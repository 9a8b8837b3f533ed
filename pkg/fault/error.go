package fault

import (
	"context"
	"errors"
	"fmt"

	"github.com/gravitational/trace"
)

// Error is an error with a kind. Its message is safe to show to callers: it
// holds no prompt text and no keys.
type Error struct {
	kind    Kind
	message string
	cause   error
}

// New returns an error of the given kind.
func New(kind Kind, format string, args ...any) error {
	return &Error{kind: kind, message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of the given kind that keeps err as its cause. It
// returns nil when err is nil.
func Wrap(kind Kind, err error, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return &Error{kind: kind, message: fmt.Sprintf(format, args...), cause: trace.Wrap(err)}
}

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Message returns the message without the cause.
func (e *Error) Message() string { return e.message }

// Error returns the message and that of the cause.
func (e *Error) Error() string {
	if e.cause == nil {
		return e.message
	}
	return e.message + ": " + trace.Unwrap(e.cause).Error()
}

// Unwrap returns the cause, or nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the kind of the first Error in the chain of err. Without an
// Error in the chain, context.DeadlineExceeded is Timeout, context.Canceled is
// Canceled, and everything else is Internal.
func KindOf(err error) Kind {
	var e *Error
	switch {
	case errors.As(err, &e):
		return e.kind
	case errors.Is(err, context.DeadlineExceeded):
		return Timeout
	case errors.Is(err, context.Canceled):
		return Canceled
	}
	return Internal
}

// Is reports whether err has the given kind.
func Is(err error, kind Kind) bool {
	return err != nil && KindOf(err) == kind
}

// MessageOf returns the message to show to callers for err: that of the first
// Error in its chain or, without one, the meaning of the kind that KindOf
// returns.
func MessageOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.message
	}
	return KindOf(err).Answer().Meaning
}
