package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["stop"] = runStop }

const (
	workService = "work-desk"
	// gracePeriod is the grace period of the settings. The platform kills a process that
	// has not ended by then.
	gracePeriod = 8 * time.Second
	// moveTime is the time after SIGTERM after which callers that move use other hosts.
	moveTime = 1500 * time.Millisecond
	// readyTime is the longest time until a started host is ready.
	readyTime = 20 * time.Second
	// shortestWork and longestWork bound the time that a server works on a call.
	shortestWork = 200 * time.Millisecond
	longestWork  = 1700 * time.Millisecond
	// slowSendTime is the longest time that the sending of a body takes.
	slowSendTime = 7 * time.Second
	// longRate is the number of long prompts per second, more than three engines read.
	longRate = 2
	// longEvents is the largest number of events of a stream.
	longEvents = 90
	// hostCount is the number of gateways.
	hostCount = 6
)

// stopCase is a run of the case.
type stopCase struct {
	*Fleet
	ledger *ledger
	// version is that of the configuration, and storeDown is set while the store is lost.
	version   int
	storeDown atomic.Bool
	over      chan struct{}
	traffic   sync.WaitGroup
}

// phase is a planned stop of some hosts. The function before runs before it, and beside
// during it.
type phase struct {
	name           string
	hosts          func() []int
	before, beside func(hosts []int)
}

// runStop stops gateways as planned, alone and together, beside other planned work,
// while some callers go on using them until their processes are gone. The rule allows
// no request that was read to end without a complete answer.
func runStop(f *Fleet, trouble bool) (int, error) {
	c := &stopCase{Fleet: f, ledger: newLedger(f.record), version: 7, over: make(chan struct{})}
	if err := c.start(); err != nil {
		return notRun, err
	}
	for host := range f.gateways {
		c.startCallers(host)
	}
	c.traffic.Go(c.sendLong)
	c.traffic.Go(c.watchClock)
	time.Sleep(2 * time.Second)
	for _, p := range c.phases() {
		if !trouble {
			time.Sleep(gracePeriod)
			continue
		}
		if err := c.play(p); err != nil {
			return notRun, err
		}
	}
	close(c.over)
	c.traffic.Wait()
	if c.ledger.report(f) > 0 {
		return broken, nil
	}
	return held, nil
}

// start starts the engines and the gateways.
func (c *stopCase) start() error {
	zones := []string{"sofia-a", "sofia-b", "sofia-c"}
	for i := range 18 {
		e := &Engine{service: modelService, zone: zones[i%3], capacity: 16, stream: true, onArrival: c.ledger.arrived, onDone: c.ledger.done}
		switch {
		case i < 3:
			e.service = longService
		case i < 9:
			e.service, e.stream, e.capacity = workService, false, 40
			e.workTime = func() time.Duration { return shortestWork + rand.N(longestWork-shortestWork) }
		}
		if err := c.AddEngine(e); err != nil {
			return err
		}
	}
	c.Background()
	c.configure()
	c.storeHandler = func(_ int, h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if c.storeDown.Load() {
				panic(http.ErrAbortHandler)
			}
			h.ServeHTTP(w, r)
		})
	}
	if err := c.AddGateways([]string{"sofia-a", "sofia-a", "sofia-b", "sofia-b", "sofia-c", "sofia-c"}); err != nil {
		return err
	}
	if err := c.AwaitReady(readyTime); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	return nil
}

// configure writes the next version of the configuration.
func (c *stopCase) configure() {
	c.version++
	work := func(name string, timeout time.Duration) map[string]any {
		return map[string]any{
			"name": "r-" + name, "hostname": host, "prefix": "/" + name + "/", "route_type": "non_idempotent",
			"timeout_ms": timeout.Milliseconds(), "latency_goal_ms": 2000, "priority": 2, "service": workService, "max_attempts": 1,
		}
	}
	document := Document(c.version, work("work", workTimeout), work("slow", slowTimeout))
	document["services"] = append(document["services"].([]map[string]any), map[string]any{
		"name": workService, "health_path": "/healthz", "max_connections": 400, "protocol": "h1", "tls_enabled": false,
	})
	c.store.Put("op/config", document)
	c.record.Printf("operator writes configuration %d", c.version)
}

// phases lists the stops of the run.
func (c *stopCase) phases() []phase {
	one := func(i int) func() []int { return func() []int { return []int{i} } }
	two := func(i, j int) func() []int { return func() []int { return []int{i, j} } }
	scheduler := func() []int { return []int{c.scheduler()} }
	pair := func() []int {
		s := c.scheduler()
		return []int{s, (s + 1 + rand.IntN(hostCount-1)) % hostCount}
	}
	repeat := func(every time.Duration, do func()) {
		for range gracePeriod / every {
			do()
			time.Sleep(every)
		}
	}
	return []phase{
		{name: "one", hosts: one(1)},
		{name: "one", hosts: one(4)},
		{name: "the scheduler", hosts: scheduler},
		{name: "two", hosts: two(2, 5)},
		{name: "two, with the scheduler", hosts: pair},
		{name: "SIGHUP", hosts: pair, beside: func(hosts []int) {
			repeat(1500*time.Millisecond, func() { c.signalAll(syscall.SIGHUP, hosts) })
		}},
		{name: "second SIGTERM", hosts: pair, beside: func(hosts []int) {
			time.Sleep(time.Second)
			c.signalAll(syscall.SIGTERM, hosts)
			time.Sleep(4 * time.Second)
			c.signalAll(syscall.SIGTERM, hosts)
		}},
		{name: "configuration", hosts: pair, beside: func([]int) { repeat(time.Second, c.configure) }},
		{name: "store", hosts: pair, beside: func([]int) {
			c.storeDown.Store(true)
			time.Sleep(6 * time.Second)
			c.storeDown.Store(false)
		}},
		{name: "quiet", hosts: two(0, 3), before: c.calm, beside: c.sendLate},
		{name: "SIGHUP alone", hosts: func() []int { return nil }, beside: func([]int) {
			for i := range c.gateways {
				c.ledger.hangup(i)
				c.Signal(c.gateways[i], syscall.SIGHUP)
				time.Sleep(200 * time.Millisecond)
			}
			c.configure()
			time.Sleep(3 * time.Second)
		}},
	}
}

// signalAll sends a signal to the processes of some hosts.
func (c *stopCase) signalAll(s syscall.Signal, hosts []int) {
	for _, i := range hosts {
		c.Signal(c.gateways[i], s)
	}
}

// play stops the hosts of a phase and starts them again.
func (c *stopCase) play(p phase) error {
	hosts := p.hosts()
	if p.before != nil {
		p.before(hosts)
	}
	c.record.Printf("operator begins %s: hosts %v", p.name, hosts)
	var beside, stopping sync.WaitGroup
	for _, i := range hosts {
		c.ledger.stop(i, p.name)
	}
	c.signalAll(syscall.SIGTERM, hosts)
	if p.beside != nil {
		beside.Go(func() { p.beside(hosts) })
	}
	errs := make([]error, len(hosts))
	for n, i := range hosts {
		g := c.gateways[i]
		exited := g.exited
		kill := time.AfterFunc(gracePeriod, func() { c.Signal(g, syscall.SIGKILL) })
		stopping.Go(func() {
			<-exited
			if !kill.Stop() {
				c.record.Say("the process of %s had not ended at the end of the grace period", g.Name)
			} else if code := g.command.ProcessState.ExitCode(); code != 0 {
				c.record.Say("the process of %s has ended with %s", g.Name, g.command.ProcessState)
				c.ledger.fail()
			}
			c.record.Printf("platform the process of %s has ended", g.Name)
			time.Sleep(restartDelay)
			errs[n] = c.Launch(g)
		})
	}
	stopping.Wait()
	beside.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	if err := c.AwaitReady(readyTime); err != nil {
		return err
	}
	for _, i := range hosts {
		c.ledger.back(i)
	}
	// The hosts are in touch before the next stop.
	time.Sleep(contactTime + 500*time.Millisecond)
	return nil
}

// calm lets callers stop using some hosts, and waits until their requests have ended.
func (c *stopCase) calm(hosts []int) {
	for _, i := range hosts {
		c.ledger.calm(i)
	}
	time.Sleep(slowSendTime + longestWork)
}

// sendLate opens connections before a quiet host closes its port, and sends a request on
// each shortly afterwards.
func (c *stopCase) sendLate(hosts []int) {
	const opened, earliest, spread = 2900 * time.Millisecond, 200 * time.Millisecond, 700 * time.Millisecond
	time.Sleep(opened)
	for _, i := range hosts {
		for n := range 4 {
			c.traffic.Go(func() {
				q := work("work", n, workTimeout, 0)
				a := SendLate(c.Front(i), earliest+rand.N(spread), q)
				c.ledger.answered(i, "late", q, workTimeout, a)
			})
		}
	}
}

// sendLong sends long prompts until the run is over.
func (c *stopCase) sendLong() {
	for n := 0; !c.isOver(); n++ {
		host, q := c.ledger.usable(rand.IntN(hostCount)), Archive(n)
		if rand.IntN(2) == 0 {
			host = c.ledger.stopping()
		}
		c.traffic.Go(func() {
			a := Send(c.context(), c.Front(host), q)
			c.ledger.answered(host, "long", q, longTimeout, a)
		})
		time.Sleep(time.Duration(rand.ExpFloat64() / longRate * float64(time.Second)))
	}
}

// watchClock records when this process was held up, as it plays the callers and the
// engines.
func (c *stopCase) watchClock() {
	const interval, tolerance = 20 * time.Millisecond, 200 * time.Millisecond
	for last := time.Now(); !c.isOver(); {
		time.Sleep(interval)
		now := time.Now()
		if late := now.Sub(last) - interval; late > tolerance {
			c.record.Say("the callers and engines were held up for %s", late.Round(time.Millisecond))
		}
		last = now
	}
}

func (c *stopCase) isOver() bool {
	select {
	case <-c.over:
		return true
	default:
		return false
	}
}

// String names a stop in the report.
func (s stop) String() string { return fmt.Sprintf("%s of host %d", s.phase, s.host) }
