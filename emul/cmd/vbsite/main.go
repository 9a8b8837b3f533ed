// Command vbsite makes the file of a deployment that nobody has seen from that of a
// known one: with other engines, prompt lengths, worths and rates, drawn by a seed.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/jessevdk/go-flags"

	"github.com/verbenapier/verbenapier/emul/internal/site"
)

type options struct {
	From string `long:"from" required:"true" description:"file of the known deployment"`
	Into string `long:"into" required:"true" description:"directory for the new files, beside which the wire file must lie"`
	Seed uint64 `long:"seed" default:"1" description:"seed of the first deployment"`
	N    uint64 `long:"count" default:"1" description:"number of deployments"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "vbsite:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	file, err := os.ReadFile(o.From)
	if err != nil {
		return err
	}
	for seed := o.Seed; seed < o.Seed+o.N; seed++ {
		name := fmt.Sprintf("unseen-%d", seed)
		made, err := site.Vary(file, name, seed)
		if err != nil {
			return fmt.Errorf("%s: %w", o.From, err)
		}
		if err := os.WriteFile(filepath.Join(o.Into, name+".toml"), made, 0o600); err != nil {
			return err
		}
	}
	return nil
}
