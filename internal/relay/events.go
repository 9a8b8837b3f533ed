package relay

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/verbenapier/verbenapier/internal/answer"
	"github.com/verbenapier/verbenapier/internal/event"
	"github.com/verbenapier/verbenapier/internal/header"
	"github.com/verbenapier/verbenapier/internal/place"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// isEventStream reports whether a response states that it is a stream of events.
func isEventStream(resp *http.Response) bool {
	media, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && media == eventStream && resp.StatusCode == http.StatusOK && resp.Header.Get("Content-Encoding") == ""
}

// forwardWhole sends a response that is no stream to the caller.
func (c *call) forwardWhole(ctx context.Context, resp *http.Response, a *attempt) error {
	b, err := c.readResponse(ctx, resp, a.grant.Upstream)
	if err != nil {
		return err
	}
	defer b.close()
	a.ended.Outcome = place.Completed
	return c.writeResponse(b)
}

// forwardEvents copies complete events to the caller until the stream ends. Only
// events that make progress keep the attempt: an engine that repeats events, or
// sends other bytes, counts as silent.
func (c *call) forwardEvents(ctx context.Context, resp *http.Response, a *attempt, st *stream) error {
	var splitter event.Splitter
	hold := answer.NewHold(c.server.options.Answers)
	defer hold.Release()
	buf := c.server.buffers.Get().(*[]byte)
	defer c.server.buffers.Put(buf)
	timeout := c.stallTimeout()
	// idleBytes is the number of bytes since the last event that made progress.
	idleBytes := 0
	for {
		n, err := resp.Body.Read(*buf)
		splitter.Add((*buf)[:n])
		idleBytes += n
		if !hold.Set(eventMemory(splitter.Partial())) {
			return fault.New(fault.UpstreamLost, "this host has no memory for an event of %d bytes", splitter.Partial())
		}
		wrote, progress, forwardErr := c.forwardBuffered(resp, a, st, &splitter)
		switch {
		case forwardErr != nil:
			return forwardErr
		case progress:
			idleBytes = splitter.Partial()
			a.failover.arm(timeout, c.failoverRequest(st, timeout, a.grant))
		case idleBytes > maxEventBytes:
			return fault.New(fault.UpstreamLost, "the engine sent %d bytes without an event", idleBytes)
		}
		if wrote {
			if err := http.NewResponseController(c.w).Flush(); err != nil {
				return fault.Wrap(fault.Canceled, err, "the caller left before the answer was written")
			}
		}
		if errors.Is(err, io.EOF) {
			return c.finishStream(ctx, resp, a, &splitter)
		}
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			return fault.Wrap(fault.UpstreamLost, err, "the stream broke off")
		}
	}
}

// eventMemory returns the memory of an event of which size bytes have arrived, in bytes. A
// buffer that grows takes up to twice its content, and once more while it is copied.
func eventMemory(size int) int64 {
	if size <= answer.FreeBody {
		return 0
	}
	return 3 * int64(size)
}

// forwardBuffered copies the complete events in the splitter to the caller. It
// reports whether it wrote any, and whether one of them made progress.
func (c *call) forwardBuffered(resp *http.Response, a *attempt, st *stream, splitter *event.Splitter) (wrote, progress bool, err error) {
	for {
		e, ok := splitter.Next()
		if !ok {
			return wrote, progress, nil
		}
		if a.resumed && !a.begun && !e.HasID {
			if !e.Comment {
				return wrote, progress, fault.New(fault.UpstreamLost, "the stream continued on the new engine with an event without a number")
			}
			continue
		}
		if e.HasID && !a.begun {
			if c.headerSent && st.hasLastID && e.ID != st.lastID+1 {
				return wrote, progress, fault.New(fault.UpstreamLost, "the stream continued on the new engine at event %d instead of %d", e.ID, st.lastID+1)
			}
			a.begun = true
			c.server.options.Placer.ReportFirstEvent(a.grant)
		}
		if st.repeats(e) {
			continue
		}
		if err := c.forwardEvent(resp, e, st); err != nil {
			return wrote, progress, err
		}
		if st.unnumbered {
			a.failover.forbid()
		}
		wrote = true
		progress = progress || e.HasData
	}
}

// repeats reports whether the caller already has an event.
func (st *stream) repeats(e event.Event) bool { return e.HasID && st.hasLastID && e.ID <= st.lastID }

// forwardEvent writes one event, preceded by the header if none was sent.
func (c *call) forwardEvent(resp *http.Response, e event.Event, st *stream) error {
	c.sendHeader(resp)
	if e.HasData {
		c.recordEvent(e, st)
	}
	st.unnumbered = st.unnumbered || !e.HasID && !e.Comment
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.w.Write(e.Raw); err != nil {
		return fault.Wrap(fault.Canceled, err, "the caller left before the answer was written")
	}
	return nil
}

// recordEvent records the progress of the stream by one event.
func (c *call) recordEvent(e event.Event, st *stream) {
	now := time.Now()
	if c.events == 0 {
		c.firstEvent = now.Sub(c.arrived)
		c.server.metrics.recordFirstEvent(c.service, c.firstEvent)
	} else {
		pause := now.Sub(st.lastEventAt)
		st.pauses = append(st.pauses, pause)
		c.longestPause = max(c.longestPause, pause)
	}
	st.lastEventAt = now
	c.events++
	if e.HasID {
		st.lastID, st.hasLastID = e.ID, true
	}
}

// sendHeader sends the header of an engine's response to the caller, unless one
// was sent before.
func (c *call) sendHeader(resp *http.Response) {
	if c.headerSent {
		return
	}
	header.Copy(c.w.Header(), resp.Header)
	c.setConnection(c.w.Header())
	c.beginAnswer()
	c.status = resp.StatusCode
	c.w.WriteHeader(resp.StatusCode)
}

// finishStream accepts the end of a stream, unless the stream ended in the middle of an
// event, or without a length and before it began. A continuation without an event counts
// as broken off too: it may come from an engine that does not know the request.
func (c *call) finishStream(ctx context.Context, resp *http.Response, a *attempt, splitter *event.Splitter) error {
	switch {
	case splitter.Partial() > 0:
		return fault.Wrap(fault.UpstreamLost, io.ErrUnexpectedEOF, "the stream ended in the middle of an event")
	case (header.EndsWithConnection(resp) || a.resumed) && !a.begun:
		return fault.Wrap(fault.UpstreamLost, io.ErrUnexpectedEOF, "the stream ended before its first event")
	}
	if err := answer.VerifyEnd(ctx, c.server.options.Dial, a.grant.Upstream.Address, resp, !a.begun); err != nil {
		return err
	}
	c.sendHeader(resp)
	return nil
}
