package batch

import (
	"context"
	"time"
)

// smoothing is the weight of the newest step in the reported speeds.
const smoothing = 0.2

// step is one iteration of the batch: a chunk of prefill and one token for
// each decoding stream.
type step struct {
	parts    []part
	decoding []*stream
	prefill  time.Duration
	decode   time.Duration
}

// part is the work of a step on the prompt of one stream.
type part struct {
	stream *stream
	tokens int
}

// speed holds smoothed speeds: prefill in tokens per second, decode in seconds
// per step.
type speed struct{ prefill, decode float64 }

func newSpeed(cfg Config) speed {
	return speed{
		prefill: cfg.PrefillRate / cfg.TimeScale,
		decode:  (cfg.StepBase + cfg.StepPerStream).Seconds() * cfg.TimeScale,
	}
}

func (v *speed) observe(s step) {
	tokens := 0
	for _, p := range s.parts {
		tokens += p.tokens
	}
	if tokens > 0 && s.prefill > 0 {
		v.prefill += smoothing * (float64(tokens)/s.prefill.Seconds() - v.prefill)
	}
	if len(s.decoding) > 0 {
		v.decode += smoothing * ((s.prefill + s.decode).Seconds() - v.decode)
	}
}

// runBatch plans, waits for and applies one step after the other.
func (e *Engine) runBatch(ctx context.Context) {
	for {
		if e.cfg.Control.Wait(ctx) != nil {
			return
		}
		s, ok := e.plan()
		if !ok {
			select {
			case <-e.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		if !sleep(ctx, s.prefill+s.decode) || e.cfg.Control.Wait(ctx) != nil {
			return
		}
		if e.apply(s) {
			e.cfg.Crash()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// plan chooses the work of the next step. Prompts are taken by priority and
// arrival, so that a prompt of higher priority goes before the rest of a lower
// one.
func (e *Engine) plan() (step, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var s step
	budget := e.cfg.ChunkTokens
	tokens := 0
	for _, st := range e.sorted((*stream).before) {
		if st.queued && !st.batched && e.batched < e.cfg.MaxBatch {
			st.batched = true
			e.batched++
		}
		switch {
		case st.decoding():
			s.decoding = append(s.decoding, st)
			tokens += st.promptTokens + st.generated
		case st.batched && budget > 0:
			n := min(budget, st.promptTokens-st.prefilled)
			budget -= n
			s.parts = append(s.parts, part{st, n})
			s.prefill += e.prefillTime(st.prefilled, n)
		}
	}
	s.decode = e.decodeTime(len(s.decoding), tokens)
	return s, len(s.parts)+len(s.decoding) > 0
}

// prefillTime is the time for n tokens after the first from tokens.
func (e *Engine) prefillTime(from, n int) time.Duration {
	middle := float64(from) + float64(n)/2
	seconds := float64(n) / e.cfg.PrefillRate * (1 + middle/e.cfg.PrefillKnee)
	return e.scale(time.Duration(seconds * float64(time.Second)))
}

// decodeTime is the time of a decode step of n streams with tokens of context in all.
func (e *Engine) decodeTime(n, tokens int) time.Duration {
	if n == 0 {
		return 0
	}
	d := e.cfg.StepBase + time.Duration(n)*e.cfg.StepPerStream
	d += time.Duration(float64(tokens) / 1000 * float64(e.cfg.StepPerContext))
	return e.scale(d)
}

func (e *Engine) scale(d time.Duration) time.Duration {
	return time.Duration(float64(d) * e.cfg.TimeScale * e.cfg.Control.Slow())
}

// apply records the result of a step. It returns true if a prompt of the step
// crashes the engine.
func (e *Engine) apply(s step) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	crash := false
	for _, p := range s.parts {
		if p.stream.done {
			continue
		}
		crash = crash || p.stream.crash
		p.stream.prefilled += p.tokens
		if p.stream.prefilled == p.stream.promptTokens {
			e.storePrompt(p.stream)
			e.emit(p.stream)
		}
	}
	for _, st := range s.decoding {
		if !st.done {
			e.emit(st)
		}
	}
	e.speed.observe(s)
	return crash
}

// emit adds a token to a stream.
func (e *Engine) emit(s *stream) {
	s.generated++
	if s.generated == s.req.MaxTokens {
		e.end(s, "")
		return
	}
	s.notify()
}

// storePrompt moves the memory of the prompt's blocks to the cache, and frees
// what another stream has stored already.
func (e *Engine) storePrompt(s *stream) {
	for i := s.pinned; i < len(s.hashes); i++ {
		e.cache.store(s.req.Organisation, s.hashes, i)
		s.pinned++
		s.private -= blockTokens
		e.private -= blockTokens
	}
}
