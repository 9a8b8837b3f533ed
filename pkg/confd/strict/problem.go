// Package strict reads JSON with comments into Go values and reports every
// problem it finds, each with its line, key, value and what is allowed.
package strict

import (
	"fmt"
	"strings"
)

// Hidden replaces a value that must not appear in messages.
const Hidden = "(hidden)"

// maxValueLength is the maximum number of bytes of a value in a message.
const maxValueLength = 80

// Problem is one error in an input.
type Problem struct {
	File string `json:"file,omitempty"`
	// Line counts from 1; 0 means that the line is not known.
	Line int `json:"line,omitempty"`
	// Key is the path of the value, with dots between its parts.
	Key string `json:"key"`
	// Value is the refused value as JSON, or a description of what is refused.
	// It is empty when the key is missing.
	Value string `json:"value,omitempty"`
	// Allowed says which values are accepted.
	Allowed string `json:"allowed"`
}

// String returns the problem as one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ":")
		if p.Line > 0 {
			fmt.Fprintf(&b, "%d:", p.Line)
		}
		b.WriteString(" ")
	}
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	if p.Value == "" {
		b.WriteString("missing")
	} else {
		b.WriteString(p.Value + " is refused")
	}
	return b.String() + "; allowed: " + p.Allowed
}

// Problems is an error that lists every problem of an input.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// truncate limits a value in a message to maxValueLength bytes.
func truncate(s string) string {
	if len(s) <= maxValueLength {
		return s
	}
	return strings.ToValidUTF8(s[:maxValueLength], "") + "..."
}
