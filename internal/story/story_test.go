package story

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

const (
	sent    = `{"event":"sent","time":"2026-08-01T10:00:01.000Z","node":"b","request":"r1","upstream":"e7","attempt":1}`
	granted = `   1.0 b {"event":"granted","time":"2026-08-01T10:00:00.990Z","node":"a","request":"r1/0","upstream":"e7"}`
	broken  = `{"event":"broken","time":"2026-08-01T10:00:02.000Z","node":"b","request":"r1","upstream":"e7","events":4,"error":"the upstream is silent"}`
	failed  = `{"event":"engine_failed","time":"2026-08-01T10:00:02.100Z","node":"a","upstream":"e7"}`
	lost    = `{"event":"request","time":"2026-08-01T10:00:02.010Z","node":"b","request":"r1","status":200,"outcome":"upstream_lost","upstream":"e7","ms":1010,"error":"broke off"}`
	other   = `{"event":"request","time":"2026-08-01T10:00:02.000Z","node":"b","request":"r10","status":200}`
	refused = `{"event":"refused","time":"2026-08-01T10:00:02.000Z","node":"b","request":"r1","reason":"the request cannot end in time","retry_after_ms":500}`
	over    = `{"event":"request","time":"2026-08-01T10:00:02.001Z","node":"b","request":"r1","status":503,"outcome":"overloaded"}`
	late    = `{"event":"request","time":"2026-08-01T10:00:02.001Z","node":"b","request":"r1","status":504,"outcome":"time_limit_exceeded","upstream":"d1","ms":800}`
)

// Guards against a cause that is taken from another request, against lines that
// are not sorted by time, and against a malformed line after which the rest of the
// log is not read.
func TestStory(t *testing.T) {
	cases := map[string]struct {
		logs       []string
		cause      string
		lines      int
		unreadable int
	}{
		"broken stream":   {[]string{sent + "\n" + broken + "\n" + lost, failed + "\nnot a line\n{\"half\":\n" + granted}, "Upstream e7 broke off after 4 events", 4, 2},
		"refused":         {[]string{over + "\n" + refused}, "the caller was told to come back after 500 ms", 2, 0},
		"unknown outcome": {[]string{sent, late}, "Upstream d1 had not answered when the time limit passed after 800 ms", 2, 0},
		"no final line":   {[]string{sent}, "no final line", 1, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := New("r1")
			for _, log := range append(tc.logs, other) {
				require.NoError(t, s.Add(strings.NewReader(log)))
			}
			require.NoError(t, s.Assemble())
			require.Contains(t, s.Cause(), tc.cause)
			require.Len(t, s.Lines, tc.lines)
			require.Equal(t, tc.unreadable, s.LinesUnreadable)
			for i := 1; i < len(s.Lines); i++ {
				require.False(t, s.Lines[i].Time.Before(s.Lines[i-1].Time))
			}
		})
	}
	s := New("r2")
	require.NoError(t, s.Add(strings.NewReader(sent)))
	require.True(t, fault.Is(s.Assemble(), fault.NotFound))
}
