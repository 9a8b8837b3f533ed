// Command verbenapierd is the daemon of an entry host.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/daemon"
	"github.com/verbenapier/verbenapier/internal/dialer"
	"github.com/verbenapier/verbenapier/internal/params"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// The exit codes.
const (
	exitOK      = 0
	exitFailed  = 1
	exitUsage   = 2
	exitInvalid = 3
)

type options struct {
	Settings string `long:"settings" short:"s" required:"true" description:"settings file, or - for standard input"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var parse *flags.Error
		if errors.As(err, &parse) && parse.Type == flags.ErrHelp {
			return exitOK
		}
		return exitUsage
	}
	settings, err := params.Read(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	if o.Check {
		fmt.Println("the settings are valid")
		return exitOK
	}
	log := newLog(settings)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	d, err := daemon.New(settings, dialer.Host{}, log)
	if err == nil {
		err = d.Run(ctx)
	}
	if err != nil {
		log.WithError(err).WithFields(logrus.Fields{"event": "daemon_failed", "code": fault.KindOf(err).String()}).
			Error("the daemon ends with an error")
		return exitFailed
	}
	return exitOK
}

func newLog(settings params.Settings) *logrus.Logger {
	log := logrus.New()
	// The settings admit only levels that logrus knows.
	if level, err := logrus.ParseLevel(settings.LogLevel); err == nil {
		log.SetLevel(level)
	}
	if settings.LogFormat == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log
}
