package answer

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http/httpguts"
)

// Guards against a head that counts as an answer, or does not, because of how its bytes
// arrive.
func TestHeadInPieces(t *testing.T) {
	heads := map[string]struct {
		text  string
		sound bool
	}{
		"sound":                    {"HTTP/1.1 103 Early\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\nB: 2\r\n\r\n", true},
		"blank in a name":          {"HTTP/1.1 200 OK\r\nA: 1\r\nB : 2\r\n\r\n", false},
		"blank in an earlier head": {"HTTP/1.1 103 Early\r\nB : 2\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", false},
	}
	for name, tc := range heads {
		t.Run(name, func(t *testing.T) {
			for size := 1; size <= len(tc.text); size++ {
				var h headReader
				var err error
				for text := tc.text + "no : head"; text != "" && err == nil; text = text[min(size, len(text)):] {
					err = h.read([]byte(text[:min(size, len(text))]))
				}
				require.Equal(t, tc.sound, err == nil, "pieces of %d bytes: %v", size, err)
				require.Equal(t, tc.sound, h.done)
			}
		})
	}
}

// FuzzHead guards against a head that is taken for another one than net/http takes it for.
func FuzzHead(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nA: 1\r\n\r\n", 7)
	f.Add("HTTP/1.1 103 Early\nA: 1\n\nHTTP/1.0 200\r\nContent-Length: 2\r\n\r\nok", 1)
	f.Add("HTTP/1.1 200 OK\r\nA: 1\r\n B: 2\r\n\r\n", 3)
	f.Add("HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n", 64)
	f.Fuzz(func(t *testing.T, text string, size int) {
		size = max(1, size)
		var whole, pieces headReader
		wholeErr := whole.read([]byte(text))
		var err error
		for rest := text; rest != "" && err == nil; rest = rest[min(size, len(rest)):] {
			err = pieces.read([]byte(rest[:min(size, len(rest))]))
		}
		require.Equal(t, wholeErr == nil, err == nil)
		require.Equal(t, whole.done, pieces.done)
		if wholeErr != nil || !whole.done {
			return
		}
		requireSameHead(t, strings.NewReader(text))
	})
}

// requireSameHead requires that net/http finds a status and only names of fields in a head
// that counts as that of an answer.
func requireSameHead(t *testing.T, text *strings.Reader) {
	resp, err := http.ReadResponse(bufio.NewReader(text), nil)
	if err != nil {
		return
	}
	// The body may be cut.
	defer func() { _ = resp.Body.Close() }()
	require.True(t, resp.StatusCode >= 100 && resp.StatusCode < 600, resp.Status)
	for name := range resp.Header {
		require.True(t, httpguts.ValidHeaderFieldName(name), "%q", name)
	}
}
