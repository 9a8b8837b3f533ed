package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/verbenapier/verbenapier/pkg/fault"
)

// maxMessage is the maximum size of a message, in bytes. The largest messages carry
// the configuration and the registrations.
const maxMessage = 16 << 20

// boundedCodec is the codec of jsonrpc2 that precedes each message with its length. It
// refuses messages longer than maxMessage: a message without end would fill the
// memory.
type boundedCodec struct{ jsonrpc2.VarintObjectCodec }

// ReadObject implements jsonrpc2.ObjectCodec.
func (boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	length, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if length > maxMessage {
		return fault.New(fault.TooLarge, "a message of %d bytes", length)
	}
	// The buffer grows with the bytes that arrive, not with the stated length.
	var message bytes.Buffer
	if _, err := io.CopyN(&message, stream, int64(length)); err != nil {
		return err
	}
	return json.Unmarshal(message.Bytes(), v)
}
