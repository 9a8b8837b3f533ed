package meter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against totals that restart at each report, tags that are mixed up,
// and wrong counts or percentiles of timers.
func TestValues(t *testing.T) {
	m, scope, closer := New("node")
	for range 3 {
		scope.Tagged(map[string]string{"code": "a"}).Counter("errors").Inc(2)
	}
	scope.Tagged(map[string]string{"code": "b"}).Counter("errors").Inc(1)
	scope.Gauge("cells").Update(4)
	for i := range 100 {
		scope.Timer("first_token").Record(time.Duration(i+1) * time.Millisecond)
	}
	require.NoError(t, closer.Close())

	values := map[string]float64{}
	for _, v := range m.Values() {
		values[v.Name+v.Tags["code"]] = v.Value
	}
	require.Equal(t, 6.0, values["node.errorsa"])
	require.Equal(t, 1.0, values["node.errorsb"])
	require.Equal(t, 4.0, values["node.cells"])
	require.Equal(t, 100.0, values["node.first_token.count"])
	require.InDelta(t, 0.095, values["node.first_token.p95"], 0.002)
}
