// Command vbload sends requests to entry hosts, checks the answers and prints a
// report. It exits with status 1 if an answer was wrong, incomplete or missing, or if
// the calls that the plain service ran contradict the answers or break at-most-once
// execution. It exits with status 2 if it can't start or can't print the report.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/emul/internal/load"
)

type options struct {
	Addresses   []string      `long:"address" required:"true" description:"entry address to ask for addresses; repeat for more"`
	Keys        []string      `long:"key" required:"true" description:"API key of an organisation; repeat for more"`
	Model       string        `long:"model" default:"base" description:"model"`
	Rate        float64       `long:"rate" default:"10" description:"requests per second"`
	Duration    time.Duration `long:"duration" default:"10s" description:"length of the run, 0 for no limit"`
	Count       int           `long:"count" description:"number of requests, 0 for no limit"`
	Mix         string        `long:"mix" default:"1k:80,16k:15,256k:5" description:"prompt lengths in tokens and their weights"`
	Seed        uint64        `long:"seed" default:"1" description:"seed of the run"`
	MaxTokens   int           `long:"max-tokens" default:"32" description:"length of answers in tokens"`
	Timeout     time.Duration `long:"timeout" default:"60s" description:"time limit of a request"`
	Grace       time.Duration `long:"grace" default:"5s" description:"wait after the time limit before a request counts as unanswered"`
	Attempts    int           `long:"attempts" default:"5" description:"most attempts of a request whose host fails"`
	PrefixShare float64       `long:"prefix-share" default:"0.5" description:"share of a prompt that others have too"`
	Long        string        `long:"long" default:"64k" description:"tokens from which a request is long, for blocking"`
	Short       string        `long:"short" default:"4k" description:"tokens up to which a request is short, for blocking"`
	PlainShare  float64       `long:"plain-share" description:"share of plain calls"`
	PlainPath   string        `long:"plain-path" description:"path of plain calls, /services/<name>/..."`
	PlainMethod string        `long:"plain-method" default:"POST" description:"method of plain calls"`
	ResendShare float64       `long:"resend-share" default:"0.1" description:"share of plain calls sent again after their answer"`
	Upstreams   []string      `long:"upstream" description:"address of a plain upstream, to check which calls ran; repeat for more"`
	JSON        bool          `long:"json" description:"print the report as JSON"`
	LogLevel    string        `long:"log-level" default:"warning" description:"logrus level"`
}

func main() {
	log := logrus.New()
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && errors.Is(usage.Type, flags.ErrHelp) {
			return
		}
		os.Exit(2)
	}
	ok, err := run(log, opts)
	if err != nil {
		log.WithError(err).Error("stopped")
		os.Exit(2)
	}
	if !ok {
		os.Exit(1)
	}
}

func (o options) config() (load.Config, error) {
	cfg := load.Config{
		Addresses: o.Addresses, Keys: o.Keys, Model: o.Model, Rate: o.Rate, Duration: o.Duration, Count: o.Count,
		Seed: o.Seed, MaxTokens: o.MaxTokens, Timeout: o.Timeout, Grace: o.Grace, Attempts: o.Attempts,
		PrefixShare: o.PrefixShare, PlainShare: o.PlainShare, PlainPath: o.PlainPath, PlainMethod: o.PlainMethod,
		ResendShare: o.ResendShare, Upstreams: o.Upstreams,
	}
	var err [3]error
	cfg.Mix, err[0] = load.ParseMix(o.Mix)
	cfg.LongTokens, err[1] = load.ParseTokens(o.Long)
	cfg.ShortTokens, err[2] = load.ParseTokens(o.Short)
	return cfg, errors.Join(err[:]...)
}

func run(log *logrus.Logger, opts options) (bool, error) {
	level, err := logrus.ParseLevel(opts.LogLevel)
	if err != nil {
		return false, err
	}
	log.SetLevel(level)
	cfg, err := opts.config()
	if err != nil {
		return false, err
	}
	runner, err := load.New(log, cfg)
	if err != nil {
		return false, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report := runner.Run(ctx)
	if !opts.JSON {
		return report.OK(), report.Write(os.Stdout)
	}
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return report.OK(), out.Encode(report)
}
