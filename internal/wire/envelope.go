package wire

import (
	"encoding/json"
	"errors"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// The methods that the transport handles itself.
const (
	methodPing   = "wire.ping"
	methodCancel = "wire.cancel"
)

// callMeta is sent with each call in addition to its parameters.
type callMeta struct {
	// TimeoutMillis is the time left until the caller's deadline.
	TimeoutMillis int64 `json:"timeout_ms"`
	// From is the caller's name. It is used only on connections without TLS,
	// where no certificate names the peer.
	From string `json:"from,omitempty"`
}

type cancelParams struct {
	ID string `json:"id"`
}

// errorCode is the JSON-RPC code of all errors; their kind is in errorData.
const errorCode = -32000

type errorData struct {
	Kind string `json:"kind"`
}

// encodeError converts an error of a handler to a jsonrpc2 error that carries
// its kind.
func encodeError(err error) *jsonrpc2.Error {
	e := &jsonrpc2.Error{Code: errorCode, Message: err.Error()}
	e.SetError(errorData{Kind: fault.KindOf(err).String()})
	return e
}

// decodeError converts the error in a peer's reply to one of the same kind.
func decodeError(err *jsonrpc2.Error) error {
	var data errorData
	if err.Data != nil && json.Unmarshal(*err.Data, &data) == nil {
		if kind, ok := fault.ParseKind(data.Kind); ok {
			return fault.New(kind, "%s", err.Message)
		}
	}
	return fault.New(fault.Internal, "%s", err.Message)
}

// asPeerError returns the jsonrpc2 error of a peer's reply, or nil.
func asPeerError(err error) *jsonrpc2.Error {
	var peer *jsonrpc2.Error
	if errors.As(err, &peer) {
		return peer
	}
	return nil
}
