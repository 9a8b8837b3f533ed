// Package launch holds what the daemons' commands share: exit codes and the
// reading of flags.
package launch

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"
)

// The exit codes of a daemon.
const (
	OK      = 0
	Failed  = 1
	Usage   = 2
	Invalid = 3
)

// Read parses the flags into options, then reads the settings. The command goes
// on with the settings when done is false, and exits with the code otherwise.
func Read[S any](options any, read func() (S, error), check func() bool) (settings S, code int, done bool) {
	if _, err := flags.Parse(options); err != nil {
		var parse *flags.Error
		if errors.As(err, &parse) && parse.Type == flags.ErrHelp {
			return settings, OK, true
		}
		return settings, Usage, true
	}
	settings, err := read()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return settings, Invalid, true
	}
	if check() {
		fmt.Println("the settings are valid")
		return settings, OK, true
	}
	return settings, OK, false
}

// SetLevel sets the level of a log from a setting.
func SetLevel(log *logrus.Logger, level string) {
	// The settings admit only levels that logrus knows.
	if parsed, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
}
