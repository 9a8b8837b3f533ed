// Command verbenapierctl is the operators' command line.
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

// run turns a panic into a short message: operators get no stack traces.
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
