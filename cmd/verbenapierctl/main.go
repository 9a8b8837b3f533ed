// Command verbenapierctl is the command-line tool of operators.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/verbenapier/verbenapier/internal/cmdset"
)

func main() {
	os.Exit(run())
}

// run runs the command and returns its exit code. It reports a panic as a short
// message, so that operators see no stack trace.
func run() (code int) {
	defer func() {
		if p := recover(); p != nil {
			fmt.Fprintf(os.Stderr, "verbenapierctl: internal error: %v\n", p)
			code = cmdset.ExitFailed
		}
	}()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return cmdset.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
}
