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
	"time"

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

// parts returns all parts of the content.
func (c Content) parts() []Part {
	if c.Whole == 0 {
		return c.Shared
	}
	return append([]Part{c.Whole}, c.Shared...)
}

// Intersects reports whether the content has any of the parts.
func (c Content) Intersects(parts []Part) bool {
	return slices.ContainsFunc(parts, func(p Part) bool { return p == c.Whole || slices.Contains(c.Shared, p) })
}

// covers reports whether the content has all of the parts.
func (c Content) covers(parts []Part) bool {
	return !slices.ContainsFunc(parts, func(p Part) bool { return p != c.Whole && !slices.Contains(c.Shared, p) })
}

// Report states that an engine ended while it ran a request.
type Report struct {
	// Engine identifies the process of the engine, not only its registration.
	Engine  string  `json:"engine"`
	Content Content `json:"content"`
	// Begun is set if the request had begun to be answered. Its shared parts are
	// then sound.
	Begun bool `json:"begun,omitempty"`
	// Suspects are the parts that were on trial, if any.
	Suspects []Part `json:"suspects,omitempty"`
}

// Quarantine is a set of parts. Requests that have all of them are refused.
type Quarantine struct {
	Parts []Part `json:"parts"`
	// Engine is the process that ended in the trial of the parts.
	Engine string    `json:"engine"`
	Until  time.Time `json:"until"`
	// Term is the length of the quarantine. A further one of the same parts is twice
	// as long.
	Term time.Duration `json:"term_ns"`
}

// Key returns a name that is the same for quarantines of the same parts.
func (q Quarantine) Key() string {
	texts := make([]string, len(q.Parts))
	for i, p := range q.Parts {
		texts[i] = strconv.FormatUint(uint64(p), 36)
	}
	return strconv.FormatUint(uint64(NewPart(nil, texts...)), 36)
}

func (q Quarantine) active(now time.Time) bool { return now.Before(q.Until) }
