package crowd

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Endless is an answer of an upstream without an end.
type Endless struct {
	// Text begins the answer. Again follows without a pause or, if Stalls is set, one byte
	// of it now and then.
	Text, Again string
	Stalls      bool
}

// stallPause is the time between two bytes of an answer that stalls.
const stallPause = 100 * time.Millisecond

// Send sends the answer until the connection is closed.
func (e Endless) Send(c net.Conn) {
	_, err := io.WriteString(c, e.Text)
	for i := 0; err == nil; i++ {
		if !e.Stalls {
			_, err = io.WriteString(c, e.Again)
			continue
		}
		time.Sleep(stallPause)
		_, err = io.WriteString(c, e.Again[i%len(e.Again):][:1])
	}
}

// ShortLines returns at least size bytes of header lines of a few bytes each, which take
// many times their size when they are decoded.
func ShortLines(size int) string {
	var lines strings.Builder
	for i := 0; lines.Len() < size; i++ {
		fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	return lines.String()
}
