package poison

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an unexpected error in the loops that watch the store and commit reports
// which ends the registry of the node, or loses reports.
func TestPanicInLoops(t *testing.T) {
	for panics := 1; panics <= 3; panics++ {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, uint64(panics), 2, 1, realRegistry)
			// The store is down for the first try, so that the loop has to commit the report.
			f.store.set(true, 0)
			p := NewFingerprint("shop", "m", fmt.Sprint("prompt ", panics))
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			require.Error(t, f.nodes[0].RecordCrash(ctx, "engine-0", []CrashReport{{Fingerprint: p, Dispatch: "d", Quarantine: quarantineTime}}))
			f.store.injectPanics(panics)
			f.store.set(false, 0)
			time.Sleep(time.Minute)
			require.Zero(t, f.store.panicsLeft())
			for _, r := range f.nodes {
				v, err := r.Check(t.Context(), p)
				require.NoError(t, err)
				require.Equal(t, Suspected, v.State)
				require.False(t, v.Stale)
			}
			f.group.Stop()
			require.NoError(t, f.group.Wait())
		})
	}
}
