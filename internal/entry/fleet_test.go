package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/internal/sched"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

const (
	fakePrefill  = 50 * time.Millisecond
	fakeStep     = 20 * time.Millisecond
	fakeSilence  = 3 * time.Second
	fakeDetached = 15 * time.Second
)

// expectedPiece is the piece that a fake engine generates for a prompt.
func expectedPiece(prompt string, seq int) string {
	return fmt.Sprintf("<%s/%d>", prompt, seq)
}

// fleet is a set of fake engines with seeded faults. It also stands in for the
// cells, quarantine, limits and claims.
type fleet struct {
	mu      sync.Mutex
	rand    *rand.Rand
	engines []*fakeEngine
	faults  float64
	// ran counts the engines that began each prompt.
	ran    map[string]int
	blamed int
	nextID int
}

type fakeEngine struct {
	name    string
	alive   bool
	silent  time.Time
	streams map[string]*fakeStream
}

type fakeStream struct {
	prompt   string
	first    int
	attempt  int
	length   int
	began    time.Time
	attached int
	detached time.Time
}

func newFleet(seed uint64, engines int, faults float64) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(seed, seed)), faults: faults, ran: map[string]int{}}
	for i := range engines {
		f.engines = append(f.engines, &fakeEngine{name: fmt.Sprintf("e%d", i), alive: true, streams: map[string]*fakeStream{}})
	}
	return f
}

func (f *fleet) chance(p float64) bool { return f.rand.Float64() < p*f.faults }

// disturb kills, restarts and silences engines until the context ends.
func (f *fleet) disturb(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, 200*time.Millisecond)
		f.mu.Lock()
		e := f.engines[f.rand.IntN(len(f.engines))]
		kill, silence := f.chance(0.2), f.chance(0.16)
		switch {
		case !e.alive:
			e.alive = true
		case kill:
			e.alive, e.streams = false, map[string]*fakeStream{}
		case silence:
			e.silent = time.Now()
		}
		for _, e := range f.engines {
			e.sweep()
		}
		f.mu.Unlock()
	}
	return nil
}

// sweep frees the streams that had no reader for fakeDetached.
func (e *fakeEngine) sweep() {
	for id, s := range e.streams {
		if s.attached == 0 && time.Since(s.detached) > fakeDetached {
			delete(e.streams, id)
		}
	}
}

func (f *fleet) held() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.engines {
		n += len(e.streams)
	}
	return n
}

func (f *fleet) find(address string) *fakeEngine {
	for _, e := range f.engines {
		if e.name == address {
			return e
		}
	}
	return nil
}

func (f *fleet) Start(ctx context.Context, address string, req engine.StartRequest) (Frames, error) {
	pause(ctx, time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.find(address)
	switch {
	case ctx.Err() != nil:
		return nil, ctx.Err()
	case !e.alive:
		return nil, fault.New(fault.Unreachable, "refused")
	case f.chance(0.1):
		return nil, fault.New(fault.Refused, "no memory")
	}
	// A prompt that ends in the beginning of its answer continues it.
	prompt, answer, _ := strings.Cut(req.Prompt, "<")
	first := 0
	if answer != "" {
		first = strings.Count(answer, "<") + 1
	}
	f.ran[prompt]++
	s := &fakeStream{prompt: prompt, first: first, attempt: req.Attempt, length: req.MaxTokens, began: time.Now(), detached: time.Now()}
	e.streams[req.ID] = s
	if f.chance(0.1) {
		return nil, fault.Wrap(fault.UpstreamLost, io.ErrUnexpectedEOF, "reply lost")
	}
	return f.read(ctx, e, req.ID, s, 0), nil
}

func (f *fleet) Resume(ctx context.Context, address, id string, attempt, from int) (Frames, error) {
	pause(ctx, time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.find(address)
	if !e.alive {
		return nil, fault.New(fault.Unreachable, "refused")
	}
	s := e.streams[id]
	if s == nil {
		return nil, fault.New(fault.NotFound, "no stream")
	}
	if f.chance(0.1) {
		return nil, fault.Wrap(fault.UpstreamLost, engine.ErrSilent, "no answer")
	}
	s.attempt = attempt
	return f.read(ctx, e, id, s, from), nil
}

func (f *fleet) read(ctx context.Context, e *fakeEngine, id string, s *fakeStream, from int) Frames {
	s.attached++
	return &fakeReader{ctx: ctx, fleet: f, engine: e, id: id, stream: s, seq: from, opened: time.Now()}
}

func (f *fleet) Cancel(_ context.Context, address, id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.find(address).streams, id)
	return nil
}

type fakeReader struct {
	ctx    context.Context
	fleet  *fleet
	engine *fakeEngine
	id     string
	stream *fakeStream
	seq    int
	opened time.Time
}

func (r *fakeReader) Next() (engine.Frame, error) {
	s := r.stream
	due := s.began.Add(fakePrefill + time.Duration(r.seq)*fakeStep)
	pause(r.ctx, time.Until(due))
	f := r.fleet
	f.mu.Lock()
	silent := r.engine.silent.After(r.opened)
	f.mu.Unlock()
	if silent {
		pause(r.ctx, fakeSilence)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case r.ctx.Err() != nil:
		return engine.Frame{}, r.ctx.Err()
	case silent:
		return engine.Frame{}, fault.Wrap(fault.UpstreamLost, engine.ErrSilent, "silent")
	case r.engine.streams[r.id] != s:
		return engine.Frame{}, fault.Wrap(fault.UpstreamLost, io.ErrUnexpectedEOF, "closed")
	}
	frame := engine.Frame{Attempt: s.attempt, Seq: r.seq, Text: expectedPiece(s.prompt, s.first+r.seq)}
	switch {
	case f.chance(0.05):
		// A late frame of an older attempt, from a connection used before.
		frame.Attempt--
		frame.Text = expectedPiece("stale", r.seq)
		return frame, nil
	case r.seq > 0 && f.chance(0.05):
		frame.Seq--
		frame.Text = expectedPiece(s.prompt, s.first+r.seq-1)
		return frame, nil
	case f.chance(0.02):
		r.seq++
		frame.Seq++
		frame.Text = expectedPiece(s.prompt, s.first+r.seq)
	}
	r.seq++
	if r.seq >= s.length {
		frame.Done, frame.FinishReason = true, "length"
		frame.PromptTokens, frame.CompletionTokens = len(s.prompt), s.length
		delete(r.engine.streams, r.id)
	}
	return frame, nil
}

func (r *fakeReader) Close() {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.stream.attached--
	r.stream.detached = time.Now()
}

// The other dependencies of a server.

func (f *fleet) Rank(string, string) []string { return []string{"cell-a", "cell-b"} }

func (f *fleet) Acquire(ctx context.Context, req sched.Request) (sched.Grant, error) {
	pause(ctx, time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.chance(0.1) {
		return sched.Grant{}, fault.New(fault.ReplyLost, "connection lost")
	}
	if f.chance(0.05) {
		return sched.Grant{}, fault.New(fault.NotOwner, "moved")
	}
	f.nextID++
	e := f.engines[f.rand.IntN(len(f.engines))]
	return sched.Grant{ID: fmt.Sprintf("g%d", f.nextID), Cell: req.Cell, Engine: e.name, Address: e.name, Lifetime: fakeDetached}, nil
}

func (f *fleet) Renew(context.Context, sched.Renewal) error   { return nil }
func (f *fleet) Release(context.Context, sched.Release) error { return nil }

func (f *fleet) Blame(context.Context, string, Dispatch, bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blamed++
	return nil
}

// open admits every dispatch.
type open struct{ *fleet }

func (open) Admit(context.Context, Dispatch) (bool, error) { return false, nil }
func (open) Release(context.Context, Dispatch) error       { return nil }
func (open) Cleared(context.Context, Dispatch) error       { return nil }

func (f *fleet) Admit(context.Context, string, confd.Organisation, int) (func(), error) {
	return func() {}, nil
}
func (f *fleet) Admitted(string, string, float64)       {}
func (f *fleet) Retry(string, string) bool              { return true }
func (f *fleet) RetryAfter(error) (time.Duration, bool) { return 0, false }

func (f *fleet) Addresses() []Address {
	return []Address{{"10.0.0.2:80", "far"}, {"10.0.0.1:80", "near"}}
}
func (f *fleet) Upstreams(string) []string { return nil }

// noClaims refuses every claim.
type noClaims struct{}

func (noClaims) Acquire(context.Context, Claim) (FinishFunc, *Recorded, error) {
	return nil, nil, errors.New("no claims in this test")
}
