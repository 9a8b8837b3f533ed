package relay

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// malformedHeads are beginnings of answers that are none, by what is wrong with them. The
// head goes on with a signature, and its body is a stream.
var malformedHeads = map[string]string{
	"blank in a name":             "HTTP/1.1 200 OK\r\nX Note: 1\r\n",
	"blank after a name":          "HTTP/1.1 200 OK\r\nX-Note : 1\r\n",
	"tab after a name":            "HTTP/1.1 200 OK\r\nX-Note\t: 1\r\n",
	"control byte in a name":      "HTTP/1.1 200 OK\r\nX-\x01Note: 1\r\n",
	"zero byte in a name":         "HTTP/1.1 200 OK\r\nX-Note\x00: 1\r\n",
	"byte over 0x7f in a name":    "HTTP/1.1 200 OK\r\nX-N\xf6te: 1\r\n",
	"no name":                     "HTTP/1.1 200 OK\r\n: 1\r\n",
	"no colon":                    "HTTP/1.1 200 OK\r\nX-Note\r\n",
	"blank before the first name": "HTTP/1.1 200 OK\r\n X-Note: 1\r\n",
	"blank before a name":         "HTTP/1.1 200 OK\r\nX-Note: 1\r\n Content-Length: 4\r\n",
	"tab before a name":           "HTTP/1.1 200 OK\r\nX-Note: 1\r\n\tContent-Length: 4\r\n",
	"blank line in a name":        "HTTP/1.1 200 OK\r\nX-Note: 1\r\n \r\n",
	"control byte in a value":     "HTTP/1.1 200 OK\r\nX-Note: \x01\r\n",
	"carriage return in a value":  "HTTP/1.1 200 OK\r\nX-Note: 1\rContent-Length: 4\r\n",
	"blank hides a length":        "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n",
	"blank hides chunks":          "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
	"blank hides the end":         "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding : chunked\r\n",
	"chunks of an old version":    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
	"informational, blank":        "HTTP/1.1 103 Early\r\nX Note: 1\r\n\r\nHTTP/1.1 200 OK\r\n",
	"control byte in the reason":  "HTTP/1.1 200 \x01\r\n",
	"status 000":                  "HTTP/1.1 000 None\r\n",
	"status 000 without a reason": "HTTP/1.1 000\r\n",
	"status 000, informational":   "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 000 None\r\n",
	"status 099":                  "HTTP/1.1 099 None\r\n",
	"status 101":                  "HTTP/1.1 101 Switching\r\n",
	"status 600":                  "HTTP/1.1 600 None\r\n",
	"status 999":                  "HTTP/1.1 999 None\r\n",
	"signed status":               "HTTP/1.1 +20 None\r\n",
	"status of two digits":        "HTTP/1.1 20 None\r\n",
	"status of four digits":       "HTTP/1.1 2000 None\r\n",
	"status of letters":           "HTTP/1.1 OK 200\r\n",
	"other version":               "HTTP/2.0 200 OK\r\n",
	"other protocol":              "ICY 200 OK\r\n",
}

// Guards against bytes that are no answer and reach the caller as one, with a line that
// has no meaning or with a body that is not that of the upstream.
func TestMalformedHead(t *testing.T) {
	const rest = "Signature: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	whole := eventText(1) + eventText(2) + eventText(3)
	for name, head := range malformedHeads {
		for _, path := range []string{"/plain/x", "/plain-once/x", "/stream/x", "/stream-once/x"} {
			t.Run(name+path, func(t *testing.T) {
				g := newGateway(t)
				g.addUpstream("u1", func(c net.Conn) { write(c, head+rest+eventText(1)) })
				g.addUpstream("u2", wholeStream(1))
				status, body, err := g.get(path)
				require.NoError(t, err)
				if strings.Contains(path, "-once") {
					require.Equal(t, http.StatusBadGateway, status)
					return
				}
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, whole, body)
			})
		}
	}
}

// Guards against sound answers that are refused for their form.
func TestUnusualHead(t *testing.T) {
	cases := map[string]string{
		"old version":             "HTTP/1.0 200 OK\r\nSignature: s\r\n\r\n",
		"no reason":               "HTTP/1.1 200\r\nSignature: s\r\n\r\n",
		"empty reason":            "HTTP/1.1 200 \r\nSignature: s\r\n\r\n",
		"reason over 0x7f":        "HTTP/1.1 200 Gr\xfc\xdfe\r\nSignature: s\r\n\r\n",
		"lines end with LF":       "HTTP/1.1 200 OK\nSignature: s\nContent-Length: 5\n\n",
		"all characters of names": "HTTP/1.1 200 OK\r\nSignature: s\r\nX!#$%&'*+-.^_`|~09Az: 1\r\n\r\n",
		"unusual values":          "HTTP/1.1 200 OK\r\nSignature: s\r\nX-Empty:\r\nX-Tab:\ta\tb \r\nX-Bytes: \xfc: =\"\r\n\r\n",
		"small letters":           "HTTP/1.1 200 OK\r\nsignature: s\r\ncontent-length: 5\r\n\r\n",
		"informational":           "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX-Note: 1\r\n\r\nHTTP/1.1 200 OK\r\nSignature: s\r\n\r\n",
		"one byte after another":  "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 5\r\n\r\n",
	}
	for name, head := range cases {
		t.Run(name, func(t *testing.T) {
			g := newGateway(t)
			g.addUpstream("u1", func(c net.Conn) {
				step := len(head)
				if name == "one byte after another" {
					step = 1
				}
				for text := head + "whole"; text != ""; {
					n := min(step, len(text))
					write(c, text[:n])
					text = text[n:]
				}
			})
			status, body, err := g.get("/plain-once/x")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, "whole", body)
		})
	}
}

// Guards against trailers of an answer that reach the caller, malformed or not.
func TestTrailersAreDropped(t *testing.T) {
	for name, trailer := range map[string]string{
		"sound":           "X-Note: 1\r\n",
		"blank in a name": "X Note: 1\r\n",
		"hidden length":   "Content-Length : 1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := newGateway(t)
			g.addUpstream("u1", func(c net.Conn) {
				write(c, upstreamHead+"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"+trailer+"\r\n")
			})
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, g.url+"/plain-once/x", http.NoBody)
			require.NoError(t, err)
			request.Host = "h"
			resp, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, "whole", string(body))
			require.Empty(t, resp.Trailer)
			for field := range resp.Header {
				require.NotContains(t, field, "Note")
			}
			require.Equal(t, "5", resp.Header.Get("Content-Length"))
		})
	}
}
