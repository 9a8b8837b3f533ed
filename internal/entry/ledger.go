package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/sched"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	// renewInterval is a third of a grant's lifetime of 15 s, so that two lost
	// renewals do not end it.
	renewInterval = 5 * time.Second
	renewTimeout  = 2 * time.Second
)

// ledger holds the grants of this node's requests and renews them.
type ledger struct {
	name        string
	incarnation uint64

	mu     sync.Mutex
	grants map[string]map[string]sched.Held
}

func newLedger(name string, incarnation uint64) *ledger {
	return &ledger{name: name, incarnation: incarnation, grants: map[string]map[string]sched.Held{}}
}

func (l *ledger) add(cell string, h sched.Held) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.grants[cell] == nil {
		l.grants[cell] = map[string]sched.Held{}
	}
	l.grants[cell][h.ID] = h
}

func (l *ledger) remove(cell, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.grants[cell], id)
	if len(l.grants[cell]) == 0 {
		delete(l.grants, cell)
	}
}

func (l *ledger) held(cell string) []sched.Held {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]sched.Held, 0, len(l.grants[cell]))
	for _, h := range l.grants[cell] {
		list = append(list, h)
	}
	return list
}

func (l *ledger) cells() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]string, 0, len(l.grants))
	for cell := range l.grants {
		list = append(list, cell)
	}
	return list
}

func (l *ledger) run(ctx context.Context, cells Cells, log logrus.FieldLogger) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if err := l.renew(ctx, cells, log); err != nil {
				return err
			}
		}
	}
}

// renew extends the grants of all cells at once, so that cells whose owners do
// not answer do not delay the others past the lifetime of their grants. A
// failed renewal is tried again at the next interval: grants are soft state,
// and the streams go on without.
func (l *ledger) renew(ctx context.Context, cells Cells, log logrus.FieldLogger) error {
	renewals := group.New(ctx)
	for _, cell := range l.cells() {
		renewals.Go("renew", func(ctx context.Context) error {
			r := sched.Renewal{Cell: cell, Entry: l.name, EntryIncarnation: l.incarnation, Held: l.held(cell)}
			ctx, cancel := context.WithTimeout(ctx, renewTimeout)
			defer cancel()
			if err := cells.Renew(ctx, r); err != nil {
				log.WithError(err).WithFields(logrus.Fields{"event": "renewal_failed", "cell": cell}).
					Warn("grants could not be renewed")
			}
			return nil
		})
	}
	return renewals.Wait()
}
