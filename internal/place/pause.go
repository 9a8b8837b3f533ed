package place

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Pause is the time for which a process of an upstream wants nothing from a node.
type Pause struct {
	Process string        `json:"process"`
	Left    time.Duration `json:"left_ns"`
}

// pause records that a process wants nothing from this node for a time. A shorter time
// does not end a longer one of an earlier answer.
func (n *Notices) pause(process string, length time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	spread := min(scale(length, pauseSpread), maxPauseSpread)
	end := now.Add(length + scale(spread, n.random.Float64()))
	n.dropPauses(now)
	if end.Before(n.pausedUntil[process]) || len(n.pausedUntil) >= maxNotices {
		return
	}
	n.pausedUntil[process] = end
	n.pausedCount.Store(int64(len(n.pausedUntil)))
	n.log.WithFields(logrus.Fields{"event": "upstream_paused", "upstream": process, "ms": end.Sub(now).Milliseconds()}).
		Info("an upstream asked this host for a pause")
}

// dropPauses removes the pauses that have ended. The caller holds mu.
func (n *Notices) dropPauses(now time.Time) {
	for process, end := range n.pausedUntil {
		if !now.Before(end) {
			delete(n.pausedUntil, process)
		}
	}
	n.pausedCount.Store(int64(len(n.pausedUntil)))
}

// PauseLeft returns the time for which a process still wants nothing from this node. It
// is not positive without a pause.
func (n *Notices) PauseLeft(process string) time.Duration {
	if n.pausedCount.Load() == 0 {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Until(n.pausedUntil[process])
}

// maxSharedPauses is the number of pauses that a call to an owner carries. Grants of other
// engines in a pause are not used.
const maxSharedPauses = 256

// pauses returns the pauses that this node was asked for, up to maxSharedPauses.
func (n *Notices) pauses() []Pause {
	if n.pausedCount.Load() == 0 {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	list := make([]Pause, 0, min(len(n.pausedUntil), maxSharedPauses))
	for process, end := range n.pausedUntil {
		switch left := end.Sub(now); {
		case left <= 0:
			delete(n.pausedUntil, process)
		case len(list) == maxSharedPauses:
			return list
		default:
			list = append(list, Pause{process, left})
		}
	}
	n.pausedCount.Store(int64(len(n.pausedUntil)))
	return list
}

// pausedRefusal returns a refusal if all upstreams that do not leave asked this node for
// a pause, otherwise nil.
func (n *Notices) pausedRefusal(upstreams []Upstream) *Refusal {
	if n.pausedCount.Load() == 0 {
		return nil
	}
	return refuseInPause(func(yield func(time.Duration) bool) {
		for _, u := range upstreams {
			if process := u.Process(); !u.Leaving && !n.Leaving(process) && !yield(n.PauseLeft(process)) {
				return
			}
		}
	})
}

// pausedRefusal returns a refusal if all engines of the cell asked the node of a request
// for a pause, otherwise nil. The caller holds mu.
func (p *Pool) pausedRefusal(j *job, now time.Time) *Refusal {
	if len(j.pausedUntil) == 0 {
		return nil
	}
	return refuseInPause(func(yield func(time.Duration) bool) {
		for _, e := range p.engines {
			if !e.Leaving && !yield(j.pausedUntil[e.process].Sub(now)) {
				return
			}
		}
	})
}

// refuseInPause returns a refusal until the first of the pauses ends, or nil if one of
// them has ended.
func refuseInPause(left func(yield func(time.Duration) bool)) *Refusal {
	shortest := time.Duration(0)
	for pause := range left {
		if pause <= 0 {
			return nil
		}
		if shortest == 0 || pause < shortest {
			shortest = pause
		}
	}
	if shortest == 0 {
		return nil
	}
	return &Refusal{Reason: "all upstreams of the service asked this host for a pause", RetryAfter: shortest}
}

// setPauses sets the pauses that the node of a request was asked for.
func (j *job) setPauses(pauses []Pause, now time.Time) {
	j.pausedUntil = nil
	for _, p := range pauses {
		if j.pausedUntil == nil {
			j.pausedUntil = map[string]time.Time{}
		}
		j.pausedUntil[p.Process] = now.Add(p.Left)
	}
}
