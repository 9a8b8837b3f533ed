package limits

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against too many lease calls per request: more than the doc comment of
// Limiter states, or a number that grows with the number of nodes although the load
// on each node stays the same.
func TestCapacity(t *testing.T) {
	limits := Limits{RequestsPerSecond: 1e6, TokensPerSecond: 1e9, Concurrent: 1e6}
	sizes := []int{8, 16, 64, 128}
	for _, perNode := range []float64{0.5, 5, 20} {
		var perRequest []float64
		for _, size := range sizes {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1, size, newLeasingLimiter)
				f.generateLoad(t, limits, perNode*float64(size), 20*time.Second, 300*time.Millisecond, randomNode(size))
				f.stop(t)
				require.Equal(t, f.offered, f.admitted)
				// The home node sends no messages for its own requests.
				remote := float64(f.admitted) * float64(size-1) / float64(size)
				perRequest = append(perRequest, float64(f.leaseCalls)/remote)
			})
		}
		t.Logf("requests/s and node %.1f, nodes %v: messages per request outside the home node %.3f", perNode, sizes, perRequest)
		require.Less(t, perRequest[3], perRequest[0]*1.15)
		require.Less(t, perRequest[3], 1+2/perNode, "at most one message per request and two per second")
	}
}

// Guards against renewals that are sent more often than once in a third of RunningTTL
// while long requests run. At this load, two requests of a node are seldom
// admitted within the second of one lease, so almost every request needs its own
// lease call.
func TestCapacityLongRequests(t *testing.T) {
	limits := Limits{RequestsPerSecond: 1e6, TokensPerSecond: 1e9, Concurrent: 1e6}
	const perNode, duration = 0.02, 15 * time.Second
	for _, size := range []int{16, 32, 64, 128} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 1, size, newLeasingLimiter)
			f.generateLoad(t, limits, perNode*float64(size), 200*time.Second, duration, randomNode(size))
			f.stop(t)
			require.Equal(t, f.offered, f.admitted)
			remote := float64(f.admitted) * float64(size-1) / float64(size)
			perRequest := float64(f.leaseCalls) / remote
			t.Logf("nodes %d, %d requests: messages per request outside the home node %.3f", size, f.admitted, perRequest)
			// One message admits the request, and one may report its end.
			require.Less(t, perRequest, 2+float64(duration)/float64(defaultRunningTTL/3))
		})
	}
}
