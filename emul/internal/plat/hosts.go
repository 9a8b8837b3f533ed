package plat

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Host is an entry of the host list.
type Host struct {
	Name          string `json:"name"`
	Role          string `json:"role"`
	Service       string `json:"service,omitempty"`
	Address       string `json:"address"`
	PeerAddress   string `json:"peer_address,omitempty"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region,omitempty"`
	State         string `json:"state"`
}

// hosts is the host list. Its changes become visible after delay.
type hosts struct {
	delay time.Duration

	mu      sync.Mutex
	visible map[string]Host
	changes []change // not visible yet, in order of time
}

// change adds, replaces or deletes the host called name.
type change struct {
	at   time.Time
	name string
	host *Host // nil deletes
}

func newHosts(delay time.Duration, initial []Host) *hosts {
	h := &hosts{delay: delay, visible: map[string]Host{}}
	for _, host := range initial {
		h.visible[host.Name] = host.withDefaults()
	}
	return h
}

func (h Host) withDefaults() Host {
	h.State = cmp.Or(h.State, "live")
	return h
}

// put adds or replaces hosts by name.
func (h *hosts) put(list []Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, host := range list {
		host = host.withDefaults()
		h.changes = append(h.changes, change{time.Now(), host.Name, &host})
	}
}

func (h *hosts) remove(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, change{time.Now(), name, nil})
}

// list returns the visible hosts, ordered by name. It first makes the changes visible
// that are at least delay old.
func (h *hosts) list() []Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	cutoff := time.Now().Add(-h.delay)
	for len(h.changes) > 0 && !h.changes[0].at.After(cutoff) {
		c := h.changes[0]
		h.changes = h.changes[1:]
		if c.host == nil {
			delete(h.visible, c.name)
			continue
		}
		h.visible[c.name] = *c.host
	}
	list := make([]Host, 0, len(h.visible))
	for _, host := range h.visible {
		list = append(list, host)
	}
	slices.SortFunc(list, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
