package claims

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an unexpected error in the loop of a shard that ends the claims of the
// node, or after which a call runs twice.
func TestPanicInLoops(t *testing.T) {
	for panics := 1; panics <= 3; panics++ {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, uint64(panics), 2, realLog)
			defer f.stop()
			_, err := f.send(f.nodes[0], f.key(), 0)
			require.NoError(t, err)
			f.store.injectPanics(panics)
			hit := f.key()
			for range 3 {
				// Whatever it answers, the call must not run a second time.
				_, _ = f.send(f.nodes[0], hit, 0)
			}
			require.Zero(t, f.store.panicsLeft())
			time.Sleep(abandonTimeout)
			for _, n := range f.nodes {
				d, err := f.send(n, f.key(), 0)
				require.NoError(t, err)
				require.Equal(t, Run, d.Verdict)
			}
			f.stop()
			f.checkSegments()
			require.Empty(t, f.violations)
		})
	}
}
