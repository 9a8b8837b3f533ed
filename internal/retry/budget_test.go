package retry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against nodes that together send more retries in a window than ratio
// times requests plus the allowance, for several distributions of requests over
// the nodes.
func TestSumOverNodes(t *testing.T) {
	cases := map[string]struct {
		nodes int
		share []int
	}{
		"even":       {4, []int{1, 1, 1, 1}},
		"one node":   {4, []int{1, 0, 0, 0}},
		"many nodes": {60, nil},
	}
	const ratio, allowance, window = 0.2, 100, 10 * time.Second
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				budgets := make([]*Budget, tc.nodes)
				for i := range budgets {
					budgets[i] = New(ratio, allowance, window, func() int { return tc.nodes })
				}
				type tick struct{ requests, retries int }
				var history []tick
				for step := range 300 {
					now := tick{}
					for i, b := range budgets {
						if tc.share != nil && tc.share[i] == 0 {
							continue
						}
						for range 3 {
							b.Request("s")
							now.requests++
							if b.Take("s") {
								now.retries++
							}
						}
					}
					history = append(history, now)
					sum := tick{}
					for _, h := range history[max(0, step-99):] {
						sum.requests += h.requests
						sum.retries += h.retries
					}
					require.LessOrEqual(t, float64(sum.retries), ratio*float64(sum.requests)+allowance)
					time.Sleep(100 * time.Millisecond)
				}
				total := 0
				for _, h := range history {
					total += h.retries
				}
				require.Positive(t, total)
			})
		})
	}
}

// Guards against a budget that is not replenished after it was used up.
func TestRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(0, 10, 10*time.Second, func() int { return 1 })
		takeAll := func() (n int) {
			for b.Take("s") {
				n++
			}
			return n
		}
		// 7 is safetyFactor times the allowance of 10.
		require.Equal(t, 7, takeAll())
		require.Zero(t, takeAll())
		time.Sleep(12 * time.Second)
		require.Equal(t, 7, takeAll())
		time.Sleep(time.Hour)
		require.Equal(t, 7, takeAll())
		require.True(t, b.Take("other"), "each service has its own budget")
	})
}
