package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func sample() *Config {
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

// Guards against a request that takes the route of another host, of a shorter
// prefix, or of a path that only begins alike.
func TestMatch(t *testing.T) {
	table := NewTable(sample())
	cases := map[string]struct{ host, path, want string }{
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
			require.Equal(t, tc.want != "", ok)
			if ok {
				require.Equal(t, tc.want, r.Name)
			}
		})
	}
}

// Guards against a request without a key on a route that needs one, and against
// a configuration without organisations that asks for keys.
func TestKeys(t *testing.T) {
	table := NewTable(sample())
	short, _ := table.Match("a.example", "/chat/")
	open, _ := table.Match("b.example", "/")
	require.True(t, table.NeedsKey(short))
	require.False(t, table.NeedsKey(open))
	o, ok := table.Organisation("k")
	require.True(t, ok)
	require.Equal(t, "shop", o.Name)
	_, ok = table.Organisation("")
	require.False(t, ok)

	without := sample()
	without.Keys = nil
	require.False(t, NewTable(without).NeedsKey(short))
}

// Guards against weights that are ignored, and a route without services that
// picks one.
func TestPick(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	table := NewTable(sample())
	long, _ := table.Match("a.example", "/chat/long/")
	counts := map[string]int{}
	for range 10_000 {
		counts[long.Pick(random)]++
	}
	require.InDelta(t, 9000, counts["engines"], 200)
	require.InDelta(t, 1000, counts["other"], 200)
	require.Empty(t, (&Route{}).Pick(random))
	require.Equal(t, 250*time.Millisecond, table.TightestGap("engines"))
}

// Guards against a reading time that leaves out the pairs of tokens, which make
// up most of it for long prompts.
func TestPrefill(t *testing.T) {
	e := Engine{ReadRate: 154_000, PairTime: 162 * time.Microsecond, StepTime: 1310 * time.Microsecond, EventTokens: 34}
	cases := map[string]struct {
		tokens int
		want   time.Duration
	}{
		"short":  {5_000, 34 * time.Millisecond},
		"medium": {45_000, 456 * time.Millisecond},
		"long":   {182_000, 3865 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			require.InDelta(t, tc.want.Seconds(), e.Prefill(tc.tokens).Seconds(), 0.02*tc.want.Seconds()+0.001)
		})
	}
	require.InDelta(t, 44.5, float64(e.EventTime(1, 0))/float64(time.Millisecond), 0.1)
	require.Zero(t, (&Engine{}).Prefill(1000))
}
