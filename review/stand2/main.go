// Command stand2 plays the scripts of the second review: real gateways on loopback
// addresses, with stand-ins of the platform's store, the engines and the clients.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// background holds the goroutines that end with the process.
var background sync.WaitGroup

// record writes what was sent, answered and run, one line each.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	start time.Time
}

func (r *record) add(event string, fields ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s", time.Since(r.start).Seconds(), event)
	for i := 0; i+1 < len(fields); i += 2 {
		if fields[i+1] != "" {
			_, _ = fmt.Fprintf(r.out, " %s=%s", fields[i], strings.ReplaceAll(fields[i+1], " ", "_"))
		}
	}
	_ = r.out.WriteByte('\n')
}

func (r *record) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
}

// stage is what the cases use.
type stage struct {
	block   block
	store   *store
	engines *engines
	fleet   *fleet
	clients *clients
	log     *record
	trouble bool
}

// verdict is the result of a case: the rule held if broken is empty.
type verdict struct {
	broken  []string
	details []string
}

var cases = map[string]func(s *stage) (verdict, error){
	"limit":  playLimit,
	"poison": playPoison,
	"stop":   playStop,
	"permit": playPermit,
	"common": playCommon,
}

func main() { os.Exit(run1()) }

func run1() int {
	name := flag.String("case", "", "the case to play")
	root := flag.String("root", ".", "the repository")
	dir := flag.String("dir", "", "a temporary folder")
	out := flag.String("record", "record.txt", "where to write the record")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	file, err := os.Create(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	log := &record{out: bufio.NewWriter(file), start: time.Now()}
	defer log.flush()
	s, err := newStage(*root, *dir, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.fleet.stop()
	v, err := play(s)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, line := range v.details {
		fmt.Println(line)
		log.add("detail", "text", line)
	}
	if len(v.broken) > 0 {
		for _, line := range v.broken {
			fmt.Println("broken:", line)
			log.add("broken", "text", line)
		}
		return 1
	}
	fmt.Println("the rule held")
	log.add("held")
	return 0
}

// newStage starts the store. Machine 200 of the block is the store, and machines from 100
// on are engines.
func newStage(root, dir string, log *record) (*stage, error) {
	b, err := freeBlock(250)
	if err != nil {
		return nil, err
	}
	s := &stage{block: b, store: newStore(), log: log, trouble: os.Getenv("TROUBLE") != "0", clients: newClients(log)}
	address := b.address(200, portStore)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: s.store, ReadHeaderTimeout: 5 * time.Second}
	background.Go(func() { _ = server.Serve(l) })
	s.engines = newEngines("huvo11a", s.store, log)
	var seeds []string
	for n := 1; n <= 3; n++ {
		seeds = append(seeds, b.address(n, portPeers))
	}
	s.fleet, err = newFleet(b, root, dir, address, seeds, log)
	return s, err
}

// startEngines starts engines in all zones.
func (s *stage) startEngines(count int) error {
	for n := range count {
		if err := s.engines.start(s.block.address(100+n, portEngine), zoneOf(n)); err != nil {
			return err
		}
	}
	return nil
}

// every calls fn at a rate until the time, each call in a goroutine of its own, and
// waits for them.
func every(interval time.Duration, until time.Time, fn func()) {
	var calls sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for now := range ticker.C {
		if now.After(until) {
			break
		}
		calls.Go(fn)
	}
	calls.Wait()
}
