package system

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/emul/internal/load"
	"github.com/verbenapier/verbenapier/pkg/group"
)

var (
	trace    = flag.Bool("system.trace", false, "log what the processes do")
	duration = flag.Duration("system.duration", 40*time.Second, "virtual length of the load of each scenario")
	seeds    = flag.Int("system.seeds", 6, "number of seeds of the randomised run")
	rate     = flag.Float64("system.rate", 6, "requests per second of each scenario")
)

// settleTime is longer than the lifetimes of grants and of detached streams and
// the lag of load reports together.
const settleTime = 45 * time.Second

// scenario provokes faults while a load runs.
type scenario struct {
	faults func(d *deployment)
	// allWhole says that the faults must not cost a single answer.
	allWhole bool
}

func scenarios() map[string]scenario {
	return map[string]scenario{
		"none": {faults: func(*deployment) {}, allWhole: true},
		"engine dies and returns": {allWhole: true, faults: func(d *deployment) {
			d.killEngine(1)
			time.Sleep(10 * time.Second)
			d.startEngine(1)
		}},
		"connections of an engine go silent": {allWhole: true, faults: func(d *deployment) {
			d.net.Silence(engineName(2), callerHost)
			time.Sleep(5 * time.Second)
			d.net.Silence(engineName(3), callerHost)
		}},
		"node dies and returns": {faults: func(d *deployment) {
			d.killNode(1)
			time.Sleep(10 * time.Second)
			d.startNode(1)
		}},
		"connections of a node go silent": {faults: func(d *deployment) { d.net.Silence(nodeName(0), callerHost) }},
		"node stalls for ten seconds": {faults: func(d *deployment) {
			d.net.Freeze(nodeName(2))
			time.Sleep(10 * time.Second)
			d.net.Thaw(nodeName(2))
		}},
		"two nodes lose each other": {allWhole: true, faults: func(d *deployment) {
			d.net.Cut(nodeName(0), nodeName(1))
			time.Sleep(15 * time.Second)
			d.net.Heal()
		}},
		"platform is down": {faults: func(d *deployment) {
			require.NoError(d.t, d.platform.Apply([]byte(`{"outage":"hang"}`)))
			time.Sleep(20 * time.Second)
			require.NoError(d.t, d.platform.Apply([]byte(`{"outage":""}`)))
		}},
		"platform loses replies": {faults: func(d *deployment) {
			require.NoError(d.t, d.platform.Apply([]byte(`{"lose_share":0.3}`)))
			time.Sleep(20 * time.Second)
			require.NoError(d.t, d.platform.Apply([]byte(`{"lose_share":0}`)))
		}},
		"all nodes are replaced one by one": {allWhole: true, faults: func(d *deployment) {
			for i := range nodeCount {
				d.leaveNode(i)
				d.startNode(i)
				time.Sleep(5 * time.Second)
			}
		}},
		"node and engine die together": {faults: func(d *deployment) {
			d.killNode(2)
			d.killEngine(4)
			time.Sleep(8 * time.Second)
			d.startEngine(4)
			d.startNode(2)
		}},
	}
}

// Guards, for each fault, against answers that are wrong, truncated, missing or
// falsely reported as not run, against calls that run twice, and against engine
// memory that stays taken.
func TestFaults(t *testing.T) {
	for name, sc := range scenarios() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := deploy(t)
				defer d.close()
				report := d.runWith(sc.faults)
				d.check(report)
				if sc.allWhole {
					require.Equal(t, report.Outcomes["ok"]+report.Plain.Outcomes["ok"], report.Requests, "%+v", report)
				}
				time.Sleep(settleTime)
				require.Zero(t, d.heldTokens(), "memory that stays taken")
			})
		})
	}
}

// runWith runs the load with faults that begin after a quarter of it.
func (d *deployment) runWith(faults func(d *deployment)) load.Report {
	var report load.Report
	g := group.New(context.Background())
	g.Go("load", func(ctx context.Context) error {
		report = d.run(ctx, *duration, *rate)
		return nil
	})
	time.Sleep(*duration / 4)
	faults(d)
	require.NoError(d.t, g.Wait())
	return report
}

// check asserts what must hold whatever fails.
func (d *deployment) check(r load.Report) {
	d.t.Helper()
	d.t.Logf("requests %d outcomes %v errors %v runs %v resent %d cut %d unreached %d plain %+v",
		r.Requests, r.Outcomes, r.Errors, r.Runs, r.Resent, r.Cut, r.Unreached, r.Plain)
	require.True(d.t, r.OK(), "wrong %d truncated %d unanswered %d plain %+v", r.Wrong, r.Truncated, r.Unanswered, r.Plain)
	require.True(d.t, r.Plain.Verified)
	require.Zero(d.t, d.falselyNotRun(), "answers that say not run")
	require.Greater(d.t, r.Outcomes["ok"], r.Requests/2)
}

// Guards against a prompt that costs more than two engines although its caller
// sends it again and again to every node, and against other prompts that fail
// because they shared an engine with it.
func TestCrashingPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t)
		defer d.close()
		codes := map[string]int{}
		report := d.runWith(func(d *deployment) {
			for i := range 9 {
				codes[d.sendOne(i%nodeCount, "please "+crashMarker)]++
				time.Sleep(time.Second)
			}
		})
		d.check(report)
		t.Logf("answers to the crashing prompt: %v, crashes %d", codes, d.crashes)
		require.LessOrEqual(t, d.crashes, 2)
		require.Positive(t, codes["quarantined"])
		require.Equal(t, report.Outcomes["ok"]+report.Plain.Outcomes["ok"], report.Requests, "%+v", report)
	})
}

// disturb provokes random faults until the context ends, two at once at times,
// and leaves everything repaired.
func (d *deployment) disturb(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		n := 1 + random.IntN(2)
		repairs := make([]func(), 0, n)
		for range n {
			repairs = append(repairs, d.randomFault(random))
		}
		wait(ctx, time.Duration(1+random.IntN(12))*time.Second)
		for _, repair := range repairs {
			repair()
		}
		wait(ctx, time.Duration(random.IntN(4))*time.Second)
	}
}

// randomFault provokes one fault and returns what repairs it.
func (d *deployment) randomFault(random *rand.Rand) (repair func()) {
	node, engine := random.IntN(nodeCount), random.IntN(engineCount)
	switch random.IntN(9) {
	case 0:
		d.killEngine(engine)
		return func() { d.startEngine(engine) }
	case 1:
		d.killNode(node)
		return func() { d.startNode(node) }
	case 2:
		d.leaveNode(node)
		return func() { d.startNode(node) }
	case 3:
		d.net.Silence(nodeName(node), callerHost)
	case 4:
		d.net.Silence(engineName(engine), callerHost)
	case 5:
		d.unsettle(node)
		d.net.Freeze(nodeName(node))
		return func() {
			d.net.Thaw(nodeName(node))
			d.settle(node)
		}
	case 6:
		d.net.Cut(nodeName(node), nodeName((node+1)%nodeCount))
		return d.net.Heal
	case 7:
		d.net.Cut(nodeName(node), engineName(engine))
		return d.net.Heal
	case 8:
		modes := []string{`{"outage":"hang"}`, `{"outage":"unavailable"}`, `{"lose_share":0.5}`, `{"delay_ms":800}`}
		d.breakPlatform(modes[random.IntN(len(modes))])
		return d.repairPlatform
	}
	return func() {}
}

// breakPlatform and repairPlatform note when the platform was at fault.
func (d *deployment) breakPlatform(faults string) {
	d.mu.Lock()
	d.platformBroken = true
	d.mu.Unlock()
	require.NoError(d.t, d.platform.Apply([]byte(faults)))
}

func (d *deployment) repairPlatform() {
	require.NoError(d.t, d.platform.Apply([]byte(`{"outage":"","lose_share":0,"delay_ms":0}`)))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.platformBroken, d.platformRepaired = false, time.Now()
}

// platformFaultWithin reports whether the platform was at fault a while ago.
func (d *deployment) platformFaultWithin(while time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.platformBroken || time.Since(d.platformRepaired) < while
}

// Guards against combinations of faults that break a promise although each of
// them alone does not, and against alarms about promises that are kept. A longer run is
// go test -run TestRandomFaults -system.seeds 50 -system.duration 5m.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := deploy(t)
				defer d.close()
				random := rand.New(rand.NewPCG(seed, 0))
				l := &alarmLog{d: d}
				alarms := l.start()
				report := d.runWith(func(d *deployment) {
					ctx, cancel := context.WithTimeout(context.Background(), *duration)
					defer cancel()
					d.disturb(ctx, random)
				})
				d.check(report)
				time.Sleep(settleTime)
				alarms.Stop()
				require.NoError(t, alarms.Wait())
				t.Logf("asked %d times, alarms seen %v", l.asked, l.seen)
				require.Empty(t, l.wrong, "alarms about promises that were kept")
				require.Zero(t, d.heldTokens(), "memory that stays taken")
			})
		})
	}
}
