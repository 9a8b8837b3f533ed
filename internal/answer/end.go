package answer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/verbenapier/verbenapier/internal/header"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// endCheckTimeout bounds the check of whether an upstream still runs. It is several times
// the latency between failure domains.
const endCheckTimeout = 300 * time.Millisecond

// VerifyEnd returns an error of kind UpstreamLost if the body of a success may be
// incomplete although it ended without an error. The system closes the connections of a
// process that ends, so a body that ends with its connection counts as complete only if it
// is not empty and its upstream still accepts connections.
func VerifyEnd(ctx context.Context, dial func(ctx context.Context, address string) (net.Conn, error), address string, resp *http.Response, empty bool) error {
	if !header.EndsWithConnection(resp) || resp.StatusCode >= http.StatusMultipleChoices {
		return nil
	}
	if empty {
		return errNoBody()
	}
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	conn, err := dial(ctx, address)
	if err == nil {
		_ = conn.Close()
		return nil
	}
	if ctx.Err() != nil && !errors.Is(err, syscall.ECONNREFUSED) {
		// An upstream that is only slow to accept a connection has not ended. One that
		// refused a connection has, even if the time passed in an attempt through a peer.
		return nil
	}
	return fault.Wrap(fault.UpstreamLost, errors.Join(io.ErrUnexpectedEOF, err), "the upstream ended after an answer without a length")
}
