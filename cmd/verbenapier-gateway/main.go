// Command verbenapier-gateway is the daemon of an entry host on a platform
// that keeps the configuration and the list of engines in its metadata store.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/dialer"
	"github.com/verbenapier/verbenapier/internal/gate"
	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/internal/launch"
	"github.com/verbenapier/verbenapier/internal/logio"
	"github.com/verbenapier/verbenapier/internal/params"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
	adapt "github.com/verbenapier/verbenapier/platform"
)

type options struct {
	Settings string `long:"settings" short:"s" env:"VERBENAPIER_SETTINGS" required:"true" description:"settings file, or - for standard input"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

// logTimeout bounds the writing of the last log lines when the process ends.
const logTimeout = 200 * time.Millisecond

func main() { os.Exit(launch.Run(run)) }

func run(ctx context.Context, hangups <-chan os.Signal) int {
	var o options
	settings, code, done := launch.ReadSettings(ctx, &o,
		func() (params.Gateway, error) { return params.ReadGateway(o.Settings) }, func() bool { return o.Check })
	if done {
		return code
	}
	logWriter := logio.New(os.Stdout, &logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"}, settings.MaxLogRate)
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(logWriter)
	launch.SetLevel(log, settings.LogLevel)
	logGroup := group.New(context.Background())
	// The writer can't log its own errors.
	logGroup.Go("log", guard.Loop(stderrLog(), "log", logWriter.Run))
	launch.LogBuild(log)
	err := serve(ctx, hangups, settings, log, logWriter)
	logGroup.Stop()
	if err := logGroup.WaitFor(logTimeout); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil {
		return launch.ExitFailed
	}
	return launch.ExitOK
}

func serve(ctx context.Context, hangups <-chan os.Signal, settings params.Gateway, log *logrus.Logger, logWriter *logio.Writer) error {
	g := gate.New(gate.Options{
		Settings: settings, Network: dialer.Host{}, Adapter: adapt.New, Log: log, DroppedLines: logWriter.Dropped,
	})
	reloadGroup := group.New(ctx)
	reloadGroup.Go("reload", func(ctx context.Context) error {
		for {
			select {
			case <-hangups:
				guard.Run(log, "reload", func() { reload(g, log) })
			case <-ctx.Done():
				return nil
			}
		}
	})
	err := g.Run(ctx)
	reloadGroup.Stop()
	if err != nil {
		log.WithError(err).WithFields(logrus.Fields{"event": "failed", "code": fault.KindOf(err).String()}).
			Error("the gateway stops with an error")
	}
	return errors.Join(err, reloadGroup.Wait())
}

// stderrLog returns a logger that writes to the standard error.
func stderrLog() *logrus.Logger {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	return log
}

// reload reads and checks the settings file that the environment names. A changed log
// level and changed seeds take effect at once, all other settings at the next start.
func reload(g *gate.Gateway, log *logrus.Logger) {
	settings, err := params.ReadGateway(os.Getenv(params.FileVariable))
	if err != nil {
		log.WithError(err).WithField("event", "reload_failed").Error("the settings file is refused; the current settings stay in force")
		return
	}
	launch.SetLevel(log, settings.LogLevel)
	g.Reload(settings)
	log.WithFields(logrus.Fields{"event": "reloaded", "log_level": settings.LogLevel}).Info("the settings were read again")
}
