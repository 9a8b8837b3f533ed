package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// Guards against a message of a peer that fills the memory, or after which the next
// message is read from its middle.
func TestBoundedCodec(t *testing.T) {
	message := func(length uint64, body string) []byte {
		return append(binary.AppendUvarint(nil, length), body...)
	}
	cases := map[string]struct {
		data    []byte
		wantErr bool
		kind    fault.Kind
	}{
		"whole":     {message(7, `{"a":1}`), false, 0},
		"too large": {message(maxMessage+1, `{"a":1}`), true, fault.TooLarge},
		"no end":    {message(1<<63, `{"a":1}`), true, fault.TooLarge},
		"cut":       {message(9, `{"a":1}`), true, fault.Internal},
		"not JSON":  {message(3, `{"a`), true, fault.Internal},
		"trailing":  {message(9, `{"a":1}{}`), true, fault.Internal},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var v map[string]int
			err := boundedCodec{}.ReadObject(bufio.NewReader(bytes.NewReader(tc.data)), &v)
			if !tc.wantErr {
				require.NoError(t, err)
				require.Equal(t, 1, v["a"])
				return
			}
			require.Error(t, err)
			require.Equal(t, tc.kind, fault.KindOf(err))
		})
	}
}
