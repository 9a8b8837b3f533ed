// Package stand holds the commands of vbstand and their options.
package stand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/verbenapier/verbenapier/emul/internal/batch"
	"github.com/verbenapier/verbenapier/emul/internal/engine"
	"github.com/verbenapier/verbenapier/emul/internal/fault"
	"github.com/verbenapier/verbenapier/emul/internal/plain"
	"github.com/verbenapier/verbenapier/emul/internal/plat"
	"github.com/verbenapier/verbenapier/emul/internal/serve"
)

// Common holds the options of every command.
type Common struct {
	Listen   string   `long:"listen" default:"127.0.0.1:0" description:"TCP address"`
	LogLevel string   `long:"log-level" default:"info" description:"logrus level"`
	LogJSON  bool     `long:"log-json" description:"log as JSON"`
	Seed     uint64   `long:"seed" default:"1" description:"seed of random choices"`
	Faults   []string `long:"fault" description:"initial faults, as the JSON body of POST /faults"`
}

// ConfigureLog configures the logger.
func (c Common) ConfigureLog(log *logrus.Logger) error {
	level, err := logrus.ParseLevel(c.LogLevel)
	if err != nil {
		return err
	}
	log.SetLevel(level)
	if c.LogJSON {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return nil
}

// Env holds what main passes to the command that it runs. Crash ends the process.
type Env struct {
	Common Common
	Log    logrus.FieldLogger
	Switch *fault.Switch
	Crash  func()
}

// Command is a command of vbstand. Options points to the struct into which its flags
// are parsed before Run is called.
type Command struct {
	Name    string
	Short   string
	Options any
	Run     func(ctx context.Context, env Env) error
}

// Commands returns the commands of vbstand.
func Commands() []Command {
	var e Engine
	var p Plain
	var pf Platform
	return []Command{
		{"engine", "Run a language model engine", &e, e.run},
		{"plain", "Run an upstream of a plain service", &p, p.run},
		{"platform", "Run the platform", &pf, pf.run},
	}
}

// Engine holds the options of the engine command.
type Engine struct {
	Name           string        `long:"name" default:"engine" description:"name in load reports"`
	Models         []string      `long:"model" default:"base:1" description:"model loaded at the start, as name:version"`
	Capacity       int           `long:"capacity-tokens" default:"480000" description:"KV memory in tokens"`
	PrefillRate    float64       `long:"prefill-rate" default:"40000" description:"prefill tokens per second"`
	PrefillKnee    float64       `long:"prefill-knee" default:"400000" description:"position in tokens at which prefill has half of its rate"`
	Chunk          int           `long:"chunk-tokens" default:"1024" description:"prefill tokens per step"`
	MaxBatch       int           `long:"max-batch" default:"64" description:"streams in the batch"`
	StepBase       time.Duration `long:"step-base" default:"20ms" description:"time of a decode step"`
	StepPerStream  time.Duration `long:"step-per-stream" default:"300us" description:"time added by each stream"`
	StepPerContext time.Duration `long:"step-per-context" default:"50us" description:"time added by 1000 tokens of context"`
	TimeScale      float64       `long:"time-scale" default:"1" description:"factor on modelled times"`
	LoadInterval   time.Duration `long:"load-lag" default:"500ms" description:"interval between load reports"`
	EventDelay     time.Duration `long:"event-lag" default:"1s" description:"delay of cache events"`
	EventLossShare float64       `long:"event-gap" default:"0.02" description:"share of cache events that are lost"`
	CheckFence     bool          `long:"check-fence" description:"refuse orders with an old fencing number"`
	Role           string        `long:"role" default:"mixed" description:"role until an order changes it"`
	CrashMarker    string        `long:"crash-marker" description:"a prompt that contains this text ends the process"`
	Platform       string        `long:"platform" description:"base URL of the platform, for its weight store"`
	Cold           bool          `long:"cold" description:"load the models of the start as an order does, which takes time"`
	LoadTime       time.Duration `long:"load-time" default:"2s" description:"time to load a model without a platform"`
}

func (o *Engine) config(env Env) (batch.Config, error) {
	if o.TimeScale <= 0 || o.PrefillRate <= 0 || o.PrefillKnee <= 0 || o.Chunk <= 0 || o.MaxBatch <= 0 {
		return batch.Config{}, errors.New("time scale, prefill rate and knee, chunk and batch must be above 0")
	}
	cfg := batch.Config{
		Name: o.Name, CapacityTokens: o.Capacity, PrefillRate: o.PrefillRate, PrefillKnee: o.PrefillKnee,
		ChunkTokens: o.Chunk, MaxBatch: o.MaxBatch, StepBase: o.StepBase, StepPerStream: o.StepPerStream,
		StepPerContext: o.StepPerContext, TimeScale: o.TimeScale, LoadInterval: o.LoadInterval, EventDelay: o.EventDelay,
		EventLossShare: o.EventLossShare, Seed: env.Common.Seed, CheckFence: o.CheckFence, Role: o.Role,
		CrashMarker: o.CrashMarker, Crash: env.Crash, LoadTime: o.LoadTime,
		Peers: engine.NewPeers(&http.Client{}), Control: env.Switch,
	}
	for _, m := range o.Models {
		name, version, _ := strings.Cut(m, ":")
		cfg.Models = append(cfg.Models, batch.Model{Name: name, Version: version})
	}
	if o.Platform != "" {
		cfg.Weights = engine.NewWeights(o.Platform).Read
	}
	return cfg, nil
}

func (o *Engine) run(ctx context.Context, env Env) error {
	cfg, err := o.config(env)
	if err != nil {
		return err
	}
	initial := cfg.Models
	if o.Cold {
		cfg.Models = nil
	}
	sim := batch.New(cfg)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		sim.Run(ctx)
		return nil
	})
	if o.Cold {
		for _, m := range initial {
			if _, err := sim.Order(batch.Order{Kind: "load", Model: m.Name, Version: m.Version}); err != nil {
				return err
			}
		}
	}
	group.Go(func() error {
		return serve.Run(ctx, env.Log, env.Common.Listen, engine.New(env.Log, sim), env.Switch)
	})
	return group.Wait()
}

// Plain holds the options of the plain command.
type Plain struct {
	Name         string        `long:"name" default:"plain" description:"name in answers and load reports"`
	Status       int           `long:"status" default:"200" description:"status of answers"`
	Latency      time.Duration `long:"latency" default:"5ms" description:"time that a call runs"`
	Jitter       time.Duration `long:"jitter" default:"0s" description:"largest random addition to the latency"`
	Capacity     int           `long:"capacity" default:"64" description:"reported number of calls that may run at once"`
	LoadInterval time.Duration `long:"load-lag" default:"500ms" description:"interval between load reports"`
}

func (o *Plain) run(ctx context.Context, env Env) error {
	server := plain.New(env.Log, plain.Config{
		Name: o.Name, Status: o.Status, Latency: o.Latency, Jitter: o.Jitter, Capacity: o.Capacity,
		LoadInterval: o.LoadInterval, Seed: env.Common.Seed, Slow: env.Switch.Slow,
	})
	return serve.Run(ctx, env.Log, env.Common.Listen, server, env.Switch)
}

// Platform holds the options of the platform command.
type Platform struct {
	Hosts      string        `long:"hosts" description:"JSON file {\"hosts\":[...]}"`
	HostDelay  time.Duration `long:"host-lag" default:"2s" description:"delay of changes of the host list"`
	ReadRate   float64       `long:"read-rate" default:"2000" description:"reads per second, 0 for unlimited"`
	WriteRate  float64       `long:"write-rate" default:"400" description:"writes per second, 0 for unlimited"`
	WeightSize int64         `long:"weight-size" default:"67108864" description:"bytes of a model"`
	WeightRate float64       `long:"weight-rate" default:"33554432" description:"bytes per second of the weight store, 0 for unlimited"`
}

func (o *Platform) run(ctx context.Context, env Env) error {
	var list struct {
		Hosts []plat.Host `json:"hosts"`
	}
	if o.Hosts != "" {
		b, err := os.ReadFile(o.Hosts)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(b, &list); err != nil {
			return fmt.Errorf("host list: %w", err)
		}
	}
	server := plat.New(env.Log, plat.Config{
		Hosts: list.Hosts, HostDelay: o.HostDelay, ReadRate: o.ReadRate, WriteRate: o.WriteRate,
		WeightSize: o.WeightSize, WeightRate: o.WeightRate,
	})
	return serve.Run(ctx, env.Log, env.Common.Listen, server, env.Switch)
}
