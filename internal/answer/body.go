package answer

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/verbenapier/verbenapier/internal/header"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Read reads the body of an answer to its end. The error is UpstreamLost if the body broke
// off or has more than limit bytes, or if it is empty and nothing but the end of the
// connection says so.
func Read(resp *http.Response, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	switch {
	case err != nil:
		return nil, fault.Wrap(fault.UpstreamLost, err, "the answer broke off")
	case int64(len(data)) > limit:
		return nil, fault.New(fault.UpstreamLost, "the answer exceeds %d bytes", limit)
	case len(data) == 0 && header.EndsWithConnection(resp):
		return nil, errNoBody()
	}
	return data, nil
}

// Decode reads the body of an answer to its end and decodes the JSON value that it is. The
// error is UpstreamLost for what Read refuses and for a body that is no such value.
func Decode(resp *http.Response, limit int64, out any) error {
	data, err := Read(resp, limit)
	if err != nil {
		return err
	}
	return fault.Wrap(fault.UpstreamLost, json.Unmarshal(data, out), "the answer cannot be decoded")
}

// Acknowledged reads the answer to a call that returns nothing to its end: it is empty or
// a JSON value. The errors are those of Decode.
func Acknowledged(resp *http.Response, limit int64) error {
	data, err := Read(resp, limit)
	if err == nil && len(data) > 0 && !json.Valid(data) {
		err = fault.New(fault.UpstreamLost, "the answer is no JSON value")
	}
	return err
}

func errNoBody() error {
	return fault.Wrap(fault.UpstreamLost, io.ErrUnexpectedEOF, "the connection was closed after the header of an answer without a length")
}
