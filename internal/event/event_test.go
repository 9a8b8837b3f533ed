package event

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against events that are split, joined or lost, however the bytes of a
// stream arrive, and against a partial event that passes for a whole one.
func TestSplitter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(rapid.SampledFrom([]string{"id: 7", "data: x", "data:", ": note", "id: x"}), 1, 4)
		events := rapid.SliceOfN(lines, 0, 6).Draw(t, "events")
		end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
		var want []string
		text := ""
		for _, e := range events {
			raw := strings.Join(e, end) + end + end
			want = append(want, raw)
			text += raw
		}
		tail := rapid.SampledFrom([]string{"", "id: 9", "data: part" + end}).Draw(t, "tail")
		text += tail
		var s Splitter
		var got []string
		for len(text) > 0 {
			n := rapid.IntRange(1, len(text)).Draw(t, "bytes")
			s.Add([]byte(text[:n]))
			text = text[n:]
			for {
				e, ok := s.Next()
				if !ok {
					break
				}
				got = append(got, string(e.Raw))
			}
		}
		require.Equal(t, want, got)
		require.Equal(t, len(tail), s.Partial())
	})
}

// Guards against a number that is read from another line than the event's id.
func TestID(t *testing.T) {
	cases := map[string]struct {
		text string
		id   int64
		ok   bool
	}{
		"number":     {"id: 12\ndata: a\n\n", 12, true},
		"no space":   {"data: a\nid:3\n\n", 3, true},
		"text":       {"id: x\n\n", 0, false},
		"in data":    {"data: id: 4\n\n", 0, false},
		"without id": {"data: a\n\n", 0, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var s Splitter
			s.Add([]byte(tc.text))
			e, ok := s.Next()
			require.True(t, ok)
			require.Equal(t, tc.ok, e.HasID)
			require.Equal(t, tc.id, e.ID)
		})
	}
}
