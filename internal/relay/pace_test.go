package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/route"
)

// Guards against an engine that is taken for a slow one because it read other
// prompts between some events of a stream.
func TestPaceOfStreams(t *testing.T) {
	model := &route.Engine{Slots: 16, StepTime: time.Millisecond, EventTokens: 30}
	usual := model.EventTime(1, 0)
	for name, tc := range map[string]struct {
		pauses []time.Duration
		pace   float64
	}{
		"too few":           {[]time.Duration{usual, usual}, 0},
		"even":              {[]time.Duration{usual, usual, usual, usual, usual}, 1},
		"some long reading": {[]time.Duration{usual, 20 * usual, usual, 30 * usual, usual, usual, 9 * usual}, 1},
		"slow":              {[]time.Duration{3 * usual, 3 * usual, usual, 4 * usual, 3 * usual}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			c := &call{service: "s", table: route.NewTable(&route.Config{Services: map[string]route.Service{"s": {Engine: model}}})}
			require.InDelta(t, tc.pace, c.pace(&stream{pauses: tc.pauses}), 1e-9)
		})
	}
}
