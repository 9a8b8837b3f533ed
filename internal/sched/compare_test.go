package sched

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

var (
	seedFlag  = flag.Uint64("seed", 1, "seed of the comparison workload")
	tableFlag = flag.Bool("table", false, "print the comparison tables")
	longFlag  = flag.Bool("long", false, "print only the latency of long prompts by stage, for the weighted policy on the first deployment")
	shareFlag = flag.Bool("shares", false, "print only the shares of the organisations over windows of 10 and 40 minutes")
	quickFlag = flag.Bool("quick", false, "print only the rows for the first deployment")
)

var deployments = []struct {
	name    string
	cells   []int
	weights Weights
}{
	{"lake tana", []int{6, 5, 5}, Weights{TimeToFirstToken: 2, HeadOfLineBlocking: 1}},
	{"plaque platform", []int{7, 7, 6}, Weights{TimeToFirstToken: 1, HeadOfLineBlocking: 2}},
}

var allPolicies = []PolicyName{PolicyBaseline, PolicyPartitioned, PolicyWeighted}

func runSim(t *testing.T, cfg simConfig) *simResult {
	var r *simResult
	synctest.Test(t, func(t *testing.T) { r = simulate(t, cfg) })
	return r
}

// TestCompare, without flags, guards against a policy that violates an invariant,
// loses a request or leaves memory booked after the last one. With -table it
// prints the comparison of docs/scheduling.md.
func TestCompare(t *testing.T) {
	if *shareFlag {
		printShares(t)
		return
	}
	if *longFlag {
		printLong(t)
		return
	}
	if *tableFlag {
		printTables(t)
		return
	}
	for _, p := range allPolicies {
		cfg := simConfig{
			policy: p, cells: []int{6, 5}, load: 1.5, delay: time.Second, seed: *seedFlag,
			duration: 2 * time.Minute, weights: deployments[0].weights,
		}
		r := runSim(t, cfg)
		refused := 0
		for _, n := range r.refused {
			refused += n
		}
		require.Equal(t, r.offered, r.finished+refused, "%s", p)
		require.Zero(t, r.refused[fault.PromptTooLong], "%s", p)
	}
}

func printTables(t *testing.T) {
	var b strings.Builder
	for _, d := range deployments {
		if *quickFlag && d.name != deployments[0].name {
			break
		}
		base := simConfig{cells: d.cells, weights: d.weights, seed: *seedFlag, duration: 10 * time.Minute, delay: time.Second}
		fmt.Fprintf(&b, "\n%s, cells %v, seed %d\n", d.name, d.cells, *seedFlag)
		tableHeader(&b)
		for _, p := range allPolicies {
			for _, load := range []float64{0.8, 1, 1.5, 3} {
				cfg := base
				cfg.policy, cfg.load = p, load
				row(&b, cfg, runSim(t, cfg))
			}
		}
		for _, p := range allPolicies {
			for _, delay := range []time.Duration{100 * time.Millisecond, 5 * time.Second} {
				cfg := base
				cfg.policy, cfg.load, cfg.delay = p, 0.8, delay
				row(&b, cfg, runSim(t, cfg))
			}
		}
		blockingTable(t, &b, base)
	}
	t.Log(b.String())
}

// printLong prints the latency of long prompts before and after the grant, and the
// use of the memory, at loads of 0.8 and 1.
func printLong(t *testing.T) {
	var b strings.Builder
	b.WriteString("\n| load | seed | bin | first token p50/p95 s | until the grant p50/p95 s | slowness after it p50/p95 | engines | refused | memory used/booked/held/waiting % | short p95 s, blocking ratio |\n|" + strings.Repeat("---|", 10) + "\n")
	for _, load := range []float64{0.8, 1} {
		cfg := simConfig{
			policy: PolicyWeighted, cells: deployments[0].cells, weights: deployments[0].weights, load: load,
			seed: *seedFlag, duration: 10 * time.Minute, delay: time.Second,
		}
		r := runSim(t, cfg)
		cfg.noLong = true
		short, without := seconds(r.short, 95), seconds(runSim(t, cfg).short, 95)
		refused := 0
		for _, n := range r.refused {
			refused += n
		}
		for bin := 2; bin < len(binNames); bin++ {
			fmt.Fprintf(&b, "| %.1f | %d | %s | %.1f/%.1f | %.1f/%.1f | %.1f/%.1f | %.1f | %d | %.0f/%.0f/%.0f/%.0f | %.3f, %.2f |\n",
				load, cfg.seed, binNames[bin], seconds(r.first[bin], 50), seconds(r.first[bin], 95),
				quantile(r.granted[bin], 50), quantile(r.granted[bin], 95), quantile(r.slowness[bin], 50), quantile(r.slowness[bin], 95),
				mean(r.engines[bin]), refused, 100*mean(r.memory), 100*mean(r.booked), 100*mean(r.held), 100*mean(r.waiting), short, short/without)
		}
	}
	t.Log(b.String())
}

// printShares prints how much the work of the organisations deviates from their
// fair shares, by the work granted and by the work done, for windows of two
// lengths. A deviation caused by requests that are only partly in the window is
// smaller in the longer window.
func printShares(t *testing.T) {
	var b strings.Builder
	b.WriteString("\n| load | seed | minutes | deviation by work granted | by work done | done over fair share, by organisation |\n|---|---|---|---|---|---|\n")
	for _, load := range []float64{1.5, 3} {
		for _, minutes := range []int{10, 40} {
			cfg := simConfig{
				policy: PolicyWeighted, cells: deployments[0].cells, weights: deployments[0].weights, load: load,
				seed: *seedFlag, duration: time.Duration(minutes) * time.Minute, delay: time.Second,
			}
			r := runSim(t, cfg)
			fmt.Fprintf(&b, "| %.1f | %d | %d | %.2f | %.2f |", load, cfg.seed, minutes, deviation(r.served, r.demanded), deviation(r.done, r.demanded))
			for i, fair := range fairShares(r.done, r.demanded) {
				fmt.Fprintf(&b, " %.2f", r.done[i]/fair)
			}
			b.WriteString(" |\n")
		}
	}
	t.Log(b.String())
}

func quantile(v []float64, q int) float64 {
	if len(v) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(v))
	return s[min(len(s)-1, len(s)*q/100)]
}

func tableHeader(b *strings.Builder) {
	fmt.Fprintf(b, "| policy | load | report delay s | first token p50/p95/p99 s: %s | between tokens p95 ms | goodput k tokens/s | finished | late | refused %% | by kind | share deviation | memory used/booked mean, booked max %% |\n", strings.Join(binNames, " | "))
	b.WriteString("|" + strings.Repeat("---|", 11+len(binNames)) + "\n")
}

func quantiles(h *hdrhistogram.Histogram) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f/%.2f/%.2f", seconds(h, 50), seconds(h, 95), seconds(h, 99))
}

func seconds(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1e6
}

// row prints the results of one run as a row of the comparison.
func row(b *strings.Builder, cfg simConfig, r *simResult) {
	fmt.Fprintf(b, "| %s | %.1f | %.1f |", cfg.policy, cfg.load, cfg.delay.Seconds())
	for _, h := range r.first {
		fmt.Fprintf(b, " %s |", quantiles(h))
	}
	refused, kinds := 0, make([]string, 0, len(r.refused))
	for k, n := range r.refused {
		refused += n
		kinds = append(kinds, fmt.Sprintf("%s %d", k, n))
	}
	slices.Sort(kinds)
	fmt.Fprintf(b, " %.0f | %.0f | %d | %d | %.1f | %s | %.2f | %.0f/%.0f, %.0f |\n",
		seconds(r.gaps, 95)*1000, r.goodput/1000, r.finished, r.late, 100*float64(refused)/float64(max(1, r.offered)),
		strings.Join(kinds, ", "), deviation(r.served, r.demanded), 100*mean(r.memory), 100*mean(r.booked), 100*slices.Max(r.booked))
}

func mean(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(max(1, len(v)))
}

// fairShares divides the sum of the work served between the organisations by
// max-min fairness. No organisation receives more than it demanded.
func fairShares(served, demanded [simOrgs]float64) (fair [simOrgs]float64) {
	remaining, unsatisfied := 0.0, map[int]bool{}
	for i, v := range served {
		remaining += v
		unsatisfied[i] = true
	}
	for len(unsatisfied) > 0 {
		level, capped := remaining/float64(len(unsatisfied)), false
		for i := range simOrgs {
			if unsatisfied[i] && demanded[i] <= level {
				fair[i] = demanded[i]
				remaining -= fair[i]
				delete(unsatisfied, i)
				capped = true
			}
		}
		if !capped {
			for i := range unsatisfied {
				fair[i] = level
			}
			break
		}
	}
	return fair
}

// deviation is the largest relative difference between the work an
// organisation received and its max-min fair share of all work done.
func deviation(served, demanded [simOrgs]float64) float64 {
	worst := 0.0
	for i, fair := range fairShares(served, demanded) {
		if fair > 0 {
			worst = max(worst, max(served[i]/fair, fair/max(1, served[i]))-1)
		}
	}
	return worst
}

// blockingTable prints how much long prompts and a flood of long prompts delay the
// short prompts under each policy.
func blockingTable(t *testing.T, b *strings.Builder, base simConfig) {
	b.WriteString("\n| policy | short p95 s with long | without | blocking ratio | others' short p95 s before flood | with flood | change % |\n|---|---|---|---|---|---|---|\n")
	for _, p := range allPolicies {
		cfg := base
		cfg.policy, cfg.load = p, 0.8
		with := seconds(runSim(t, cfg).short, 95)
		cfg.noLong = true
		without := seconds(runSim(t, cfg).short, 95)
		cfg.noLong, cfg.load = false, 0.5
		beforeFlood := seconds(runSim(t, cfg).others, 95)
		cfg.flood = true
		duringFlood := seconds(runSim(t, cfg).others, 95)
		fmt.Fprintf(b, "| %s | %.3f | %.3f | %.2f | %.3f | %.3f | %+.0f |\n", p, with, without, with/without, beforeFlood, duringFlood, 100*(duringFlood/beforeFlood-1))
	}
}
