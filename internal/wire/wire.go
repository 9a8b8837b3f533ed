// Package wire makes remote calls with typed messages between daemons, using
// jsonrpc2 over mutual TLS. Tests replace the transport by an in-memory network.
package wire

import (
	"context"
	"encoding/json"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Caller sends a message to the daemon at a peer address and waits for the
// answer. The context must carry a deadline.
//
// An error of the peer's handler keeps its kind. The error is Unreachable if the
// peer cannot be reached (the message had no effect), and ReplyLost if the
// connection is lost while waiting for the answer.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Handler answers one method. From is the authenticated name of the calling
// node.
type Handler func(ctx context.Context, from string, params json.RawMessage) (any, error)

// Mux maps methods to handlers. Register all handlers before serving.
type Mux struct {
	handlers map[string]Handler
}

// NewMux returns an empty mux.
func NewMux() *Mux {
	return &Mux{handlers: map[string]Handler{}}
}

// Handle registers the handler of a method. It panics when the method is
// already registered.
func (m *Mux) Handle(method string, h Handler) {
	if _, ok := m.handlers[method]; ok {
		panic("wire: method registered twice: " + method)
	}
	m.handlers[method] = h
}

// Serve runs the handler of a method. The error for an unknown method is Invalid.
func (m *Mux) Serve(ctx context.Context, from, method string, params json.RawMessage) (any, error) {
	h, ok := m.handlers[method]
	if !ok {
		return nil, fault.New(fault.Invalid, "unknown method %q", method)
	}
	return h(ctx, from, params)
}

// Typed adapts a function with typed parameters and result to a Handler.
func Typed[P, R any](fn func(ctx context.Context, from string, params P) (R, error)) Handler {
	return func(ctx context.Context, from string, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, fault.Wrap(fault.Invalid, err, "malformed parameters")
		}
		return fn(ctx, from, params)
	}
}
