// Package launch holds the start-up code that the main packages of the daemons
// share: exit codes, signals, and reading flags and settings.
package launch

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/pkg/group"
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

// Run calls the main function of a daemon and returns its exit code. The context
// ends at the first SIGTERM or SIGINT, and hangups receives SIGHUP. The signals
// stay handled until the process has exited, so that none of them ends it by
// itself.
func Run(daemon func(ctx context.Context, hangups <-chan os.Signal) int) int {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	terminations := make(chan os.Signal, 1)
	signal.Notify(terminations, os.Interrupt, syscall.SIGTERM)
	signals := group.New(context.Background())
	signals.Go("signals", func(ctx context.Context) error {
		select {
		case <-terminations:
			signals.Stop()
		case <-ctx.Done():
		}
		return nil
	})
	code := daemon(signals.Context(), hangups)
	signals.Stop()
	if err := signals.Wait(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return code
}

// ReadSettings parses the flags into options and then reads the settings. If done
// is true, the daemon must exit with the returned code; otherwise it continues with
// the settings. The function checkOnly reports whether a flag asks to exit after the
// settings were read and found valid. A context that ends while the settings are
// read is a planned stop.
func ReadSettings[S any](ctx context.Context, options any, read func() (S, error), checkOnly func() bool) (settings S, code int, done bool) {
	if _, err := flags.Parse(options); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			return settings, ExitOK, true
		}
		return settings, ExitUsage, true
	}
	settings, err := await(ctx, read)
	if ctx.Err() != nil {
		return settings, ExitOK, true
	}
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

// await returns the result of read, or returns early when the context ends: reading
// from a pipe cannot be interrupted.
func await[S any](ctx context.Context, read func() (S, error)) (S, error) {
	type result struct {
		settings S
		err      error
	}
	results := make(chan result, 1)
	reading := group.New(ctx)
	reading.Go("settings", func(context.Context) error {
		settings, err := read()
		results <- result{settings, err}
		return nil
	})
	select {
	case r := <-results:
		return r.settings, r.err
	case <-reading.Context().Done():
	}
	var none S
	if err := ctx.Err(); err != nil {
		return none, err
	}
	// Only a panic stops the group.
	return none, reading.Wait()
}

// SetLevel sets the level of a log to the one named in the settings.
func SetLevel(log *logrus.Logger, level string) {
	// The validation of the settings accepts only levels that logrus knows.
	if parsed, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
}
