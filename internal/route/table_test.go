package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func sampleConfig() *Config {
	return &Config{
		Version: 7,
		Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/chat/", GapGoal: time.Second, Shares: []Share{{"engines", 1}}},
			{Name: "long", Host: "A.example", Prefix: "/chat/long/", GapGoal: 250 * time.Millisecond, Shares: []Share{{"engines", 90}, {"other", 10}}},
			{Name: "open", Host: "b.example", Prefix: "/", Anonymous: true},
		},
		Services: map[string]Service{"engines": {Name: "engines"}},
		Keys:     map[string]Organisation{"k": {Name: "shop"}},
	}
}

// Guards against a request that gets the route of another host, the route with a
// shorter prefix, or, for a path such as /chats/1, the route with the prefix /chat/.
func TestMatch(t *testing.T) {
	table := NewTable(sampleConfig())
	cases := map[string]struct{ host, path, route string }{
		"prefix":         {"a.example", "/chat/1", "short"},
		"longest prefix": {"a.example", "/chat/long/1", "long"},
		"port and case":  {"A.EXAMPLE:8080", "/chat/long/", "long"},
		"root":           {"b.example", "/anything", "open"},
		"begins alike":   {"a.example", "/chats/1", ""},
		"without slash":  {"a.example", "/chat", ""},
		"other host":     {"c.example", "/chat/1", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r, ok := table.Match(tc.host, tc.path)
			require.Equal(t, tc.route != "", ok)
			if ok {
				require.Equal(t, tc.route, r.Name)
			}
		})
	}
}

// Guards against a route that admits requests without the API key that it needs, and
// against a configuration without organisations that requires keys.
func TestKeys(t *testing.T) {
	table := NewTable(sampleConfig())
	short, _ := table.Match("a.example", "/chat/")
	open, _ := table.Match("b.example", "/")
	require.True(t, table.NeedsKey(short))
	require.False(t, table.NeedsKey(open))
	o, ok := table.Organisation("k")
	require.True(t, ok)
	require.Equal(t, "shop", o.Name)
	_, ok = table.Organisation("")
	require.False(t, ok)

	keyless := sampleConfig()
	keyless.Keys = nil
	require.False(t, NewTable(keyless).NeedsKey(short))
}

// Guards against weights that are ignored, against a service picked for a route
// without services, and against a wrong MinGapGoal.
func TestPick(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	table := NewTable(sampleConfig())
	long, _ := table.Match("a.example", "/chat/long/")
	counts := map[string]int{}
	for range 10_000 {
		counts[long.Pick(random)]++
	}
	require.InDelta(t, 9000, counts["engines"], 200)
	require.InDelta(t, 1000, counts["other"], 200)
	require.Empty(t, (&Route{}).Pick(random))
	require.Equal(t, 250*time.Millisecond, table.MinGapGoal("engines"))
}

// Guards against a prefill time without the time for pairs of tokens, which is most
// of it for long prompts.
func TestPrefill(t *testing.T) {
	e := Engine{PrefillRate: 154_000, MillionPairTime: 162 * time.Microsecond, StepTime: 1310 * time.Microsecond, EventTokens: 34}
	cases := map[string]struct {
		tokens  int
		prefill time.Duration
	}{
		"short":  {5_000, 34 * time.Millisecond},
		"medium": {45_000, 456 * time.Millisecond},
		"long":   {182_000, 3865 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.InDelta(t, tc.prefill.Seconds(), e.Prefill(tc.tokens).Seconds(), 0.02*tc.prefill.Seconds()+0.001)
		})
	}
	require.InDelta(t, 44.5, float64(e.EventTime(1, 0))/float64(time.Millisecond), 0.1)
	require.Zero(t, (&Engine{}).Prefill(1000))
}
