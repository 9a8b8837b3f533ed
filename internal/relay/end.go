package relay

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/verbenapier/verbenapier/internal/header"
	"github.com/verbenapier/verbenapier/internal/place"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// verifyEnd returns an error if the body of a success may be incomplete although it ended
// without an error. A connection is closed in the same way when the process of the
// upstream ends, so a body that ends with its connection counts as complete only if it is
// not empty and its upstream still runs.
func (c *call) verifyEnd(ctx context.Context, resp *http.Response, u place.Upstream, empty bool) error {
	if !header.EndsWithConnection(resp) || resp.StatusCode >= http.StatusMultipleChoices {
		return nil
	}
	if empty {
		return fault.Wrap(fault.UpstreamLost, io.ErrUnexpectedEOF, "the connection was closed after the header of an answer without a length")
	}
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	// An upstream that is only slow to answer the check has not ended.
	if err := c.server.options.Reserver.Alive(ctx, u); err != nil && ctx.Err() == nil {
		return fault.Wrap(fault.UpstreamLost, errors.Join(io.ErrUnexpectedEOF, err), "upstream %s ended after an answer without a length", u.ID)
	}
	return nil
}
