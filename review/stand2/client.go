package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	hostName = "ficu95.example"
	apiKey   = "n2ctnfzs989anu6wsjnb"
	deadline = 10 * time.Second
	// callDeadline is that of calls of the mooring desk.
	callDeadline = 1500 * time.Millisecond
)

// clients send requests, each on a new connection.
type clients struct {
	http *http.Client
	log  *record

	mu   sync.Mutex
	sent map[string]*sending
	next int
}

// sending is a request of a client.
type sending struct {
	machine string
	body    string
	at      time.Time
	// headAt is when the head of a success arrived.
	headAt time.Time
	status int
}

func newClients(log *record) *clients {
	return &clients{
		http: &http.Client{Transport: &http.Transport{
			DisableKeepAlives: true, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		}},
		log: log, sent: map[string]*sending{},
	}
}

// send sends a request to a machine and reads the whole answer.
func (c *clients) send(machine int, address, body string, prompt, output int) *sending {
	return c.sendTo(machine, address, "/draft/2f", body, prompt, output)
}

// sendTo is send for a path; a prompt of zero tokens stands for a call of a plain service.
func (c *clients) sendTo(machine int, address, path, body string, prompt, output int) *sending {
	c.mu.Lock()
	c.next++
	attempt := fmt.Sprintf("%016x", c.next)
	s := &sending{machine: fmt.Sprintf("edge-%d", machine), body: body, at: time.Now()}
	c.sent[attempt] = s
	c.mu.Unlock()
	c.log.add("send", "attempt", attempt, "machine", s.machine)
	limit := deadline
	if prompt == 0 {
		limit = callDeadline
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = hostName
	headers := map[string]string{"Attempt-Id": attempt, "Credential": apiKey, "Deadline-Remaining": fmt.Sprint(limit.Milliseconds())}
	if prompt > 0 {
		headers["Model-Name"] = "m"
		headers["Token-Count"] = fmt.Sprintf("%d,%d", prompt, output)
		headers["Prompt-Prefix"] = fmt.Sprintf("5c1e07a2:40,%08x:%d", crc32.ChecksumIEEE([]byte(body)), prompt-40)
	}
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.log.add("answer", "attempt", attempt, "machine", s.machine, "error", err.Error())
		return s
	}
	defer func() { _ = resp.Body.Close() }()
	c.mu.Lock()
	s.headAt, s.status = time.Now(), resp.StatusCode
	c.mu.Unlock()
	data, err := io.ReadAll(resp.Body)
	text := "complete"
	if err != nil {
		text = "broken off"
	}
	c.log.add("answer", "attempt", attempt, "machine", s.machine, "status", fmt.Sprint(resp.StatusCode), "events", fmt.Sprint(strings.Count(string(data), "id: ")), "end", text, "limit", resp.Header.Get("Server-Limit"))
	return s
}

// resolve asks a machine for the addresses of gateways.
func (c *clients) resolve(address, zone string) []string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/api/resolve?name="+hostName+"&region_name=sofia&zone="+zone, nil)
	if err != nil {
		panic(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var reply struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(resp.Body).Decode(&reply) != nil {
		return nil
	}
	return reply.Addresses
}
