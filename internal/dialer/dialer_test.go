package dialer

import (
	"bufio"
	"context"
	"encoding/pem"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/semaphore"

	"github.com/verbenapier/verbenapier/pkg/group"
)

// Guards against a second copy of an answer that a server sends late, on a connection
// that is in use again: it would be taken for the answer to the next request.
func TestSecondCopyOfAnAnswer(t *testing.T) {
	l, err := Host{}.Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{ReadHeaderTimeout: connectTimeout}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		serveTwice(c, buffered.Reader, r)
	})
	g := group.New(t.Context())
	g.Go("server", func(context.Context) error { _ = server.Serve(l); return nil })
	defer func() { require.NoError(t, g.Wait()) }()
	defer func() { _ = server.Close() }()
	client := &http.Client{Transport: Transport(TCP, semaphore.NewWeighted(1<<20))}
	for i := range 4 {
		path := fmt.Sprintf("/%d", i)
		resp, err := client.Get("http://" + l.Addr().String() + path)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, path, string(body))
	}
}

// serveTwice answers the requests of a connection with their paths, and each later
// request with a second copy of the previous answer first.
func serveTwice(c net.Conn, requests *bufio.Reader, r *http.Request) {
	second := ""
	for err := error(nil); err == nil; r, err = http.ReadRequest(requests) {
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
		if _, err := io.WriteString(c, second+answer); err != nil {
			return
		}
		second = answer
	}
}

// Guards against answers that are checked before they were decrypted.
func TestTransportOverTLS(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }))
	defer server.Close()
	roots := filepath.Join(t.TempDir(), "roots.pem")
	require.NoError(t, os.WriteFile(roots, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}), 0o600))
	t.Setenv("SSL_CERT_FILE", roots)
	client := &http.Client{Transport: Transport(TCP, semaphore.NewWeighted(1<<20))}
	resp, err := client.Get(server.URL)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "whole", string(body))
}
