package answer

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/semaphore"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Guards against heads that count one by one, each within its limit, and against a head
// whose memory is not given back.
func TestHeadsCountTogether(t *testing.T) {
	const size = 8 << 10
	head := "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", size) + "\r\n\r\nwhole"
	memory := semaphore.NewWeighted(24 * size)
	first, server := connect(t, memory)
	second, otherServer := connect(t, memory)
	for _, s := range []io.Writer{server, otherServer} {
		_, err := io.WriteString(s, head)
		require.NoError(t, err)
	}
	_, err := io.ReadFull(first, make([]byte, len(head)))
	require.NoError(t, err)
	_, err = io.ReadFull(second, make([]byte, len(head)))
	require.Equal(t, fault.UpstreamLost, fault.KindOf(err), "%v", err)
	require.NoError(t, first.Close())
	require.NoError(t, second.Close())
	require.True(t, memory.TryAcquire(24*size), "memory was not given back")
}

// Guards against replies that are within their limit and fill the memory together, or once
// they are decoded.
func TestRepliesCountTogether(t *testing.T) {
	const limit = 1 << 20
	list := "[{}" + strings.Repeat(",{}", limit/8) + "]"
	cases := map[string]struct {
		body   string
		memory int64
		kind   fault.Kind
		ok     bool
	}{
		"small, no memory":           {`[{"A":"x"}]`, 0, 0, true},
		"large":                      {`["` + strings.Repeat("x", limit/2) + `"]`, 4 * limit, 0, true},
		"large, no memory":           {`["` + strings.Repeat("x", limit/2) + `"]`, limit / 4, fault.UpstreamLost, false},
		"larger than the limit":      {`["` + strings.Repeat("x", limit) + `"]`, 8 * limit, fault.UpstreamLost, false},
		"many values":                {list, 256 * limit, 0, true},
		"many values, less memory":   {list, 4 * limit, fault.UpstreamLost, false},
		"a part of a value":          {`["` + strings.Repeat("x", limit/2), 4 * limit, fault.Invalid, false},
		"another value after it":     {`[] []`, 0, fault.Invalid, false},
		"nothing":                    {``, 0, fault.Invalid, false},
		"one byte more than allowed": {strings.Repeat(" ", limit-1) + "[]", 8 * limit, fault.UpstreamLost, false},
		"as many bytes as allowed":   {strings.Repeat(" ", limit-2) + "[]", 8 * limit, 0, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			memory := semaphore.NewWeighted(tc.memory)
			client := NewClient(nil, memory)
			resp := &http.Response{StatusCode: http.StatusOK, ContentLength: int64(len(tc.body)), Body: io.NopCloser(strings.NewReader(tc.body))}
			var out []any
			err := client.Decode(resp, limit, &out)
			require.Equal(t, tc.ok, err == nil, "%v", err)
			if !tc.ok {
				require.Equal(t, tc.kind, fault.KindOf(err), "%v", err)
			}
			require.True(t, memory.TryAcquire(tc.memory), "memory was not given back")
		})
	}
}
