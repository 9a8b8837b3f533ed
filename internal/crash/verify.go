package crash

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// verifyInterval is how often the processes that are said to have ended are looked for
	// among the registrations.
	verifyInterval = 500 * time.Millisecond
	// lapseTime is the longest time after the end of a process at which its registration
	// may still be known here: three heartbeats of 1.2 s, and the age of the copy of the
	// registrations.
	lapseTime = 6 * time.Second
	// maxUnverified bounds the processes that are looked for.
	maxUnverified = 4096
)

// verifyLater records that a process is said to have ended at a time. The caller holds mu.
func (t *Tracker) verifyLater(process string, at time.Time) {
	known, ok := t.unverified[process]
	if ok && !at.Before(known) || !ok && len(t.unverified) >= maxUnverified {
		return
	}
	t.unverified[process] = at
}

// Unverified returns the processes that were first said to have ended at a time or before,
// and for which neither Verified nor Withdraw was called since.
func (t *Tracker) Unverified(before time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var processes []string
	for process, at := range t.unverified {
		if !at.After(before) {
			processes = append(processes, process)
		}
	}
	return processes
}

// Verified records that a process is no longer registered. What rests on its end stays.
func (t *Tracker) Verified(process string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.unverified, process)
}

// Withdraw removes all evidence that rests on the end of a process which has not ended, and
// refutes the quarantines that were decided on it. They are to be removed from the platform
// after the delay. It returns those in force.
func (t *Tracker) Withdraw(process string, delay time.Duration) []Quarantine {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	delete(t.unverified, process)
	var refuted []Quarantine
	for key, q := range t.quarantines {
		if q.Engine != process {
			continue
		}
		if q.active(now) {
			refuted = append(refuted, q)
		}
		delete(t.quarantines, key)
		t.refuted[key] = refutation{engine: process, at: now, withdrawAt: now.Add(delay)}
	}
	for _, p := range t.records.Keys() {
		if r, ok := t.records.Peek(p); ok && slices.Contains(r.engines, process) {
			r.withdraw(process, now)
		}
	}
	return refuted
}

// withdraw removes what rests on the end of a process.
func (r *record) withdraw(process string, now time.Time) {
	r.engines = slices.DeleteFunc(r.engines, func(engine string) bool { return engine == process })
	r.requests = slices.DeleteFunc(r.requests, func(e requestEnd) bool { return e.engine == process })
	if len(r.engines) == 0 {
		r.requests = nil
	}
	// A quarantine moves the end of its parts into the future.
	if r.endedAt.After(now) {
		r.endedAt = now
	}
}

// verifyAll withdraws evidence until the context ends.
func (r *Registry) verifyAll(ctx context.Context) error {
	if r.options.Registered == nil {
		return nil
	}
	ticker := time.NewTicker(verifyInterval)
	defer ticker.Stop()
	// currentSince is since when the registrations have been up to date at each check, and
	// checkedAt the time of the last check.
	var currentSince, checkedAt time.Time
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		now := time.Now()
		// This process may have been paused.
		if late := now.Sub(checkedAt) > 2*verifyInterval; late || !r.options.Current() {
			currentSince = now
		}
		checkedAt = now
		if now.Sub(currentSince) >= lapseTime {
			r.verify(now)
		}
	}
}

// verify withdraws the evidence of processes that are still registered after their
// registration would have lapsed. The registrations have been up to date for that time:
// while the platform is down, registrations of processes that have ended may stay.
func (r *Registry) verify(now time.Time) {
	for _, process := range r.Unverified(now.Add(-lapseTime)) {
		if !r.options.Registered(process) {
			r.Verified(process)
			continue
		}
		// All hosts find out at the same time, and one call removes a key.
		delay := time.Duration(uint64(NewPart(nil, r.options.Members.Self().Name, process)) % uint64(takeoverDelay))
		refuted := r.Withdraw(process, delay)
		var keys []string
		for _, q := range refuted {
			keys = append(keys, q.Key())
		}
		r.options.Metrics.Counter("ends_withdrawn_total").Inc(1)
		r.options.Log.WithFields(logrus.Fields{"event": "end_withdrawn", "engine": process, "quarantine_keys": keys}).
			Warn("an engine that was said to have ended is still registered; what rests on its end is withdrawn")
	}
}
