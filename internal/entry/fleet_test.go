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

	"github.com/verbenapier/verbenapier/internal/crash"
	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/internal/sched"
	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

const (
	// fakePrefill is the time from the start of a stream to its first frame,
	// fakeStep the time between two frames.
	fakePrefill = 50 * time.Millisecond
	fakeStep    = 20 * time.Millisecond
	// fakeSilenceTimeout is how long a reader waits for a silent engine before
	// it reports the connection as lost.
	fakeSilenceTimeout = 3 * time.Second
	// fakeDetachTimeout is how long an engine keeps a stream without a reader. It
	// is also the lifetime of the grants.
	fakeDetachTimeout = 15 * time.Second
)

// expectedPiece is the piece of text that a fake engine generates at a
// position of the output for a prompt.
func expectedPiece(prompt string, position int) string {
	return fmt.Sprintf("<%s/%d>", prompt, position)
}

// fakeFleet is a set of fake engines with seeded faults. It also implements the
// interfaces Cells, Directory and Admission, and RecordCrash of Quarantine. The
// type admitAll adds the other methods of Quarantine.
type fakeFleet struct {
	mu      sync.Mutex
	rand    *rand.Rand
	engines []*fakeEngine
	// faultFactor is the factor by which the probability of every fault is
	// multiplied.
	faultFactor float64
	// startsByPrompt counts the streams that were started for each prompt.
	startsByPrompt  map[string]int
	recordedCrashes int
	// reachedByOthers is set if other nodes reach the engines that this one does not.
	reachedByOthers bool
	nextID          int
}

type fakeEngine struct {
	name  string
	alive bool
	// silencedAt is when the engine last became silent. Only the readers that were
	// open at that time receive nothing more; later readers are served.
	silencedAt time.Time
	streams    map[string]*fakeStream
}

type fakeStream struct {
	prompt string
	// first is the position of the stream's first piece in the output.
	first      int
	attempt    int
	length     int
	startedAt  time.Time
	readers    int
	detachedAt time.Time
}

func newFakeFleet(seed uint64, engines int, faultFactor float64) *fakeFleet {
	f := &fakeFleet{rand: rand.New(rand.NewPCG(seed, seed)), faultFactor: faultFactor, startsByPrompt: map[string]int{}}
	for i := range engines {
		f.engines = append(f.engines, &fakeEngine{name: fmt.Sprintf("e%d", i), alive: true, streams: map[string]*fakeStream{}})
	}
	return f
}

func (f *fakeFleet) chance(p float64) bool { return f.rand.Float64() < p*f.faultFactor }

// injectFaults kills, restarts and silences engines until the context ends.
func (f *fakeFleet) injectFaults(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, 200*time.Millisecond)
		f.mu.Lock()
		e := f.engines[f.rand.IntN(len(f.engines))]
		kill, silence := f.chance(0.2), f.chance(0.16)
		switch {
		case !e.alive:
			e.alive = true
		case kill:
			e.alive, e.streams = false, map[string]*fakeStream{}
		case silence:
			e.silencedAt = time.Now()
		}
		for _, e := range f.engines {
			e.expireStreams()
		}
		f.mu.Unlock()
	}
	return nil
}

// expireStreams frees the streams that had no reader for fakeDetachTimeout.
func (e *fakeEngine) expireStreams() {
	for id, s := range e.streams {
		if s.readers == 0 && time.Since(s.detachedAt) > fakeDetachTimeout {
			delete(e.streams, id)
		}
	}
}

func (f *fakeFleet) streamCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.engines {
		n += len(e.streams)
	}
	return n
}

func (f *fakeFleet) engineAt(address string) *fakeEngine {
	for _, e := range f.engines {
		if e.name == address {
			return e
		}
	}
	return nil
}

func (f *fakeFleet) Start(ctx context.Context, address string, req engine.StartRequest) (Frames, error) {
	sleep(ctx, time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engineAt(address)
	switch {
	case ctx.Err() != nil:
		return nil, ctx.Err()
	case !e.alive:
		return nil, fault.New(fault.Unreachable, "refused")
	case f.chance(0.1):
		return nil, fault.New(fault.UpstreamRefused, "no memory")
	}
	// A prompt followed by pieces of its output asks the engine to continue after
	// the last of these pieces.
	prompt, answer, _ := strings.Cut(req.Prompt, "<")
	first := 0
	if answer != "" {
		first = strings.Count(answer, "<") + 1
	}
	f.startsByPrompt[prompt]++
	s := &fakeStream{prompt: prompt, first: first, attempt: req.Attempt, length: req.MaxTokens, startedAt: time.Now(), detachedAt: time.Now()}
	e.streams[req.ID] = s
	if f.chance(0.1) {
		return nil, fault.Wrap(fault.UpstreamLost, io.ErrUnexpectedEOF, "reply lost")
	}
	return f.newReader(ctx, e, req.ID, s, 0), nil
}

func (f *fakeFleet) Resume(ctx context.Context, address, id string, attempt, from int) (Frames, error) {
	sleep(ctx, time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engineAt(address)
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
	return f.newReader(ctx, e, id, s, from), nil
}

func (f *fakeFleet) newReader(ctx context.Context, e *fakeEngine, id string, s *fakeStream, from int) Frames {
	s.readers++
	return &fakeReader{ctx: ctx, fleet: f, engine: e, id: id, stream: s, seq: from, opened: time.Now()}
}

func (f *fakeFleet) Cancel(_ context.Context, address, id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.engineAt(address).streams, id)
	return nil
}

type fakeReader struct {
	ctx    context.Context
	fleet  *fakeFleet
	engine *fakeEngine
	id     string
	stream *fakeStream
	// seq is the position of the next piece in the stream. In the output, the
	// stream starts at position stream.first.
	seq    int
	opened time.Time
}

func (r *fakeReader) Next() (engine.Frame, error) {
	s := r.stream
	due := s.startedAt.Add(fakePrefill + time.Duration(r.seq)*fakeStep)
	sleep(r.ctx, time.Until(due))
	f := r.fleet
	f.mu.Lock()
	silent := r.engine.silencedAt.After(r.opened)
	f.mu.Unlock()
	if silent {
		sleep(r.ctx, fakeSilenceTimeout)
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
		// A frame of the previous attempt, as if it had been left on a reused
		// connection.
		frame.Attempt--
		frame.Text = expectedPiece("stale", r.seq)
		return frame, nil
	case r.seq > 0 && f.chance(0.05):
		// The previous frame once more.
		frame.Seq--
		frame.Text = expectedPiece(s.prompt, s.first+r.seq-1)
		return frame, nil
	case f.chance(0.02):
		// A gap: the frame at one position is missing.
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
	r.stream.readers--
	r.stream.detachedAt = time.Now()
}

// The methods below implement the other dependencies of a server.

func (f *fakeFleet) Known() bool { return true }

func (f *fakeFleet) Rank(string, string) []string { return []string{"cell-a", "cell-b"} }

func (f *fakeFleet) Acquire(ctx context.Context, req sched.Request) (sched.Grant, error) {
	sleep(ctx, time.Millisecond)
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
	return sched.Grant{ID: fmt.Sprintf("g%d", f.nextID), Cell: req.Cell, Engine: e.name, Address: e.name, Lifetime: fakeDetachTimeout}, nil
}

func (f *fakeFleet) Renew(context.Context, sched.Renewal) error   { return nil }
func (f *fakeFleet) Release(context.Context, sched.Release) error { return nil }

func (f *fakeFleet) RecordCrash(context.Context, string, Dispatch, bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordedCrashes++
	return nil
}

// Ended implements Witnesses: no other node reaches more engines than this one, unless
// reachedByOthers is set.
func (f *fakeFleet) Ended(context.Context, string, string) bool { return !f.reachedByOthers }

// nodeContent is the content that one node knows.
type nodeContent struct{ *crash.Tracker }

func (n nodeContent) Report(r crash.Report) { n.Ended(r) }

// admitAll is a quarantine that admits every dispatch and requires none to run
// alone.
type admitAll struct{ *fakeFleet }

func (admitAll) Admit(context.Context, Dispatch) (bool, error) { return false, nil }
func (admitAll) Release(context.Context, Dispatch) error       { return nil }
func (admitAll) Clear(context.Context, Dispatch) error         { return nil }

func (f *fakeFleet) Admit(context.Context, string, confd.Organisation, int) (func(), error) {
	return func() {}, nil
}
func (f *fakeFleet) Admitted(string, string, float64)       {}
func (f *fakeFleet) Retry(string, string) bool              { return true }
func (f *fakeFleet) RetryAfter(error) (time.Duration, bool) { return 0, false }

func (f *fakeFleet) Addresses() []Address {
	return []Address{{"10.0.0.2:80", "far"}, {"10.0.0.1:80", "near"}}
}
func (f *fakeFleet) Upstreams(string) []string { return nil }

// noClaims refuses every claim.
type noClaims struct{}

func (noClaims) Acquire(context.Context, Claim) (FinishFunc, *Outcome, error) {
	return nil, nil, errors.New("no claims in this test")
}
