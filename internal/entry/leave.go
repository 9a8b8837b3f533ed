package entry

import (
	"context"
	"errors"

	"github.com/verbenapier/verbenapier/internal/drain"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// errHostStops is the error of a request that was not run before this host stopped.
var errHostStops = fault.New(fault.HostLeaving, "this host stops before the request could run; ask for other addresses")

// stopping reports whether a context ended because this host stops.
func stopping(ctx context.Context) bool { return errors.Is(context.Cause(ctx), drain.ErrStopping) }

// stopError returns the error of a request that ends because this host stops.
func stopError(dispatched bool) error {
	if dispatched {
		return fault.New(fault.HostStopped, "this host stops before the answer is complete")
	}
	return errHostStops
}
