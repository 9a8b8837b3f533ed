package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/verbenapier/verbenapier/internal/answer"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

const (
	// controlTimeout bounds each call other than a stream.
	controlTimeout = 2 * time.Second
	// headerTimeout bounds the wait for the response header of a stream. Engines
	// send it before the prefill, so a longer wait means that the engine hangs.
	headerTimeout = 5 * time.Second
	// maxReplyBody bounds the body of an error and of the answer to a call that returns
	// nothing, maxReportBody that of a load report, which lists the models of an engine,
	// and maxListBody that of a list of streams or cache events, in bytes.
	maxReplyBody  = 64 << 10
	maxReportBody = 1 << 20
	maxListBody   = 8 << 20
)

// Client calls engines over HTTP.
type Client struct {
	http *answer.Client
}

// NewClient returns a client that sends through the given transport. What it reads counts
// towards memory.
func NewClient(transport http.RoundTripper, memory answer.Memory) *Client {
	return &Client{answer.NewClient(transport, memory)}
}

// ErrForeignRefusal is wrapped in the error when an engine refuses a call about a stream
// without naming the stream. The refusal may answer another call, and the engine may
// have run this one.
var ErrForeignRefusal = errors.New("the refusal does not name the stream")

// Start starts a stream. The errors Unreachable and UpstreamRefused mean that the
// engine did not start it, Conflict that a stream with this id exists, and
// UpstreamLost that it may have started.
func (c *Client) Start(ctx context.Context, address string, req StartRequest) (*Reader, error) {
	return c.open(ctx, address, "/v1/streams", req.ID, req)
}

// Resume reads a stream that has been started, from the given sequence number on.
// The error NotFound means that the engine does not have the stream.
func (c *Client) Resume(ctx context.Context, address, id string, attempt, from int) (*Reader, error) {
	body := struct {
		Attempt int `json:"attempt"`
		From    int `json:"from"`
	}{attempt, from}
	return c.open(ctx, address, "/v1/streams/"+url.PathEscape(id)+"/resume", id, body)
}

// open posts a request about a stream whose answer is a stream of frames.
func (c *Client) open(ctx context.Context, address, path, id string, body any) (*Reader, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	watchdog := time.AfterFunc(headerTimeout, func() { cancel(ErrSilent) })
	resp, err := c.post(ctx, address, path, body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = c.streamError(resp, id)
	}
	if err != nil {
		err = causeOf(ctx, err)
		watchdog.Stop()
		cancel(nil)
		return nil, err
	}
	return newReader(ctx, cancel, watchdog, resp.Body, c.http.Hold()), nil
}

// causeOf returns an error that wraps the reason why the context ended, or err when
// the context has not ended or the engine was not reached.
func causeOf(ctx context.Context, err error) error {
	switch cause := context.Cause(ctx); {
	case cause == nil || fault.Is(err, fault.Unreachable):
		return err
	case errors.Is(cause, ErrSilent):
		return fault.Wrap(fault.UpstreamLost, ErrSilent, "no answer from the upstream")
	default:
		return fault.Wrap(fault.KindOf(ctx.Err()), cause, "waiting for the upstream")
	}
}

func (c *Client) post(ctx context.Context, address, path string, body any) (*http.Response, error) {
	var data bytes.Buffer
	encoder := json.NewEncoder(&data)
	// Escapes for HTML would make some prompts six times as long.
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(body); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encoding a request to %s", path)
	}
	req, err := newRequest(ctx, http.MethodPost, address, path, data.Bytes())
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, SendError(err, address)
	}
	return resp, nil
}

func newRequest(ctx context.Context, method, address, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "building a request to %s", path)
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// SendError wraps an error of http.Client.Do in one with the right kind.
// Unreachable means that the upstream did not receive the request. With any other
// kind the upstream may have received it.
func SendError(err error, address string) error {
	switch kind := fault.KindOf(err); kind {
	case fault.Unreachable, fault.Timeout, fault.Canceled:
		return fault.Wrap(kind, err, "sending to upstream %s", address)
	}
	return fault.Wrap(fault.UpstreamLost, err, "lost upstream %s", address)
}

// failure is the body of an answer that reports an error.
type failure struct {
	Error string `json:"error"`
	// ID names the stream, in answers to calls that start or resume one.
	ID string `json:"id"`
}

// readFailure closes the response and returns the failure that it reports.
func (c *Client) readFailure(resp *http.Response) failure {
	defer func() { _ = resp.Body.Close() }()
	var f failure
	if c.http.Decode(resp, maxReplyBody, &f) != nil || f.Error == "" {
		f.Error = resp.Status
	}
	return f
}

// statusError closes the response and returns the error that it reports.
func (c *Client) statusError(resp *http.Response) error {
	return c.readFailure(resp).asError(resp.StatusCode)
}

// streamError is statusError for a call about a stream. The error is UpstreamLost if
// the response does not name the stream.
func (c *Client) streamError(resp *http.Response, id string) error {
	f := c.readFailure(resp)
	err := f.asError(resp.StatusCode)
	if f.ID != id && !fault.Is(err, fault.UpstreamFailed) {
		return fault.Wrap(fault.UpstreamLost, ErrForeignRefusal, "upstream answered %d: %s", resp.StatusCode, f.Error)
	}
	return err
}

// asError returns the error that a failure with the given status means.
func (f failure) asError(status int) error {
	kind := fault.UpstreamFailed
	if status < http.StatusBadRequest {
		// No engine has a use for such a status, so it tells nothing of the call.
		kind = fault.UpstreamLost
	}
	switch status {
	case http.StatusConflict:
		kind = fault.Conflict
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		kind = fault.UpstreamRefused
	case http.StatusNotFound:
		kind = fault.NotFound
	case http.StatusBadRequest:
		kind = fault.Invalid
	}
	return fault.New(kind, "upstream answered %d: %s", status, f.Error)
}

// order makes a call that asks an engine to do something, and sends in unless it is nil.
func (c *Client) order(ctx context.Context, method, address, path string, in any) error {
	return c.control(ctx, method, address, path, in, func(resp *http.Response) error {
		return c.http.Acknowledged(resp, maxReplyBody)
	})
}

// query makes a call that asks an engine for something, and decodes the answer, which has
// up to limit bytes, into out.
func (c *Client) query(ctx context.Context, address, path string, limit int64, out any) error {
	return c.control(ctx, http.MethodGet, address, path, nil, func(resp *http.Response) error {
		return c.http.Decode(resp, limit, out)
	})
}

// control makes a call bounded by controlTimeout. It sends in, unless in is nil, and reads
// the body of a success with read.
func (c *Client) control(ctx context.Context, method, address, path string, in any, read func(*http.Response) error) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return fault.Wrap(fault.Internal, err, "encoding a request to %s", path)
		}
	}
	req, err := newRequest(ctx, method, address, path, body)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return SendError(err, address)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return c.statusError(resp)
	}
	defer func() { _ = resp.Body.Close() }()
	return fault.Wrap(fault.UpstreamLost, read(resp), "reading the answer of %s", address)
}

// Cancel ends a stream and frees its memory. It is not an error when the engine
// does not have the stream.
func (c *Client) Cancel(ctx context.Context, address, id string) error {
	err := c.order(ctx, http.MethodDelete, address, "/v1/streams/"+url.PathEscape(id), nil)
	if fault.Is(err, fault.NotFound) {
		return nil
	}
	return err
}

// Streams lists the streams that the engine runs. Streams that have ended and are
// kept for a late reader use no engine memory and are left out, as are those with
// numbers that no stream can have.
func (c *Client) Streams(ctx context.Context, address string) ([]Stream, error) {
	var out struct {
		Streams []Stream `json:"streams"`
	}
	err := c.query(ctx, address, "/v1/streams", maxListBody, &out)
	return slices.DeleteFunc(out.Streams, func(s Stream) bool { return s.Done || !s.valid() }), err
}

// Load returns the engine's latest load report. The error is UpstreamFailed for a
// report that no engine can give.
func (c *Client) Load(ctx context.Context, address string) (LoadReport, error) {
	var out LoadReport
	if err := c.query(ctx, address, "/v1/load", maxReportBody, &out); err != nil {
		return LoadReport{}, err
	}
	if !out.valid() {
		return LoadReport{}, fault.New(fault.UpstreamFailed, "the load report of %s is out of range", address)
	}
	return out, nil
}

// CacheEvents returns the events after the given sequence number, and the sequence
// number to pass to the next call.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, uint64, error) {
	var out struct {
		Events []CacheEvent `json:"events"`
		Next   uint64       `json:"next"`
	}
	err := c.query(ctx, address, fmt.Sprintf("/v1/cache/events?after=%d", after), maxListBody, &out)
	return out.Events, out.Next, err
}

// Reserve reserves KV memory, in tokens, until ttl passes.
func (c *Client) Reserve(ctx context.Context, address, id string, tokens int, ttl time.Duration) error {
	body := struct {
		ID        string `json:"id"`
		Tokens    int    `json:"tokens"`
		TTLMillis int64  `json:"ttl_ms"`
	}{id, tokens, ttl.Milliseconds()}
	return c.order(ctx, http.MethodPost, address, "/v1/reservations", body)
}

// Unreserve ends a reservation. It is not an error when the engine does not have
// the reservation.
func (c *Client) Unreserve(ctx context.Context, address, id string) error {
	err := c.order(ctx, http.MethodDelete, address, "/v1/reservations/"+url.PathEscape(id), nil)
	if fault.Is(err, fault.NotFound) {
		return nil
	}
	return err
}

// Order sends an order with its fencing number. The error Stale means that the
// engine has accepted an order with a higher number.
func (c *Client) Order(ctx context.Context, address string, order Order) error {
	err := c.order(ctx, http.MethodPost, address, "/v1/orders", order)
	if fault.Is(err, fault.Conflict) {
		return fault.Wrap(fault.Stale, err, "order with fencing number %d refused", order.Fence)
	}
	return err
}
