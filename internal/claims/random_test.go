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

// claimer is what the random run needs of a log, so that it can also run
// against naive ones.
type claimer interface {
	Acquire(ctx context.Context, call Call) (Decision, error)
	Finish(ctx context.Context, claim Claim, outcome Outcome) error
	Run(ctx context.Context) error
}

type node struct {
	name        string
	incarnation uint64
	log         claimer
	group       *group.Group
	// resume is closed while the node is not paused.
	mu     sync.Mutex
	resume chan struct{}
}

func (n *node) gate() {
	n.mu.Lock()
	resume := n.resume
	n.mu.Unlock()
	<-resume
}

// gatedStore and gatedCaller stop a paused node at each of its calls, before
// and after the effect.
type gatedStore struct {
	plat.Store
	node *node
}

func (g gatedStore) Get(ctx context.Context, key string) (plat.Entry, error) {
	defer g.node.gate()
	g.node.gate()
	return g.Store.Get(ctx, key)
}

func (g gatedStore) Put(ctx context.Context, key string, value []byte, base plat.Revision) (plat.Revision, error) {
	defer g.node.gate()
	g.node.gate()
	return g.Store.Put(ctx, key, value, base)
}

type gatedCaller struct {
	port
	node *node
}

func (g gatedCaller) Call(ctx context.Context, address, method string, params, result any) error {
	defer g.node.gate()
	g.node.gate()
	return g.port.Call(ctx, address, method, params, result)
}

// fleet runs nodes against one store and keeps the model: how often each call
// was run, by whom, and what its callers were told.
type fleet struct {
	t     *testing.T
	dice  *netem.Dice
	store *fakeStore
	net   *fakeNet
	make  func(f *fleet, n *node) claimer
	nodes []*node
	start time.Time

	mu         sync.Mutex
	runs       map[string]int
	verdicts   map[string]int
	violations []string
}

const window = time.Minute

func newFleet(t *testing.T, seed uint64, size int, mk func(f *fleet, n *node) claimer) *fleet {
	d := netem.NewDice(seed)
	f := &fleet{
		t: t, dice: d, store: newFakeStore(d), net: &fakeNet{dice: d, muxes: map[string]*wire.Mux{}},
		make: mk, start: time.Now(), runs: map[string]int{}, verdicts: map[string]int{},
	}
	for i := range size {
		n := &node{name: fmt.Sprintf("node-%d", i), resume: make(chan struct{})}
		close(n.resume)
		f.nodes = append(f.nodes, n)
		f.boot(n)
	}
	return f
}

func (f *fleet) boot(n *node) {
	n.mu.Lock()
	n.incarnation++
	n.group = group.New(context.WithoutCancel(f.t.Context()))
	n.log = f.make(f, n)
	n.group.Go("log", n.log.Run)
	n.mu.Unlock()
}

func (f *fleet) kill(n *node) {
	f.net.mu.Lock()
	delete(f.net.muxes, n.name)
	f.net.mu.Unlock()
	n.group.Stop()
}

func realLog(f *fleet, n *node) claimer {
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	log := New(Options{
		Store: gatedStore{f.store, n}, Caller: gatedCaller{port{f.net, n.name}, n}, Owner: f.owner(n),
		Node: n.name, Incarnation: n.incarnation, Rand: f.dice.Float, Logger: logger,
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

// owner names the same node on all nodes for two seconds, except that every
// node errs now and then, as with a lagging membership.
func (f *fleet) owner(n *node) func(string, int) (member.Member, bool) {
	return func(service string, shard int) (member.Member, bool) {
		h := fnv.New32()
		_, _ = fmt.Fprint(h, service, shard, int(time.Since(f.start)/(2*time.Second))/5)
		pick := int(h.Sum32())
		if f.dice.Below(10) == 0 {
			pick = f.dice.Below(len(f.nodes))
		}
		name := f.nodes[pick%len(f.nodes)].name
		return member.Member{Name: name, PeerAddress: name}, true
	}
}

func (f *fleet) violate(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

func (f *fleet) key() string {
	id := uuid.UUID{}
	for i := range id {
		id[i] = byte(f.dice.Below(256))
	}
	now := time.Now().UnixMilli()
	for i := range 6 {
		id[i] = byte(now >> (40 - 8*i))
	}
	id[6], id[8] = id[6]&0x0f|0x70, id[8]&0x3f|0x80
	return id.String()
}

// send is one send of a caller: claim, dispatch, finish. It returns what the
// caller was told.
func (f *fleet) send(n *node, key string, body byte) (Decision, error) {
	n.mu.Lock()
	log, incarnation := n.log, n.incarnation
	n.mu.Unlock()
	limit := time.Second + f.dice.Duration(5*time.Second)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(f.t.Context()), limit)
	defer cancel()
	decision, err := log.Acquire(ctx, Call{
		Service: "desk", Organisation: "skippers", Key: key, Digest: sha256.Sum256([]byte{body}), Window: window,
	})
	n.gate()
	f.note(key, decision, err)
	if err != nil || decision.Verdict != Run {
		return decision, err
	}
	if f.dice.Below(20) == 0 {
		time.Sleep(f.dice.Duration(8 * time.Second)) // paused between claim and dispatch
	}
	outcome := Outcome{Run: fault.RunNo}
	if ctx.Err() == nil {
		f.run(key)
		outcome = Outcome{Run: fault.RunYes, Status: 200, Body: []byte(key)}
	}
	pause(ctx, f.dice.Duration(200*time.Millisecond))
	n.mu.Lock()
	dead := n.incarnation != incarnation
	n.mu.Unlock()
	if dead {
		return decision, nil
	}
	done, stop := context.WithTimeout(context.WithoutCancel(f.t.Context()), 10*time.Second)
	defer stop()
	_ = log.Finish(done, decision.Claim, outcome)
	return decision, nil
}

func (f *fleet) run(key string) {
	f.mu.Lock()
	f.runs[key]++
	runs := f.runs[key]
	f.mu.Unlock()
	if runs > 1 {
		f.violate("key %s ran %d times", key, runs)
	}
}

// note checks an answer against the model.
func (f *fleet) note(key string, d Decision, err error) {
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
		f.violate("key %s: error %v leaves open whether this send was run", key, err)
	case err == nil && d.Verdict == Recorded && d.Outcome.Run == fault.RunYes && (runs != 1 || string(d.Outcome.Body) != key):
		f.violate("key %s: outcome %q recorded after %d runs", key, d.Outcome.Body, runs)
	case err == nil && d.Verdict == Recorded && d.Outcome.Run == fault.RunNo && runs != 0:
		f.violate("key %s: recorded as not run after %d runs", key, runs)
	}
}

// faults disturbs the fleet until the end.
func (f *fleet) faults(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, f.dice.Duration(4*time.Second))
		n := f.nodes[f.dice.Below(len(f.nodes))]
		switch f.dice.Below(5) {
		case 0:
			f.store.set(true, 0, 4*time.Millisecond)
			pause(ctx, f.dice.Duration(6*time.Second))
		case 1:
			f.store.set(false, 0, 3*time.Second)
			pause(ctx, f.dice.Duration(3*time.Second))
		case 2:
			f.store.set(false, 0.5, 4*time.Millisecond)
			pause(ctx, f.dice.Duration(4*time.Second))
		case 3:
			f.kill(n)
			pause(ctx, f.dice.Duration(2*time.Second))
			f.boot(n)
		case 4:
			n.mu.Lock()
			n.resume = make(chan struct{})
			resume := n.resume
			n.mu.Unlock()
			pause(ctx, f.dice.Duration(15*time.Second))
			close(resume)
		}
		f.store.set(false, 0.01, 4*time.Millisecond)
	}
	f.store.set(false, 0, 4*time.Millisecond)
	return nil
}

// caller sends new keys and resends each through random nodes, sometimes after
// the window and sometimes with another body.
func (f *fleet) caller(ctx context.Context, g *group.Group) {
	key := f.key()
	for range 1 + f.dice.Below(4) {
		n := f.nodes[f.dice.Below(len(f.nodes))]
		body := byte(0)
		if f.dice.Below(20) == 0 {
			body = 1
		}
		g.Go("send", func(context.Context) error { _, _ = f.send(n, key, body); return nil })
		wait := f.dice.Duration(2 * time.Second)
		if f.dice.Below(10) == 0 {
			wait = f.dice.Duration(2 * window)
		}
		pause(ctx, wait)
	}
}

// disturbed runs callers under faults for a virtual time.
func (f *fleet) disturbed(d time.Duration) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(f.t.Context()), d)
	defer cancel()
	g := group.New(context.WithoutCancel(f.t.Context()))
	g.Go("faults", func(context.Context) error { return f.faults(ctx) })
	f.net.lost = 0.02
	for ctx.Err() == nil {
		g.Go("caller", func(context.Context) error { f.caller(ctx, g); return nil })
		pause(ctx, f.dice.Duration(200*time.Millisecond))
	}
	require.NoError(f.t, g.Wait())
	f.net.lost = 0
	time.Sleep(abandonTime)
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		f.kill(n)
	}
	for _, n := range f.nodes {
		require.NoError(f.t, n.group.Wait())
	}
	time.Sleep(10 * time.Second) // late effects of lost writes
	synctest.Wait()
}

// books checks the segments in the store: in order, every identity claimed
// once, every outcome once and after its claim, unless the claim was deleted.
func (f *fleet) books() {
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
				f.violate("segment %s has %d bytes", key, len(value))
			}
			require.NoError(f.t, decode(value, func(r record) error {
				horizon = max(horizon, r.Horizon)
				switch {
				case r.Claim != nil && claimed[string(r.Claim)]:
					f.violate("%s: identity claimed twice", key)
				case r.Finish != nil && finished[string(r.Finish)]:
					f.violate("%s: second outcome", key)
				case r.Finish != nil && !claimed[string(r.Finish)] && first == 1:
					f.violate("%s: outcome without a claim", key)
				case r.Segment != 0 && r.Segment <= last:
					f.violate("%s: number %d follows %d", key, r.Segment, last)
				}
				claimed[string(r.Claim)], finished[string(r.Finish)] = r.Claim != nil, r.Finish != nil
				last = max(last, r.Segment)
				if first == 0 {
					first = r.Segment
				}
				return nil
			}))
		}
		if first > 1 && horizon == 0 {
			f.violate("segments below %d are gone without a horizon", first)
		}
		if len(keys) > 12 {
			f.violate("%d segments are left two windows after the load", len(keys))
		}
	}
}

// Guards against a key that runs twice, an answer "not run" for a send that was
// run, wrong outcomes and inconsistent books, under deaths, pauses, outages,
// slowness and lost replies.
func TestRandomRuns(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, seed, 6, realLog)
				defer f.stop()
				f.disturbed(10 * time.Minute)
				for range 40 { // the fleet must work again after the faults
					key := f.key()
					d, err := f.send(f.nodes[f.dice.Below(6)], key, 0)
					if err != nil || d.Verdict != Run {
						f.violate("after the faults, first send: %v, %v", d.Verdict, err)
					}
					d, err = f.send(f.nodes[f.dice.Below(6)], key, 0)
					if err != nil || d.Verdict != Recorded {
						f.violate("after the faults, resend: %v, %v", d.Verdict, err)
					}
					time.Sleep(2 * window / 40)
				}
				f.stop()
				f.books()
				t.Logf("keys run %d, violations %d, answers %v, platform writes %d", len(f.runs), len(f.violations), f.verdicts, f.store.puts)
				require.Empty(t, f.violations)
				for _, name := range []string{"run", "recorded", "unknown", "conflict", "idempotency_key_expired", "platform_unavailable"} {
					require.NotZero(t, f.verdicts[name], name)
				}
			})
		})
	}
}
