package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"

	"github.com/verbenapier/verbenapier/internal/plat"
)

const (
	// hostsInterval is the mean time between readings of the platform's list.
	hostsInterval = 5 * time.Second
	hostsTimeout  = 2 * time.Second
	// hostsSpread spreads the first readings of nodes that start together.
	hostsSpread = 500 * time.Millisecond
)

// hosts keeps the last host list that the platform gave. During an outage the
// list stays as it is.
type hosts struct {
	lister plat.HostLister
	log    logrus.FieldLogger
	reads  singleflight.Group

	mu      sync.Mutex
	list    []plat.Host
	version uint64
	read    time.Time
	changed chan struct{}
}

func newHosts(lister plat.HostLister, log logrus.FieldLogger) *hosts {
	return &hosts{lister: lister, log: log, changed: make(chan struct{}, 1)}
}

// Run reads the list until the context ends.
func (h *hosts) Run(ctx context.Context) error {
	if !sleep(ctx, time.Duration(rand.Float64()*float64(hostsSpread))) {
		return nil
	}
	for {
		if err := h.refresh(ctx); err != nil {
			h.log.WithError(err).WithField("event", "hosts_unavailable").Warn("the host list was not read; the last one stays in use")
		}
		if !sleep(ctx, jitter(hostsInterval)) {
			return nil
		}
	}
}

// Hosts implements plat.HostLister for the membership. It answers from the last
// list while that is fresh and reads the platform otherwise.
func (h *hosts) Hosts(ctx context.Context) ([]plat.Host, error) {
	if h.Age() < hostsInterval {
		return h.All(), nil
	}
	if err := h.refresh(ctx); err != nil {
		return nil, err
	}
	return h.All(), nil
}

// refresh reads the list. Callers at the same time share one reading.
func (h *hosts) refresh(ctx context.Context) error {
	_, err, _ := h.reads.Do("", func() (any, error) { return nil, h.readList(ctx) })
	return err
}

func (h *hosts) readList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, hostsTimeout)
	defer cancel()
	list, err := h.lister.Hosts(ctx)
	if err != nil {
		return err
	}
	slices.SortFunc(list, func(a, b plat.Host) int { return strings.Compare(a.Name, b.Name) })
	h.mu.Lock()
	same := slices.Equal(h.list, list)
	h.list, h.read = list, time.Now()
	if !same {
		h.version++
	}
	h.mu.Unlock()
	if same {
		return nil
	}
	select {
	case h.changed <- struct{}{}:
	default:
	}
	return nil
}

// All returns the last list, sorted by name.
func (h *hosts) All() []plat.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.list)
}

// Version returns a number that grows with each change of the list. It is 0
// before the first list.
func (h *hosts) Version() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version
}

// Changed delivers a value after the list has changed.
func (h *hosts) Changed() <-chan struct{} { return h.changed }

// Age returns the time since the list was last read.
func (h *hosts) Age() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.read)
}

// With returns the hosts with a role and service.
func (h *hosts) With(role plat.Role, service string) []plat.Host {
	var found []plat.Host
	for _, host := range h.All() {
		if host.Role == role && (service == "" || host.Service == service) {
			found = append(found, host)
		}
	}
	return found
}
