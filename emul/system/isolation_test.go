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
	// secretText marks prompts. It may appear nowhere but on engines.
	secretText = "donor-list-of-"
)

// twoShops is a document with two organisations. The limits, if any, are the
// JSON members of the first one.
func twoShops(limits string) string {
	second := fmt.Sprintf(`"rival": {"keys": [%q], "weight": 1}, "shop": {%s`, confd.KeyHash(rivalKey), limits)
	return strings.Replace(document, `"shop": {`, second, 1)
}

// sharedScope makes an engine see one cache scope for all organisations.
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

// probe returns the times to first token that a shop sees for prompts that its
// rival sent just before, and for fresh prompts.
func probe(t *testing.T, wrap func(http.Handler) http.Handler) (guessed, fresh []time.Duration) {
	const samples, tokens = 40, 4_000
	// With one engine both organisations share every cache there is.
	d := deployPlan(t, plan{engines: 1, document: twoShops(""), engine: wrap})
	defer d.close()
	shop, rival := d.caller(key), d.caller(rivalKey)
	defer shop.close()
	defer rival.close()
	random := rand.New(rand.NewPCG(1, 0))
	first := func(c *caller, prompt string) time.Duration {
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		r := c.stream(random.IntN(nodeCount), prompt, 4, 30*time.Second)
		require.True(t, r.ok(), "%+v", r)
		return r.firstToken
	}
	for i := range samples {
		prompt := promptOf(fmt.Sprintf("%s%d", secretText, i), tokens)
		first(rival, prompt)
		// Neither order may favour one of the two measurements.
		measure := []func(){
			func() { guessed = append(guessed, first(shop, prompt)) },
			func() { fresh = append(fresh, first(shop, promptOf(fmt.Sprintf("fresh-prompt-%d", i), tokens))) },
		}
		if i%2 == 1 {
			slices.Reverse(measure)
		}
		for _, m := range measure {
			m()
		}
	}
	slices.Sort(guessed)
	slices.Sort(fresh)
	return guessed, fresh
}

// Guards against an organisation that finds out from the time to first token
// whether another one sent a prompt. The second run shows that the probe finds
// a shared cache.
func TestPrefixCacheTiming(t *testing.T) {
	for name, c := range map[string]struct {
		wrap func(http.Handler) http.Handler
		same bool
	}{
		"scopes apart": {same: true},
		"one scope":    {wrap: sharedScope},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				guessed, fresh := probe(t, c.wrap)
				t.Logf("guessed %v, fresh %v (least, median, most)", spread(guessed), spread(fresh))
				// The median of either lies within the range of the other
				// and differs by less than the time of one token.
				m, n := guessed[len(guessed)/2], fresh[len(fresh)/2]
				same := max(m-n, n-m) < 5*time.Millisecond &&
					guessed[0] <= n && n <= guessed[len(guessed)-1] && fresh[0] <= m && m <= fresh[len(fresh)-1]
				require.Equal(t, c.same, same)
			})
		})
	}
}

func spread(sorted []time.Duration) [3]time.Duration {
	return [3]time.Duration{sorted[0], sorted[len(sorted)/2], sorted[len(sorted)-1]}
}

// syncBuffer collects log lines of several processes.
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

// adminViews are the views of the operators' interface.
var adminViews = []string{
	"nodes", "cells", "engines", "organisations", "requests", "alarms", "metrics", "dump", "health", "quarantine",
	"config", "config/history", "config/1",
}

// Guards against prompt text and keys in answers, errors, log lines and the
// operators' views, while requests succeed, fail in every way and crash engines.
func TestPromptTextStaysPrivate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &syncBuffer{}
		d := deployPlan(t, plan{document: twoShops(`"concurrent": 4, "requests_per_second": 20, `), log: log})
		defer d.close()
		shown := &syncBuffer{}
		views := func() {
			for node := range nodeCount {
				for _, view := range adminViews {
					status, body := d.operate(node, http.MethodGet, view, "")
					require.NotZero(t, status, body)
					_, _ = fmt.Fprintln(shown, view, body)
				}
			}
		}
		g := group.New(t.Context())
		send := func(key string, fn func(c *caller) reply) {
			g.Go("caller", func(context.Context) error {
				c := d.caller(key)
				defer c.close()
				r := fn(c)
				_, _ = fmt.Fprintln(shown, r.raw, r.err)
				return nil
			})
		}
		codes := map[string]int{}
		var mu sync.Mutex
		for _, fn := range privateCalls() {
			for _, k := range []string{key, rivalKey, "key-that-nobody-has"} {
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
		views()
		d.killEngine(0)
		d.net.Silence(engineName(1), callerHost)
		require.NoError(t, d.desks[0].Apply([]byte(`{"lose_share":0.5}`)))
		time.Sleep(time.Second)
		views()
		require.NoError(t, g.Wait())
		views()
		t.Logf("answers %v, %d bytes logged, %d bytes shown", codes, len(log.String()), len(shown.String()))
		for _, want := range []string{"200 ", "401 invalid_api_key", "429 rate_limit_exceeded"} {
			require.Contains(t, codes, want)
		}
		require.Contains(t, log.String(), "request_failed", "lines at debug level")
		for _, secret := range []string{secretText, key, rivalKey, "key-that-nobody-has", crashMarker} {
			for name, text := range map[string]string{"log": log.String(), "answers and views": shown.String()} {
				i := strings.Index(text, secret)
				require.Negative(t, i, "%q in %s: %.400s", secret, name, text[max(0, i-200):])
			}
		}
	})
}

// privateCalls are requests with marked prompts that end in different ways.
func privateCalls() map[string]func(c *caller) reply {
	post := func(path, body string, header map[string]string) func(c *caller) reply {
		return func(c *caller) reply { return c.call(http.MethodPost, nodeAddr(1, 80), path, body, header) }
	}
	const completions = "/v1/completions"
	marked := func(c *caller) string { return secretText + c.key }
	calls := map[string]func(c *caller) reply{
		"long":                 func(c *caller) reply { return c.stream(0, promptOf(marked(c), 20_000), 400, time.Minute) },
		"crash":                func(c *caller) reply { return c.stream(2, crashMarker+marked(c), 20, time.Minute) },
		"late":                 func(c *caller) reply { return c.stream(2, promptOf(marked(c), 60_000), 400, time.Second) },
		"too big":              func(c *caller) reply { return c.stream(2, promptOf(marked(c), 400_000), 400, time.Second) },
		"order":                func(c *caller) reply { return c.order(0, newKey(), marked(c)) },
		"order without a key":  func(c *caller) reply { return c.order(0, "", marked(c)) },
		"order with a bad key": func(c *caller) reply { return c.order(0, marked(c), marked(c)) },
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
			return c.stream(i%nodeCount, promptOf(marked(c), 2_000+i), 200, time.Minute)
		}
	}
	return calls
}
