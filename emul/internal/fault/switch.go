package fault

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Path is the route at which a stand-in reads and changes its faults.
const Path = "/faults"

// connNumberKey is the context key of a connection's number.
type connNumberKey struct{}

// Switch holds the fault state of a stand-in and applies it to requests. It
// implements batch.Control.
type Switch struct {
	log   logrus.FieldLogger
	crash func()

	mu         sync.Mutex
	state      State
	changed    chan struct{} // closed and replaced at every change
	lastConn   uint64        // number of the last accepted connection
	silentUpTo uint64        // connections up to this number are silent
	rng        *rand.Rand
}

// NewSwitch returns a switch without faults. The seed determines which replies
// LoseShare loses. crash is called to end the process.
func NewSwitch(log logrus.FieldLogger, seed uint64, crash func()) *Switch {
	return &Switch{
		log: log, crash: crash, changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, seed)),
	}
}

// ConnContext numbers connections. It is meant for http.Server.ConnContext.
func (s *Switch) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastConn++
	return context.WithValue(ctx, connNumberKey{}, s.lastConn)
}

// Apply changes the state by the JSON body of a POST /faults.
func (s *Switch) Apply(body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.state
	next.Methods = slices.Clone(next.Methods)
	if err := json.Unmarshal(body, &next); err != nil {
		return err
	}
	if next.Silent {
		s.silentUpTo = s.lastConn
		next.Silent = false
	}
	crash := next.Crash
	next.Crash = false
	s.state = next
	close(s.changed)
	s.changed = make(chan struct{})
	s.log.WithField("faults", string(body)).Info("faults changed")
	if crash {
		s.crash()
	}
	return nil
}

// State returns the state and a channel that is closed when it changes.
func (s *Switch) State() (State, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state, s.changed
}

// Wait blocks while the stand-in is frozen. Once ctx has ended, it returns the error
// of ctx.
func (s *Switch) Wait(ctx context.Context) error {
	for {
		state, changed := s.State()
		if !state.Freeze || ctx.Err() != nil {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// Slow returns the factor on modelled times.
func (s *Switch) Slow() float64 {
	state, _ := s.State()
	if state.SlowFactor <= 0 {
		return 1
	}
	return state.SlowFactor
}

// isSilent reports whether the connection of a request is silent.
func (s *Switch) isSilent(ctx context.Context) bool {
	conn, _ := ctx.Value(connNumberKey{}).(uint64)
	s.mu.Lock()
	defer s.mu.Unlock()
	return conn > 0 && conn <= s.silentUpTo
}

// loseReply decides whether the reply to a request is lost: first by LoseNext, which
// it counts down, then at random by LoseShare.
func (s *Switch) loseReply(method string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.state.Methods) > 0 && !slices.Contains(s.state.Methods, method) {
		return false
	}
	if s.state.LoseNext > 0 {
		s.state.LoseNext--
		return true
	}
	return s.state.LoseShare > 0 && s.rng.Float64() < s.state.LoseShare
}

// ServeHTTP answers GET and POST /faults. Faults do not apply to these requests.
func (s *Switch) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		body, err := readAll(r)
		if err == nil {
			err = s.Apply(body)
		}
		if err != nil {
			http.Error(w, `{"error":"body is not a fault state"}`, http.StatusBadRequest)
			return
		}
	}
	state, _ := s.State()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(state)
}

// Wrap returns a handler that serves Path and applies the faults to requests for
// next.
func (s *Switch) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == Path {
			s.ServeHTTP(w, r)
			return
		}
		// The faults below wait until the client disconnects. net/http notices a
		// closed connection only after the body is read, so it is read first.
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		if s.isSilent(ctx) {
			<-ctx.Done()
			return
		}
		if s.Wait(ctx) != nil {
			return
		}
		state, changed := s.State()
		switch state.Outage {
		case OutageUnavailable:
			http.Error(w, `{"error":"outage"}`, http.StatusServiceUnavailable)
			return
		case OutageClosed:
			panic(http.ErrAbortHandler)
		case OutageHang:
			<-ctx.Done()
			return
		}
		if !sleep(ctx, state.delay()) {
			return
		}
		faulty := &writer{ResponseWriter: w, sw: s, ctx: ctx, loseReply: s.loseReply(r.Method)}
		stop := s.cancelOnOutage(ctx, cancel, changed)
		defer stop()
		next.ServeHTTP(faulty, r.WithContext(ctx))
	})
}

// cancelOnOutage cancels a running request, such as a waiting watch, when an outage
// begins. The returned function stops the goroutine that waits for the outage.
func (s *Switch) cancelOnOutage(ctx context.Context, cancel func(), changed <-chan struct{}) func() {
	var wg sync.WaitGroup
	done := make(chan struct{})
	wg.Go(func() {
		for {
			select {
			case <-changed:
			case <-done:
				return
			case <-ctx.Done():
				return
			}
			var state State
			if state, changed = s.State(); state.Outage != "" {
				cancel()
				return
			}
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

// sleep returns false if ctx ends before d has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
