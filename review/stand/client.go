package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Request is a request of a client. Each sending is an attempt with an id of its own.
type Request struct {
	// ID is the id of the attempt. If it is empty, Send chooses one.
	ID                            string
	Host, Path, Method, Key, Body string
	Stream                        bool
	Tokens, Output                int
	Parts                         string
	Deadline                      time.Duration
	// SendTime is how long the sending of the body takes. If it is set, the body is
	// sent in chunks.
	SendTime time.Duration
}

// Answer is what a client saw.
type Answer struct {
	ID     string
	Status int
	Header http.Header
	Body   string
	Events []int
	// Complete is set if the answer ended as the protocol says.
	Complete bool
	// Reused is set if the connection had served a request before, Written if the
	// request was written, and Began if a byte of the answer came.
	Reused, Written, Began bool
	Err                    error
	Took                   time.Duration
	// Sent is when the sending began, and LastByte when it ended.
	Sent, LastByte time.Time
}

// bodyChunks is the number of chunks of a body that is sent in chunks.
const bodyChunks = 4

// chunkedBody yields a body in chunks, with a pause before each but the first.
type chunkedBody struct {
	text  string
	pause time.Duration
	sent  int
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	size := (len(b.text) + bodyChunks - 1) / bodyChunks
	if b.sent >= len(b.text) {
		return 0, io.EOF
	}
	if b.sent > 0 {
		time.Sleep(b.pause)
	}
	n := copy(p, b.text[b.sent:min(b.sent+size, len(b.text))])
	b.sent += n
	return n, nil
}

var attempts atomic.Int64

// written is the end of the sending of a request.
type written struct {
	whole bool
	at    time.Time
}

// Send sends a request on a new connection.
func Send(ctx context.Context, address string, q Request) Answer {
	return send(ctx, &http.Transport{
		DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}, address, q)
}

// Send sends a request on the kept connection, or on a new one if there is none.
func (k *Kept) Send(ctx context.Context, q Request) Answer {
	return send(ctx, k.transport, k.address, q)
}

// SendLate opens a connection and sends a request on it after a delay.
func SendLate(address string, delay time.Duration, q Request) Answer {
	c, err := (&net.Dialer{Timeout: time.Second}).Dial("tcp", address)
	if err != nil {
		return Answer{ID: NewID(), Sent: time.Now(), Err: err}
	}
	time.Sleep(delay)
	return send(context.Background(), &http.Transport{
		DisableKeepAlives: true, DisableCompression: true, DialContext: func(context.Context, string, string) (net.Conn, error) { return c, nil },
	}, address, q)
}

// NewID returns the id of an attempt.
func NewID() string { return fmt.Sprintf("%016x", 0x1c41d07be2a00000+attempts.Add(1)) }

func send(ctx context.Context, transport *http.Transport, address string, q Request) (a Answer) {
	a = Answer{ID: cmp.Or(q.ID, NewID())}
	ctx, cancel := context.WithTimeout(ctx, q.Deadline)
	defer cancel()
	a.Sent = time.Now()
	defer func() { a.Took = time.Since(a.Sent) }()
	var body io.Reader = strings.NewReader(q.Body)
	if q.SendTime > 0 {
		body = &chunkedBody{text: q.Body, pause: q.SendTime / (bodyChunks - 1)}
	}
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+address+q.Path, body)
	if err != nil {
		a.Err = err
		return a
	}
	req.Host = q.Host
	req.Header.Set("Attempt-Id", a.ID)
	req.Header.Set("Deadline-Remaining", strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	req.Header.Set("Credential", q.Key)
	if q.Stream {
		req.Header.Set("Model-Name", "m")
		req.Header.Set("Token-Count", fmt.Sprintf("%d,%d", q.Tokens, q.Output))
		req.Header.Set("Prompt-Prefix", q.Parts)
	}
	// The transport may go on writing after an answer has come.
	var wrote atomic.Pointer[written]
	var began atomic.Bool
	defer func() {
		a.Began = began.Load()
		if w := wrote.Load(); w != nil {
			a.Written, a.LastByte = w.whole, w.at
		}
	}()
	trace := &httptrace.ClientTrace{
		GotConn:              func(i httptrace.GotConnInfo) { a.Reused = i.Reused },
		WroteRequest:         func(i httptrace.WroteRequestInfo) { wrote.Store(&written{i.Err == nil, time.Now()}) },
		GotFirstResponseByte: func() { began.Store(true) },
	}
	req = req.WithContext(httptrace.WithClientTrace(ctx, trace))
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.Err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.Status, a.Header = resp.StatusCode, resp.Header
	if !q.Stream || resp.StatusCode != http.StatusOK {
		body, err := io.ReadAll(resp.Body)
		a.Body, a.Err, a.Complete = string(body), err, err == nil
		return a
	}
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if id, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok && err == nil {
			n, _ := strconv.Atoi(id)
			a.Events = append(a.Events, n)
		}
		if err != nil {
			a.Complete = err == io.EOF
			if !a.Complete {
				a.Err = err
			}
			return a
		}
	}
}

func (a Answer) String() string {
	text := fmt.Sprintf("status %d, %d events, complete %t, %d ms", a.Status, len(a.Events), a.Complete, a.Took.Milliseconds())
	if a.Status >= 300 {
		text += ", Retry-After " + a.Header.Get("Retry-After") + ", " + strings.TrimSpace(a.Body)
	}
	if a.Err != nil {
		text += ", " + a.Err.Error()
	}
	return text
}

// Kept is a client that keeps one connection for many requests.
type Kept struct {
	address   string
	transport *http.Transport
}

// NewKept returns a client of a gateway.
func NewKept(address string) *Kept {
	return &Kept{address: address, transport: &http.Transport{
		DisableCompression: true, MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, IdleConnTimeout: 8 * time.Second,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}
