package header

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against hop-by-hop headers that are forwarded, and against a copy that
// shares its values with the original.
func TestCopy(t *testing.T) {
	from := http.Header{
		"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "Transfer-Encoding": {"chunked"},
		"Content-Length": {"3"}, "Expect": {"100-continue"}, "X-Kept": {"a", "b"},
	}
	to := http.Header{}
	Copy(to, from)
	require.Equal(t, http.Header{"X-Kept": {"a", "b"}}, to)
	to["X-Kept"][0] = "changed"
	require.Equal(t, "a", from.Get("X-Kept"))
}
