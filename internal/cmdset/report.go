package cmdset

import (
	"os"
	"time"

	"github.com/verbenapier/verbenapier/internal/audit"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// maxLogs limits the number of log files of a command.
const maxLogs = 1000

type reportOptions struct {
	Window time.Duration `long:"window" default:"2s" description:"length of the windows of time"`
}

// report prints where callers lost, as the logs of gateways show it.
func report(s *session) error {
	var options reportOptions
	paths, err := s.parse(&options, "[LOG ...]", 0, maxLogs)
	if err != nil {
		return err
	}
	a := audit.New()
	if len(paths) == 0 {
		if err := a.Add(s.stdin); err != nil {
			return err
		}
	}
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return fault.Wrap(fault.NotFound, err, "open a log")
		}
		err = a.Add(file)
		_ = file.Close()
		if err != nil {
			return fault.Wrap(fault.KindOf(err), err, "%s", path)
		}
	}
	r, err := a.Report(options.Window)
	if err != nil {
		return err
	}
	if s.JSON {
		return s.printJSON(r)
	}
	return r.Print(s.stdout)
}
