package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/verbenapier/verbenapier/internal/header"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// endCheckTimeout bounds the check of whether an upstream still runs.
const endCheckTimeout = 300 * time.Millisecond

// bufferedBody is a response body that was read in part.
type bufferedBody struct {
	io.Reader
	io.Closer
}

// beginResponse waits for the first byte of a response's body, or its end. On an error
// nothing of the response has to be passed on, and it is closed.
func (p *plainCall) beginResponse(ctx context.Context, resp *http.Response, address string) error {
	body := bufio.NewReader(resp.Body)
	resp.Body = bufferedBody{body, resp.Body}
	_, err := body.Peek(1)
	switch {
	case errors.Is(err, io.EOF):
		err = p.verifyEnd(ctx, resp, address, true)
	case err != nil:
		err = fault.Wrap(fault.UpstreamLost, err, "the answer of service %s broke off", p.service)
	}
	if err != nil {
		_ = resp.Body.Close()
	}
	return err
}

// verifyEnd returns an error if the body of a success may be incomplete although it ended
// without an error. A connection is closed in the same way when the process of the
// upstream ends, so a body that ends with its connection counts as complete only if it is
// not empty and its upstream still accepts connections.
func (p *plainCall) verifyEnd(ctx context.Context, resp *http.Response, address string, empty bool) error {
	if !header.EndsWithConnection(resp) || resp.StatusCode >= http.StatusMultipleChoices {
		return nil
	}
	if empty {
		return fault.Wrap(fault.UpstreamLost, io.ErrUnexpectedEOF, "the connection was closed after the header of an answer without a length")
	}
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	conn, err := p.server.options.Dial(ctx, address)
	if err == nil {
		_ = conn.Close()
		return nil
	}
	if ctx.Err() != nil {
		// An upstream that is only slow to accept a connection has not ended.
		return nil
	}
	return fault.Wrap(fault.UpstreamLost, errors.Join(io.ErrUnexpectedEOF, err), "an upstream of service %s ended after an answer without a length", p.service)
}
