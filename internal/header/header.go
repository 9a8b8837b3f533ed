// Package header copies HTTP headers from one connection to another, and reads from them
// where a body ends.
package header

import (
	"net/http"
	"strings"
)

const (
	// freeHead is the size of a head that is held with its connection, in bytes. A larger
	// one takes up to headFactor bytes for each when it is decoded, as a map of many short
	// lines does.
	freeHead   = 4 << 10
	headFactor = 24
)

// Memory returns what a head of the given size takes beyond what is held with its
// connection, both in bytes.
func Memory(size int64) int64 { return max(0, size-freeHead) * headFactor }

// notForwarded lists the headers that are not forwarded: the hop-by-hop headers,
// which apply to a single connection, and Content-Length and Expect, which concern
// the transfer of a body on a single connection.
var notForwarded = []string{
	"Connection", "Content-Length", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Copy copies all headers but those in notForwarded and those that the Connection
// header names. Content-Length is not copied, as each connection determines the
// length of the body itself.
func Copy(to, from http.Header) {
	skip := map[string]bool{}
	for _, name := range notForwarded {
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

// EndsWithConnection reports whether a response has a body with neither a length nor
// chunks, which ends with its connection.
func EndsWithConnection(resp *http.Response) bool {
	head := resp.Request != nil && resp.Request.Method == http.MethodHead
	return !head && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}
