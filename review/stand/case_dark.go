package main

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() { cases["dark"] = runDark }

const (
	// darkTime is how long machines that lose power stay dark.
	darkTime = 2 * time.Second
	// drainTime is the time after which a server that has left may get no request.
	drainTime = 2 * time.Second
	// contactTime is how long a machine must have been undisturbed to be in touch.
	contactTime = 3 * time.Second
	// trials is how often it is tried, each time after a new start of all machines, and
	// settleTime the time after which the trial begins.
	trials     = 6
	settleTime = 8 * time.Second
	// lingerTime is how long a server goes on serving after its entry was removed.
	lingerTime = 5 * time.Second
)

// runDark takes the power of two of six machines of one zone, and a server of the plain
// service leaves at the same moment without reporting it. The rule allows no request that
// reaches the server later than drain_ms after the store has accepted the removal of its
// entry, if the machine that took it is in touch.
func runDark(f *Fleet, trouble bool) (int, error) {
	const zone = "sofia-a"
	zones := slices.Repeat([]string{zone}, 6)
	victims := []int{2, 5}
	var mu sync.Mutex
	gatewayOf := map[string]int{}
	disturbedAt := make([]time.Time, len(zones))
	removedAt := map[string]time.Time{}
	late, judged, worst := 0, 0, time.Duration(0)
	newServer := func() (*Engine, error) {
		e := &Engine{service: plainService, zone: zone, capacity: 6}
		e.onArrival = func(r Run) {
			mu.Lock()
			defer mu.Unlock()
			judged++
			f.record.Printf("server   %s runs %s", e.ID(), r.ID)
			at, gone := removedAt[e.ID()]
			gateway := gatewayOf[r.ID]
			if !gone || r.Arrived.Sub(at) <= drainTime {
				return
			}
			touch := r.Arrived.Sub(disturbedAt[gateway]) > contactTime
			f.record.Printf("server   %s gets %s from %s, %d ms after the store accepted the removal of its entry; in touch %t",
				e.ID(), r.ID, f.gateways[gateway].Name, r.Arrived.Sub(at).Milliseconds(), touch)
			if touch {
				late++
				worst = max(worst, r.Arrived.Sub(at))
			}
		}
		return e, f.AddEngine(e)
	}
	var servers []*Engine
	for range 3 {
		e, err := newServer()
		if err != nil {
			return notRun, err
		}
		servers = append(servers, e)
	}
	for i := range 6 {
		if err := f.AddEngine(&Engine{service: modelService, zone: zones[i], capacity: 16, stream: true}); err != nil {
			return notRun, err
		}
	}
	f.Background()
	f.store.Put("op/config", Document(7))
	if err := f.AddGateways(zones); err != nil {
		return notRun, err
	}
	if err := f.AwaitReady(10 * time.Second); err != nil {
		return notRun, err
	}

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var traffic sync.WaitGroup
	sent, served := 0, 0
	for gateway := range f.gateways {
		traffic.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(time.Duration(rand.ExpFloat64() * 0.2 * float64(time.Second)))
				q := Lookup()
				q.ID = NewID()
				mu.Lock()
				gatewayOf[q.ID] = gateway
				mu.Unlock()
				a := Send(context.Background(), f.Front(gateway), q)
				f.record.Printf("client   sent %s to %s: %s", a.ID, f.gateways[gateway].Name, a)
				mu.Lock()
				sent++
				if a.Status == 200 && a.Complete {
					served++
				}
				mu.Unlock()
			}
		})
	}
	for trial := range trials {
		if trial > 0 {
			if err := restartAll(f); err != nil {
				return notRun, err
			}
			mu.Lock()
			for i := range disturbedAt {
				disturbedAt[i] = time.Now()
			}
			mu.Unlock()
		}
		time.Sleep(settleTime)
		// The new server starts first.
		leaving := servers[0]
		e, err := newServer()
		if err != nil {
			return notRun, err
		}
		servers = append(servers[1:], e)
		time.Sleep(2 * time.Second)
		if trouble {
			for _, i := range victims {
				mu.Lock()
				disturbedAt[i] = time.Now().Add(time.Hour)
				mu.Unlock()
				f.Signal(f.gateways[i], syscall.SIGSTOP)
			}
		}
		time.Sleep(50 * time.Millisecond)
		id := leaving.ID()
		leaving.Forget()
		at := f.store.Remove("servers/" + id)
		mu.Lock()
		removedAt[id] = at
		mu.Unlock()
		f.record.Printf("store    accepts the removal of the entry of %s", id)
		time.Sleep(darkTime - 50*time.Millisecond)
		if trouble {
			for _, i := range victims {
				g := f.gateways[i]
				f.Signal(g, syscall.SIGKILL)
				<-g.exited
				if err := f.Launch(g); err != nil {
					return notRun, err
				}
				mu.Lock()
				disturbedAt[i] = time.Now()
				mu.Unlock()
			}
		}
		time.Sleep(lingerTime - darkTime)
		leaving.Leave()
	}
	cancel()
	traffic.Wait()
	mu.Lock()
	defer mu.Unlock()
	f.record.Say("%d of %d requests served; %d reached a server, %d of them later than %s after the removal of its entry, from machines in touch; the latest after %s",
		served, sent, judged, late, drainTime, worst.Round(time.Millisecond))
	if !trouble && served < sent*9/10 {
		return notRun, nil
	}
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// restartAll starts all machines anew.
func restartAll(f *Fleet) error {
	for _, g := range f.gateways {
		f.Signal(g, syscall.SIGKILL)
	}
	for _, g := range f.gateways {
		<-g.exited
		if err := f.Launch(g); err != nil {
			return err
		}
	}
	return f.AwaitReady(10 * time.Second)
}
