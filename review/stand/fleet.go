package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Gateway is one machine of the system.
type Gateway struct {
	Name, Zone, IP string
	settings       string
	command        *exec.Cmd
	exited         chan struct{}
	// signalled is set once a signal that ends the current process was sent.
	signalled *bool
	// ends counts the ends of the process that no signal caused.
	ends int
}

// Fleet is a small deployment: the store, engines and gateways as processes.
type Fleet struct {
	root, folder, network string
	port                  int
	store                 *Store
	record                *Record
	engines               []*Engine
	gateways              []*Gateway
	command               []string
	template              string
	stores                []*Server
	stop                  chan struct{}
	mu                    sync.Mutex
	closed                bool
	background            sync.WaitGroup
	// storeHandler wraps the store for a gateway, or is nil.
	storeHandler func(gateway int, h http.Handler) http.Handler
}

var (
	runLine      = regexp.MustCompile(`(?m)^run\s*=\s*"([^"]+)"`)
	templateLine = regexp.MustCompile(`(?m)^template\s*=\s*"([^"]+)"`)
	placeholder  = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// NewFleet reads the deploy file of the repository and picks free addresses.
func NewFleet(root string, r *Record) (*Fleet, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	run, tmpl := runLine.FindSubmatch(deploy), templateLine.FindSubmatch(deploy)
	if run == nil || tmpl == nil {
		return nil, errors.New("the deploy file has no run or no template")
	}
	text, err := os.ReadFile(filepath.Join(root, string(tmpl[1])))
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		root: root, folder: folder, record: r, store: NewStore(r), command: strings.Fields(string(run[1])),
		template: string(text), stop: make(chan struct{}),
	}
	for range 50 {
		f.network = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250))
		f.port = 20000 + rand.IntN(9000)
		if f.free() {
			return f, nil
		}
	}
	return nil, errors.New("no free addresses")
}

// free reports whether the ports of the first machines are free.
func (f *Fleet) free() bool {
	for host := 10; host < 22; host++ {
		for _, port := range []int{f.port, f.port + 1, f.port + 2, f.port + 3, 9100} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", f.network, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// AddEngine starts an engine or a server of a plain service.
func (f *Fleet) AddEngine(e *Engine) error {
	e.store, e.record = f.store, f.record
	e.address = fmt.Sprintf("%s%d:%d", f.network, 100+len(f.engines), f.port+10)
	f.engines = append(f.engines, e)
	return e.Start()
}

// Background runs the heartbeats of the engines and the leases of the store.
func (f *Fleet) Background() {
	f.background.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-f.stop:
				return
			case <-time.After(heartbeat / 12):
			}
			f.store.Expire()
			for i, e := range f.engines {
				if i%12 == n%12 {
					e.register()
				}
			}
		}
	})
}

// fields are the settings that the platform fills in.
func (f *Fleet) fields(g *Gateway, i int, seeds []string) map[string]any {
	at := func(port int) string { return fmt.Sprintf("%s:%d", g.IP, f.port+port) }
	return map[string]any{
		"node_name": g.Name, "zone": g.Zone, "region_name": "sofia", "ip_address": g.IP, "seed_nodes": seeds,
		"listen_addrs": map[string]any{"frontend": at(0), "ready": at(1), "control_plane": at(2), "registry": at(3)},
		"platform":     map[string]any{"address": fmt.Sprintf("%s%d:%d", f.network, 200+i, f.port+4)},
		"limits":       map[string]any{"memory_mb": 284, "cpu_quota": 0.4},
		"parameters":   map[string]any{"grace_period_s": 8, "retry_ratio": 0.2, "retry_allowance": 100, "retry_window_s": 10, "hold_limit_ms": 20000},
	}
}

// render fills in the template of the settings.
func (f *Fleet) render(values map[string]any) string {
	return placeholder.ReplaceAllStringFunc(f.template, func(match string) string {
		m := placeholder.FindStringSubmatch(match)
		var value any = values
		for part := range strings.SplitSeq(m[1], ".") {
			value = value.(map[string]any)[part]
		}
		if m[2] == "" {
			return fmt.Sprint(value)
		}
		data, _ := json.Marshal(value)
		return string(data)
	})
}

// AddGateways starts the machines of the system, in the given zones.
func (f *Fleet) AddGateways(zones []string) error {
	var seeds []string
	for i, zone := range zones {
		g := &Gateway{Name: fmt.Sprintf("edge-%s-%d", zone, i), Zone: zone, IP: fmt.Sprintf("%s%d", f.network, 10+i)}
		f.gateways = append(f.gateways, g)
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", g.IP, f.port+2))
		}
	}
	for i, g := range f.gateways {
		var h http.Handler = f.store
		if f.storeHandler != nil {
			h = f.storeHandler(i, h)
		}
		s := NewServer(fmt.Sprintf("%s%d:%d", f.network, 200+i, f.port+4), h)
		if err := s.Start(); err != nil {
			return err
		}
		f.stores = append(f.stores, s)
		g.settings = filepath.Join(f.folder, g.Name+".json")
		if err := os.WriteFile(g.settings, []byte(f.render(f.fields(g, i, seeds))), 0o600); err != nil {
			return err
		}
		if err := f.Launch(g); err != nil {
			return err
		}
	}
	return nil
}

// restartDelay is the time after which the platform starts a process again.
const restartDelay = time.Second

// Launch starts the process of a machine.
func (f *Fleet) Launch(g *Gateway) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.launch(g)
}

// launch is Launch for a caller that holds mu.
func (f *Fleet) launch(g *Gateway) error {
	signalled := new(bool)
	g.signalled = signalled
	log, err := os.OpenFile(filepath.Join(f.folder, g.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.command = exec.Command(filepath.Join(f.root, f.command[0]), f.command[1:]...)
	g.command.Dir = f.root
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, "VERBENAPIER_SETTINGS=" + g.settings}
	g.command.Stdout, g.command.Stderr = log, log
	if err := g.command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.exited = exited
	command := g.command
	f.background.Go(func() {
		err := command.Wait()
		_ = log.Close()
		close(exited)
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.closed || *signalled {
			return
		}
		g.ends++
		f.record.Printf("platform %s has ended by itself: %v; it is started again", g.Name, err)
		f.background.Go(func() {
			time.Sleep(restartDelay)
			f.mu.Lock()
			defer f.mu.Unlock()
			if !f.closed {
				_ = f.launch(g)
			}
		})
	})
	f.record.Printf("platform starts %s at %s", g.Name, g.IP)
	return nil
}

// Signal sends a signal to the process of a machine.
func (f *Fleet) Signal(g *Gateway, s syscall.Signal) {
	f.record.Printf("platform sends %s to %s", s, g.Name)
	f.mu.Lock()
	defer f.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		*g.signalled = true
	}
	_ = g.command.Process.Signal(s)
}

// Front returns the address for clients of a gateway.
func (f *Fleet) Front(i int) string { return fmt.Sprintf("%s:%d", f.gateways[i].IP, f.port) }

// Ready asks a gateway whether it is ready, as the platform does.
func (f *Fleet) Ready(g *Gateway) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/readyz", g.IP, f.port+1))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// allReady reports whether all gateways are ready.
func (f *Fleet) allReady() bool {
	for _, g := range f.gateways {
		if !f.Ready(g) {
			return false
		}
	}
	return true
}

// AwaitReady waits until all gateways are ready.
func (f *Fleet) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, g := range f.gateways {
			if f.Ready(g) {
				ready++
			}
		}
		if ready == len(f.gateways) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d gateways are ready", ready, len(f.gateways))
		}
	}
}

// CloseOnSignal ends all processes if this one is told to end.
func (f *Fleet) CloseOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	f.background.Go(func() {
		select {
		case <-signals:
			f.killAll()
			_ = os.RemoveAll(f.folder)
			os.Exit(notRun)
		case <-f.stop:
		}
	})
}

// killAll ends the processes of all machines.
func (f *Fleet) killAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, g := range f.gateways {
		if g.exited != nil {
			_ = g.command.Process.Signal(syscall.SIGCONT)
			_ = g.command.Process.Kill()
		}
	}
}

// Close ends all processes and removes the temporary folder.
func (f *Fleet) Close() {
	f.killAll()
	for _, g := range f.gateways {
		if g.exited != nil {
			<-g.exited
		}
	}
	close(f.stop)
	for _, e := range f.engines {
		e.downTime = 0
		e.server.Crash()
	}
	for _, s := range f.stores {
		s.Crash()
	}
	f.background.Wait()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(f.folder))
	}
	_ = os.RemoveAll(f.folder)
}
