package place

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/internal/route"
	"github.com/verbenapier/verbenapier/pkg/group"
)

// model describes engines like those of the users: 5,000 tokens are read in
// 34 ms, 45,000 in 0.46 s and 182,000 in 3.9 s; an event takes 51 ms.
var model = route.Engine{
	Slots: 16, Memory: 405_000, ReadRate: 154_000, PairTime: 162 * time.Microsecond,
	StepTime: 1310 * time.Microsecond, StepTimePerRequest: time.Microsecond, StepTimePerContext: 2 * time.Microsecond,
	EventTokens: 34,
}

const tightest = 250 * time.Millisecond

func quiet() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func engines(n int) []Upstream {
	list := make([]Upstream, n)
	for i := range list {
		list[i] = Upstream{ID: fmt.Sprintf("e%02d", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: "d", Slots: 16}
	}
	return list
}

// bench runs a pool in virtual time.
type bench struct {
	*Pool
	t     *testing.T
	group *group.Group
	count int
}

func newBench(t *testing.T, engineCount int) *bench {
	b := &bench{Pool: NewPool("n", "s", quiet()), t: t, group: group.New(t.Context())}
	b.Set(model, tightest, engines(engineCount))
	b.group.Go("pool", b.Run)
	return b
}

func (b *bench) stop() {
	b.group.Stop()
	require.NoError(b.t, b.group.Wait())
}

func short(tokens int) Request {
	return Request{Prompt: tokens, Output: 1300, Goal: 300 * time.Millisecond, Gap: tightest, Remaining: 10 * time.Second, Patience: 2 * time.Second}
}

func long(tokens int) Request {
	return Request{Prompt: tokens, Output: 650, Goal: 3 * time.Second, Gap: time.Second, Remaining: 15 * time.Second, Patience: 12 * time.Second}
}

// ask asks for a place as a node does, up to a time.
func (b *bench) ask(req Request, limit time.Duration) Verdict {
	b.mu.Lock()
	b.count++
	req.ID = fmt.Sprintf("r%d", b.count)
	b.mu.Unlock()
	req.Node, req.Service = "n", "s"
	ctx, cancel := context.WithTimeout(b.t.Context(), limit)
	defer cancel()
	req.Patience = min(req.Patience, req.Remaining)
	for {
		v := b.Acquire(ctx, req, holdTime)
		if v.Grant != nil || v.Refusal != nil || ctx.Err() != nil {
			return v
		}
	}
}

// begin reports the first events of requests.
func (b *bench) begin(ids ...string) {
	r := Report{Cell: "s", Node: "n"}
	b.mu.Lock()
	for _, id := range ids {
		j := b.jobs[id]
		r.Running = append(r.Running, Running{ID: id, Upstream: j.slot.ID, Prompt: j.Prompt, Output: j.Output, Gap: j.Gap, Begun: true})
	}
	b.mu.Unlock()
	b.Report(r)
}

// Guards against the pattern of a burst of short prompts: they must spread over
// engines before they queue up to their goal on one, and leave the last engines
// to long prompts while there is room.
func TestShortBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 8)
		defer b.stop()
		used := map[string]int{}
		for range 24 {
			v := b.ask(short(5000), time.Second)
			require.NotNil(t, v.Grant)
			require.LessOrEqual(t, v.Grant.Expected, 285*time.Millisecond)
			used[v.Grant.Upstream.ID]++
			b.begin(v.Grant.ID)
			time.Sleep(20 * time.Millisecond)
		}
		require.NotContains(t, used, b.slots[7].ID, "24 streams fit on fewer than 8 engines: %v", used)
	})
}

// Guards against a long prompt that is read beside short streams although idle
// engines can read it in time, and against one that is read by one engine alone
// when its goal needs several.
func TestLongBesideShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 8)
		defer b.stop()
		var streaming []string
		for range 6 {
			v := b.ask(short(2000), time.Second)
			require.NotNil(t, v.Grant)
			b.begin(v.Grant.ID)
			streaming = append(streaming, v.Grant.Upstream.ID)
			time.Sleep(30 * time.Millisecond)
		}
		v := b.ask(long(182_000), time.Second)
		require.NotNil(t, v.Grant)
		require.NotEmpty(t, v.Grant.Helpers)
		require.Less(t, v.Grant.Expected, 3*time.Second)
		require.NotContains(t, streaming, v.Grant.Upstream.ID)
		for _, h := range v.Grant.Helpers {
			require.NotContains(t, streaming, h.ID)
		}
	})
}

// Guards against parts of long prompts that queue on one engine: engines read
// the newest part first, so that the others starve.
func TestPartsDoNotQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 4)
		defer b.stop()
		first := b.ask(long(182_000), time.Second)
		require.NotNil(t, first.Grant)
		require.Len(t, first.Grant.Helpers, 3)
		second := b.ask(long(182_000), first.Grant.Expected/2)
		require.Nil(t, second.Grant, "the engines still read the first prompt")
	})
}

// Guards against a prompt whose reading takes a little longer than expected and
// that waits for all of the next one: engines read the newest part first.
func TestPartsWaitForTheFirstEvent(t *testing.T) {
	const slack = 200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 4)
		defer b.stop()
		first := b.ask(long(100_000), time.Second)
		require.NotNil(t, first.Grant)
		second := b.ask(long(100_000), first.Grant.Expected+slack)
		require.Nil(t, second.Grant, "the first prompt has not begun")
		b.begin(first.Grant.ID)
		synctest.Wait()
		time.Sleep(pumpInterval)
		b.mu.Lock()
		defer b.mu.Unlock()
		require.NotNil(t, b.jobs["r2"].grant, "the engines are free")
	})
}

// Guards against an engine that is taken for a faster reader because its streams
// had it for themselves, and against a slow one that is not noticed.
func TestPace(t *testing.T) {
	for name, tc := range map[string]struct {
		pace     float64
		at, most float64
	}{
		"few streams": {0.4, 1, 1.1},
		"usual":       {1.2, 1, 1.1},
		"slow":        {3, 1.5, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, 1)
				defer b.stop()
				for range 2 {
					v := b.ask(short(2000), time.Second)
					require.NotNil(t, v.Grant)
					b.begin(v.Grant.ID)
					b.Report(Report{Cell: "s", Node: "n", Ended: []Ending{{ID: v.Grant.ID, Outcome: Done, Pace: tc.pace}}})
				}
				v := b.ask(long(40_000), time.Second)
				require.NotNil(t, v.Grant)
				read := float64(v.Grant.Expected-b.firstDelay()) / float64(model.Prefill(40_000))
				require.GreaterOrEqual(t, read, tc.at)
				require.LessOrEqual(t, read, tc.most)
			})
		})
	}
}

// Guards against long prompts that find no engine and keep short ones behind
// them from being tried at all.
func TestQueueOfLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 4)
		defer b.stop()
		require.NotNil(t, b.ask(long(182_000), time.Second).Grant)
		g := group.New(t.Context())
		for range 2 * pumpMisses {
			g.Go("long", func(context.Context) error {
				b.ask(long(182_000), 3*time.Second)
				return nil
			})
		}
		synctest.Wait()
		b.mu.Lock()
		b.slots[0].reading = time.Now()
		b.mu.Unlock()
		v := b.ask(short(2000), 500*time.Millisecond)
		require.NotNil(t, v.Grant, "a short prompt waits behind long ones although an engine is free")
		require.NoError(t, g.Wait())
	})
}

// Guards against a prompt larger than the memory of an engine that is refused,
// or sent without reserved memory.
func TestLargerThanAnEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 8)
		defer b.stop()
		v := b.ask(long(600_000), 2*time.Second)
		require.NotNil(t, v.Grant)
		held := 0
		for _, h := range v.Grant.Helpers {
			require.Positive(t, h.Reserve)
			held += h.Reserve
		}
		require.GreaterOrEqual(t, held+405_000, 600_650)
		b.Report(Report{Cell: "s", Node: "n", Ended: []Ending{{ID: v.Grant.ID, Outcome: Done}}})
		for _, s := range b.slots {
			require.Zero(t, s.memory, "engine %s", s.ID)
		}
	})
}

// Guards against engines that stay barred although most of them failed, and
// against one that gets requests again right after a failure.
func TestFailedEngines(t *testing.T) {
	cases := map[string]struct {
		failed int
		barred bool
	}{
		"one of eight":   {1, true},
		"seven of eight": {7, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, 8)
				defer b.stop()
				b.mu.Lock()
				for _, s := range b.slots[:tc.failed] {
					s.fail(time.Now())
				}
				b.mu.Unlock()
				v := b.ask(short(2000), time.Second)
				require.NotNil(t, v.Grant)
				require.Equal(t, !tc.barred, v.Grant.Upstream.ID == b.slots[0].ID)
			})
		})
	}
}

// Guards against requests that are kept after their node died, and against an
// owner that starts without the requests that run.
func TestNodesAndOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2)
		defer b.stop()
		b.Report(Report{Cell: "s", Node: "n", Full: true, Running: []Running{
			{ID: "old", Upstream: "e00", Prompt: 5000, Output: 100, Gap: tightest, Begun: true},
		}})
		b.mu.Lock()
		require.Len(t, b.byID["e00"].jobs, 1, "the new owner learns of a running request")
		b.mu.Unlock()
		time.Sleep(reportTimeout + pumpInterval)
		b.poke()
		synctest.Wait()
		time.Sleep(reportTimeout)
		synctest.Wait()
		b.mu.Lock()
		defer b.mu.Unlock()
		require.Empty(t, b.byID["e00"].jobs, "the node is silent")
	})
}

// Guards against a new owner that knows nothing of what runs and gives a long
// prompt parts on engines full of short streams.
func TestOwnerWithoutPicture(t *testing.T) {
	for name, tc := range map[string]struct {
		active  int
		granted bool
	}{"busy engines": {10, false}, "idle engines": {0, true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, 4)
				defer b.stop()
				b.group.Go("inspection", func(ctx context.Context) error {
					return b.Inspect(ctx, func(ctx context.Context, _ Upstream) (Load, error) {
						group.Sleep(ctx, 10*time.Millisecond)
						return Load{Active: tc.active}, nil
					})
				})
				synctest.Wait()
				v := b.ask(long(182_000), blindTime/2)
				require.Equal(t, tc.granted, v.Grant != nil)
			})
		})
	}
}

// Guards against a request that crashes engine after engine, and against a
// caller that is told to wait although its request can never be served.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 8)
		defer b.stop()
		req := short(2000)
		req.Fingerprint = 7
		for range crashLimit {
			v := b.ask(req, time.Second)
			require.NotNil(t, v.Grant)
			b.Report(Report{Cell: "s", Node: "n", Ended: []Ending{{ID: v.Grant.ID, Outcome: Broken, Fingerprint: 7}}})
		}
		v := b.ask(req, time.Second)
		require.NotNil(t, v.Refusal)
		require.True(t, v.Refusal.Quarantined)
		time.Sleep(quarantineBase)
		v = b.ask(req, time.Second)
		require.NotNil(t, v.Grant, "it is tried once more")
		b.Report(Report{Cell: "s", Node: "n", Ended: []Ending{{ID: v.Grant.ID, Outcome: Done, Fingerprint: 7}}})
		require.NotNil(t, b.ask(req, time.Second).Grant, "it ended well")

		late := long(182_000)
		late.Remaining = 200 * time.Millisecond
		v = b.ask(late, time.Second)
		require.NotNil(t, v.Refusal)
		require.Positive(t, v.Refusal.RetryAfter)
	})
}

// Guards against a prompt that cannot end in time, or costs others more than it
// is worth, but takes engines from short streams because it is late anyway.
func TestLargeBesideBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 3)
		defer b.stop()
		for range 42 {
			v := b.ask(short(3000), time.Second)
			require.NotNil(t, v.Grant)
			b.begin(v.Grant.ID)
			time.Sleep(25 * time.Millisecond)
		}
		for name, tokens := range map[string]int{"too long to read": 715_000, "costs too much": 300_000} {
			req := long(tokens)
			req.Remaining = 13 * time.Second
			g := group.New(t.Context())
			g.Go("reports", func(context.Context) error {
				for range 4 {
					b.renew()
					time.Sleep(time.Second)
				}
				return nil
			})
			v := b.ask(req, 4*time.Second)
			require.Nil(t, v.Grant, name)
			require.NoError(t, g.Wait())
		}
	})
}

// Guards against a short prompt that is put behind seconds of reading as soon
// as it arrives, since its largest output would take most of its time.
func TestShortBehindLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		defer b.stop()
		first := long(100_000)
		first.Remaining, first.Patience = 30*time.Second, 30*time.Second
		require.NotNil(t, b.ask(first, time.Second).Grant)
		req := short(5000)
		req.Output = 3500
		require.Nil(t, b.ask(req, 300*time.Millisecond).Grant)
	})
}

// Guards against a request that waits although its caller gives up before any
// engine can answer.
func TestPatience(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		defer b.stop()
		for range 3 {
			req := long(100_000)
			req.Remaining, req.Patience = time.Minute, time.Minute
			g := group.New(t.Context())
			g.Go("before", func(context.Context) error { b.ask(req, 5*time.Second); return nil })
			synctest.Wait()
			t.Cleanup(func() { require.NoError(t, g.Wait()) })
		}
		req := long(150_000)
		req.Patience = 4 * time.Second
		v := b.ask(req, 5*time.Second)
		require.NotNil(t, v.Refusal, "others read for 4.5 s before it")
		require.Positive(t, v.Refusal.RetryAfter)
	})
}

// renew reports all running requests, as nodes do.
func (b *bench) renew() {
	b.mu.Lock()
	r := Report{Cell: "s", Node: "n"}
	for id, j := range b.jobs {
		if j.grant != nil {
			r.Running = append(r.Running, Running{ID: id, Upstream: j.slot.ID, Begun: j.begun})
		}
	}
	b.mu.Unlock()
	b.Report(r)
}
