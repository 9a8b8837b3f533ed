package claims

import (
	"context"
	"crypto/sha256"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/member"
	"github.com/verbenapier/verbenapier/internal/netem"
	"github.com/verbenapier/verbenapier/internal/plat"
	"github.com/verbenapier/verbenapier/internal/wire"
	"github.com/verbenapier/verbenapier/pkg/fault"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// claimLog is the part of Log that the random runs use, so that they can also run
// against naive logs.
type claimLog interface {
	Acquire(ctx context.Context, call Call) (Decision, error)
	Finish(ctx context.Context, claim Claim, outcome Outcome) error
	Run(ctx context.Context) error
}

type node struct {
	name        string
	incarnation uint64
	log         claimLog
	group       *group.Group

	mu sync.Mutex
	// resume is closed while the node is not paused.
	resume chan struct{}
}

// waitWhilePaused blocks until the node is not paused.
func (n *node) waitWhilePaused() {
	n.mu.Lock()
	resume := n.resume
	n.mu.Unlock()
	<-resume
}

// pausableStore and pausableCaller block the calls of a paused node, both before
// and after their effects.
type pausableStore struct {
	plat.Store
	node *node
}

func (s pausableStore) Get(ctx context.Context, key string) (plat.Entry, error) {
	defer s.node.waitWhilePaused()
	s.node.waitWhilePaused()
	return s.Store.Get(ctx, key)
}

func (s pausableStore) Put(ctx context.Context, key string, value []byte, base plat.Revision) (plat.Revision, error) {
	defer s.node.waitWhilePaused()
	s.node.waitWhilePaused()
	return s.Store.Put(ctx, key, value, base)
}

type pausableCaller struct {
	fakeCaller
	node *node
}

func (c pausableCaller) Call(ctx context.Context, address, method string, params, result any) error {
	defer c.node.waitWhilePaused()
	c.node.waitWhilePaused()
	return c.fakeCaller.Call(ctx, address, method, params, result)
}

// fleet runs nodes against one store. It counts how often each call was run and
// the answers that callers received, and collects the violations that its checks find.
type fleet struct {
	t      *testing.T
	random *netem.Random
	store  *fakeStore
	net    *fakeNet
	newLog func(f *fleet, n *node) claimLog
	nodes  []*node
	start  time.Time

	mu         sync.Mutex
	runs       map[string]int // by idempotency key
	verdicts   map[string]int // by verdict or kind of error
	violations []string
}

const window = time.Minute

func newFleet(t *testing.T, seed uint64, size int, newLog func(f *fleet, n *node) claimLog) *fleet {
	random := netem.NewRandom(seed)
	f := &fleet{
		t: t, random: random, store: newFakeStore(random), net: &fakeNet{random: random, muxes: map[string]*wire.Mux{}},
		newLog: newLog, start: time.Now(), runs: map[string]int{}, verdicts: map[string]int{},
	}
	for i := range size {
		n := &node{name: fmt.Sprintf("node-%d", i), resume: make(chan struct{})}
		close(n.resume)
		f.nodes = append(f.nodes, n)
		f.startNode(n)
	}
	return f
}

func (f *fleet) startNode(n *node) {
	n.mu.Lock()
	n.incarnation++
	n.group = group.New(context.WithoutCancel(f.t.Context()))
	n.log = f.newLog(f, n)
	n.group.Go("log", n.log.Run)
	n.mu.Unlock()
}

func (f *fleet) stopNode(n *node) {
	f.net.mu.Lock()
	delete(f.net.muxes, n.name)
	f.net.mu.Unlock()
	n.group.Stop()
}

func realLog(f *fleet, n *node) claimLog {
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	log := New(Options{
		Store: pausableStore{f.store, n}, Caller: pausableCaller{fakeCaller{f.net, n.name}, n}, Owner: f.owner(n),
		Node: n.name, Incarnation: n.incarnation, Rand: f.random.Float64, Logger: logger,
		Shards: 2, SegmentSize: 2 << 10, ClockSkew: 5 * time.Second, CollectInterval: 7 * time.Second,
		WritesPerSecond: 100,
	})
	mux := wire.NewMux()
	log.Register(mux)
	f.net.mu.Lock()
	f.net.muxes[n.name] = mux
	f.net.mu.Unlock()
	return log
}

// owner returns a node's view of shard ownership. All nodes agree on the owner,
// which changes every ten seconds, except that one lookup in ten returns a random
// node, as when a node's membership is out of date.
func (f *fleet) owner(n *node) func(string, int) (member.Member, bool) {
	return func(service string, shard int) (member.Member, bool) {
		h := fnv.New32()
		_, _ = fmt.Fprint(h, service, shard, int(time.Since(f.start)/(2*time.Second))/5)
		index := int(h.Sum32())
		if f.random.IntN(10) == 0 {
			index = f.random.IntN(len(f.nodes))
		}
		name := f.nodes[index%len(f.nodes)].name
		return member.Member{Name: name, PeerAddress: name}, true
	}
}

func (f *fleet) addViolation(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// key returns a random UUIDv7 with the current time.
func (f *fleet) key() string {
	id := uuid.UUID{}
	for i := range id {
		id[i] = byte(f.random.IntN(256))
	}
	now := time.Now().UnixMilli()
	for i := range 6 {
		id[i] = byte(now >> (40 - 8*i))
	}
	id[6], id[8] = id[6]&0x0f|0x70, id[8]&0x3f|0x80
	return id.String()
}

// send claims, dispatches and finishes one send of a call. It returns the result
// of Acquire.
func (f *fleet) send(n *node, key string, body byte) (Decision, error) {
	n.mu.Lock()
	log, incarnation := n.log, n.incarnation
	n.mu.Unlock()
	timeout := time.Second + f.random.Duration(5*time.Second)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(f.t.Context()), timeout)
	defer cancel()
	decision, err := log.Acquire(ctx, Call{
		Service: "desk", Organisation: "skippers", Key: key, Digest: sha256.Sum256([]byte{body}), Window: window,
	})
	n.waitWhilePaused()
	f.checkAnswer(key, decision, err)
	if err != nil || decision.Verdict != Run {
		return decision, err
	}
	if f.random.IntN(20) == 0 {
		time.Sleep(f.random.Duration(8 * time.Second)) // a pause between claim and dispatch
	}
	outcome := Outcome{Run: fault.RunNo}
	if ctx.Err() == nil {
		f.run(key)
		outcome = Outcome{Run: fault.RunYes, Status: 200, Body: []byte(key)}
	}
	pause(ctx, f.random.Duration(200*time.Millisecond))
	n.mu.Lock()
	restarted := n.incarnation != incarnation
	n.mu.Unlock()
	if restarted {
		return decision, nil
	}
	finishCtx, cancelFinish := context.WithTimeout(context.WithoutCancel(f.t.Context()), 10*time.Second)
	defer cancelFinish()
	_ = log.Finish(finishCtx, decision.Claim, outcome)
	return decision, nil
}

// run counts a run of a call by the upstream.
func (f *fleet) run(key string) {
	f.mu.Lock()
	f.runs[key]++
	runs := f.runs[key]
	f.mu.Unlock()
	if runs > 1 {
		f.addViolation("key %s ran %d times", key, runs)
	}
}

// checkAnswer checks the result of an Acquire against the runs of the call.
func (f *fleet) checkAnswer(key string, d Decision, err error) {
	f.mu.Lock()
	runs := f.runs[key]
	name := verdictNames[d.Verdict]
	if err != nil {
		name = fault.KindOf(err).String()
	}
	f.verdicts[name]++
	f.mu.Unlock()
	switch {
	case err != nil && fault.KindOf(err).Answer().Run == fault.RunUnknown && !fault.Is(err, fault.KeyExpired):
		f.addViolation("key %s: error %v leaves open whether this send was run", key, err)
	case err == nil && d.Verdict == Recorded && d.Outcome.Run == fault.RunYes && (runs != 1 || string(d.Outcome.Body) != key):
		f.addViolation("key %s: outcome %q recorded after %d runs", key, d.Outcome.Body, runs)
	case err == nil && d.Verdict == Recorded && d.Outcome.Run == fault.RunNo && runs != 0:
		f.addViolation("key %s: recorded as not run after %d runs", key, runs)
	}
}

// injectFaults injects one fault at a time until the context ends: an outage of
// the store, a slow store, lost replies, a restarted node or a paused node.
func (f *fleet) injectFaults(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, f.random.Duration(4*time.Second))
		n := f.nodes[f.random.IntN(len(f.nodes))]
		switch f.random.IntN(5) {
		case 0:
			f.store.setFaults(true, 0, 4*time.Millisecond)
			pause(ctx, f.random.Duration(6*time.Second))
		case 1:
			f.store.setFaults(false, 0, 3*time.Second)
			pause(ctx, f.random.Duration(3*time.Second))
		case 2:
			f.store.setFaults(false, 0.5, 4*time.Millisecond)
			pause(ctx, f.random.Duration(4*time.Second))
		case 3:
			f.stopNode(n)
			pause(ctx, f.random.Duration(2*time.Second))
			f.startNode(n)
		case 4:
			n.mu.Lock()
			n.resume = make(chan struct{})
			resume := n.resume
			n.mu.Unlock()
			pause(ctx, f.random.Duration(15*time.Second))
			close(resume)
		}
		f.store.setFaults(false, 0.01, 4*time.Millisecond)
	}
	f.store.setFaults(false, 0, 4*time.Millisecond)
	return nil
}

// runCaller sends a new key and resends it through random nodes, sometimes after
// the window has ended and sometimes with another body.
func (f *fleet) runCaller(ctx context.Context, g *group.Group) {
	key := f.key()
	for range 1 + f.random.IntN(4) {
		n := f.nodes[f.random.IntN(len(f.nodes))]
		body := byte(0)
		if f.random.IntN(20) == 0 {
			body = 1
		}
		g.Go("send", func(context.Context) error { _, _ = f.send(n, key, body); return nil })
		wait := f.random.Duration(2 * time.Second)
		if f.random.IntN(10) == 0 {
			wait = f.random.Duration(2 * window)
		}
		pause(ctx, wait)
	}
}

// runWithFaults runs callers while faults occur, for a duration of virtual time.
func (f *fleet) runWithFaults(d time.Duration) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(f.t.Context()), d)
	defer cancel()
	g := group.New(context.WithoutCancel(f.t.Context()))
	g.Go("faults", func(context.Context) error { return f.injectFaults(ctx) })
	f.net.lossRate = 0.02
	for ctx.Err() == nil {
		g.Go("caller", func(context.Context) error { f.runCaller(ctx, g); return nil })
		pause(ctx, f.random.Duration(200*time.Millisecond))
	}
	require.NoError(f.t, g.Wait())
	f.net.lossRate = 0
	time.Sleep(abandonTimeout)
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		f.stopNode(n)
	}
	for _, n := range f.nodes {
		require.NoError(f.t, n.group.Wait())
	}
	time.Sleep(10 * time.Second) // late effects of lost writes
	synctest.Wait()
}

// checkSegments checks the segments in the store. The segment numbers must
// increase, every identity must be claimed at most once, and every outcome must
// be recorded at most once and after its claim, unless the claim was deleted.
func (f *fleet) checkSegments() {
	byShard := map[string][]string{}
	for _, key := range slices.Sorted(maps.Keys(f.store.entries)) { // "open" sorts after the numbers
		if !strings.HasSuffix(key, "/layout") {
			shard := key[:strings.LastIndex(key, "/")]
			byShard[shard] = append(byShard[shard], key)
		}
	}
	for _, keys := range byShard {
		claimed, finished := map[string]bool{}, map[string]bool{}
		var horizon int64
		var last, first uint64
		for _, key := range keys {
			value := f.store.entries[key].Value
			if len(value) > 2<<10 {
				f.addViolation("segment %s has %d bytes", key, len(value))
			}
			require.NoError(f.t, decode(value, func(r record) error {
				horizon = max(horizon, r.Horizon)
				switch {
				case r.ClaimedID != nil && claimed[string(r.ClaimedID)]:
					f.addViolation("%s: identity claimed twice", key)
				case r.FinishedID != nil && finished[string(r.FinishedID)]:
					f.addViolation("%s: second outcome", key)
				case r.FinishedID != nil && !claimed[string(r.FinishedID)] && first == 1:
					f.addViolation("%s: outcome without a claim", key)
				case r.Segment != 0 && r.Segment <= last:
					f.addViolation("%s: number %d follows %d", key, r.Segment, last)
				}
				claimed[string(r.ClaimedID)], finished[string(r.FinishedID)] = r.ClaimedID != nil, r.FinishedID != nil
				last = max(last, r.Segment)
				if first == 0 {
					first = r.Segment
				}
				return nil
			}))
		}
		if first > 1 && horizon == 0 {
			f.addViolation("segments below %d were deleted without a horizon", first)
		}
		if len(keys) > 12 {
			f.addViolation("%d segments remain two windows after the load", len(keys))
		}
	}
}

// Guards against a call that runs twice, an answer "not run" for a send that was
// run, wrong outcomes and inconsistent segments, while nodes crash and pause and
// the store fails, is slow or loses replies.
func TestRandomRuns(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, seed, 6, realLog)
				defer f.stop()
				f.runWithFaults(10 * time.Minute)
				for range 40 { // the fleet must work again after the faults
					key := f.key()
					d, err := f.send(f.nodes[f.random.IntN(6)], key, 0)
					if err != nil || d.Verdict != Run {
						f.addViolation("after the faults, first send: %v, %v", d.Verdict, err)
					}
					d, err = f.send(f.nodes[f.random.IntN(6)], key, 0)
					if err != nil || d.Verdict != Recorded {
						f.addViolation("after the faults, resend: %v, %v", d.Verdict, err)
					}
					time.Sleep(2 * window / 40)
				}
				f.stop()
				f.checkSegments()
				t.Logf("keys run %d, violations %d, answers %v, platform writes %d", len(f.runs), len(f.violations), f.verdicts, f.store.puts)
				require.Empty(t, f.violations)
				for _, name := range []string{"run", "recorded", "unknown", "conflict", "idempotency_key_expired", "platform_unavailable"} {
					require.NotZero(t, f.verdicts[name], name)
				}
			})
		})
	}
}
