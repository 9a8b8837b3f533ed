package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"

	"github.com/verbenapier/verbenapier/internal/answer"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

const (
	defaultCallTimeout = 2 * time.Second
	defaultMaxWait     = 30 * time.Second

	retryBase = 20 * time.Millisecond
	retryMax  = time.Second

	// maxReplySize bounds the body of a reply, in bytes. It leaves room for a list
	// of values of MaxValueSize in base64.
	maxReplySize = 64 << 20
	// maxErrorBody bounds how much of an error body is read, in bytes.
	maxErrorBody = 4 << 10

	revisionHeader = "X-Revision"
)

// Options configure a Client.
type Options struct {
	// Addresses are the base URLs of the platform, such as
	// "http://10.0.0.1:7000". At least one is needed. All of them serve the
	// same data.
	Addresses []string
	// Transport sends the requests. Nil means a clone of
	// http.DefaultTransport.
	Transport http.RoundTripper
	// Memory bounds what replies that are being read hold. Nil means maxReplySize.
	Memory answer.Memory
	// CallTimeout bounds each attempt of a call. A watch is bounded by its wait
	// plus CallTimeout. Zero means 2 s.
	CallTimeout time.Duration
	// MaxWait is the longest wait that a watch requests. Zero means 30 s.
	MaxWait time.Duration
	// Scope receives the counts of calls by operation and result. Nil disables
	// them.
	Scope tally.Scope
	// Log receives a line for each entry of a list that cannot be read. Nil disables
	// them.
	Log logrus.FieldLogger
	// Rand returns numbers in [0, 1) for the jitter. Nil means the global
	// source.
	Rand func() float64
}

// Client is the HTTP client of the platform. It implements Store and
// HostLister. It is safe for concurrent use.
//
// Reads are retried, at the next address and after jittered pauses, until the
// deadline of the context. A read without a deadline is tried once at each
// address. A write is sent to the next address only when no connection was made,
// as the write then had no effect; otherwise it is sent once.
type Client struct {
	options Options
	bases   []string
	http    *answer.Client
	// preferred, modulo the number of addresses, is the index of the address to
	// use. It advances after a failure.
	preferred atomic.Uint32
}

var (
	_ Store      = (*Client)(nil)
	_ HostLister = (*Client)(nil)
)

// NewClient returns a client. The error is Invalid when there is no address, or
// one that is not an http or https URL.
func NewClient(options Options) (*Client, error) {
	if len(options.Addresses) == 0 {
		return nil, fault.New(fault.Invalid, "the platform has no address")
	}
	if options.CallTimeout <= 0 {
		options.CallTimeout = defaultCallTimeout
	}
	if options.MaxWait <= 0 {
		options.MaxWait = defaultMaxWait
	}
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	if options.Log == nil {
		discard := logrus.New()
		discard.SetOutput(io.Discard)
		options.Log = discard
	}
	if options.Rand == nil {
		options.Rand = rand.Float64
	}
	if options.Transport == nil {
		options.Transport = http.DefaultTransport.(*http.Transport).Clone()
	}
	if options.Memory == nil {
		options.Memory = semaphore.NewWeighted(maxReplySize)
	}
	c := &Client{options: options, http: answer.NewClient(options.Transport, options.Memory)}
	for _, address := range options.Addresses {
		u, err := url.Parse(address)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return nil, fault.New(fault.Invalid, "platform address %q is not an http or https URL", address)
		}
		c.bases = append(c.bases, strings.TrimRight(address, "/"))
	}
	return c, nil
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	reply, err := c.read(ctx, "get", "/kv/"+url.PathEscape(key))
	if err != nil {
		return Entry{}, err
	}
	revision, err := strconv.ParseUint(reply.header.Get(revisionHeader), 10, 64)
	if err != nil {
		return Entry{}, fault.Wrap(fault.PlatformDown, err, "the platform sent no revision")
	}
	return Entry{Key: key, Value: reply.body, Revision: Revision(revision)}, nil
}

// listReply is the body of GET /kv?prefix=. Each entry is decoded by itself.
type listReply struct {
	Entries []json.RawMessage `json:"entries"`
}

// listedEntry is an entry of a listReply.
type listedEntry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
}

// List implements Store. An entry whose value cannot be read has none; one whose key or
// revision cannot be read is left out.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	var list listReply
	if err := c.readJSON(ctx, "list", "/kv?prefix="+url.QueryEscape(prefix), &list); err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(list.Entries))
	for _, text := range list.Entries {
		var e listedEntry
		if err := json.Unmarshal(text, &e); err != nil {
			c.logUnreadable("entry_unreadable", e.Key, err)
			e.Value = nil
		}
		if e.Key != "" && e.Revision != 0 {
			entries = append(entries, Entry(e))
		}
	}
	return entries, nil
}

// revisionReply is the body of a write's answer and of GET /watch.
type revisionReply struct {
	Revision Revision `json:"revision"`
}

// Put implements Store. A value above MaxValueSize is TooLarge.
func (c *Client) Put(ctx context.Context, key string, value []byte, base Revision) (Revision, error) {
	if len(value) > MaxValueSize {
		return 0, fault.New(fault.TooLarge, "a value of %d bytes exceeds the platform's limit of %d", len(value), MaxValueSize)
	}
	return c.write(ctx, "put", http.MethodPut, key, value, base)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, base Revision) error {
	_, err := c.write(ctx, "delete", http.MethodDelete, key, nil, base)
	return err
}

// Watch implements Store with one long poll.
func (c *Client) Watch(ctx context.Context, prefix string, after Revision) (Revision, error) {
	wait := c.options.MaxWait
	if deadline, ok := ctx.Deadline(); ok {
		// The wait ends early enough for the answer to arrive before the deadline.
		remaining := time.Until(deadline)
		wait = min(wait, max(remaining-c.options.CallTimeout, remaining/2))
	}
	query := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(uint64(after), 10)},
		"wait":   {wait.Round(time.Millisecond).String()},
	}
	reply, err := c.send(ctx, "watch", attempt{
		method: http.MethodGet, base: c.base(), path: "/watch?" + query.Encode(), timeout: wait + c.options.CallTimeout,
	})
	if err != nil {
		c.advance()
		return 0, err
	}
	var revision revisionReply
	if err := json.Unmarshal(reply.body, &revision); err != nil {
		return 0, fault.Wrap(fault.PlatformDown, err, "malformed reply of the platform")
	}
	return revision.Revision, nil
}

// Hosts implements HostLister. Entries that cannot be decoded or are not valid are left
// out, and all but the first with the same name.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var list struct {
		Hosts []json.RawMessage `json:"hosts"`
	}
	if err := c.readJSON(ctx, "hosts", "/hosts", &list); err != nil {
		return nil, err
	}
	if list.Hosts == nil {
		return nil, fault.New(fault.PlatformDown, "the platform's reply holds no host list")
	}
	hosts := make([]Host, 0, len(list.Hosts))
	names := map[string]bool{}
	for _, text := range list.Hosts {
		var host Host
		err := json.Unmarshal(text, &host)
		if err == nil {
			err = host.check()
		}
		if err == nil && names[host.Name] {
			err = fault.New(fault.Invalid, "another host has this name")
		}
		if err != nil {
			c.logUnreadable("host_unreadable", host.Name, err)
			continue
		}
		names[host.Name] = true
		hosts = append(hosts, host)
	}
	return hosts, nil
}

// logUnreadable logs what could not be read of an entry of a list.
func (c *Client) logUnreadable(event, name string, err error) {
	c.options.Scope.Counter("platform_unreadable").Inc(1)
	c.options.Log.WithError(err).WithFields(logrus.Fields{"event": event, "name": name}).
		Warn("an entry in a list of the platform cannot be read and is not used")
}

// Weights opens the weights of a model for reading. The caller closes the
// reader; the context bounds the whole transfer. The error is RateLimited
// when the rate limit of the weight store is exceeded, and NotFound for an unknown
// model.
func (c *Client) Weights(ctx context.Context, model string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base()+"/weights/"+url.PathEscape(model), http.NoBody)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "malformed model name")
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.advance()
		err = readError(ctx, err)
		c.count("weights", err)
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		c.count("weights", nil)
		return response.Body, nil
	}
	drain(response.Body)
	_ = response.Body.Close()
	err = statusError(response.StatusCode)
	if response.StatusCode == http.StatusTooManyRequests {
		err = fault.New(fault.RateLimited, "the weight store is over its rate")
	}
	c.count("weights", err)
	return nil, err
}

// attempt is one HTTP request to one address.
type attempt struct {
	method  string
	base    string
	path    string
	body    []byte
	timeout time.Duration
}

type reply struct {
	header http.Header
	body   []byte
}

func (c *Client) readJSON(ctx context.Context, op, path string, out any) error {
	reply, err := c.read(ctx, op, path)
	if err != nil {
		return err
	}
	return fault.Wrap(fault.PlatformDown, json.Unmarshal(reply.body, out), "malformed reply of the platform")
}

// read tries the addresses in turn until one answers or the deadline passes.
func (c *Client) read(ctx context.Context, op, path string) (reply, error) {
	_, hasDeadline := ctx.Deadline()
	pause := retryBase
	for attempts := 0; ; attempts++ {
		r, err := c.send(ctx, op, attempt{
			method: http.MethodGet, base: c.base(), path: path, timeout: c.options.CallTimeout,
		})
		if err == nil || !fault.Is(err, fault.PlatformDown) {
			return r, err
		}
		c.advance()
		if attempts+1 >= len(c.bases) && !hasDeadline {
			return r, err
		}
		if !sleep(ctx, time.Duration(c.options.Rand()*float64(pause))) {
			return r, err
		}
		pause = min(2*pause, retryMax)
	}
}

// write sends one write and never repeats one that may have had an effect.
func (c *Client) write(ctx context.Context, op, method, key string, body []byte, base Revision) (Revision, error) {
	path := fmt.Sprintf("/kv/%s?base=%d", url.PathEscape(key), base)
	var (
		r   reply
		err error
	)
	for range c.bases {
		r, err = c.send(ctx, op, attempt{
			method: method, base: c.base(), path: path, body: body, timeout: c.options.CallTimeout,
		})
		if err == nil {
			break
		}
		c.advance()
		if !errors.Is(err, errNoConnection) || ctx.Err() != nil {
			return 0, err
		}
	}
	if err != nil {
		return 0, err
	}
	var revision revisionReply
	if err := json.Unmarshal(r.body, &revision); err != nil {
		return 0, fault.Wrap(fault.ReplyLost, err, "malformed reply of the platform to a write")
	}
	return revision.Revision, nil
}

// errNoConnection is wrapped in the error of a write that was never sent.
var errNoConnection = errors.New("no connection to the platform")

// send makes one attempt and counts it.
func (c *Client) send(ctx context.Context, op string, a attempt) (r reply, err error) {
	defer func() { c.count(op, err) }()
	if err := ctx.Err(); err != nil {
		return reply{}, contextError(err)
	}
	callCtx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	var connected atomic.Bool
	tracedCtx := httptrace.WithClientTrace(callCtx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(tracedCtx, a.method, a.base+a.path, bytes.NewReader(a.body))
	if err != nil {
		return reply{}, fault.Wrap(fault.Invalid, err, "malformed platform request")
	}
	isWrite := a.method != http.MethodGet
	response, err := c.http.Do(request)
	if err != nil {
		return reply{}, transportError(ctx, err, isWrite, connected.Load())
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		drain(response.Body)
		if isWrite && !refusedWrite(response.StatusCode) {
			return reply{}, fault.New(fault.ReplyLost, "the platform answered a write with status %d", response.StatusCode)
		}
		return reply{}, statusError(response.StatusCode)
	}
	body, err := c.http.Read(response, maxReplySize)
	if err != nil {
		return reply{}, transportError(ctx, err, isWrite, true)
	}
	return reply{header: response.Header, body: body}, nil
}

// transportError wraps an error of the HTTP transport in one with the right kind.
// A write that had a connection may have taken effect.
func transportError(ctx context.Context, err error, isWrite, connected bool) error {
	switch {
	case !isWrite:
		return readError(ctx, err)
	case connected:
		return fault.Wrap(fault.ReplyLost, err, "the platform's reply to a write was lost")
	}
	return fault.Wrap(fault.PlatformDown, errors.Join(errNoConnection, err), "the platform cannot be reached")
}

func readError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return contextError(ctx.Err())
	}
	return fault.Wrap(fault.PlatformDown, err, "the platform cannot be reached")
}

// contextError wraps the error of an ended context in one with the right kind, for
// calls that had no effect.
func contextError(err error) error {
	if errors.Is(err, context.Canceled) {
		return fault.Wrap(fault.Canceled, err, "the call was canceled")
	}
	return fault.Wrap(fault.PlatformDown, err, "the platform did not answer in time")
}

// refusedWrite reports whether the status says that a write had no effect. Any
// other status may come from an intermediary such as a proxy, possibly after the
// write took effect.
func refusedWrite(status int) bool {
	switch status {
	case http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable,
		http.StatusNotFound, http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return true
	}
	return false
}

func statusError(status int) error {
	switch status {
	case http.StatusNotFound:
		return fault.New(fault.NotFound, "the platform has no such entry")
	case http.StatusConflict:
		return fault.New(fault.Conflict, "the platform's entry has another revision")
	case http.StatusBadRequest:
		return fault.New(fault.Invalid, "the platform refused the request as malformed")
	case http.StatusRequestEntityTooLarge:
		return fault.New(fault.TooLarge, "the platform refused the value as too large")
	case http.StatusTooManyRequests:
		return fault.New(fault.PlatformDown, "the platform is over its rate of calls")
	}
	return fault.New(fault.PlatformDown, "the platform answered with status %d", status)
}

func (c *Client) count(op string, err error) {
	result := "ok"
	if err != nil {
		result = fault.KindOf(err).String()
	}
	c.options.Scope.Tagged(map[string]string{"op": op, "result": result}).Counter("platform_calls").Inc(1)
}

// base returns the preferred address.
func (c *Client) base() string {
	return c.bases[int(c.preferred.Load())%len(c.bases)]
}

// advance makes the next address the preferred one.
func (c *Client) advance() { c.preferred.Add(1) }

// drain reads an error body, up to maxErrorBody, so that the connection can be
// reused. If the body is longer, closing it closes the connection.
func drain(body io.Reader) {
	_, _ = io.CopyN(io.Discard, body, maxErrorBody)
}

// sleep pauses and reports whether the context is still live afterwards. It
// returns false at once when the pause would reach the deadline.
func sleep(ctx context.Context, pause time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= pause {
		return false
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
