// Package target passes on the targets of request lines byte for byte.
package target

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Target is the target of a request as its sender wrote it: an absolute path, or an
// absolute URI, and possibly a query.
type Target struct {
	text string
	path string
}

// Parse returns the target of a request. The error is Invalid if the target has no
// path, or if package net/http cannot send it unchanged.
func Parse(r *http.Request) (Target, error) {
	t := Target{text: r.RequestURI}
	rest := r.RequestURI
	if !strings.HasPrefix(rest, "/") {
		scheme, authority, _ := strings.Cut(rest, "://")
		slash := strings.IndexAny(authority, "/?")
		if slash <= 0 || r.URL.Host == "" || !strings.EqualFold(scheme, "http") && !strings.EqualFold(scheme, "https") {
			return Target{}, fault.New(fault.Invalid, "the target of the request has no path")
		}
		rest = authority[slash:]
	}
	t.path, _, _ = strings.Cut(rest, "?")
	if r.Method == http.MethodConnect || t.path == "" {
		return Target{}, fault.New(fault.Invalid, "the target of the request has no path")
	}
	_, err := URL("h", t.text)
	return t, err
}

// Path returns the path, escaped as the sender wrote it.
func (t Target) Path() string { return t.path }

// Query returns the query with the question mark before it, or an empty string if the
// target has none.
func (t Target) Query() string {
	if i := strings.IndexByte(t.text, '?'); i >= 0 {
		return t.text[i:]
	}
	return ""
}

// URL returns a URL for sending a request with the same target to a host.
func (t Target) URL(host string) (*url.URL, error) { return URL(host, t.text) }

// URL returns the URL with which package net/http sends a request with exactly this
// target to a host. The error is Invalid if there is none.
func URL(host, text string) (*url.URL, error) {
	path, query, hasQuery := strings.Cut(text, "?")
	u := &url.URL{Scheme: "http", Host: host, Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
	if strings.HasPrefix(path, "//") {
		// An opaque part with two slashes would be sent behind the scheme.
		u.Opaque, u.RawPath = "", path
		u.Path, _ = url.PathUnescape(path)
	}
	if u.RequestURI() != text {
		return nil, fault.New(fault.Invalid, "the target of the request cannot be passed on unchanged")
	}
	return u, nil
}
