package system

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/pkg/confd"
	"github.com/verbenapier/verbenapier/pkg/group"
)

const (
	rivalKey = "key-of-a-rival"
	// secretText is part of test prompts and request bodies. It must not appear in answers,
	// log lines or the admin interface.
	secretText = "donor-list-of-"
)

// twoOrganisations returns a document with the organisations shop and rival. The
// limits, if any, are JSON members that are added to shop.
func twoOrganisations(limits string) string {
	members := fmt.Sprintf(`"rival": {"keys": [%q], "weight": 1}, "shop": {%s`, confd.KeyHash(rivalKey), limits)
	return strings.Replace(document, `"shop": {`, members, 1)
}

// sharedScope wraps the handler of an engine so that all organisations share one
// scope of its prefix cache.
func sharedScope(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path == "/v1/streams" {
			var start map[string]any
			if json.NewDecoder(r.Body).Decode(&start) == nil {
				start["organisation"] = "shared"
			}
			body, _ := json.Marshal(start)
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		}
		next.ServeHTTP(w, r)
	})
}

// measureFirstTokens returns the sorted times to first token that the organisation
// shop measures for prompts that the rival sent just before (guessed), and for
// prompts that nobody sent before (fresh).
func measureFirstTokens(t *testing.T, wrap func(http.Handler) http.Handler) (guessed, fresh []time.Duration) {
	const samples, tokens = 40, 4_000
	// With a single engine both organisations use the same prefix cache.
	d := deployWith(t, options{engines: 1, document: twoOrganisations(""), wrapEngine: wrap})
	defer d.close()
	shop, rival := d.newCaller(shopKey), d.newCaller(rivalKey)
	defer shop.close()
	defer rival.close()
	random := rand.New(rand.NewPCG(1, 0))
	firstToken := func(c *caller, prompt string) time.Duration {
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		r := c.stream(random.IntN(nodeCount), prompt, 4, 30*time.Second)
		require.True(t, r.ok(), "%+v", r)
		return r.firstToken
	}
	for i := range samples {
		prompt := makePrompt(fmt.Sprintf("%s%d", secretText, i), tokens)
		firstToken(rival, prompt)
		// The order alternates so that it favours neither measurement.
		measurements := []func(){
			func() { guessed = append(guessed, firstToken(shop, prompt)) },
			func() { fresh = append(fresh, firstToken(shop, makePrompt(fmt.Sprintf("fresh-prompt-%d", i), tokens))) },
		}
		if i%2 == 1 {
			slices.Reverse(measurements)
		}
		for _, measure := range measurements {
			measure()
		}
	}
	slices.Sort(guessed)
	slices.Sort(fresh)
	return guessed, fresh
}

// Guards against an organisation that learns from the time to first token whether
// another organisation sent the same prompt. The case with a shared cache scope
// proves that the measurement detects such a leak.
func TestPrefixCacheTiming(t *testing.T) {
	for name, c := range map[string]struct {
		wrap              func(http.Handler) http.Handler
		indistinguishable bool
	}{
		"separate cache scopes": {indistinguishable: true},
		"shared cache scope":    {wrap: sharedScope},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				guessed, fresh := measureFirstTokens(t, c.wrap)
				t.Logf("guessed %v, fresh %v (min, median, max)", minMedianMax(guessed), minMedianMax(fresh))
				// The times are indistinguishable if each median lies within the
				// range of the other times and the medians differ by less than the
				// time of one token.
				guessedMedian, freshMedian := guessed[len(guessed)/2], fresh[len(fresh)/2]
				indistinguishable := max(guessedMedian-freshMedian, freshMedian-guessedMedian) < 5*time.Millisecond &&
					guessed[0] <= freshMedian && freshMedian <= guessed[len(guessed)-1] &&
					fresh[0] <= guessedMedian && guessedMedian <= fresh[len(fresh)-1]
				require.Equal(t, c.indistinguishable, indistinguishable)
			})
		})
	}
}

func minMedianMax(sorted []time.Duration) [3]time.Duration {
	return [3]time.Duration{sorted[0], sorted[len(sorted)/2], sorted[len(sorted)-1]}
}

// syncBuffer is a buffer that several goroutines may write to.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// adminViews are the paths of the admin interface that can be read.
var adminViews = []string{
	"nodes", "cells", "engines", "organisations", "requests", "alarms", "metrics", "dump", "health", "quarantine",
	"config", "config/history", "config/1",
}

// Guards against prompt text and API keys in answers, errors, log lines and the
// views of the admin interface, while requests succeed, fail in many ways and crash
// engines.
func TestPromptTextStaysPrivate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &syncBuffer{}
		d := deployWith(t, options{document: twoOrganisations(`"concurrent": 4, "requests_per_second": 20, `), logOutput: log})
		defer d.close()
		visible := &syncBuffer{}
		readViews := func() {
			for node := range nodeCount {
				for _, view := range adminViews {
					status, body := d.adminRequest(node, http.MethodGet, view, "")
					require.NotZero(t, status, body)
					_, _ = fmt.Fprintln(visible, view, body)
				}
			}
		}
		g := group.New(t.Context())
		send := func(key string, fn func(c *caller) reply) {
			g.Go("caller", func(context.Context) error {
				c := d.newCaller(key)
				defer c.close()
				r := fn(c)
				_, _ = fmt.Fprintln(visible, r.body, r.err)
				return nil
			})
		}
		codes := map[string]int{}
		var mu sync.Mutex
		for _, fn := range markedCalls() {
			for _, k := range []string{shopKey, rivalKey, "key-that-nobody-has"} {
				send(k, func(c *caller) reply {
					r := fn(c)
					mu.Lock()
					defer mu.Unlock()
					codes[fmt.Sprint(r.status, " ", r.code)]++
					return r
				})
			}
		}
		time.Sleep(2 * time.Second)
		readViews()
		d.killEngine(0)
		d.net.Silence(engineName(1), callerHost)
		require.NoError(t, d.desks[0].Apply([]byte(`{"lose_share":0.5}`)))
		time.Sleep(time.Second)
		readViews()
		require.NoError(t, g.Wait())
		readViews()
		t.Logf("answers %v, %d bytes logged, %d bytes in answers and views", codes, len(log.String()), len(visible.String()))
		for _, want := range []string{"200 ", "401 invalid_api_key", "429 rate_limit_exceeded"} {
			require.Contains(t, codes, want)
		}
		require.Contains(t, log.String(), "request_failed", "log at debug level")
		for _, secret := range []string{secretText, shopKey, rivalKey, "key-that-nobody-has", crashMarker} {
			for name, text := range map[string]string{"log": log.String(), "answers and views": visible.String()} {
				i := strings.Index(text, secret)
				require.Negative(t, i, "%q in %s: %.400s", secret, name, text[max(0, i-200):])
			}
		}
	})
}

// markedCalls returns requests that contain secretText and end in different ways.
func markedCalls() map[string]func(c *caller) reply {
	post := func(path, body string, header map[string]string) func(c *caller) reply {
		return func(c *caller) reply { return c.call(http.MethodPost, nodeAddr(1, 80), path, body, header) }
	}
	const completions = "/v1/completions"
	markedPrompt := func(c *caller) string { return secretText + c.key }
	calls := map[string]func(c *caller) reply{
		"long":                 func(c *caller) reply { return c.stream(0, makePrompt(markedPrompt(c), 20_000), 400, time.Minute) },
		"crash":                func(c *caller) reply { return c.stream(2, crashMarker+markedPrompt(c), 20, time.Minute) },
		"late":                 func(c *caller) reply { return c.stream(2, makePrompt(markedPrompt(c), 60_000), 400, time.Second) },
		"too big":              func(c *caller) reply { return c.stream(2, makePrompt(markedPrompt(c), 400_000), 400, time.Second) },
		"order":                func(c *caller) reply { return c.postOrder(0, newIdempotencyKey(), markedPrompt(c)) },
		"order without a key":  func(c *caller) reply { return c.postOrder(0, "", markedPrompt(c)) },
		"order with a bad key": func(c *caller) reply { return c.postOrder(0, markedPrompt(c), markedPrompt(c)) },
		"syntax":               post(completions, `{"model":"draft","prompt":"`+secretText, nil),
		"type":                 post(completions, `{"model":{"a":"`+secretText+`"},"prompt":"a"}`, nil),
		"text for a number":    post(completions, `{"model":"draft","prompt":"a","max_tokens":"`+secretText+`"}`, nil),
		"field":                post(completions, `{"model":"draft","`+secretText+`":1}`, nil),
		"prompt as a list":     post(completions, `{"model":"draft","prompt":["`+secretText+`",1]}`, nil),
		"message":              post("/v1/chat/completions", `{"model":"draft","messages":[{"role":"`+secretText+`","content":{"x":"`+secretText+`"}}]}`, nil),
		"chat":                 post("/v1/chat/completions", `{"model":"draft","messages":[{"role":"user","content":"`+secretText+`"}]}`, nil),
		"timeout header":       post(completions, `{"model":"draft","prompt":"a"}`, map[string]string{"X-Request-Timeout": "-1s"}),
	}
	for i := range 12 {
		calls[fmt.Sprint("burst ", i)] = func(c *caller) reply {
			return c.stream(i%nodeCount, makePrompt(markedPrompt(c), 2_000+i), 200, time.Minute)
		}
	}
	return calls
}
