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

// callerTimeout is longer than the time limits of all services.
const callerTimeout = 3 * time.Minute

// caller sends requests with one API key over connections of its own.
type caller struct {
	d      *deployment
	key    string
	client *http.Client
}

func (d *deployment) newCaller(key string) *caller {
	transport := &http.Transport{DialContext: d.net.Host(callerHost).DialContext, MaxIdleConnsPerHost: 64}
	return &caller{d, key, &http.Client{Transport: transport, Timeout: callerTimeout}}
}

func (c *caller) close() { c.client.CloseIdleConnections() }

// reply is the outcome of a request as its caller sees it.
type reply struct {
	status int
	// run is the X-Verbenapier-Run header, code the error code in the body.
	run, code string
	body      string
	// textEvents is the number of stream events that carry text.
	textEvents int
	// done is set when the stream ended with [DONE].
	done bool
	// firstToken is the time from the request to the first event with text.
	firstToken time.Duration
	// err is set when there was no answer or its body ended early.
	err error
}

func (r reply) ok() bool { return r.err == nil && r.status == http.StatusOK && r.code == "" }

// call sends a request and reads the whole answer.
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
		r.parseLine(line, time.Since(begin))
		if err != nil {
			if err != io.EOF { //nolint:errorlint // The reader returns it unwrapped.
				r.err = err
			}
			r.body = raw.String()
			return r
		}
	}
}

// parseLine updates the reply from one line of the answer's body.
func (r *reply) parseLine(line string, elapsed time.Duration) {
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
		if r.textEvents++; r.textEvents == 1 {
			r.firstToken = elapsed
		}
	}
}

// stream sends a prompt to a node and reads the streamed answer.
func (c *caller) stream(node int, prompt string, maxTokens int, timeout time.Duration) reply {
	body := fmt.Sprintf(`{"model":"draft","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, maxTokens)
	return c.call(http.MethodPost, nodeAddr(node, 80), "/v1/completions", body, map[string]string{"X-Request-Timeout": timeout.String()})
}

// postOrder sends a call that is not idempotent to the order-desk service.
func (c *caller) postOrder(node int, idempotencyKey, body string) reply {
	return c.call(http.MethodPost, nodeAddr(node, 80), "/services/order-desk/orders", body, map[string]string{"Idempotency-Key": idempotencyKey})
}

// makePrompt returns a prompt that begins with prefix and has about the given
// number of tokens, at 4 bytes per token.
func makePrompt(prefix string, tokens int) string {
	return prefix + strings.Repeat(" abc", max(0, tokens-len(prefix)/4))
}

// newIdempotencyKey returns an idempotency key that no other call has.
func newIdempotencyKey() string { return uuid.Must(uuid.NewV7()).String() }
