package claims

import (
	"bytes"
	"encoding/json"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// record is one line of a segment. Exactly one of the groups of fields is set.
// The names are short because every write repeats the open segment.
type record struct {
	// Segment opens a segment and gives its number.
	Segment uint64 `json:"g,omitempty"`
	// Horizon, in Unix milliseconds, is the time up to which keys may have been
	// deleted from the log. Keys up to it are refused.
	Horizon int64 `json:"h,omitempty"`

	// Claim is an identity that was claimed.
	Claim       []byte `json:"c,omitempty"`
	Time        int64  `json:"t,omitempty"`
	Digest      []byte `json:"d,omitempty"`
	Node        string `json:"n,omitempty"`
	Incarnation uint64 `json:"i,omitempty"`
	Sequence    uint64 `json:"q,omitempty"`
	Attempt     int    `json:"a,omitempty"`

	// Finish is an identity whose call ended.
	Finish  []byte   `json:"f,omitempty"`
	Outcome *Outcome `json:"o,omitempty"`

	// Full closes a segment: nothing follows.
	Full bool `json:"x,omitempty"`
}

// fullLine closes a segment.
var fullLine = mustEncode(record{Full: true})

func mustEncode(r record) []byte {
	line, err := json.Marshal(r)
	if err != nil {
		panic(err) // record holds no type that json refuses
	}
	return append(line, '\n')
}

// decode calls fn for each record. A malformed segment is Internal.
func decode(content []byte, fn func(record) error) error {
	for line := range bytes.Lines(content) {
		var r record
		if err := json.Unmarshal(line, &r); err != nil {
			return fault.Wrap(fault.Internal, err, "malformed record in a segment of claims")
		}
		if err := fn(r); err != nil {
			return err
		}
	}
	return nil
}
