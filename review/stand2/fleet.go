package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of the gateways. Each machine has an address of its own on loopback.
const (
	portReady     = 8220
	portStore     = 8223
	portDirectory = 8224
	portFrontend  = 8227
	portPeers     = 8229
	portMetrics   = 9100
	portEngine    = 8080
)

const gracePeriod = 8 * time.Second

// block is a range of loopback addresses, 127.a.b.0/24, on which the ports are free.
type block struct{ a, b int }

func (b block) ip(n int) string { return fmt.Sprintf("127.%d.%d.%d", b.a, b.b, n) }

func (b block) address(n, port int) string { return fmt.Sprintf("%s:%d", b.ip(n), port) }

// freeBlock returns a block in which all ports of some machines can be opened.
func freeBlock(machines int) (block, error) {
	for range 20 {
		b := block{60 + rand.IntN(150), 1 + rand.IntN(250)}
		if b.free(machines) {
			return b, nil
		}
	}
	return block{}, fmt.Errorf("no range of loopback addresses with free ports")
}

func (b block) free(machines int) bool {
	for n := 1; n <= machines; n++ {
		for _, port := range []int{portReady, portStore, portDirectory, portFrontend, portPeers, portMetrics, portEngine} {
			l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", b.address(n, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// fleet starts gateways as the deploy file says.
type fleet struct {
	block    block
	program  string
	template string
	store    string
	seeds    []string
	dir      string
	log      *record

	mu       sync.Mutex
	gateways map[int]*gateway
	// placedAt is when each machine last placed a request as the owner, by number.
	placedAt map[int]time.Time
}

// gateway is one machine with its process.
type gateway struct {
	number  int
	name    string
	process *exec.Cmd
	// calmSince is when the process last began to run undisturbed; zero while it is
	// being stopped.
	calmSince time.Time
	ended     chan struct{}
}

// newFleet reads the command and the template of the deploy file in the repository.
func newFleet(b block, root, dir, store string, seeds []string, log *record) (*fleet, error) {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	command := regexp.MustCompile(`(?m)^run = "([^" ]+)"`).FindSubmatch(deploy)
	name := regexp.MustCompile(`(?m)^template = "([^"]+)"`).FindSubmatch(deploy)
	if command == nil || name == nil {
		return nil, fmt.Errorf("the deploy file names no command or template")
	}
	template, err := os.ReadFile(filepath.Join(root, string(name[1])))
	if err != nil {
		return nil, err
	}
	return &fleet{
		block: b, program: filepath.Join(root, string(command[1])), template: string(template), store: store, seeds: seeds, dir: dir, log: log,
		gateways: map[int]*gateway{}, placedAt: map[int]time.Time{},
	}, nil
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)

// settings fills in the template with the fields of DEPLOY.md.
func (f *fleet) settings(n int, zone string) string {
	ip := f.block.ip(n)
	fields := map[string]any{
		"node_name": fmt.Sprintf("edge-%d", n), "zone": zone, "region_name": "sofia", "ip_address": ip,
		"listen_addrs.frontend": f.block.address(n, portFrontend), "listen_addrs.ready": f.block.address(n, portReady),
		"listen_addrs.control_plane": f.block.address(n, portPeers), "listen_addrs.registry": f.block.address(n, portDirectory),
		"seed_nodes": f.seeds, "platform.address": f.store, "limits.memory_mb": 284, "limits.cpu_quota": 0.4,
		"parameters.grace_period_s": 8, "parameters.retry_ratio": 0.2, "parameters.retry_allowance": 100,
		"parameters.retry_window_s": 10, "parameters.hold_limit_ms": 20000,
	}
	return placeholder.ReplaceAllStringFunc(f.template, func(text string) string {
		parts := placeholder.FindStringSubmatch(text)
		value, ok := fields[parts[1]]
		if !ok {
			return ""
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		data, _ := json.Marshal(value)
		return string(data)
	})
}

func zoneOf(n int) string { return []string{"sofia-a", "sofia-b", "sofia-c"}[n%3] }

// start starts the gateway of a machine.
func (f *fleet) start(n int) error {
	path := filepath.Join(f.dir, fmt.Sprintf("edge-%d.json", n))
	if err := os.WriteFile(path, []byte(f.settings(n, zoneOf(n))), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(f.dir, fmt.Sprintf("edge-%d.log", n)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(f.program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "VERBENAPIER_SETTINGS=" + path}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Stderr = logFile
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	g := &gateway{number: n, name: fmt.Sprintf("edge-%d", n), process: cmd, calmSince: time.Now(), ended: make(chan struct{})}
	f.mu.Lock()
	f.gateways[n] = g
	f.mu.Unlock()
	f.log.add("machine-start", "machine", g.name, "address", f.block.ip(n))
	background.Go(func() {
		f.follow(n, io.TeeReader(out, logFile))
		_ = cmd.Wait()
		_ = logFile.Close()
		close(g.ended)
		f.log.add("machine-end", "machine", g.name)
	})
	return nil
}

// setSeeds changes the seeds in the settings of all machines, and tells their processes.
func (f *fleet) setSeeds(machines ...int) error {
	f.mu.Lock()
	f.seeds = nil
	for _, n := range machines {
		f.seeds = append(f.seeds, f.block.address(n, portPeers))
	}
	var running []*gateway
	for _, g := range f.gateways {
		running = append(running, g)
	}
	f.mu.Unlock()
	for _, g := range running {
		path := filepath.Join(f.dir, g.name+".json")
		if err := os.WriteFile(path, []byte(f.settings(g.number, zoneOf(g.number))), 0o600); err != nil {
			return err
		}
		_ = g.process.Process.Signal(syscall.SIGHUP)
	}
	f.log.add("seeds-changed", "seeds", strings.Join(f.seeds, ","))
	return nil
}

// follow notes which machine places requests, as operators see it in the log.
func (f *fleet) follow(n int, log io.Reader) {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if strings.Contains(lines.Text(), `"event":"granted"`) {
			f.mu.Lock()
			f.placedAt[n] = time.Now()
			f.mu.Unlock()
		}
	}
	_, _ = io.Copy(io.Discard, log)
}

// placers returns the machines that placed requests since a time.
func (f *fleet) placers(since time.Time) []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []int
	for n, at := range f.placedAt {
		if at.After(since) {
			list = append(list, n)
		}
	}
	return list
}

// get returns the gateway of a machine.
func (f *fleet) get(n int) *gateway {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gateways[n]
}

// remove kills the process of a machine for good.
func (f *fleet) remove(n int) {
	g := f.get(n)
	f.mu.Lock()
	delete(f.gateways, n)
	f.mu.Unlock()
	f.log.add("machine-removed", "machine", g.name)
	_ = g.process.Process.Kill()
	<-g.ended
}

// restart stops a machine with SIGTERM, SIGKILL after the grace period, and starts it
// again.
func (f *fleet) restart(n int) error {
	g := f.get(n)
	f.mu.Lock()
	g.calmSince = time.Time{}
	f.mu.Unlock()
	f.log.add("machine-sigterm", "machine", g.name)
	_ = g.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-g.ended:
	case <-time.After(gracePeriod):
		_ = g.process.Process.Kill()
		<-g.ended
	}
	time.Sleep(300 * time.Millisecond)
	return f.start(n)
}

// calm returns the machines that have run undisturbed for a time.
func (f *fleet) calm(d time.Duration) []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []int
	for n, g := range f.gateways {
		if !g.calmSince.IsZero() && time.Since(g.calmSince) >= d {
			list = append(list, n)
		}
	}
	return list
}

// stop ends all processes.
func (f *fleet) stop() {
	f.mu.Lock()
	var all []*gateway
	for _, g := range f.gateways {
		all = append(all, g)
	}
	f.mu.Unlock()
	for _, g := range all {
		_ = g.process.Process.Kill()
		<-g.ended
	}
}
