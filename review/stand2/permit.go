package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// playPermit stops and starts the machine that schedules a model service, while the servers
// of a plain service name a limit.
func playPermit(s *stage) (verdict, error) {
	const (
		machines     = 11
		trafficStart = 10 * time.Second
		length       = 100 * time.Second
		// The limits are known for longer than 30 s when a machine is stopped.
		stopEvery  = 36 * time.Second
		streamRate = 20
		callRate   = 15
	)
	d := newDesk(s.log)
	d.limit = 0.1
	doc := document(s.engines.service, true, 2)
	plain := deskDocument(d.service)
	for _, key := range []string{"routes", "services"} {
		doc[key] = append(doc[key].([]any), plain[key].([]any)...)
	}
	s.store.put("op/config", doc)
	if err := s.startEngines(6); err != nil {
		return verdict{}, err
	}
	for n := range 3 {
		if err := d.start(s.store, fmt.Sprintf("i-d%05x", n+1), s.block.address(120+n, portEngine), zoneOf(n)); err != nil {
			return verdict{}, err
		}
	}
	for n := 1; n <= machines; n++ {
		if err := s.fleet.start(n); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(trafficStart)
	end := time.Now().Add(length - trafficStart)
	var tasks sync.WaitGroup
	excused := map[string]bool{}
	var failure error
	if s.trouble {
		tasks.Go(func() {
			for range 2 {
				time.Sleep(stopEvery)
				n := s.nextToRoll(nil)
				excused[fmt.Sprintf("edge-%d", n)] = true
				if failure = s.fleet.restart(n); failure != nil {
					return
				}
			}
		})
	}
	pick := func(fn func(n int, address string)) func() {
		return func() {
			if list := s.fleet.calm(0); len(list) > 0 {
				n := list[rand.IntN(len(list))]
				fn(n, s.block.address(n, portFrontend))
			}
		}
	}
	tasks.Go(func() {
		every(time.Second/streamRate, end, pick(func(n int, address string) {
			s.clients.send(n, address, fmt.Sprintf("plaque %x", rand.Uint64()), 1000, 340)
		}))
	})
	every(time.Second/callRate, end, pick(func(n int, address string) {
		s.clients.sendTo(n, address, "/order/small/2f", fmt.Sprintf("order %x", rand.Uint64()), 0, 0)
	}))
	tasks.Wait()
	if failure != nil {
		return verdict{}, failure
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	v := s.judgeRuns(d.limit, d.runs, d.namedAt, excused)
	v.details = append(v.details, fmt.Sprintf("%d calls ran, excused machines: %v", len(d.runs), excused))
	return v, nil
}
