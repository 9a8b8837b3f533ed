// Package crash finds the content that ends the engines which run it, and keeps it
// from running.
//
// Requests that end engines may all differ and have only a part of their prompt in
// common, which sound requests lack. When an engine ends before a request has begun
// to be answered, the request and the shared parts of its prompt are suspected. A
// request with suspected parts runs as a trial: no other request with these parts
// runs meanwhile, and nothing else begins on its engine. A trial that begins to be
// answered clears its parts. If its engine ends, its parts are quarantined: requests
// with all of them are refused.
package crash

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Part identifies content by a hash. Zero stands for no content.
type Part uint64

// NewPart returns the identity of the content that the data and the names describe
// together. The data may be nil.
func NewPart(data []byte, names ...string) Part {
	var d xxhash.Digest
	d.Reset()
	for _, name := range names {
		_, _ = d.WriteString(strconv.Itoa(len(name)) + ":" + name)
	}
	_, _ = d.Write(data)
	return max(1, Part(d.Sum64()))
}

// Content identifies what a request asks an engine to run.
type Content struct {
	// Whole is the request as a whole, by which a repeated request is recognised.
	Whole Part `json:"whole,omitempty"`
	// Shared are the parts of the prompt that other requests may have too.
	Shared []Part `json:"shared,omitempty"`
}

// id identifies the request: by the whole, or by the longest part of its prompt.
func (c Content) id() Part {
	if c.Whole != 0 || len(c.Shared) == 0 {
		return c.Whole
	}
	return c.Shared[len(c.Shared)-1]
}

// parts returns a new slice of all parts of the content.
func (c Content) parts() []Part {
	parts := slices.Clone(c.Shared)
	if c.Whole != 0 {
		parts = append(parts, c.Whole)
	}
	return parts
}

// Intersects reports whether the content has any of the parts.
func (c Content) Intersects(parts []Part) bool {
	return slices.ContainsFunc(parts, func(p Part) bool { return p == c.Whole || slices.Contains(c.Shared, p) })
}

// covers reports whether the content has all of the parts.
func (c Content) covers(parts []Part) bool {
	return !slices.ContainsFunc(parts, func(p Part) bool { return p != c.Whole && !slices.Contains(c.Shared, p) })
}
