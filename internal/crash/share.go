package crash

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/internal/member"
)

const (
	// learnInterval and learnCalls are how often a host that starts asks a peer for the
	// parts on which engines ended, and how often at most. The peers take turns, as some
	// may have started just now, too.
	learnInterval = 500 * time.Millisecond
	learnCalls    = 10
	// sharedEnds is the number of ends on a request that had begun to be answered from
	// which on all hosts are told. A single end says little: it is reported for every
	// request on the engine.
	sharedEnds = 2
	// maxShared bounds the parts of an answer.
	maxShared = 512
)

// Ends is what a host knows of the engines that ended on a part.
type Ends struct {
	Part     Part     `json:"part"`
	Engines  []string `json:"engines"`
	Requests []Part   `json:"requests,omitempty"`
	// RequestEngines are the processes that ended on the requests, in the same order.
	RequestEngines []string      `json:"request_engines,omitempty"`
	Answered       bool          `json:"answered,omitempty"`
	Age            time.Duration `json:"age_ns"`
}

// ends returns what is known of a part. The caller holds mu.
func (r *record) ends(p Part, now time.Time) Ends {
	e := Ends{Part: p, Engines: slices.Clone(r.engines), Answered: r.answered, Age: now.Sub(r.endedAt)}
	for _, end := range r.requests {
		e.Requests, e.RequestEngines = append(e.Requests, end.request), append(e.RequestEngines, end.engine)
	}
	return e
}

// requestEnds returns the requests with their processes. A host of an earlier release does
// not name the processes.
func (e Ends) requestEnds() []requestEnd {
	var ends []requestEnd
	for i, request := range e.Requests {
		end := requestEnd{request: request}
		if i < len(e.RequestEngines) {
			end.engine = e.RequestEngines[i]
		}
		ends = append(ends, end)
	}
	return ends
}

// AllEnds returns what is known of the parts on which engines ended lately.
func (t *Tracker) AllEnds() []Ends {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	list := []Ends{}
	for _, p := range t.records.Keys() {
		if r, _ := t.records.Peek(p); len(r.engines) > 0 && now.Sub(r.endedAt) < suspectTime && len(list) < maxShared {
			list = append(list, r.ends(p, now))
		}
	}
	return list
}

// EndsOf returns what is known of a part.
func (t *Tracker) EndsOf(p Part) Ends {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.record(p).ends(p, time.Now())
}

// Learn adds what another host knows.
func (t *Tracker) Learn(e Ends) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(e.Part)
	r.engines, r.requests = merge(r.engines, e.Engines, maxEngines), merge(r.requests, e.requestEnds(), maxRequests)
	r.answered = r.answered || e.Answered
	at := time.Now().Add(-e.Age)
	if at.After(r.endedAt) {
		r.endedAt = at
	}
	for _, engine := range e.Engines {
		t.verifyLater(engine, at)
	}
}

// merge adds what a list lacks, up to limit elements.
func merge[T comparable](list, more []T, limit int) []T {
	for _, v := range more {
		if len(list) < limit && !slices.Contains(list, v) {
			list = append(list, v)
		}
	}
	return list
}

// learnAll asks the peers in turn for what they know.
func (r *Registry) learnAll(ctx context.Context) error {
	ticker := time.NewTicker(learnInterval)
	defer ticker.Stop()
	for n := range learnCalls {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		peers := r.peers()
		if len(peers) == 0 {
			continue
		}
		var list []Ends
		if err := r.call(ctx, peers[n%len(peers)], MethodEnds, struct{}{}, &list); err == nil {
			for _, e := range list {
				r.Learn(e)
			}
		}
	}
	return nil
}

// peers returns the other hosts that are not dead.
func (r *Registry) peers() []member.Member {
	self := r.options.Members.Self().Name
	return slices.DeleteFunc(r.options.Members.Members(), func(m member.Member) bool { return m.Name == self || m.State == member.Dead })
}

// call makes a call of a peer and logs its failure.
func (r *Registry) call(ctx context.Context, m member.Member, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	err := r.options.Caller.Call(ctx, m.PeerAddress, method, params, result)
	if err != nil {
		// Hosts learn of quarantines from the platform, too.
		r.options.Log.WithError(err).WithFields(logrus.Fields{"event": "crash_report_lost", "member": m.Name, "method": method}).
			Debug("another host did not take part in the exchange on engines that ended")
	}
	return err
}

// tell calls a method of all peers, without waiting for them.
func (r *Registry) tell(method string, params any) {
	for _, m := range r.peers() {
		r.options.Group.Go("crash report", guard.Task(r.options.Log, "crash report", func(ctx context.Context) error {
			// call has logged the error.
			_ = r.call(ctx, m, method, params, &struct{}{})
			return nil
		}))
	}
}
