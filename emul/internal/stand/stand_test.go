package stand

import (
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/emul/internal/batch"
)

// Guards against defaults that differ between the flags of the engine command and
// batch.DefaultConfig, which the tests use.
func TestFlagDefaultsMatchDefaultConfig(t *testing.T) {
	var o Engine
	_, err := flags.NewParser(&o, flags.None).ParseArgs(nil)
	require.NoError(t, err)
	cfg, err := o.config(Env{Common: Common{Seed: 1}})
	require.NoError(t, err)
	assert.Equal(t, []batch.Model{{Name: "base", Version: "1"}}, cfg.Models)
	want := batch.DefaultConfig()
	cfg.Models, cfg.Peers, cfg.Control, cfg.Crash, want.Crash = nil, nil, nil, nil, nil
	assert.Equal(t, want, cfg)
}

// Guards against options with which the engine divides by zero or never ends a
// step.
func TestInvalidEngineOptions(t *testing.T) {
	for _, args := range [][]string{
		{"--time-scale=0"}, {"--prefill-rate=0"}, {"--prefill-knee=-1"}, {"--chunk-tokens=0"}, {"--max-batch=0"},
	} {
		var o Engine
		_, err := flags.NewParser(&o, flags.None).ParseArgs(args)
		require.NoError(t, err)
		_, err = o.config(Env{})
		assert.Error(t, err, args)
	}
}
