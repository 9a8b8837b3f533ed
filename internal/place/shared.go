package place

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// sharedResults finds one result for all that ask under the same key at a time, and keeps
// it for a time. It is safe for concurrent use.
type sharedResults[V any] struct {
	group *group.Group
	log   logrus.FieldLogger
	keep  time.Duration

	mu      sync.Mutex
	results map[string]*sharedResult[V]
}

type sharedResult[V any] struct {
	// done is closed once value and foundAt are set.
	done    chan struct{}
	value   V
	foundAt time.Time
}

func newSharedResults[V any](g *group.Group, log logrus.FieldLogger, keep time.Duration) *sharedResults[V] {
	return &sharedResults[V]{group: g, log: log, keep: keep, results: map[string]*sharedResult[V]{}}
}

// get returns the result for a key, or false if the context ends first. Unless there is one
// already, find is called with the context of the group, so that the first caller may leave
// without harm to the others.
func (s *sharedResults[V]) get(ctx context.Context, key string, find func(ctx context.Context) V) (V, bool) {
	r, added := s.join(key)
	if added {
		s.group.Go("result", guard.Task(s.log, "result", func(ctx context.Context) error {
			defer func() {
				r.foundAt = time.Now()
				close(r.done)
			}()
			r.value = find(ctx)
			return nil
		}))
	}
	select {
	case <-r.done:
		return r.value, true
	case <-ctx.Done():
		var none V
		return none, false
	}
}

// join returns the result for a key, and whether the caller has to find it.
func (s *sharedResults[V]) join(key string) (*sharedResult[V], bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(s.results, func(_ string, r *sharedResult[V]) bool { return r.isOld(now, s.keep) })
	if r := s.results[key]; r != nil {
		return r, false
	}
	r := &sharedResult[V]{done: make(chan struct{})}
	s.results[key] = r
	return r, true
}

func (r *sharedResult[V]) isOld(now time.Time, keep time.Duration) bool {
	select {
	case <-r.done:
		return now.Sub(r.foundAt) >= keep
	default:
		return false
	}
}
