package system

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/emul/internal/load"
	"github.com/verbenapier/verbenapier/pkg/group"
)

var (
	trace    = flag.Bool("system.trace", false, "write the log of daemons and stand-ins (with -v)")
	duration = flag.Duration("system.duration", 40*time.Second, "duration of the load of each scenario, in virtual time")
	seeds    = flag.Int("system.seeds", 6, "number of seeds that TestRandomFaults runs")
	rate     = flag.Float64("system.rate", 6, "requests per second in each scenario")
)

// settleTime is how long a test waits after the load has ended before it checks that
// all engine memory has been released. It is longer than the sum of the lifetime of a
// grant, the lifetime of a detached stream and the delay of load reports.
const settleTime = 45 * time.Second

// scenario describes the faults that are injected while a load runs.
type scenario struct {
	faults func(d *deployment)
	// allSucceed requires that every request succeeds in spite of the faults.
	allSucceed bool
}

func scenarios() map[string]scenario {
	return map[string]scenario{
		"none": {faults: func(*deployment) {}, allSucceed: true},
		"engine dies and returns": {allSucceed: true, faults: func(d *deployment) {
			d.killEngine(1)
			time.Sleep(10 * time.Second)
			d.startEngine(1)
		}},
		"connections of an engine go silent": {allSucceed: true, faults: func(d *deployment) {
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
		"network between two nodes is cut": {allSucceed: true, faults: func(d *deployment) {
			d.net.Cut(nodeName(0), nodeName(1))
			time.Sleep(15 * time.Second)
			d.net.RemoveCuts()
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
		"all nodes are replaced one by one": {allSucceed: true, faults: func(d *deployment) {
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

// Guards, for each fault, against answers that are wrong, truncated or missing, and
// against calls that run twice. Also guards against answers that report a prompt as
// not run although it ran, and against engine memory that is not released.
func TestFaults(t *testing.T) {
	for name, sc := range scenarios() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := deploy(t)
				defer d.close()
				report := d.runLoadWithFaults(sc.faults)
				d.checkReport(report)
				if sc.allSucceed {
					require.Equal(t, report.Outcomes["ok"]+report.Plain.Outcomes["ok"], report.Requests, "%+v", report)
				}
				time.Sleep(settleTime)
				require.Zero(t, d.usedTokens(), "engine memory that was not released")
			})
		})
	}
}

// runLoadWithFaults runs the load and starts to inject the faults after a quarter
// of its duration.
func (d *deployment) runLoadWithFaults(faults func(d *deployment)) load.Report {
	var report load.Report
	g := group.New(context.Background())
	g.Go("load", func(ctx context.Context) error {
		report = d.runLoad(ctx, *duration, *rate)
		return nil
	})
	time.Sleep(*duration / 4)
	faults(d)
	require.NoError(d.t, g.Wait())
	return report
}

// checkReport checks what must hold under any faults.
func (d *deployment) checkReport(r load.Report) {
	d.t.Helper()
	d.t.Logf("requests %d outcomes %v errors %v runs %v resent %d cut %d unreached %d plain %+v",
		r.Requests, r.Outcomes, r.Errors, r.Runs, r.Resent, r.Cut, r.Unreached, r.Plain)
	require.True(d.t, r.OK(), "wrong %d truncated %d unanswered %d plain %+v", r.Wrong, r.Truncated, r.Unanswered, r.Plain)
	require.True(d.t, r.Plain.Verified)
	require.Zero(d.t, d.falselyNotRun(), "prompts falsely reported as not run")
	require.Greater(d.t, r.Outcomes["ok"], r.Requests/2)
}

// Guards against a prompt that crashes more than two engines when its caller
// sends it repeatedly to every node, and against failures of the other prompts on
// the crashed engines.
func TestCrashingPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t)
		defer d.close()
		codes := map[string]int{}
		report := d.runLoadWithFaults(func(d *deployment) {
			for i := range 9 {
				codes[d.sendOne(i%nodeCount, "please "+crashMarker)]++
				time.Sleep(time.Second)
			}
		})
		d.checkReport(report)
		t.Logf("answers to the crashing prompt: %v, crashes %d", codes, d.crashes)
		require.LessOrEqual(t, d.crashes, 2)
		require.Positive(t, codes["quarantined"])
		require.Equal(t, report.Outcomes["ok"]+report.Plain.Outcomes["ok"], report.Requests, "%+v", report)
	})
}

// Guards against prompts that all differ, have a beginning in common and crash one
// engine after another, also when nodes restart, and against failures of the other
// prompts on these engines.
func TestCrashingPrefix(t *testing.T) {
	const learnTime = 3 * time.Second
	for name, restarts := range map[string]bool{"undisturbed": false, "each node restarts": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := deploy(t)
				defer d.close()
				prefix := strings.Repeat("a long document ", 300) + crashMarker
				codes := map[string]int{}
				report := d.runLoadWithFaults(func(d *deployment) {
					for i := range 9 {
						codes[d.sendOne(i%nodeCount, fmt.Sprintf("%s question %d", prefix+strings.Repeat(" that goes on", 1000), i))]++
						if node := i - 3; restarts && node >= 0 && node < nodeCount {
							d.killNode(node)
							d.startNode(node)
							time.Sleep(learnTime)
						}
						time.Sleep(time.Second)
					}
				})
				d.checkReport(report)
				t.Logf("answers to the crashing prompts: %v, crashes %d", codes, d.crashes)
				require.LessOrEqual(t, d.crashes, 2)
				require.Positive(t, codes["quarantined"])
			})
		})
	}
}

// injectFaults repeatedly injects one or two random faults and repairs them, until
// the context ends.
func (d *deployment) injectFaults(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		n := 1 + random.IntN(2)
		repairs := make([]func(), 0, n)
		for range n {
			repairs = append(repairs, d.injectRandomFault(random))
		}
		wait(ctx, time.Duration(1+random.IntN(12))*time.Second)
		for _, repair := range repairs {
			repair()
		}
		wait(ctx, time.Duration(random.IntN(4))*time.Second)
	}
}

// injectRandomFault injects one fault and returns the function that repairs it. The
// silence of open connections is not repaired: it lasts until they are closed, and new
// connections work.
func (d *deployment) injectRandomFault(random *rand.Rand) (repair func()) {
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
		d.markFaulty(node)
		d.net.Freeze(nodeName(node))
		return func() {
			d.net.Thaw(nodeName(node))
			d.markHealthy(node)
		}
	case 6:
		d.net.Cut(nodeName(node), nodeName((node+1)%nodeCount))
		return d.net.RemoveCuts
	case 7:
		d.net.Cut(nodeName(node), engineName(engine))
		return d.net.RemoveCuts
	case 8:
		modes := []string{`{"outage":"hang"}`, `{"outage":"unavailable"}`, `{"lose_share":0.5}`, `{"delay_ms":800}`}
		d.breakPlatform(modes[random.IntN(len(modes))])
		return d.repairPlatform
	}
	return func() {}
}

// breakPlatform injects faults into the platform. repairPlatform ends them and
// records the time.
func (d *deployment) breakPlatform(faults string) {
	d.mu.Lock()
	d.platformFaulty = true
	d.mu.Unlock()
	require.NoError(d.t, d.platform.Apply([]byte(faults)))
}

func (d *deployment) repairPlatform() {
	require.NoError(d.t, d.platform.Apply([]byte(`{"outage":"","lose_share":0,"delay_ms":0}`)))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.platformFaulty, d.platformRepairedAt = false, time.Now()
}

// platformFaultWithin reports whether the platform is faulty now or was repaired
// within the last period.
func (d *deployment) platformFaultWithin(period time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.platformFaulty || time.Since(d.platformRepairedAt) < period
}

// Guards against combinations of faults that violate a promise (alarm.Promise) although
// each fault alone does not, and against alarms about promises that are kept. For a
// longer run use go test -run TestRandomFaults -system.seeds 50 -system.duration 5m.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := deploy(t)
				defer d.close()
				random := rand.New(rand.NewPCG(seed, 0))
				l := &alarmLog{d: d}
				polling := l.startPolling()
				report := d.runLoadWithFaults(func(d *deployment) {
					ctx, cancel := context.WithTimeout(context.Background(), *duration)
					defer cancel()
					d.injectFaults(ctx, random)
				})
				d.checkReport(report)
				time.Sleep(settleTime)
				polling.Stop()
				require.NoError(t, polling.Wait())
				t.Logf("polled %d times, alarms by name %v", l.polls, l.counts)
				require.Empty(t, l.unjustified, "alarms about promises that were kept")
				require.Zero(t, d.usedTokens(), "engine memory that was not released")
			})
		})
	}
}
