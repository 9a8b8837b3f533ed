package engine

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Guards against a refusal of another call that is taken for the answer to this one, so
// that the caller is told that its request was not run.
func TestForeignRefusals(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
		kind   fault.Kind
	}{
		"full":                {503, `{"error":"full","id":"a"}`, fault.UpstreamRefused},
		"full, other stream":  {503, `{"error":"full","id":"b"}`, fault.UpstreamLost},
		"full, no stream":     {503, `{"error":"full"}`, fault.UpstreamLost},
		"no JSON":             {503, `<html>`, fault.UpstreamLost},
		"no memory":           {429, `{"error":"no memory","id":"a"}`, fault.UpstreamRefused},
		"no memory, other":    {429, `{"error":"no memory","id":"b"}`, fault.UpstreamLost},
		"no model":            {404, `{"error":"no model","id":"a"}`, fault.NotFound},
		"no model, no stream": {404, `{"error":"no model"}`, fault.UpstreamLost},
		"bad request, other":  {400, `{"error":"bad","id":"b"}`, fault.UpstreamLost},
		"in use":              {409, `{"error":"in use","id":"a"}`, fault.Conflict},
		"failed":              {500, `{"error":"failed"}`, fault.UpstreamFailed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tc.status)
				_, _ = io.WriteString(w, tc.body)
			}))
			defer server.Close()
			client, address := newClient(), server.Listener.Addr().String()
			_, err := client.Start(t.Context(), address, StartRequest{ID: "a"})
			require.Equal(t, tc.kind, fault.KindOf(err), "%v", err)
			require.Equal(t, tc.kind == fault.UpstreamLost, errors.Is(err, ErrForeignRefusal))
			_, err = client.Resume(t.Context(), address, "a", 1, 0)
			require.Equal(t, tc.kind, fault.KindOf(err), "%v", err)
		})
	}
}
