package crowd

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"time"
)

// Behaviour is how the clients of a crowd send their requests.
type Behaviour struct {
	// Piece is the number of bytes of a write; all are written at once if it is 0.
	Piece int
	// Chunk is the size of a chunk of the body; the body is announced by its length if
	// it is 0.
	Chunk int
	// Excess is the number of bytes that are sent in place of the request's body.
	// Announced is the length that such a body has, if it is not sent in chunks.
	Excess, Announced int
	// Head is the number of bytes of header lines that are sent. The header has no end.
	Head int
	// Silent clients send nothing.
	Silent bool
	// Complete clients end their bodies. Of the others, three in four stop one byte
	// short of the end.
	Complete bool
	// Trailing is the number of bytes that follow a complete request.
	Trailing int
}

// excess is more than the limit of any test.
const excess = 8 << 20

// Behaviours returns the ways in which clients do not behave, by name. No header is
// larger than maxHead bytes.
func Behaviours(maxHead int) map[string]Behaviour {
	return map[string]Behaviour{
		"bodies at once":                    {},
		"bodies in pieces":                  {Piece: 8 << 10},
		"bodies in large chunks":            {Chunk: 64 << 10},
		"bodies in very small chunks":       {Chunk: 8},
		"complete bodies":                   {Complete: true},
		"bodies announced over the limit":   {Announced: 1 << 40, Excess: excess},
		"bodies over the limit in chunks":   {Chunk: 64 << 10, Excess: excess},
		"headers without an end, callers":   {Head: maxHead},
		"requests before the answer":        {Complete: true, Trailing: excess},
		"headers in pieces, without an end": {Head: maxHead, Piece: 1 << 10},
	}
}

// Request is a request that an ordinary client could send.
type Request struct {
	// Head is the request line and the header lines without those that frame the body.
	Head string
	Body []byte
}

// bytes returns what a client sends on its connection.
func (b Behaviour) bytes(r Request, whole bool) []byte {
	var out bytes.Buffer
	out.WriteString(r.Head)
	body, length := r.Body, len(r.Body)
	if b.Excess > 0 {
		body, length = make([]byte, b.Excess), b.Announced
		whole = false
	}
	switch {
	case b.Silent:
		return nil
	case b.Head > 0:
		for i := 0; out.Len() < b.Head; i++ {
			fmt.Fprintf(&out, "%x:\r\n", i)
		}
		return out.Bytes()
	case b.Chunk > 0:
		out.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for chunk := range chunks(body, b.Chunk) {
			fmt.Fprintf(&out, "%x\r\n%s\r\n", len(chunk), chunk)
		}
		out.WriteString("0\r\n\r\n")
	default:
		fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n", length)
		out.Write(body)
	}
	if !whole && !b.Complete {
		out.Truncate(out.Len() - 1)
		return out.Bytes()
	}
	out.WriteString(strings.Repeat("x", b.Trailing))
	return out.Bytes()
}

// chunks returns the parts of a body.
func chunks(body []byte, size int) func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(body) > 0 {
			n := min(size, len(body))
			if !yield(body[:n]) {
				return
			}
			body = body[n:]
		}
	}
}

// stallTimeout is how long a client waits for a server that does not read.
const stallTimeout = 2 * time.Second

// send writes what a client sends. It returns early when the server does not read any
// longer or has closed the connection, both of which are allowed.
func (b Behaviour) send(conn net.Conn, data []byte) {
	piece := b.Piece
	if piece == 0 {
		piece = max(1, len(data))
	}
	for part := range chunks(data, piece) {
		if conn.SetWriteDeadline(time.Now().Add(stallTimeout)) != nil {
			return
		}
		if _, err := conn.Write(part); err != nil {
			return
		}
	}
}
