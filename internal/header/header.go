// Package header copies HTTP headers from one connection to another.
package header

import (
	"net/http"
	"strings"
)

// single are the headers that concern one connection only.
var single = []string{
	"Connection", "Content-Length", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Copy copies the headers that do not concern one connection. The length of a
// body is left to the connection.
func Copy(to, from http.Header) {
	skip := map[string]bool{}
	for _, name := range single {
		skip[name] = true
	}
	for _, line := range from.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			skip[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !skip[name] {
			to[name] = append([]string(nil), values...)
		}
	}
}
