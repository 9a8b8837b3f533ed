// Package launch holds the start-up code that the main packages of the daemons
// share: exit codes, and reading flags and settings.
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
	// ExitOK: the daemon stopped as requested, or only help or a check of the
	// settings was asked for.
	ExitOK = 0
	// ExitFailed: the daemon ended with an error.
	ExitFailed = 1
	// ExitUsage: the flags are wrong.
	ExitUsage = 2
	// ExitInvalid: the settings are invalid or cannot be read.
	ExitInvalid = 3
)

// ReadSettings parses the flags into options and then reads the settings. If done
// is true, the daemon must exit with the returned code; otherwise it continues with
// the settings. The function checkOnly reports whether a flag asks to exit after the
// settings were read and found valid.
func ReadSettings[S any](options any, read func() (S, error), checkOnly func() bool) (settings S, code int, done bool) {
	if _, err := flags.Parse(options); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			return settings, ExitOK, true
		}
		return settings, ExitUsage, true
	}
	settings, err := read()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return settings, ExitInvalid, true
	}
	if checkOnly() {
		fmt.Println("the settings are valid")
		return settings, ExitOK, true
	}
	return settings, ExitOK, false
}

// SetLevel sets the level of a log to the one named in the settings.
func SetLevel(log *logrus.Logger, level string) {
	// The validation of the settings accepts only levels that logrus knows.
	if parsed, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
}
