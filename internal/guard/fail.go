package guard

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// StopTimeout bounds the end of the goroutines of a process that stops as planned.
	StopTimeout = 5 * time.Second
	// failTimeout bounds the end of the requests in flight after a part of the process
	// has failed, and endTimeout then that of the goroutines. Both together, and the
	// end of the log, fit into a second.
	failTimeout = 400 * time.Millisecond
	endTimeout  = 250 * time.Millisecond
)

// Fail ends a process a part of which can't go on, so that the platform starts it
// again. It calls stop, which ends the requests in flight, and waits for the goroutines
// of the group. It returns the error of the group in less than a second, even if stop
// or goroutines hang, for example as they wait for a lock.
func Fail(log logrus.FieldLogger, g *group.Group, stop func()) error {
	log.WithError(context.Cause(g.Context())).WithField("event", "part_failed").
		Error("a part of the process can't go on; the process ends")
	stopping := group.New(context.Background())
	stopping.Go("stop", func(context.Context) error { stop(); return nil })
	if err := stopping.WaitFor(failTimeout); err != nil {
		log.WithError(err).WithField("event", "stop_failed").Error("the servers were not stopped in time")
	}
	return g.WaitFor(endTimeout)
}
