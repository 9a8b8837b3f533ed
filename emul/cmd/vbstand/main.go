// Command vbstand runs a stand-in for an engine, an upstream of a plain service
// or the platform.
package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/emul/internal/fault"
	"github.com/verbenapier/verbenapier/emul/internal/stand"
)

// crashStatus is the exit status after a crash caused by a fault or by a prompt
// with the crash marker.
const crashStatus = 3

func main() {
	log := logrus.New()
	var common stand.Common
	parser := flags.NewParser(&common, flags.Default)
	commands := stand.Commands()
	for _, c := range commands {
		if _, err := parser.AddCommand(c.Name, c.Short, "", c.Options); err != nil {
			log.WithError(err).Fatal("flags")
		}
	}
	if _, err := parser.Parse(); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && errors.Is(usage.Type, flags.ErrHelp) {
			return
		}
		os.Exit(2)
	}
	if err := run(log, common, parser.Active.Name, commands); err != nil {
		log.WithError(err).Error("stopped")
		os.Exit(1)
	}
}

func run(log *logrus.Logger, common stand.Common, name string, commands []stand.Command) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := common.ConfigureLog(log); err != nil {
		return err
	}
	crash := func() {
		log.Error("crash")
		os.Exit(crashStatus)
	}
	sw := fault.NewSwitch(log, common.Seed, crash)
	for _, body := range common.Faults {
		if err := sw.Apply([]byte(body)); err != nil {
			return err
		}
	}
	for _, c := range commands {
		if c.Name == name {
			return c.Run(ctx, stand.Env{Common: common, Log: log, Switch: sw, Crash: crash})
		}
	}
	return nil
}
