package place

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/guard"
	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// MethodReach asks a peer whether it reaches a process of an upstream.
const MethodReach = "place.reach"

const (
	// reachTimeout bounds the check of whether an upstream answers. It is several times
	// the latency between failure domains.
	reachTimeout = 300 * time.Millisecond
	// witnessTimeout bounds the call of a peer, with the checks that it makes at once.
	witnessTimeout = reachTimeout + 100*time.Millisecond
	// maxWitnesses bounds the peers that are asked about the end of an upstream.
	maxWitnesses = 4
	// Once enoughWitnesses nodes have found that an upstream does not answer, the others
	// have lateWitnessTime to contradict them.
	enoughWitnesses = 2
	lateWitnessTime = 100 * time.Millisecond
	// maxControls bounds the other upstreams by which a node finds out whether it reaches
	// any.
	maxControls = 3
	// reachKeepTime is how long the result of a check or of an inquiry is used again.
	reachKeepTime = 300 * time.Millisecond
)

// Reach is what a node finds out about a process of an upstream.
type Reach string

// The results of a check.
const (
	// Reached processes answered.
	Reached Reach = "reached"
	// NotReached processes did not answer, or another one answered at their address, while
	// other upstreams answer this node.
	NotReached Reach = "not_reached"
	// NotLinked means that the node cannot tell: no other upstream answers it either, it
	// does not know the process, or the process asked it for a pause.
	NotLinked Reach = "not_linked"
	// noAnswer stands for a node that did not answer the question.
	noAnswer Reach = ""
)

// reachCall is the parameter of MethodReach. It names no address: a node connects only to
// upstreams whose registration it knows itself.
type reachCall struct {
	ID      string `json:"id"`
	Process string `json:"process"`
}

// WitnessesOptions are the dependencies of Witnesses.
type WitnessesOptions struct {
	Members Members
	Caller  wire.Caller
	// Upstreams returns the registered upstreams of all services.
	Upstreams func() []Upstream
	// Check returns an error if a process does not answer, of the kind Stale if another
	// process answers at its address.
	Check func(ctx context.Context, u Upstream) error
	// Linked reports whether a failure at an address counts against the upstream there, and
	// not against the links of this node. Nil means always.
	Linked  func(ctx context.Context, address string) bool
	Notices *Notices
	Group   *group.Group
	Random  *rand.Rand
	Log     logrus.FieldLogger
}

// Witnesses finds out with the help of other nodes whether processes of upstreams have
// ended. What one node cannot reach may be reached by others.
type Witnesses struct {
	options   WitnessesOptions
	inquiries *sharedResults[bool]
	checks    *sharedResults[Reach]

	randomMu sync.Mutex
	random   *rand.Rand
}

// NewWitnesses returns the witnesses of a node.
func NewWitnesses(o WitnessesOptions) *Witnesses {
	return &Witnesses{
		options: o, random: o.Random,
		inquiries: newSharedResults[bool](o.Group, o.Log, reachKeepTime), checks: newSharedResults[Reach](o.Group, o.Log, reachKeepTime),
	}
}

// Register adds the handler of the calls that this node answers as a witness.
func (w *Witnesses) Register(m *wire.Mux) {
	m.Handle(MethodReach, wire.Typed(func(ctx context.Context, _ string, call reachCall) (Reach, error) {
		return w.testify(ctx, call), nil
	}))
}

// Ended reports whether the process of an upstream has ended, after this node has lost a
// connection to it: this node does not reach it, at least one node that reaches other
// upstreams does not either, and none does. If no node can tell, it has not ended, unless
// this node knows no other upstream by which it could; the registration then shows later
// whether it was right (see crash.Registry).
func (w *Witnesses) Ended(ctx context.Context, u Upstream) bool {
	ended, ok := w.inquiries.get(ctx, u.Process(), func(ctx context.Context) bool { return w.inquire(ctx, u) })
	return ok && ended
}

// evidence is what nodes have found out about a process.
type evidence struct {
	// witnesses is the number of nodes that answered, linked that of those among them that
	// can tell, and reached that of those which reach the process.
	witnesses, linked, reached int
}

func (e *evidence) add(r Reach) {
	switch r {
	case Reached:
		e.witnesses++
		e.linked++
		e.reached++
	case NotReached:
		e.witnesses++
		e.linked++
	case NotLinked:
		e.witnesses++
	case noAnswer:
	}
}

// successor returns the process that is registered in place of one that started before it.
func (w *Witnesses) successor(u Upstream) (Upstream, bool) {
	upstreams := w.options.Upstreams()
	i := slices.IndexFunc(upstreams, func(other Upstream) bool { return other.ID == u.ID && other.Started.After(u.Started) })
	if i < 0 {
		return Upstream{}, false
	}
	return upstreams[i], true
}

// inquire checks a process and, if it does not answer, asks peers. A process whose successor
// is registered is not checked: the check would reach the successor, which may want nothing
// from this node.
func (w *Witnesses) inquire(ctx context.Context, u Upstream) bool {
	if next, ok := w.successor(u); ok {
		// A process without a start time may be the same one, registered again.
		event, ended := "end_believed", !u.Started.IsZero()
		if !ended {
			event = "end_doubted"
		}
		w.options.Log.WithFields(logrus.Fields{"event": event, "upstream": u.ID, "engine": u.Process(), "successor": next.Process()}).
			Info("a process of an upstream has a registered successor")
		return ended
	}
	checkErr := w.check(ctx, u)
	if checkErr == nil {
		return false
	}
	peers := w.peers()
	answers := make(chan Reach, 1+len(peers))
	start(w, answers, func(ctx context.Context) Reach { return w.reachOf(ctx, u, checkErr, w.isLinked(ctx, u)) })
	for _, m := range peers {
		start(w, answers, func(ctx context.Context) Reach { return w.ask(ctx, m, u) })
	}
	e := collect(ctx, answers)
	if ctx.Err() != nil {
		return false
	}
	ended := e.reached == 0 && (e.linked > 0 || len(w.others(u)) == 0)
	event, text := "end_believed", "an upstream does not answer this host, and no other host reaches it"
	if !ended {
		event, text = "end_doubted", "an upstream does not answer this host, but another host reaches it or none can tell; it counts as running"
	}
	w.options.Log.WithError(checkErr).WithFields(logrus.Fields{
		"event": event, "upstream": u.ID, "engine": u.Process(), "asked": len(peers),
		"witnesses": e.witnesses, "linked": e.linked, "reached": e.reached,
	}).Warn(text)
	return ended
}

// collect returns the evidence of all answers that arrive in time, or of those up to the
// first that settles the matter. The number of answers is the capacity of the channel.
func collect(ctx context.Context, answers <-chan Reach) evidence {
	var e evidence
	timer := time.NewTimer(witnessTimeout)
	defer timer.Stop()
	for range cap(answers) {
		select {
		case r := <-answers:
			if e.add(r); e.reached > 0 {
				return e
			}
			if r == NotReached && e.linked == enoughWitnesses {
				timer.Reset(lateWitnessTime)
			}
		case <-timer.C:
			return e
		case <-ctx.Done():
			return e
		}
	}
	return e
}

// testify answers the question of another node.
func (w *Witnesses) testify(ctx context.Context, call reachCall) Reach {
	upstreams := w.options.Upstreams()
	i := slices.IndexFunc(upstreams, func(u Upstream) bool { return u.ID == call.ID && u.Process() == call.Process })
	if i < 0 || w.options.Notices.PauseLeft(call.Process) > 0 {
		return NotLinked
	}
	reach, ok := w.checks.get(ctx, call.Process, func(ctx context.Context) Reach { return w.reach(ctx, upstreams[i]) })
	if !ok {
		return NotLinked
	}
	return reach
}

// reach checks a process, and at the same time whether this node reaches other upstreams.
func (w *Witnesses) reach(ctx context.Context, u Upstream) Reach {
	linked := make(chan bool, 1)
	start(w, linked, func(ctx context.Context) bool { return w.isLinked(ctx, u) })
	if err := w.check(ctx, u); err != nil {
		return w.reachOf(ctx, u, err, <-linked)
	}
	return Reached
}

// reachOf returns what a failed check shows on a node that is linked to other upstreams, or
// is not. The answer of another process shows both.
func (w *Witnesses) reachOf(ctx context.Context, u Upstream, err error, linked bool) Reach {
	if linked && w.options.Linked != nil {
		// Other upstreams may have answered through peers.
		linked = w.options.Linked(ctx, u.Address)
	}
	if linked || fault.Is(err, fault.Stale) {
		return NotReached
	}
	return NotLinked
}

// isLinked reports whether any other upstream answers this node now.
func (w *Witnesses) isLinked(ctx context.Context, u Upstream) bool {
	controls := slices.DeleteFunc(w.others(u), func(other Upstream) bool { return w.options.Notices.PauseLeft(other.Process()) > 0 })
	w.shuffle(len(controls), func(i, j int) { controls[i], controls[j] = controls[j], controls[i] })
	controls = controls[:min(len(controls), maxControls)]
	answers := make(chan bool, len(controls))
	for _, control := range controls {
		start(w, answers, func(ctx context.Context) bool {
			err := w.check(ctx, control)
			return err == nil || fault.Is(err, fault.Stale)
		})
	}
	for range controls {
		select {
		case answered := <-answers:
			if answered {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// start finds a result in the background and sends it, or the zero value after a panic. What
// has begun ends by itself, also if nobody waits for it: the answer of an upstream may say
// what it wants of this node.
func start[V any](w *Witnesses, results chan<- V, find func(ctx context.Context) V) {
	w.options.Group.Go("witness", guard.Task(w.options.Log, "witness", func(ctx context.Context) error {
		var v V
		defer func() { results <- v }()
		v = find(ctx)
		return nil
	}))
}

func (w *Witnesses) check(ctx context.Context, u Upstream) error {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	return w.options.Check(ctx, u)
}

// ask asks a peer whether it reaches a process.
func (w *Witnesses) ask(ctx context.Context, m member.Member, u Upstream) Reach {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	var r Reach
	err := w.options.Caller.Call(ctx, m.PeerAddress, MethodReach, reachCall{ID: u.ID, Process: u.Process()}, &r)
	if err != nil {
		w.options.Log.WithError(err).WithFields(logrus.Fields{"event": "witness_silent", "member": m.Name, "upstream": u.ID}).
			Debug("another host did not say whether it reaches an upstream")
		return noAnswer
	}
	return r
}

// others returns the registered upstreams with another address.
func (w *Witnesses) others(u Upstream) []Upstream {
	return slices.DeleteFunc(slices.Clone(w.options.Upstreams()), func(other Upstream) bool {
		return other.ID == u.ID || other.Address == u.Address
	})
}

// peers returns the peers to ask, those of other failure domains first: a domain may lose
// its links as a whole.
func (w *Witnesses) peers() []member.Member {
	self := w.options.Members.Self()
	peers := slices.DeleteFunc(slices.Clone(w.options.Members.Members()), func(m member.Member) bool {
		return m.Name == self.Name || m.State != member.Alive
	})
	w.shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	slices.SortStableFunc(peers, func(a, b member.Member) int {
		aHere, bHere := a.FailureDomain == self.FailureDomain, b.FailureDomain == self.FailureDomain
		switch {
		case aHere == bHere:
			return 0
		case bHere:
			return -1
		}
		return 1
	})
	return peers[:min(len(peers), maxWitnesses)]
}

func (w *Witnesses) shuffle(n int, swap func(i, j int)) {
	w.randomMu.Lock()
	defer w.randomMu.Unlock()
	w.random.Shuffle(n, swap)
}
