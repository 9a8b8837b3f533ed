package claims

import (
	"bytes"
	"encoding/json"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// record is one line of a segment. Exactly one of the groups of fields, which blank
// lines separate, is set. The JSON names are short because every write repeats
// the whole open segment.
type record struct {
	// Segment is the segment's number. It is set in the first record of a
	// segment.
	Segment uint64 `json:"g,omitempty"`
	// Horizon, in Unix milliseconds, is the time up to which claims may have been
	// deleted from the log. A key whose time is equal or earlier cannot be claimed
	// any more.
	Horizon int64 `json:"h,omitempty"`

	// ClaimedID is the identity of the call that is claimed. The fields Time to
	// Attempt describe the claim. Time is the time in the call's key, in Unix
	// milliseconds. Digest is the truncated digest of the request.
	ClaimedID   []byte `json:"c,omitempty"`
	Time        int64  `json:"t,omitempty"`
	Digest      []byte `json:"d,omitempty"`
	Node        string `json:"n,omitempty"`
	Incarnation uint64 `json:"i,omitempty"`
	Sequence    uint64 `json:"q,omitempty"`
	Attempt     int    `json:"a,omitempty"`

	// FinishedID is the identity of a call that has ended.
	FinishedID []byte   `json:"f,omitempty"`
	Outcome    *Outcome `json:"o,omitempty"`

	// Close marks the last record of a segment.
	Close bool `json:"x,omitempty"`
}

// closeLine is the record that closes a segment.
var closeLine = mustEncode(record{Close: true})

func mustEncode(r record) []byte {
	line, err := json.Marshal(r)
	if err != nil {
		panic(err) // every type in record can be encoded
	}
	return append(line, '\n')
}

// decode calls fn for each record of a segment. It returns an Internal error for
// a malformed record.
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
