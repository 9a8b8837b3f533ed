package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// The figures of the rule LIMIT: from contactTime after an engine first named its limit,
// it gets in some limitWindow no more than limitFactor times what the limit allows and
// limitSlack requests, from the machines that had passed on such an answer passTime ago.
const (
	contactTime = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	passTime    = 500 * time.Millisecond
)

// playLimit replaces the machines that the settings name as seeds while engines name a
// limit.
func playLimit(s *stage) (verdict, error) {
	const (
		engineCount  = 3
		limit        = 5
		requestRate  = 90
		trafficStart = 10 * time.Second
		lossTime     = 6 * time.Second
		replaceAfter = 2 * time.Second
		seedLag      = 3 * time.Second
		length       = 62 * time.Second
	)
	s.store.put("op/config", document(s.engines.service, true, 2))
	s.engines.limit = limit
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
	var failure error
	if s.trouble {
		tasks.Go(func() {
			time.Sleep(lossTime)
			failure = s.replaceSeeds(replaceAfter, seedLag)
		})
	}
	every(time.Second/requestRate, end, func() {
		machine, address, ok := s.choose()
		if ok {
			s.clients.send(machine, address, fmt.Sprintf("plaque %x", rand.Uint64()), 1000, 340)
		}
	})
	tasks.Wait()
	if failure != nil {
		return verdict{}, failure
	}
	return s.judgeLimit(limit), nil
}

// replaceSeeds removes the first three machines, which are the seeds, for good. Others come
// at new addresses soon after; their settings still name the old seeds. After the lag of
// the seeds, all settings files name machines that live, and the processes get SIGHUP.
func (s *stage) replaceSeeds(replaceAfter, seedLag time.Duration) error {
	for n := 1; n <= 3; n++ {
		s.fleet.remove(n)
	}
	time.Sleep(replaceAfter)
	for n := 7; n <= 9; n++ {
		if err := s.fleet.start(n); err != nil {
			return err
		}
	}
	time.Sleep(seedLag - replaceAfter)
	return s.fleet.setSeeds(4, 5, 6)
}

// choose picks a machine as clients do: it asks the directory of a machine, and takes one
// of the addresses.
func (s *stage) choose() (machine int, address string, ok bool) {
	machines := s.fleet.calm(0)
	if len(machines) == 0 {
		return 0, "", false
	}
	asked := machines[rand.IntN(len(machines))]
	addresses := s.clients.resolve(s.block.address(asked, portDirectory), zoneOf(asked))
	if len(addresses) == 0 {
		return 0, "", false
	}
	address = addresses[rand.IntN(len(addresses))]
	for _, n := range machines {
		if s.block.address(n, portFrontend) == address {
			return n, address, true
		}
	}
	return 0, "", false
}

// judgeLimit checks the rule LIMIT for each engine and window.
func (s *stage) judgeLimit(limit float64) verdict {
	s.engines.mu.Lock()
	defer s.engines.mu.Unlock()
	return s.judgeRuns(limit, s.engines.runs, s.engines.namedAt, nil)
}

// judgeRuns checks the rule LIMIT for the runs at servers that named the limit since
// namedAt, without those from excused machines.
func (s *stage) judgeRuns(limit float64, all []run, namedAt map[string]time.Time, excused map[string]bool) verdict {
	s.clients.mu.Lock()
	defer s.clients.mu.Unlock()
	// passedAt is when a machine first passed on an answer of an engine that named the
	// limit.
	passedAt := map[string]time.Time{}
	for _, r := range all {
		sent := s.clients.sent[r.attempt]
		if sent == nil || sent.headAt.IsZero() || sent.status != 200 {
			continue
		}
		key := sent.machine + " " + r.address
		if at, ok := passedAt[key]; !ok || sent.headAt.Before(at) {
			passedAt[key] = sent.headAt
		}
	}
	counted := map[string][]run{}
	for _, r := range all {
		sent := s.clients.sent[r.attempt]
		if sent == nil || excused[sent.machine] {
			continue
		}
		at, ok := passedAt[sent.machine+" "+r.address]
		if ok && r.at.Sub(at) >= passTime && r.at.Sub(namedAt[r.address]) >= contactTime {
			counted[r.address] = append(counted[r.address], r)
		}
	}
	allowed := limitFactor*limit*limitWindow.Seconds() + limitSlack
	var v verdict
	for _, address := range slices.Sorted(maps.Keys(counted)) {
		runs := counted[address]
		most, first := 0, 0
		for i := range runs {
			n := 0
			for n < len(runs)-i && runs[i+n].at.Sub(runs[i].at) <= limitWindow {
				n++
			}
			if n > most {
				most, first = n, i
			}
		}
		machines := map[string]int{}
		for _, r := range runs[first : first+most] {
			machines[s.clients.sent[r.attempt].machine]++
		}
		var parts []string
		for _, m := range slices.Sorted(maps.Keys(machines)) {
			parts = append(parts, fmt.Sprintf("%s %d", m, machines[m]))
		}
		text := fmt.Sprintf("engine %s names %g/s and got %d requests in the %s from %.1f s on, allowed are %g: %s",
			address[strings.LastIndexByte(address[:strings.IndexByte(address, ':')], '.')+1:], limit, most, limitWindow, runs[first].at.Sub(s.log.start).Seconds(), allowed, strings.Join(parts, ", "))
		if float64(most) > allowed {
			v.broken = append(v.broken, text)
		} else {
			v.details = append(v.details, text)
		}
	}
	if len(counted) == 0 {
		v.details = append(v.details, "no request was counted")
	}
	placers := s.fleet.placers(time.Now().Add(-5 * time.Second))
	slices.Sort(placers)
	v.details = append(v.details, fmt.Sprintf("machines that placed requests in the last seconds: %v", placers))
	return v
}
