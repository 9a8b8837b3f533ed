package site

import (
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"
)

// known is a deployment with one model service and one plain one.
const known = `
name = "known"
traffic = [{ per_s = 30.0, mix = { short = 20.0, long = 1.0, desk = 3.0 } }]
services = [
  { name = "model", slots = 16, servers = [{ count = 5 }, { count = 4 }], llm = { batch = 16, step_ms = 1.0, prefill_tokens_per_ms = 100.0, pairs_ms_per_m = 0.2, kv_tokens = 300000, stride = 30 } },
  { name = "desk", slots = 6, servers = [{ count = 2 }] },
]
classes = [
  { name = "short", aim_ms = 300, worth = 1.0, late_worth = 0.25, stream = { pieces = { mean = 30.0 }, prompt_tokens = { mean = 5000.0, spread = 0.9, max = 20000.0 } } },
  { name = "long", aim_ms = 3000, worth = 20.0, late_worth = 5.0, stream = { pieces = { mean = 15.0 }, prompt_tokens = { mean = 150000.0, spread = 0.5, max = 700000.0 } } },
  { name = "desk", aim_ms = 100, worth = 1.0, late_worth = 0.3 },
]
[[day]]
name = "d"
traffic = [{ per_s = 24.0, mix = { short = 20.0, long = 1.0, desk = 3.0 } }]
`

// Guards against deployments that are not repeatable, that change what is not drawn,
// or that leave the engines idle or hopelessly overloaded.
func TestVary(t *testing.T) {
	decode := func(file []byte) variation {
		var d table
		require.NoError(t, toml.Unmarshal(file, &d))
		return variation{deployment: d}
	}
	before := decode([]byte(known))
	seen := map[string]bool{}
	for seed := range uint64(20) {
		first, err := Vary([]byte(known), "new", seed)
		require.NoError(t, err)
		again, err := Vary([]byte(known), "new", seed)
		require.NoError(t, err)
		require.Equal(t, string(first), string(again))
		require.False(t, seen[string(first)])
		seen[string(first)] = true
		after := decode(first)
		require.Equal(t, "new", after.deployment["name"])
		require.Equal(t, tables(before.deployment, "services")[1], tables(after.deployment, "services")[1])
		require.Equal(t, tables(before.deployment, "classes")[2], tables(after.deployment, "classes")[2])
		relative := after.utilisation() / before.utilisation()
		require.GreaterOrEqual(t, relative, utilisation.low-1e-9)
		require.LessOrEqual(t, relative, utilisation.high+1e-9)
	}
}
