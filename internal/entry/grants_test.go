package entry

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/sched"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// silentCells answers the renewals of one cell and lets those of all others
// time out.
type silentCells struct {
	fixedCells
	answering string

	mu      sync.Mutex
	renewed []time.Time
}

func (c *silentCells) Renew(ctx context.Context, r sched.Renewal) error {
	if r.Cell != c.answering {
		<-ctx.Done()
		return ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.renewed = append(c.renewed, time.Now())
	return nil
}

// Guards against late renewals of the grants of a healthy cell. After the loss
// of a failure domain, the schedulers of many cells do not answer. If the
// renewals waited for each other, 12 such cells would delay those of the
// healthy cell by up to 24 s.
func TestSilentCellsDoNotDelayRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		grants := newGrantSet("node", 1)
		c := &silentCells{answering: "healthy"}
		grants.add("healthy", sched.HeldGrant{ID: "g"})
		for i := range 12 {
			grants.add(fmt.Sprint("silent", i), sched.HeldGrant{ID: fmt.Sprint("g", i)})
		}
		g := group.New(t.Context())
		start := time.Now()
		g.Go("renewals", func(ctx context.Context) error { return grants.run(ctx, c, log) })
		time.Sleep(6*renewInterval + time.Second)
		g.Stop()
		require.NoError(t, g.Wait())
		require.Len(t, c.renewed, 6)
		for i, at := range c.renewed {
			require.Equal(t, time.Duration(i+1)*renewInterval, at.Sub(start))
		}
	})
}
