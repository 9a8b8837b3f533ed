package entry

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/internal/sched"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// resumeTries bounds the attempts to attach to a stream again after its
// connection was lost.
const resumeTries = 3

// finishLength is the finish reason of an answer that reached its length.
const finishLength = "length"

// transfer moves one stream from an engine to the caller.
type transfer struct {
	call  *call
	grant sched.Grant
	out   sink
	// next is the sequence number of the next frame.
	next       int
	started    time.Time
	firstPiece time.Time
	// base is the number of pieces that earlier attempts passed on.
	base int
	// crashed says that the engine died under the stream.
	crashed bool
	// held says that the engine may hold the stream, begun that it may have
	// held it at some time.
	held, begun bool
}

// run starts the stream and passes it on to its end. A lost connection is
// replaced, and the stream resumed at the next sequence number.
func (t *transfer) run(ctx context.Context) error {
	t.base = len(t.call.pieces)
	if t.base >= t.call.maxTokens {
		// Only the end of the answer was lost.
		return t.finish(engine.Frame{FinishReason: finishLength})
	}
	// The stream may outlive its reader on the engine, so it is canceled there
	// unless it came to its end.
	defer t.cleanUp(ctx)
	t.started = time.Now()
	reader, err := t.start(ctx)
	if err != nil {
		return err
	}
	for {
		done, err := t.pump(reader)
		reader.Close()
		if done || !fault.Is(err, fault.UpstreamLost) {
			return err
		}
		if reader, err = t.resume(ctx, err); err != nil {
			return err
		}
	}
}

// start starts the stream. After the loss of an engine the answer so far is
// part of the prompt, so the next token is the one that was lost. When the
// reply to the start was lost the stream may exist, so it is attached to rather
// than started again.
func (t *transfer) start(ctx context.Context) (Frames, error) {
	c := t.call
	reader, err := c.server.options.Engines.Start(ctx, t.grant.Address, engine.StartRequest{
		ID: t.grant.ID, Attempt: c.attempts, Organisation: c.scope, Model: c.model,
		Prompt: c.prompt + strings.Join(c.pieces, ""), MaxTokens: c.maxTokens - t.base, Priority: t.grant.Priority,
		TimeLimitMillis: time.Until(c.deadline).Milliseconds(),
		Reservation:     t.grant.Reservation, Members: t.grant.Members,
	})
	switch fault.KindOf(err) {
	case fault.Unreachable, fault.Refused, fault.Invalid:
		if err != nil {
			return nil, err
		}
	case fault.NotFound:
		return nil, fault.Wrap(fault.Refused, err, "engine %s does not serve the model", t.grant.Engine)
	}
	c.dispatched, t.held, t.begun = true, true, true
	if err == nil {
		return reader, nil
	}
	if fault.Is(err, fault.Conflict) || fault.Is(err, fault.UpstreamLost) {
		return t.resume(ctx, err)
	}
	return nil, err
}

// resume attaches to the stream again. The error is UpstreamLost when the
// engine no longer holds it or cannot be reached.
func (t *transfer) resume(ctx context.Context, lost error) (Frames, error) {
	c := t.call
	unreachable := 0
	for try := 1; try <= resumeTries; try++ {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		reader, err := c.server.options.Engines.Resume(ctx, t.grant.Address, t.grant.ID, c.attempts, t.next)
		if err == nil {
			c.log("stream_resumed").WithField("seq", t.next).Info("a stream was resumed on a new connection")
			return reader, nil
		}
		if fault.Is(err, fault.NotFound) {
			// The engine answers but lost the stream: it was restarted.
			t.held = false
			t.crashed = !errors.Is(lost, engine.ErrSilent)
			return nil, fault.Wrap(fault.UpstreamLost, err, "engine %s lost the stream", t.grant.Engine)
		}
		if errors.Is(err, engine.ErrSilent) {
			// New connections are silent as well: the engine is frozen.
			return nil, fault.Wrap(fault.UpstreamLost, err, "engine %s does not answer", t.grant.Engine)
		}
		if fault.Is(err, fault.Unreachable) {
			unreachable++
		}
		pause(ctx, jitter(retryPause))
	}
	// A closed connection followed by refused ones is a dead process. A silent
	// one is more likely a network failure, for which no prompt is to blame.
	t.crashed = unreachable == resumeTries && !errors.Is(lost, engine.ErrSilent)
	return nil, fault.Wrap(fault.UpstreamLost, lost, "engine %s was lost", t.grant.Engine)
}

// pump passes frames on until the stream ends. Done is true after the last
// frame.
func (t *transfer) pump(reader Frames) (done bool, err error) {
	for {
		f, err := reader.Next()
		if err != nil {
			return false, err
		}
		if f.Attempt != t.call.attempts || f.Seq < t.next {
			continue
		}
		if f.Seq > t.next {
			return false, fault.New(fault.UpstreamLost, "frame %d is missing", t.next)
		}
		t.next++
		if f.Error != "" {
			t.held = false
			return false, fault.New(fault.UpstreamFailed, "engine %s: %s", t.grant.Engine, f.Error)
		}
		if f.Text != "" {
			if err := t.deliver(f.Text); err != nil {
				return false, err
			}
		}
		if f.Done {
			t.held = false
			return true, t.finish(f)
		}
	}
}

// deliver passes a piece on.
func (t *transfer) deliver(piece string) error {
	c := t.call
	if t.firstPiece.IsZero() {
		t.firstPiece = time.Now()
	}
	if err := t.out.text(piece); err != nil {
		return err
	}
	if c.firstPiece.IsZero() {
		c.firstPiece = time.Now()
	}
	c.pieces = append(c.pieces, piece)
	return nil
}

// firstToken returns the time from the start of the stream to its first token,
// or zero when there was none.
func (t *transfer) firstToken() time.Duration {
	if t.firstPiece.IsZero() {
		return 0
	}
	return t.firstPiece.Sub(t.started)
}

// finish ends the answer with the engine's usage figures. What earlier attempts
// generated was part of this attempt's prompt and counts as generated.
func (t *transfer) finish(f engine.Frame) error {
	c := t.call
	prompt := max(f.PromptTokens-t.base, 0)
	generated := t.base + f.CompletionTokens
	c.used = usage{
		PromptTokens: prompt, CompletionTokens: generated, TotalTokens: prompt + generated,
		Details: &usageDetails{CachedTokens: f.CachedTokens},
	}
	if t.base == 0 {
		c.server.tokens.observe(c.model, len(c.prompt), f.PromptTokens)
	}
	return t.out.finish(f.FinishReason, c.used)
}

// cleanUp cancels the stream if the engine may still hold it.
func (t *transfer) cleanUp(ctx context.Context) {
	if !t.held {
		return
	}
	t.call.background(ctx, "cancel stream", func(ctx context.Context) {
		if err := t.call.server.options.Engines.Cancel(ctx, t.grant.Address, t.grant.ID); err != nil {
			t.call.log("cancel_failed").WithError(err).WithField("engine", t.grant.Engine).
				Debug("a stream was not canceled; the engine frees it when its reader is gone")
		}
	})
}
