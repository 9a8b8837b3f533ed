package system

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

// callerTimeout is longer than any time limit of the services.
const callerTimeout = 3 * time.Minute

// caller sends requests with one key over its own connections.
type caller struct {
	d      *deployment
	key    string
	client *http.Client
}

func (d *deployment) caller(key string) *caller {
	transport := &http.Transport{DialContext: d.net.Host(callerHost).DialContext, MaxIdleConnsPerHost: 64}
	return &caller{d, key, &http.Client{Transport: transport, Timeout: callerTimeout}}
}

func (c *caller) close() { c.client.CloseIdleConnections() }

// reply is what a caller was told. Err is set when there was no answer or it
// was cut short.
type reply struct {
	status     int
	run, code  string
	raw        string
	pieces     int
	done       bool
	firstToken time.Duration
	err        error
}

func (r reply) ok() bool { return r.err == nil && r.status == http.StatusOK && r.code == "" }

// call sends a request and reads the answer to its end.
func (c *caller) call(method, address, path, body string, header map[string]string) reply {
	begin := time.Now()
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, strings.NewReader(body))
	require.NoError(c.d.t, err)
	req.Header.Set("Authorization", "Bearer "+c.key)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	r := reply{status: resp.StatusCode, run: resp.Header.Get("X-Verbenapier-Run")}
	var raw strings.Builder
	reader := bufio.NewReader(resp.Body)
	for {
		line, err := reader.ReadString('\n')
		raw.WriteString(line)
		r.note(line, time.Since(begin))
		if err != nil {
			if err != io.EOF { //nolint:errorlint // The reader returns it unwrapped.
				r.err = err
			}
			r.raw = raw.String()
			return r
		}
	}
}

// note looks at one line of an answer.
func (r *reply) note(line string, elapsed time.Duration) {
	data, isEvent := strings.CutPrefix(strings.TrimSpace(line), "data: ")
	if data == "[DONE]" {
		r.done = true
		return
	}
	var event struct {
		Choices []struct{ Text string }
		Error   struct{ Code string }
	}
	if json.Unmarshal([]byte(data), &event) != nil {
		return
	}
	if event.Error.Code != "" {
		r.code = event.Error.Code
	}
	if isEvent && len(event.Choices) > 0 && event.Choices[0].Text != "" {
		if r.pieces++; r.pieces == 1 {
			r.firstToken = elapsed
		}
	}
}

// stream sends a prompt and reads its answer as a stream of events.
func (c *caller) stream(node int, prompt string, maxTokens int, limit time.Duration) reply {
	body := fmt.Sprintf(`{"model":"draft","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, maxTokens)
	return c.call(http.MethodPost, nodeAddr(node, 80), "/v1/completions", body, map[string]string{"X-Request-Timeout": limit.String()})
}

// order sends a call that is not idempotent.
func (c *caller) order(node int, key, body string) reply {
	return c.call(http.MethodPost, nodeAddr(node, 80), "/services/order-desk/orders", body, map[string]string{"Idempotency-Key": key})
}

// promptOf returns a prompt of a number of tokens that begins with a text.
func promptOf(text string, tokens int) string {
	return text + strings.Repeat(" abc", max(0, tokens-len(text)/4))
}

// newKey returns a key for a call that is not idempotent.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }
