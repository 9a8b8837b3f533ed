package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/internal/sched"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// renewInterval is a third of a grant's lifetime of 15 s, so that a grant
	// outlives two lost renewals.
	renewInterval = 5 * time.Second
	renewTimeout  = 2 * time.Second
)

// grantSet holds the grants of this node's requests and renews them.
type grantSet struct {
	name        string
	incarnation uint64

	mu sync.Mutex
	// byCell maps the name of a cell to the grants held in it, by grant ID.
	byCell map[string]map[string]sched.HeldGrant
}

func newGrantSet(name string, incarnation uint64) *grantSet {
	return &grantSet{name: name, incarnation: incarnation, byCell: map[string]map[string]sched.HeldGrant{}}
}

func (g *grantSet) add(cell string, h sched.HeldGrant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.byCell[cell] == nil {
		g.byCell[cell] = map[string]sched.HeldGrant{}
	}
	g.byCell[cell][h.ID] = h
}

func (g *grantSet) remove(cell, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.byCell[cell], id)
	if len(g.byCell[cell]) == 0 {
		delete(g.byCell, cell)
	}
}

func (g *grantSet) held(cell string) []sched.HeldGrant {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]sched.HeldGrant, 0, len(g.byCell[cell]))
	for _, h := range g.byCell[cell] {
		list = append(list, h)
	}
	return list
}

func (g *grantSet) cells() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]string, 0, len(g.byCell))
	for cell := range g.byCell {
		list = append(list, cell)
	}
	return list
}

func (g *grantSet) run(ctx context.Context, cells Cells, log logrus.FieldLogger) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if err := g.renew(ctx, cells, log); err != nil {
				return err
			}
		}
	}
}

// renew extends the grants of all cells at the same time. If it asked the cells
// one after another, those whose schedulers do not answer could delay the
// renewals of the others beyond the lifetime of their grants. A failed renewal
// is repeated only at the next interval: grants are soft state, and a stream
// continues without its grant.
func (g *grantSet) renew(ctx context.Context, cells Cells, log logrus.FieldLogger) error {
	renewals := group.New(ctx)
	for _, cell := range g.cells() {
		renewals.Go("renew", guard.Task(log, "renewal", func(ctx context.Context) error {
			r := sched.Renewal{Cell: cell, Entry: g.name, EntryIncarnation: g.incarnation, Held: g.held(cell)}
			ctx, cancel := context.WithTimeout(ctx, renewTimeout)
			defer cancel()
			if err := cells.Renew(ctx, r); err != nil {
				log.WithError(err).WithFields(logrus.Fields{"event": "renewal_failed", "cell": cell}).
					Warn("grants not renewed")
			}
			return nil
		}))
	}
	return renewals.Wait()
}
