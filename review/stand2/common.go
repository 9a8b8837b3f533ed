package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// playCommon kills all machines at once and starts them again, while two requests that
// crash engines come again and again. All requests share the first part of their prompt.
func playCommon(s *stage) (verdict, error) {
	const (
		machines     = 6
		engineCount  = 9
		trafficStart = 10 * time.Second
		faultTime    = 10 * time.Second
		downTime     = 850 * time.Millisecond
		// recoveryTime and minServed are the figures of the rule RECOVER.
		recoveryTime = 12 * time.Second
		minServed    = 0.25
		lastPart     = 25 * time.Second
		soundEvery   = time.Second
		soundPhase   = 800 * time.Millisecond
		poisonCount  = 2
		// The two requests come when the machines are back, and again every poisonEvery.
		poisonStart = 1300 * time.Millisecond
		poisonGap   = 200 * time.Millisecond
		poisonEvery = 5 * time.Second
	)
	s.engines.early, s.engines.downTime = "poison", 4*time.Second
	s.store.put("op/config", document(s.engines.service, false, 1))
	if err := s.startEngines(engineCount); err != nil {
		return verdict{}, err
	}
	for n := 1; n <= machines; n++ {
		if err := s.fleet.start(n); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(trafficStart)
	faultAt := time.Now().Add(faultTime)
	backAt := faultAt.Add(downTime)
	end := backAt.Add(recoveryTime + lastPart)
	send := func(body string) *sending {
		n := 1 + rand.IntN(machines)
		return s.clients.send(n, s.block.address(n, portFrontend), body, 1000, 340)
	}
	var mu sync.Mutex
	var sound []*sending
	var tasks sync.WaitGroup
	tasks.Go(func() {
		time.Sleep(soundPhase)
		every(soundEvery, end, func() {
			r := send(fmt.Sprintf("plaque %x", rand.Uint64()))
			mu.Lock()
			sound = append(sound, r)
			mu.Unlock()
		})
	})
	for i := range poisonCount {
		tasks.Go(func() {
			time.Sleep(time.Until(faultAt) + poisonStart + time.Duration(i)*poisonGap)
			for time.Now().Before(end) {
				send(fmt.Sprintf("poison %d", i))
				time.Sleep(poisonEvery)
			}
		})
	}
	time.Sleep(time.Until(faultAt))
	if s.trouble {
		if err := s.killAll(machines, downTime); err != nil {
			return verdict{}, err
		}
	}
	tasks.Wait()
	served := func(from, to time.Time) (count, of int) {
		for _, r := range sound {
			if r.at.After(from) && r.at.Before(to) {
				of++
				if r.status == 200 {
					count++
				}
			}
		}
		return count, of
	}
	before, ofBefore := served(faultAt.Add(-faultTime), faultAt)
	after, ofAfter := served(backAt.Add(recoveryTime), end)
	if ofBefore == 0 || ofAfter == 0 || float64(before) < minServed*float64(ofBefore) {
		return verdict{}, fmt.Errorf("%d of %d sound requests were served before the fault", before, ofBefore)
	}
	var v verdict
	text := fmt.Sprintf("before the fault %d of %d sound requests were served; of those sent later than %s after the machines were back, %d of %d", before, ofBefore, recoveryTime, after, ofAfter)
	if float64(after) < minServed*float64(ofAfter) {
		v.broken = append(v.broken, text)
	} else {
		v.details = append(v.details, text)
	}
	return v, nil
}

// killAll kills the processes of all machines at once, and starts them again.
func (s *stage) killAll(machines int, downTime time.Duration) error {
	s.log.add("kill-all")
	var kills sync.WaitGroup
	for n := 1; n <= machines; n++ {
		kills.Go(func() { s.fleet.remove(n) })
	}
	kills.Wait()
	time.Sleep(downTime)
	for n := 1; n <= machines; n++ {
		if err := s.fleet.start(n); err != nil {
			return err
		}
	}
	return nil
}
