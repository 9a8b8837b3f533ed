package alarm

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/verbenapier/verbenapier/internal/guard"
)

// Period is the time between two evaluations of the conditions. A condition
// that holds for less than this may go undetected.
const Period = time.Second

// Monitor holds the active alarms of a process.
type Monitor struct {
	log        logrus.FieldLogger
	scope      tally.Scope
	conditions []Condition

	mu     sync.Mutex
	active map[key]*Alarm
	// heldSince holds, for each condition that now holds, the time at which it
	// began, even if its alarm is not raised yet.
	heldSince map[key]time.Time
}

// key identifies an alarm. The name is empty for alarms made by Raise.
type key struct {
	name    string
	promise Promise
	subject string
}

// New returns a monitor that evaluates the given conditions, for example those
// that Conditions returns.
func New(log logrus.FieldLogger, scope tally.Scope, conditions []Condition) *Monitor {
	return &Monitor{log: log, scope: scope, conditions: conditions, active: map[key]*Alarm{}, heldSince: map[key]time.Time{}}
}

// Raise raises an alarm at once. If an alarm that Raise made for the same promise
// and subject is active, Raise updates its evidence, action and Since instead. The
// alarm lasts until Clear.
func (m *Monitor) Raise(promise Promise, subject, evidence, action string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.raise(key{"", promise, subject}, Finding{Subject: subject, Evidence: evidence, Since: now}, action, now)
}

// Clear clears the alarm that Raise made, if there is one.
func (m *Monitor) Clear(promise Promise, subject string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.clear(key{"", promise, subject})
}

// Active returns the active alarms, oldest first.
func (m *Monitor) Active() []Alarm {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Alarm, 0, len(m.active))
	for _, a := range m.active {
		out = append(out, *a)
	}
	slices.SortFunc(out, func(x, y Alarm) int {
		return cmp.Or(x.Raised.Compare(y.Raised), cmp.Compare(x.Promise, y.Promise), cmp.Compare(x.Name, y.Name), cmp.Compare(x.Subject, y.Subject))
	})
	return out
}

// Run evaluates the conditions once per Period until the context ends.
func (m *Monitor) Run(ctx context.Context) error {
	ticker := time.NewTicker(Period)
	defer ticker.Stop()
	for {
		m.Evaluate(time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Evaluate runs every condition once. Call it from one goroutine.
func (m *Monitor) Evaluate(now time.Time) {
	for _, c := range m.conditions {
		guard.Run(m.log.WithField("condition", c.Name), "alarm", func() {
			findings := c.find(now)
			guard.Locked(&m.mu, func() { m.update(c, findings, now) })
		})
	}
}

// update raises and clears the alarms of one condition according to its
// findings. An alarm is raised once its condition has held for c.Hold.
func (m *Monitor) update(c Condition, findings []Finding, now time.Time) {
	seen := map[key]bool{}
	for _, f := range findings {
		k := key{c.Name, c.Promise, f.Subject}
		seen[k] = true
		if f.Since.IsZero() {
			f.Since = now
			if since, ok := m.heldSince[k]; ok {
				f.Since = since
			}
		}
		m.heldSince[k] = f.Since
		if now.Sub(f.Since) >= c.Hold {
			m.raise(k, f, c.Action, now)
		} else {
			m.clear(k)
		}
	}
	for k := range m.heldSince {
		if k.name == c.Name && !seen[k] {
			delete(m.heldSince, k)
			m.clear(k)
		}
	}
}

func (m *Monitor) raise(k key, f Finding, action string, now time.Time) {
	if a, ok := m.active[k]; ok {
		a.Evidence, a.Action, a.Since = f.Evidence, action, f.Since
		return
	}
	m.active[k] = &Alarm{
		Name: k.name, Promise: k.promise, PromiseText: k.promise.String(), Subject: k.subject,
		Evidence: f.Evidence, Action: action, Since: f.Since, Raised: now,
	}
	m.count(k, "alarms_raised")
	m.log.WithFields(logrus.Fields{
		"event": "alarm_raised", "alarm": k.name, "promise": int(k.promise), "subject": k.subject,
		"evidence": f.Evidence, "action": action,
	}).Warn("alarm raised")
}

func (m *Monitor) clear(k key) {
	if _, ok := m.active[k]; !ok {
		return
	}
	delete(m.active, k)
	m.count(k, "alarms_cleared")
	m.log.WithFields(logrus.Fields{
		"event": "alarm_cleared", "alarm": k.name, "promise": int(k.promise), "subject": k.subject,
	}).Info("alarm cleared")
}

func (m *Monitor) count(k key, counter string) {
	m.scope.Tagged(map[string]string{"alarm": cmp.Or(k.name, "raised")}).Counter(counter).Inc(1)
}
