package plat_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"

	"github.com/verbenapier/verbenapier/emul/internal/plat"
)

func startPlatform(cfg plat.Config) func(method, target, body string) (int, string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := plat.New(log, cfg)
	return func(method, target, body string) (int, string) {
		w := httptest.NewRecorder()
		server.ServeHTTP(w, httptest.NewRequest(method, target, strings.NewReader(body)))
		return w.Code, strings.TrimSpace(w.Body.String())
	}
}

// Guards against statuses and bodies that differ from the documented interface.
func TestKeyValueResponses(t *testing.T) {
	call := startPlatform(plat.Config{})
	for _, c := range []struct {
		method, target, body string
		status               int
		answer               string
	}{
		{"GET", "/kv/a/b", "", 404, `{"error":"not found"}`},
		{"PUT", "/kv/a/b", "v", 400, `{"error":"base is missing or not a number"}`},
		{"PUT", "/kv/a/b?base=0", "v", 200, `{"revision":1}`},
		{"PUT", "/kv/a/b?base=0", "w", 409, `{"error":"base revision does not match","revision":1}`},
		{"PUT", "/kv/a/b?base=1&lease=none", "w", 404, `{"error":"lease has lapsed"}`},
		{"GET", "/kv/a/b", "", 200, "v"},
		{"GET", "/kv/a%2Fb", "", 200, "v"},
		{"GET", "/kv?prefix=a/", "", 200, `{"entries":[{"key":"a/b","value":"dg==","revision":1}]}`},
		{"GET", "/watch?prefix=a&after=0&wait=1s", "", 200, `{"revision":1}`},
		{"DELETE", "/kv/a/b?base=3", "", 409, `{"error":"base revision does not match","revision":1}`},
		{"DELETE", "/kv/a/b?base=1", "", 200, `{"revision":2}`},
		{"DELETE", "/kv/a/b?base=1", "", 404, `{"error":"not found"}`},
		{"PUT", "/kv/big?base=0", strings.Repeat("x", 1<<20+1), 413, `{"error":"value is larger than 1 MiB"}`},
		{"GET", "/kv?prefix=a/", "", 200, `{"entries":[]}`},
		{"GET", "/stats", "", 200, `{"calls":{"delete":3,"get":3,"list":2,"put":5,"watch":1},"keys":0,` +
			`"refused":{},"revision":2,"waiting_watches":0}`},
	} {
		status, answer := call(c.method, c.target, c.body)
		assert.Equal(t, c.status, status, c.target)
		assert.Equal(t, c.answer, answer, c.target)
	}
}

// Guards against changes of the host list that are visible before HostDelay has
// passed, or are not visible afterwards.
func TestHostListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		call := startPlatform(plat.Config{HostDelay: 2 * time.Second, Hosts: []plat.Host{{Name: "a"}}})
		entry := func(name, state string) string {
			return `{"name":"` + name + `","role":"","address":"","failure_domain":"","state":"` + state + `"}`
		}
		call("POST", "/hosts", entry("a", "leaving"))
		call("POST", "/hosts", `{"hosts":[`+entry("b", "")+`]}`)
		time.Sleep(1900 * time.Millisecond)
		_, got := call("GET", "/hosts", "")
		assert.Equal(t, `{"hosts":[`+entry("a", "live")+`]}`, got)
		time.Sleep(200 * time.Millisecond)
		_, got = call("GET", "/hosts", "")
		assert.Equal(t, `{"hosts":[`+entry("a", "leaving")+`,`+entry("b", "live")+`]}`, got)
		call("DELETE", "/hosts/a", "")
		time.Sleep(3 * time.Second)
		_, got = call("GET", "/hosts", "")
		assert.Equal(t, `{"hosts":[`+entry("b", "live")+`]}`, got)
	})
}

// Guards against calls above the rate limit that are answered, and weights that
// arrive faster than the rate of the weight store.
func TestRates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		call := startPlatform(plat.Config{ReadRate: 10, WriteRate: 2, WeightSize: 1 << 20, WeightRate: 1 << 18})
		refused := 0
		for range 20 {
			if status, _ := call("GET", "/kv/x", ""); status == http.StatusTooManyRequests {
				refused++
			}
		}
		assert.Equal(t, 10, refused)
		status, _ := call("PUT", "/kv/x?base=0", "")
		assert.Equal(t, http.StatusOK, status, "writes have a limit of their own")
		time.Sleep(time.Second)
		begin := time.Now()
		_, body := call("GET", "/weights/m", "")
		assert.Len(t, body, 1<<20)
		assert.Equal(t, 3750*time.Millisecond, time.Since(begin).Round(time.Millisecond), "less the burst of 64 KiB")
	})
}
