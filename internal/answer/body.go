package answer

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/verbenapier/verbenapier/internal/header"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Read reads the body of an answer to its end. The error is UpstreamLost if the body broke
// off, has more than limit bytes, or is empty and nothing but the end of the connection says
// so; and if there is no memory for it, or for the values in it once they are decoded.
func (c *Client) Read(resp *http.Response, limit int64) ([]byte, error) {
	hold := c.Hold()
	defer hold.Release()
	return read(resp, limit, hold)
}

// read is Read with a hold of the body and its values.
func read(resp *http.Response, limit int64, hold *Hold) ([]byte, error) {
	data, whole, err := ReadAll(resp.Body, limit+1, hold.Set)
	switch {
	case err != nil:
		return nil, fault.Wrap(fault.UpstreamLost, err, "the answer broke off")
	case int64(len(data)) > limit:
		return nil, fault.New(fault.UpstreamLost, "the answer exceeds %d bytes", limit)
	case !whole:
		return nil, errNoMemory("the body of an answer")
	case len(data) == 0 && header.EndsWithConnection(resp):
		return nil, errNoBody()
	case len(data) > FreeBody && !hold.Set(int64(len(data))+decodedSize(data)):
		return nil, errNoMemory("the values in an answer")
	}
	return data, nil
}

// Decode reads the body of an answer to its end and decodes the JSON value that it is. The
// error is UpstreamLost for what Read refuses, and Invalid for a body that is no such value.
func (c *Client) Decode(resp *http.Response, limit int64, out any) error {
	hold := c.Hold()
	defer hold.Release()
	data, err := read(resp, limit, hold)
	if err != nil {
		return err
	}
	return fault.Wrap(fault.Invalid, json.Unmarshal(data, out), "the answer cannot be decoded")
}

const (
	// objectSize and valueSize bound what an object and another value in a JSON text take
	// once they are decoded, apart from their texts, in bytes. A slice that grows holds
	// its elements up to twice.
	objectSize = 512
	valueSize  = 64
)

// decodedSize bounds what a JSON text takes once it is decoded, in bytes.
func decodedSize(data []byte) int64 {
	objects, values := bytes.Count(data, []byte("{")), bytes.Count(data, []byte(","))
	return int64(len(data) + objectSize*objects + valueSize*values)
}

// Acknowledged reads the answer to a call that returns nothing to its end: it is empty or
// a JSON value. The errors are those of Decode.
func (c *Client) Acknowledged(resp *http.Response, limit int64) error {
	data, err := c.Read(resp, limit)
	if err == nil && len(data) > 0 && !json.Valid(data) {
		err = fault.New(fault.Invalid, "the answer is no JSON value")
	}
	return err
}

// errNoBody is the error of an answer without a length whose connection was closed after
// its head.
func errNoBody() error {
	return fault.Wrap(fault.UpstreamLost, io.ErrUnexpectedEOF, "the connection was closed after the header of an answer without a length")
}

// errNoMemory is the error of an answer that would exceed the memory of all answers.
func errNoMemory(what string) error {
	return fault.New(fault.UpstreamLost, "this host has no memory for %s", what)
}
