package plain_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"

	"github.com/verbenapier/verbenapier/emul/internal/plain"
)

// Guards against a call that runs twice and is counted once, which would hide a
// violation of at-most-once execution.
func TestCallsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		server := plain.New(log, plain.Config{Name: "p", Status: 201, Latency: time.Second})
		call := func(method, path, key string) (int, string) {
			w := httptest.NewRecorder()
			r := httptest.NewRequest(method, path, strings.NewReader("body"))
			r.Header.Set("Idempotency-Key", key)
			server.ServeHTTP(w, r)
			return w.Code, strings.TrimSpace(w.Body.String())
		}
		begin := time.Now()
		status, answer := call(http.MethodPost, "/book/1", "k")
		assert.Equal(t, time.Second, time.Since(begin))
		assert.Equal(t, 201, status)
		assert.Equal(t, fmt.Sprintf(
			`{"upstream":"p","method":"POST","path":"/book/1","key":"k","body_hash":"%016x"}`,
			xxhash.Sum64String("body")), answer)
		call(http.MethodPost, "/book/1", "k")
		call(http.MethodDelete, "/book/1", "")
		_, answer = call(http.MethodGet, "/_calls", "")
		assert.Equal(t, `{"calls":[{"method":"DELETE","path":"/book/1","key":"","count":1},`+
			`{"method":"POST","path":"/book/1","key":"k","count":2}]}`, answer)
		_, answer = call(http.MethodGet, "/v1/load", "")
		assert.Equal(t, `{"engine":"p","capacity":0,"running":0,"waiting":0,"age_ms":0}`, answer)
	})
}
