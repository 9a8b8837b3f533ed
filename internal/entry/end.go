package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/verbenapier/verbenapier/internal/answer"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

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
		err = answer.VerifyEnd(ctx, p.server.options.Dial, address, resp, true)
	case err != nil:
		err = fault.Wrap(fault.UpstreamLost, err, "the answer of service %s broke off", p.service)
	}
	if err != nil {
		_ = resp.Body.Close()
	}
	return err
}
