package batch

import (
	"context"
	"time"
)

// smoothing is the weight of the latest step in the moving averages of speeds.
const smoothing = 0.2

// step is one iteration of the batch: the prefill of up to ChunkTokens prompt tokens,
// and one token for each decoding stream.
type step struct {
	chunks   []prefillChunk
	decoding []*stream
	prefill  time.Duration // time of the prefill work
	decode   time.Duration // time of the decode work
}

// prefillChunk is the prefill work of a step on the prompt of one stream.
type prefillChunk struct {
	stream *stream
	tokens int
}

// speed holds moving averages: prefill in tokens per second, decode in seconds
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
	for _, c := range s.chunks {
		tokens += c.tokens
	}
	if tokens > 0 && s.prefill > 0 {
		v.prefill += smoothing * (float64(tokens)/s.prefill.Seconds() - v.prefill)
	}
	if len(s.decoding) > 0 {
		v.decode += smoothing * ((s.prefill + s.decode).Seconds() - v.decode)
	}
}

// runBatch plans a step, waits for its duration and applies its result, in a loop
// until ctx ends. Without work it waits for wakeBatch.
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

// sleep returns false if ctx ends before d has passed.
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

// plan chooses the work of the next step, and returns false if there is none. It
// admits streams to the batch and assigns the prefill budget by priority, then by
// arrival. Thus a new prompt is prefilled before the rest of a prompt with a lower
// priority.
func (e *Engine) plan() (step, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var s step
	budget := e.cfg.ChunkTokens
	contextTokens := 0
	for _, st := range e.sorted((*stream).before) {
		if st.queued && !st.batched && e.batchSize < e.cfg.MaxBatch {
			st.batched = true
			e.batchSize++
		}
		switch {
		case st.decoding():
			s.decoding = append(s.decoding, st)
			contextTokens += st.promptTokens + st.generated
		case st.batched && budget > 0:
			n := min(budget, st.promptTokens-st.prefilled)
			budget -= n
			s.chunks = append(s.chunks, prefillChunk{st, n})
			s.prefill += e.prefillTime(st.prefilled, n)
		}
	}
	s.decode = e.decodeTime(len(s.decoding), contextTokens)
	return s, len(s.chunks)+len(s.decoding) > 0
}

// prefillTime returns the time to prefill n tokens of a prompt that begin at
// position from. Each token is counted with the cost of the middle token.
func (e *Engine) prefillTime(from, n int) time.Duration {
	middle := float64(from) + float64(n)/2
	seconds := float64(n) / e.cfg.PrefillRate * (1 + middle/e.cfg.PrefillKnee)
	return e.scale(time.Duration(seconds * float64(time.Second)))
}

// decodeTime returns the time of a decode step of n streams with contextTokens of
// context in total.
func (e *Engine) decodeTime(n, contextTokens int) time.Duration {
	if n == 0 {
		return 0
	}
	d := e.cfg.StepBase + time.Duration(n)*e.cfg.StepPerStream
	d += time.Duration(float64(contextTokens) / 1000 * float64(e.cfg.StepPerContext))
	return e.scale(d)
}

// scale applies the time scale and the slow factor to a modelled time.
func (e *Engine) scale(d time.Duration) time.Duration {
	return time.Duration(float64(d) * e.cfg.TimeScale * e.cfg.Control.Slow())
}

// apply records the result of a step. It returns true if a prompt of the step
// crashes the engine.
func (e *Engine) apply(s step) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	crash := false
	for _, c := range s.chunks {
		if c.stream.done {
			continue
		}
		crash = crash || c.stream.crash
		c.stream.prefilled += c.tokens
		if c.stream.prefilled == c.stream.promptTokens {
			e.storePrompt(c.stream)
			e.emit(c.stream)
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

// storePrompt moves the prompt's blocks from the stream's own memory to the cache.
// The memory of blocks that another stream has stored meanwhile is freed.
func (e *Engine) storePrompt(s *stream) {
	for i := s.pinned; i < len(s.hashes); i++ {
		e.cache.store(s.req.Organisation, s.hashes, i)
		s.pinned++
		s.privateTokens -= blockTokens
		e.privateTokens -= blockTokens
	}
}
