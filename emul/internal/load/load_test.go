package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/emul/internal/batch"
	"github.com/verbenapier/verbenapier/emul/internal/fault"
	"github.com/verbenapier/verbenapier/emul/internal/load"
	"github.com/verbenapier/verbenapier/emul/internal/plain"
	"github.com/verbenapier/verbenapier/emul/internal/serve"
)

// network is a transport that sends requests to in-memory servers by address.
type network map[string]*http.Client

func (n network) RoundTrip(req *http.Request) (*http.Response, error) {
	client := n[req.URL.Host]
	if client == nil {
		return nil, &net.OpError{Op: "dial", Err: errors.New("no such host")}
	}
	return client.Transport.RoundTrip(req)
}

// entryHost is an entry host with an engine and a plain upstream. mode names the
// fault in its answers.
type entryHost struct {
	mode      string
	priority  bool // short prompts have priority over long ones
	addresses []string
	engine    *batch.Engine
	upstream  http.Handler
	lastID    *atomic.Int64 // last stream id
}

func (e *entryHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/addresses":
		list := make([]map[string]string, 0, len(e.addresses))
		for _, a := range e.addresses {
			list = append(list, map[string]string{"address": a, "failure_domain": "d"})
		}
		serve.JSON(w, http.StatusOK, map[string]any{"addresses": list, "lifetime": "30s"})
	case e.mode == "leaving":
		refuse(w, "host_leaving")
	case e.mode == "refused":
		refuse(w, "overloaded")
	case e.mode == "hang":
		<-r.Context().Done()
	case r.URL.Path == "/v1/completions":
		e.complete(w, r)
	default:
		e.call(w, r)
	}
}

func refuse(w http.ResponseWriter, code string) {
	w.Header().Set("X-Verbenapier-Run", "no")
	serve.JSON(w, http.StatusServiceUnavailable, map[string]any{"error": map[string]string{"code": code}})
}

func (e *entryHost) call(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	copyRequest := func() *http.Request {
		c := r.Clone(r.Context())
		c.Body = io.NopCloser(bytes.NewReader(body))
		return c
	}
	switch e.mode {
	case "runs twice":
		e.upstream.ServeHTTP(discard{http.Header{}}, copyRequest())
	case "runs and denies":
		e.upstream.ServeHTTP(discard{http.Header{}}, copyRequest())
		refuse(w, "overloaded")
		return
	case "answer of another":
		body = append(body, ' ')
	}
	e.upstream.ServeHTTP(w, copyRequest())
}

// discard is a response writer that discards the answer.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

func (e *entryHost) complete(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Model, Prompt string
		MaxTokens     int `json:"max_tokens"`
	}
	_ = json.NewDecoder(r.Body).Decode(&req)
	start := batch.StartRequest{
		ID: fmt.Sprint(e.lastID.Add(1)), Model: req.Model, Prompt: req.Prompt, MaxTokens: req.MaxTokens,
		Organisation: r.Header.Get("Authorization"),
	}
	if e.priority && len(req.Prompt) > 100_000 {
		start.Priority = 1
	}
	reader, err := e.engine.Start(r.Context(), start)
	if err != nil {
		refuse(w, "no_memory")
		return
	}
	defer reader.Close()
	for {
		frame, err := reader.Next(r.Context())
		if err != nil {
			return
		}
		if frame.Keepalive {
			_, _ = io.WriteString(w, ": keepalive\n\n")
			continue
		}
		if frame.Seq == 3 && !e.damage(w, &frame) {
			return
		}
		writeEvent(w, fmt.Sprintf(`{"choices":[{"index":0,"text":%q}]}`, frame.Text))
		if frame.Done {
			writeEvent(w, "[DONE]")
			return
		}
	}
}

// damage applies the fault of the mode to a frame, and returns false if the stream
// ends with it.
func (e *entryHost) damage(w http.ResponseWriter, frame *batch.Frame) bool {
	switch e.mode {
	case "wrong token":
		frame.Text = strings.Replace(frame.Text, "[3", "[4", 1)
	case "doubled token":
		frame.Text += frame.Text
	case "missing token":
		frame.Text = ""
	case "truncated":
		writeEvent(w, "[DONE]")
		return false
	case "failed":
		writeEvent(w, `{"error":{"code":"engine_lost"}}`)
		return false
	case "cut":
		panic(http.ErrAbortHandler)
	}
	return true
}

func writeEvent(w http.ResponseWriter, data string) {
	_, _ = io.WriteString(w, "data: "+data+"\n\n")
	_ = http.NewResponseController(w).Flush()
}

// run sends requests to the entry hosts "a" and "b" in the given modes. The host
// "down" is in their list of addresses and does not exist.
func run(t *testing.T, modes [2]string, change func(*load.Config, *entryHost)) load.Report {
	var report load.Report
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		engineConfig := batch.DefaultConfig()
		engineConfig.Models = []batch.Model{{Name: "base"}}
		e := entryHost{
			addresses: []string{"a", "b", "down"}, engine: batch.New(engineConfig), lastID: &atomic.Int64{},
			upstream: plain.New(log, plain.Config{Name: "p"}),
		}
		cfg := load.Config{
			Addresses: []string{"down", "a"}, Keys: []string{"k1", "k2"}, Model: "base", Rate: 4, Count: 60,
			Mix: load.Mix{{Tokens: 1000, Weight: 1}}, Seed: 1, MaxTokens: 8, Timeout: 20 * time.Second,
			Grace: time.Second, Attempts: 4, LongTokens: 64_000, ShortTokens: 4000,
			PlainPath: "/services/desk/book", PlainMethod: http.MethodPost, Upstreams: []string{"upstream"},
		}
		if change != nil {
			change(&cfg, &e)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { e.engine.Run(ctx) })
		hosts := network{}
		for i, name := range []string{"a", "b"} {
			host := e
			host.mode = modes[i]
			client, stop := serve.InMemory(&host, fault.NewSwitch(log, 1, func() {}))
			hosts[name] = client
			defer stop()
		}
		client, stop := serve.InMemory(e.upstream, fault.NewSwitch(log, 1, func() {}))
		hosts["upstream"] = client
		defer stop()
		cfg.Transport = hosts
		runner, err := load.New(log, cfg)
		require.NoError(t, err)
		report = runner.Run(t.Context())
		cancel()
		group.Wait()
	})
	return report
}

// Guards against a checker that accepts a damaged answer, or that reports a refusal
// or an error as a fault.
func TestCompletionOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		modes   [2]string
		outcome string
		ok      bool
	}{
		"whole":                  {[2]string{}, "ok", true},
		"one host leaving":       {[2]string{"leaving", ""}, "ok", true},
		"one host cuts":          {[2]string{"", "cut"}, "ok", true},
		"all hosts leaving":      {[2]string{"leaving", "leaving"}, "refused", true},
		"refused":                {[2]string{"refused", "refused"}, "refused", true},
		"failed with an error":   {[2]string{"failed", "failed"}, "failed", true},
		"wrong token":            {[2]string{"wrong token", "wrong token"}, "wrong", false},
		"doubled token":          {[2]string{"doubled token", "doubled token"}, "wrong", false},
		"missing token":          {[2]string{"missing token", "missing token"}, "wrong", false},
		"truncated":              {[2]string{"truncated", "truncated"}, "truncated", false},
		"cut by all":             {[2]string{"cut", "cut"}, "unanswered", false},
		"no answer":              {[2]string{"hang", "hang"}, "unanswered", false},
		"no answer from any one": {[2]string{"hang", "cut"}, "unanswered", false},
	} {
		t.Run(name, func(t *testing.T) {
			report := run(t, c.modes, nil)
			assert.Equal(t, 60, report.Requests)
			assert.Equal(t, map[string]int{c.outcome: 60}, report.Outcomes)
			assert.Equal(t, c.ok, report.OK())
			var text bytes.Buffer
			require.NoError(t, report.Write(&text))
			assert.Contains(t, text.String(), "60 "+c.outcome)
		})
	}
}

// Guards against error codes and run states that are not reported, and against load
// tests with the same seed that send different requests.
func TestReportIsComplete(t *testing.T) {
	report := run(t, [2]string{"refused", "refused"}, nil)
	assert.Equal(t, map[string]int{"overloaded": 60}, report.Errors)
	assert.Equal(t, map[string]int{"no": 60}, report.Runs)
	mix := func(c *load.Config, _ *entryHost) {
		c.Mix = load.Mix{{Tokens: 1000, Weight: 8}, {Tokens: 16_000, Weight: 2}}
	}
	first, second := run(t, [2]string{}, mix), run(t, [2]string{}, mix)
	assert.Equal(t, first.FirstToken, second.FirstToken)
	assert.Equal(t, int64(60), first.FirstToken[0].Count+first.FirstToken[2].Count)
	assert.Greater(t, first.FirstToken[2].P50, first.FirstToken[0].P50)
	assert.Equal(t, int64(7*60), first.BetweenTokens.Count)
}

// Guards against a measurement that misses head-of-line blocking, or that reports
// it where short prompts have priority.
func TestBlockingIsMeasured(t *testing.T) {
	ratio := map[bool]float64{}
	for _, priority := range []bool{false, true} {
		report := run(t, [2]string{}, func(c *load.Config, e *entryHost) {
			c.Mix = load.Mix{{Tokens: 1000, Weight: 39}, {Tokens: 200_000, Weight: 1}}
			c.Count, c.Timeout, e.priority = 400, time.Minute, priority
		})
		assert.True(t, report.OK())
		ratio[priority] = report.Blocking.Ratio
	}
	assert.Greater(t, ratio[false], 10.0)
	assert.Less(t, ratio[true], 3.0)
}

// Guards against faults of plain calls that the report doesn't show: a call that runs
// twice, that runs although its answer says that it did not, or that gets the answer
// to another call.
func TestPlainCalls(t *testing.T) {
	for name, c := range map[string]struct {
		mode, outcome    string
		doubled, refused int
		ok               bool
	}{
		"once":               {"", "ok", 0, 0, true},
		"refused":            {"refused", "refused", 0, 0, true},
		"runs twice":         {"runs twice", "ok", 60, 0, false},
		"runs and denies":    {"runs and denies", "refused", 0, 60, false},
		"answer of another":  {"answer of another", "wrong", 0, 0, false},
		"resent and doubled": {"", "ok", 60, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			report := run(t, [2]string{c.mode, c.mode}, func(cfg *load.Config, _ *entryHost) {
				cfg.PlainShare = 1
				if name == "resent and doubled" {
					cfg.ResendShare = 1
				}
			})
			assert.Equal(t, map[string]int{c.outcome: 60}, report.Plain.Outcomes)
			assert.True(t, report.Plain.Verified)
			assert.Equal(t, c.doubled, report.Plain.Doubled)
			assert.Equal(t, c.refused, report.Plain.RanThoughRefused)
			assert.Equal(t, c.ok, report.OK())
		})
	}
}

// Guards against lengths or weights that are misread or wrongly accepted.
func TestParseMix(t *testing.T) {
	mix, err := load.ParseMix("1k:80, 500:15,1M")
	require.NoError(t, err)
	assert.Equal(t, load.Mix{{Tokens: 1000, Weight: 80}, {Tokens: 500, Weight: 15}, {Tokens: 1_000_000, Weight: 1}}, mix)
	for _, text := range []string{"", "k:1", "1k:x", "-1k", "1k:-2"} {
		_, err := load.ParseMix(text)
		assert.Error(t, err, text)
	}
}
