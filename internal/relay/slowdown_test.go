package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/route"
)

// Guards against taking an engine for slow because it prefilled other prompts
// between some events of a stream.
func TestSlowdownOfStreams(t *testing.T) {
	model := &route.Engine{Slots: 16, StepTime: time.Millisecond, EventTokens: 30}
	interval := model.EventTime(1, 0)
	for name, tc := range map[string]struct {
		pauses   []time.Duration
		slowdown float64
	}{
		"too few":            {[]time.Duration{interval, interval}, 0},
		"even":               {[]time.Duration{interval, interval, interval, interval, interval}, 1},
		"some long prefills": {[]time.Duration{interval, 20 * interval, interval, 30 * interval, interval, interval, 9 * interval}, 1},
		"slow":               {[]time.Duration{3 * interval, 3 * interval, interval, 4 * interval, 3 * interval}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			c := &call{service: "s", table: route.NewTable(&route.Config{Services: map[string]route.Service{"s": {Engine: model}}})}
			require.InDelta(t, tc.slowdown, c.slowdown(&stream{pauses: tc.pauses}), 1e-9)
		})
	}
}
