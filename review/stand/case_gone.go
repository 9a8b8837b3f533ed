package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

func init() { cases["gone"] = runGone }

const (
	// burstTime is how long more long prompts come, noticeTime the time from the notice
	// until the engines are gone, and awayTime how long there are no others.
	burstTime  = 9500 * time.Millisecond
	noticeTime = 2500 * time.Millisecond
	awayTime   = 5 * time.Second
	// lateLeave is how much longer each of the other servers takes to leave.
	lateLeave = 1500 * time.Millisecond
	// allowedLosses is the number of closed connections that the rule LOST allows.
	allowedLosses = 3
)

// runGone takes all engines of a small model service away while long prompts wait for
// them. The rule allows a machine in touch to close three kept connections without an
// answer to a request that it has passed on to a sound engine.
func runGone(f *Fleet, trouble bool) (int, error) {
	var mu sync.Mutex
	runs := map[string]bool{}
	zones := []string{"sofia-a", "sofia-b", "sofia-c"}
	for i := range 24 {
		e := &Engine{service: slowService, zone: zones[i%3], capacity: 16, stream: true, tokensPerMS: 20}
		e.onArrival = func(r Run) {
			mu.Lock()
			defer mu.Unlock()
			runs[r.ID] = true
			f.record.Printf("engine   %s has %s", r.Engine.ID(), r.ID)
		}
		if err := f.AddEngine(e); err != nil {
			return notRun, err
		}
	}
	var long []*Engine
	for range 2 {
		e := &Engine{service: longService, zone: "sofia-a", capacity: 16, stream: true}
		if err := f.AddEngine(e); err != nil {
			return notRun, err
		}
		long = append(long, e)
	}
	for i := range 3 {
		if err := f.AddEngine(&Engine{service: plainService, zone: zones[i], capacity: 6}); err != nil {
			return notRun, err
		}
	}
	// Two servers of another service in the same zone are taken away too.
	taken := slices.Clone(long)
	for range 2 {
		e := &Engine{service: plainService, zone: "sofia-a", capacity: 6}
		if err := f.AddEngine(e); err != nil {
			return notRun, err
		}
		taken = append(taken, e)
	}
	f.Background()
	f.store.Put("op/config", Document(7))
	if err := f.AddGateways([]string{"sofia-a", "sofia-a", "sofia-b", "sofia-b", "sofia-c", "sofia-c"}); err != nil {
		return notRun, err
	}
	if err := f.AwaitReady(10 * time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(8 * time.Second)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var traffic sync.WaitGroup
	type loss struct {
		gateway int
		answer  Answer
	}
	var losses []loss
	sent, served := 0, 0
	var burstStart time.Time
	for gateway := range f.gateways {
		for c := range 14 {
			traffic.Go(func() {
				k := NewKept(f.Front(gateway))
				for n := 0; ctx.Err() == nil; n++ {
					a := k.Send(context.Background(), Proof(gateway*100000+c*10000+n))
					f.record.Printf("client   sent %s to %s, kept connection %t: %s", a.ID, f.gateways[gateway].Name, a.Reused, a)
					mu.Lock()
					sent++
					if a.Status == 200 && a.Complete {
						served++
					} else if a.Reused && a.Written && !a.Began {
						losses = append(losses, loss{gateway, a})
					}
					mu.Unlock()
					time.Sleep(time.Duration(rand.ExpFloat64() * 0.5 * float64(time.Second)))
				}
			})
		}
	}
	traffic.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			gateway, q := rand.IntN(len(f.gateways)), Archive(n)
			traffic.Go(func() {
				a := Send(context.Background(), f.Front(gateway), q)
				f.record.Printf("client   long prompt %s at %s: %s", a.ID, f.gateways[gateway].Name, a)
			})
			rate := 0.35
			mu.Lock()
			if time.Since(burstStart) < burstTime {
				rate *= 2.8
			}
			mu.Unlock()
			time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		}
	})
	for cycle := 0; cycle < 4 && f.allReady(); cycle++ {
		mu.Lock()
		burstStart = time.Now()
		mu.Unlock()
		time.Sleep(burstTime)
		if trouble {
			for _, e := range taken {
				e.Drain()
			}
		}
		time.Sleep(noticeTime)
		if trouble {
			for i, e := range taken {
				if i >= len(long) {
					time.Sleep(lateLeave)
				}
				e.Leave()
			}
		}
		time.Sleep(awayTime - 2*lateLeave)
		if trouble {
			for _, e := range taken {
				if err := e.Start(); err != nil {
					return notRun, err
				}
			}
		}
		time.Sleep(3 * time.Second)
	}
	cancel()
	traffic.Wait()
	time.Sleep(restartDelay)
	mu.Lock()
	defer mu.Unlock()
	most := 0
	for i, g := range f.gateways {
		n := 0
		for _, l := range losses {
			if l.gateway == i && runs[l.answer.ID] {
				n++
			}
		}
		ended := "serves"
		if !f.Ready(g) {
			ended = "runs, but no longer listens"
		}
		if g.ends > 0 {
			ended = fmt.Sprintf("has ended by itself, %d times", g.ends)
		}
		f.record.Say("%s: %s; %d kept connections closed without an answer to a request that an engine had", g.Name, ended, n)
		most = max(most, n)
	}
	f.record.Say("%d of %d requests to the other service served", served, sent)
	if most > allowedLosses {
		return broken, nil
	}
	return held, nil
}
