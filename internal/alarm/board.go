package alarm

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// Period is the time between two evaluations of the conditions. A dip shorter
// than this is not seen.
const Period = time.Second

// Board holds the active alarms of a process.
type Board struct {
	log        logrus.FieldLogger
	scope      tally.Scope
	conditions []Condition

	mu     sync.Mutex
	active map[key]*Alarm
	// held is the time since which a condition has held.
	held map[key]time.Time
}

type key struct {
	name    string
	promise Promise
	subject string
}

// New returns a board that evaluates the conditions of Conditions, or any
// others.
func New(log logrus.FieldLogger, scope tally.Scope, conditions []Condition) *Board {
	return &Board{log: log, scope: scope, conditions: conditions, active: map[key]*Alarm{}, held: map[key]time.Time{}}
}

// Raise raises an alarm at once, or renews the evidence and action of the one
// with the same promise and subject. It lasts until Clear.
func (b *Board) Raise(promise Promise, subject, evidence, action string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.raise(key{"", promise, subject}, Finding{Subject: subject, Evidence: evidence, Since: now}, action, now)
}

// Clear ends the alarm that Raise made, if there is one.
func (b *Board) Clear(promise Promise, subject string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.clear(key{"", promise, subject})
}

// Active returns the active alarms, oldest first.
func (b *Board) Active() []Alarm {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Alarm, 0, len(b.active))
	for _, a := range b.active {
		out = append(out, *a)
	}
	slices.SortFunc(out, func(x, y Alarm) int {
		return cmp.Or(x.Raised.Compare(y.Raised), cmp.Compare(x.Promise, y.Promise), cmp.Compare(x.Name, y.Name), cmp.Compare(x.Subject, y.Subject))
	})
	return out
}

// Run evaluates the conditions once per Period until the context ends.
func (b *Board) Run(ctx context.Context) error {
	ticker := time.NewTicker(Period)
	defer ticker.Stop()
	for {
		b.Evaluate(time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Evaluate runs every condition once. Call it from one goroutine.
func (b *Board) Evaluate(now time.Time) {
	for _, c := range b.conditions {
		findings := c.find(now)
		b.mu.Lock()
		b.apply(c, findings, now)
		b.mu.Unlock()
	}
}

func (b *Board) apply(c Condition, findings []Finding, now time.Time) {
	seen := map[key]bool{}
	for _, f := range findings {
		k := key{c.Name, c.Promise, f.Subject}
		seen[k] = true
		if f.Since.IsZero() {
			f.Since = now
			if since, ok := b.held[k]; ok {
				f.Since = since
			}
		}
		b.held[k] = f.Since
		if now.Sub(f.Since) >= c.Hold {
			b.raise(k, f, c.Action, now)
		} else {
			b.clear(k)
		}
	}
	for k := range b.held {
		if k.name == c.Name && !seen[k] {
			delete(b.held, k)
			b.clear(k)
		}
	}
}

func (b *Board) raise(k key, f Finding, action string, now time.Time) {
	if a, ok := b.active[k]; ok {
		a.Evidence, a.Action, a.Since = f.Evidence, action, f.Since
		return
	}
	b.active[k] = &Alarm{
		Name: k.name, Promise: k.promise, PromiseText: k.promise.String(), Subject: k.subject,
		Evidence: f.Evidence, Action: action, Since: f.Since, Raised: now,
	}
	b.count(k, "alarms_raised")
	b.log.WithFields(logrus.Fields{
		"event": "alarm_raised", "alarm": k.name, "promise": int(k.promise), "subject": k.subject,
		"evidence": f.Evidence, "action": action,
	}).Warn("alarm raised")
}

func (b *Board) clear(k key) {
	if _, ok := b.active[k]; !ok {
		return
	}
	delete(b.active, k)
	b.count(k, "alarms_cleared")
	b.log.WithFields(logrus.Fields{
		"event": "alarm_cleared", "alarm": k.name, "promise": int(k.promise), "subject": k.subject,
	}).Info("alarm cleared")
}

func (b *Board) count(k key, counter string) {
	b.scope.Tagged(map[string]string{"alarm": cmp.Or(k.name, "raised")}).Counter(counter).Inc(1)
}
