// Command verbenapierd is the daemon of an entry host.
package main

import (
	"context"
	"os"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/daemon"
	"github.com/verbenapier/verbenapier/internal/dialer"
	"github.com/verbenapier/verbenapier/internal/launch"
	"github.com/verbenapier/verbenapier/internal/params"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

type options struct {
	Settings string `long:"settings" short:"s" required:"true" description:"settings file, or - for standard input"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

func main() { os.Exit(launch.Run(run)) }

// run serves until the context ends. SIGHUP has no effect: the settings are read only
// at the start.
func run(ctx context.Context, _ <-chan os.Signal) int {
	var o options
	settings, code, done := launch.ReadSettings(ctx, &o,
		func() (params.Settings, error) { return params.Read(o.Settings) }, func() bool { return o.Check })
	if done {
		return code
	}
	log := newLog(settings)
	launch.LogBuild(log)
	d, err := daemon.New(settings, dialer.Host{}, log)
	if err == nil {
		err = d.Run(ctx)
	}
	if err != nil {
		log.WithError(err).WithFields(logrus.Fields{"event": "daemon_failed", "code": fault.KindOf(err).String()}).
			Error("the daemon stops with an error")
		return launch.ExitFailed
	}
	return launch.ExitOK
}

func newLog(settings params.Settings) *logrus.Logger {
	log := logrus.New()
	launch.SetLevel(log, settings.LogLevel)
	if settings.LogFormat == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log
}
