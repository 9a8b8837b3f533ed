package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/verbenapier/verbenapier/internal/engine"
)

// BenchmarkDecision measures one acquire and one release by cell size and queue
// length. The queued requests are long and find no memory, so each decision also
// has to skip them. steps/op counts the visited nodes of the index.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{8, 16, 32, 64, 128} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) { benchDecision(b, engines, 0) })
	}
	for _, queued := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) { benchDecision(b, 64, queued) })
	}
}

func benchDecision(b *testing.B, engines, queued int) {
	s := New(Options{
		Cell: "c", RebuildWindow: -1, Log: quietLog(), Rand: rand.New(rand.NewPCG(1, 1)),
		Rules: CapacityRules{MaxQueued: 1 << 20, MaxQueueWait: 1000 * time.Hour},
	})
	infos := make([]EngineInfo, engines)
	for i := range infos {
		infos[i] = EngineInfo{Name: fmt.Sprint("e", i), Address: fmt.Sprint("e", i)}
	}
	s.SetEngines(infos)
	for _, i := range infos {
		s.Report(i.Name, i.Address, engine.LoadReport{CapacityTokens: 400_000, PrefillTokensPerSecond: 1e6})
	}
	rnd := rand.New(rand.NewPCG(2, 2))
	for i := range engines {
		if _, err := s.Acquire(b.Context(), newRequest(fmt.Sprint("fill", i), 250_000, time.Hour)); err != nil {
			b.Fatal(err)
		}
	}
	for i := range queued {
		r := newRequest(fmt.Sprint("queued", i), 200_000+rnd.IntN(100_000), time.Hour)
		r.Organisation = fmt.Sprint("o", i%10)
		if _, err := s.submit(r, time.Now()); err != nil {
			b.Fatal(err)
		}
	}
	var running []string
	s.searchSteps = 0
	i := 0
	for b.Loop() {
		r := newRequest(fmt.Sprint("r", i), 200+rnd.IntN(2000), time.Hour)
		r.Organisation = fmt.Sprint("o", i%10)
		g, err := s.Acquire(b.Context(), r)
		if err != nil {
			b.Fatal(err)
		}
		if running = append(running, g.ID); len(running) > 10*engines {
			s.Release(Release{ID: running[0], PromptTokens: 1000})
			running = running[1:]
		}
		i++
	}
	b.ReportMetric(float64(s.searchSteps)/float64(b.N), "steps/op")
}
