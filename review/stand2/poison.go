package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// playPoison sends a request that crashes each engine that begins to run it, again and
// again, while machines are stopped and started in turn, the owner of the service first.
func playPoison(s *stage) (verdict, error) {
	const (
		engineCount  = 9
		trafficStart = 10 * time.Second
		poisonEvery  = 3 * time.Second
		rollRounds   = 2
		rollCount    = 2
		rollPause    = 1300 * time.Millisecond
		// crashTime is longer than the time from the arrival of the request to the crash.
		crashTime = 500 * time.Millisecond
		// maxRetries is the figure of the rule BUDGET.
		maxRetries = 3
		length     = 70 * time.Second
	)
	s.engines.poison, s.engines.downTime = "poison", 4*time.Second
	s.store.put("op/config", document(s.engines.service, false, 1))
	if err := s.startEngines(engineCount); err != nil {
		return verdict{}, err
	}
	for n := 1; n <= 6; n++ {
		if err := s.fleet.start(n); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(trafficStart)
	end := time.Now().Add(length - trafficStart)
	var tasks sync.WaitGroup
	tasks.Go(func() {
		every(100*time.Millisecond, end, func() {
			if machines := s.fleet.calm(0); len(machines) > 0 {
				n := machines[rand.IntN(len(machines))]
				s.clients.send(n, s.block.address(n, portFrontend), fmt.Sprintf("plaque %x", rand.Uint64()), 1000, 340)
			}
		})
	})
	var failure error
	third := make(chan struct{})
	if s.trouble {
		tasks.Go(func() {
			select {
			case <-third:
			case <-time.After(length - trafficStart):
				return
			}
			time.Sleep(time.Second)
			rolled := map[int]bool{}
			for i := range rollRounds * rollCount {
				if i%rollCount == 0 {
					clear(rolled)
				}
				n := s.nextToRoll(rolled)
				rolled[n] = true
				if failure = s.fleet.restart(n); failure != nil {
					return
				}
				time.Sleep(rollPause)
			}
		})
	}
	time.Sleep(poisonEvery)
	for crashes, n := 0, rand.IntN(6); time.Now().Before(end); {
		// The request comes again at the next machine that has run undisturbed.
		machines := s.fleet.calm(contactTime + time.Second)
		slices.Sort(machines)
		if len(machines) > 0 {
			next := slices.IndexFunc(machines, func(m int) bool { return m > n })
			n = machines[max(0, next)]
			s.clients.send(n, s.block.address(n, portFrontend), s.engines.poison, 1000, 340)
		}
		if crashes < 3 {
			crashes = len(s.poisonRuns())
			if crashes >= 3 {
				close(third)
			}
		}
		time.Sleep(poisonEvery)
	}
	tasks.Wait()
	if failure != nil {
		return verdict{}, failure
	}
	runs := s.poisonRuns()
	if len(runs) < 3 {
		return verdict{}, fmt.Errorf("the request crashed %d engines only", len(runs))
	}
	s.clients.mu.Lock()
	defer s.clients.mu.Unlock()
	var v verdict
	retries := map[string]bool{}
	for i, r := range runs {
		sent := s.clients.sent[r.attempt]
		v.details = append(v.details, fmt.Sprintf("run %d at %.1f s on %s, from %s", i+1, r.at.Sub(s.log.start).Seconds(), r.engine, sent.machine))
		if sent.at.Sub(runs[2].at) > crashTime+contactTime {
			retries[r.attempt] = true
		}
	}
	text := fmt.Sprintf("the request reached engines in %d retries sent later than %s after it had crashed the third, allowed are %d", len(retries), contactTime, maxRetries)
	if len(retries) > maxRetries {
		v.broken = append(v.broken, text)
	} else {
		v.details = append(v.details, text)
	}
	return v, nil
}

// nextToRoll returns the machine that placed requests last among those not yet stopped.
func (s *stage) nextToRoll(rolled map[int]bool) int {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	best := 0
	for n := range s.fleet.gateways {
		if !rolled[n] && (best == 0 || s.fleet.placedAt[n].After(s.fleet.placedAt[best])) {
			best = n
		}
	}
	return best
}

// poisonRuns returns the runs of the request, in the order of their time.
func (s *stage) poisonRuns() []run {
	s.engines.mu.Lock()
	defer s.engines.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.engines.runs), func(r run) bool { return r.body != s.engines.poison })
}
