package entry

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/verbenapier/verbenapier/internal/engine"
	"github.com/verbenapier/verbenapier/internal/sched"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// maxResumeAttempts limits the attempts to resume a stream after its
// connection was lost.
const maxResumeAttempts = 3

// Pieces are kept for a resumption. Their memory is reserved for pieceBatch of them at a
// time, of pieceMemory bytes each; the first batch is held with the connection.
const (
	pieceBatch  = 256
	pieceMemory = 64
)

// finishLength is the finish reason of output that reached its token limit.
const finishLength = "length"

// transfer copies the output of one stream from an engine to the caller.
type transfer struct {
	call  *call
	grant sched.Grant
	out   sink
	// nextSeq is the sequence number of the next expected frame.
	nextSeq      int
	startedAt    time.Time
	firstPieceAt time.Time
	// earlierPieces is the number of pieces that earlier attempts sent to the
	// caller.
	earlierPieces int
	// crashed is true if the engine died while it ran the stream.
	crashed bool
	// streamHeld is true while the engine may hold the stream. dispatched is
	// true once the engine may have started it.
	streamHeld, dispatched bool
}

// run starts the stream and copies it to its end. If the connection is lost,
// the stream is resumed on a new connection at the next sequence number.
func (t *transfer) run(ctx context.Context) error {
	t.earlierPieces = len(t.call.pieces)
	if t.earlierPieces >= t.call.maxTokens {
		// Earlier attempts delivered all tokens; only the last frame was lost.
		return t.finish(engine.Frame{FinishReason: finishLength})
	}
	// The engine may keep the stream after its reader has disconnected, so the
	// stream is canceled unless it ended.
	defer t.cancelStream(ctx)
	t.startedAt = time.Now()
	reader, err := t.start(ctx)
	if err != nil {
		return err
	}
	// idle is the number of connections in a row that delivered no new frame.
	for idle := 0; ; {
		before := t.nextSeq
		done, err := t.copyFrames(ctx, reader)
		reader.Close()
		if done || !fault.Is(err, fault.UpstreamLost) {
			return err
		}
		if idle++; t.nextSeq > before {
			idle = 0
		}
		if idle > maxResumeAttempts {
			return err
		}
		if reader, err = t.resume(ctx, err); err != nil {
			return err
		}
	}
}

// start starts the stream. After the loss of an engine, the text generated so
// far is appended to the prompt, so that generation continues at the next
// token. If the reply to the start is lost, the stream may exist, so it is
// resumed instead of started again.
func (t *transfer) start(ctx context.Context) (Frames, error) {
	c := t.call
	reader, err := c.server.options.Engines.Start(ctx, t.grant.Address, engine.StartRequest{
		ID: t.grant.ID, Attempt: c.attempts, Organisation: c.cacheScope, Model: c.model,
		Prompt: c.prompt + strings.Join(c.pieces, ""), MaxTokens: c.maxTokens - t.earlierPieces, Priority: t.grant.Priority,
		TimeLimitMillis: time.Until(c.deadline).Milliseconds(),
		Reservation:     t.grant.Reservation, Members: t.grant.Members,
	})
	switch fault.KindOf(err) {
	case fault.Unreachable, fault.UpstreamRefused, fault.Invalid:
		if err != nil {
			return nil, err
		}
	case fault.NotFound:
		return nil, fault.Wrap(fault.UpstreamRefused, err, "engine %s does not serve the model", t.grant.Engine)
	}
	c.dispatched, t.streamHeld, t.dispatched = true, true, true
	if err == nil {
		return reader, nil
	}
	if fault.Is(err, fault.Conflict) || fault.Is(err, fault.UpstreamLost) {
		return t.resume(ctx, err)
	}
	return nil, err
}

// resume attaches to the stream on a new connection. Its error is of kind
// UpstreamLost if the engine no longer holds the stream or cannot be reached.
func (t *transfer) resume(ctx context.Context, cause error) (Frames, error) {
	c := t.call
	unreachable := 0
	for attempt := 1; attempt <= maxResumeAttempts; attempt++ {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		reader, err := c.server.options.Engines.Resume(ctx, t.grant.Address, t.grant.ID, c.attempts, t.nextSeq)
		if err == nil {
			c.log("stream_resumed").WithField("seq", t.nextSeq).Info("a stream was resumed on a new connection")
			return reader, nil
		}
		if fault.Is(err, fault.NotFound) {
			// The engine answers but does not have the stream, so the engine was
			// restarted.
			t.streamHeld = false
			t.crashed = !errors.Is(cause, engine.ErrSilent) && !errors.Is(cause, engine.ErrForeignRefusal)
			return nil, fault.Wrap(fault.UpstreamLost, err, "engine %s lost the stream", t.grant.Engine)
		}
		if errors.Is(err, engine.ErrSilent) {
			// The new connection is silent as well, so the engine hangs.
			return nil, fault.Wrap(fault.UpstreamLost, err, "engine %s does not answer", t.grant.Engine)
		}
		if fault.Is(err, fault.Unreachable) {
			unreachable++
		}
		sleep(ctx, jitter(retryDelay))
	}
	// A closed connection followed by refused ones means that the engine process
	// died, if no other node reaches it either. If the connection was silent, a network
	// failure is more likely, and the prompt did not cause that.
	t.crashed = unreachable == maxResumeAttempts && !errors.Is(cause, engine.ErrSilent) && !errors.Is(cause, engine.ErrForeignRefusal) &&
		c.server.options.Witnesses.Ended(context.WithoutCancel(ctx), t.grant.Engine, t.grant.Address)
	return nil, fault.Wrap(fault.UpstreamLost, cause, "engine %s was lost", t.grant.Engine)
}

// copyFrames copies frames to the caller until the stream ends. done is true
// after the last frame.
func (t *transfer) copyFrames(ctx context.Context, reader Frames) (done bool, err error) {
	for {
		f, err := reader.Next()
		if err != nil {
			return false, err
		}
		if f.Attempt != t.call.attempts || f.Seq < t.nextSeq {
			continue
		}
		if f.Seq > t.nextSeq {
			return false, fault.New(fault.UpstreamLost, "frame %d is missing", t.nextSeq)
		}
		t.nextSeq++
		if f.Error != "" {
			t.streamHeld = false
			t.call.log("engine_error").WithFields(logrus.Fields{"engine": t.grant.Engine, "error": f.Error}).Warn("an engine ended a stream with an error")
			return false, fault.New(fault.UpstreamFailed, "engine %s reported an error", t.grant.Engine)
		}
		if f.Text != "" {
			if err := t.deliver(ctx, f.Text); err != nil {
				return false, err
			}
		}
		if f.Done {
			t.streamHeld = false
			return true, t.finish(f)
		}
	}
}

// deliver sends a piece of text to the caller.
func (t *transfer) deliver(ctx context.Context, piece string) error {
	c := t.call
	if n := len(c.pieces); n > 0 && n%pieceBatch == 0 {
		if err := c.hold.Grow(ctx, pieceBatch*pieceMemory); err != nil {
			return fault.Wrap(fault.UpstreamFailed, err, "this host has no memory for a longer answer")
		}
	}
	if t.firstPieceAt.IsZero() {
		t.firstPieceAt = time.Now()
		c.server.content.answered(t)
	}
	if err := t.out.writeText(piece); err != nil {
		return err
	}
	if c.firstPieceAt.IsZero() {
		c.firstPieceAt = time.Now()
	}
	c.pieces = append(c.pieces, piece)
	return nil
}

// timeToFirstToken returns the time from the start of the stream to its first
// token, or zero if there was none.
func (t *transfer) timeToFirstToken() time.Duration {
	if t.firstPieceAt.IsZero() {
		return 0
	}
	return t.firstPieceAt.Sub(t.startedAt)
}

// finish ends the response with the usage reported by the engine. The tokens
// generated by earlier attempts were part of this attempt's prompt, but count
// as generated tokens.
func (t *transfer) finish(f engine.Frame) error {
	c := t.call
	prompt := max(f.PromptTokens-t.earlierPieces, 0)
	generated := t.earlierPieces + f.CompletionTokens
	c.usage = usage{
		PromptTokens: prompt, CompletionTokens: generated, TotalTokens: prompt + generated,
		Details: &usageDetails{CachedTokens: f.CachedTokens},
	}
	if t.earlierPieces == 0 {
		c.server.tokens.observe(c.model, len(c.prompt), f.PromptTokens)
	}
	return t.out.finish(f.FinishReason, c.usage)
}

// cancelStream cancels the stream if the engine may still hold it.
func (t *transfer) cancelStream(ctx context.Context) {
	if !t.streamHeld {
		return
	}
	t.call.background(ctx, "cancel stream", func(ctx context.Context) {
		if err := t.call.server.options.Engines.Cancel(ctx, t.grant.Address, t.grant.ID); err != nil {
			t.call.log("cancel_failed").WithError(err).WithField("engine", t.grant.Engine).
				Debug("stream not canceled; the engine frees it when its reader is gone")
		}
	})
}
