package engine

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a load report or a stream that no engine can have. A report of the
// future would hide all later ones, and a huge rate would be kept as the peak.
func TestOddReports(t *testing.T) {
	cases := map[string]struct {
		body string
		ok   bool
	}{
		"sound":              {`{"engine":"e","capacity_tokens":9000,"used_tokens":10,"prefill_tokens_per_second":5e4,"decode_step_ms":1.5,"age_ms":300}`, true},
		"negative age":       {`{"age_ms":-9223372036854775808}`, false},
		"age too large":      {`{"age_ms":9223372036854775807}`, false},
		"rate too large":     {`{"prefill_tokens_per_second":1e300}`, false},
		"negative capacity":  {`{"capacity_tokens":-1}`, false},
		"capacity too large": {`{"capacity_tokens":9223372036854775807}`, false},
		"beyond 64 bit":      {`{"used_tokens":1e300}`, false},
		"text":               {`{"running":"1"}`, false},
		"nested":             {`{"models":` + strings.Repeat("[", 1<<16), false},
		"no JSON":            {"<html>", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, tc.body) }))
			defer server.Close()
			_, err := newClient().Load(t.Context(), server.Listener.Addr().String())
			require.Equal(t, tc.ok, err == nil, "%v", err)
		})
	}
	t.Run("streams", func(t *testing.T) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"streams":[{"id":"a","tokens_held":-5},{"id":"b","tokens_held":5},{"id":"c","tokens_held":9223372036854775807}]}`)
		}))
		defer server.Close()
		streams, err := newClient().Streams(t.Context(), server.Listener.Addr().String())
		require.NoError(t, err)
		require.Equal(t, []Stream{{ID: "b", TokensHeld: 5}}, streams)
	})
}
